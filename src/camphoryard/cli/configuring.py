"""Commands that read and change the configuration."""

import time
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any
from uuid import uuid4

import msgspec
import typer

from camphoryard.cli.connection import (
    CONFIGURATION_PATH,
    STATUS_PATH,
    Answer,
    Call,
    UnreachableError,
    ask,
    expect_ok,
    fetch,
    send,
)
from camphoryard.cli.options import (
    EXIT_NOT_IN_FORCE,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    Output,
    OutputOption,
    ServerOption,
    TokenOption,
    fail,
    print_json,
)
from camphoryard.coordination.configuration.changes import items_by_name
from camphoryard.protocol.configuration import decode_configuration
from camphoryard.protocol.operator import (
    AcceptedForm,
    decode_accepted,
)
from camphoryard.protocol.status import (
    NodeForm,
    decode_status,
)

SEND_TIMEOUT_S = 30.0
RESOLVE_LIMIT_S = 14.0
IN_FORCE_LIMIT_S = 14.0
POLL_PERIOD_S = 0.1
RETRY_PERIOD_S = 0.5
MAY_HAVE_RUN = "may have run"

FileArgument = Annotated[Path, typer.Argument(help="TOML file with items to set.")]


def apply(
    file: FileArgument,
    server: ServerOption,
    token: TokenOption,
    base: Annotated[
        int | None,
        typer.Option(help="Refuse unless this generation is the accepted one."),
    ] = None,
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until in force on every live node.")
    ] = False,
    dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Check and show, but change nothing.")
    ] = False,
    despite_unheard: Annotated[
        bool,
        typer.Option(
            "--despite-unheard",
            help="Accept although most nodes cannot be heard: their VMs are gone.",
        ),
    ] = False,
    output: OutputOption = Output.TEXT,
) -> None:
    """Set models, adapters, endpoints, callers, services and groups.

    ``removed = ["model/x"]`` in the file removes items.
    """
    body = _change_body(file, base)
    query = {}
    if dry_run:
        query["dry_run"] = "true"
    if despite_unheard:
        query["despite_unheard"] = "true"
    call = Call("POST", CONFIGURATION_PATH, body, query, timeout_s=SEND_TIMEOUT_S)
    accepted = decode_accepted(expect_ok(_send_until_known(server, token, call)))
    if wait and not dry_run:
        _wait_in_force(server, token, accepted.generation)
    if output is Output.JSON:
        print_json(accepted)
        return
    _print_warnings(accepted)
    if dry_run:
        _print_changes(accepted, with_fields=False)
        typer.echo("dry run: nothing was changed")
        return
    state = "in force on every live node" if wait else "accepted"
    typer.echo(f"generation {accepted.generation} {state}")


def diff(
    file: FileArgument,
    server: ServerOption,
    token: TokenOption,
    output: OutputOption = Output.TEXT,
) -> None:
    """Show what applying a file would change, field by field."""
    call = Call("POST", CONFIGURATION_PATH, _change_body(file), {"dry_run": "true"})
    accepted = decode_accepted(expect_ok(ask(server, token, call)))
    if output is Output.JSON:
        print_json(accepted)
        return
    _print_warnings(accepted)
    _print_changes(accepted, with_fields=True)
    if not accepted.changes:
        typer.echo("no difference")


def get(
    server: ServerOption, token: TokenOption, output: OutputOption = Output.JSON
) -> None:
    """Print the configuration in force at a node; as text, the names of its items."""
    body = fetch(server, token, CONFIGURATION_PATH)
    if output is Output.JSON:
        typer.echo(msgspec.json.format(body).decode())
        return
    for name in sorted(items_by_name(decode_configuration(body))):
        typer.echo(name)


def _change_body(file: Path, base: int | None = None) -> bytes:
    change = _read_change(file)
    change.setdefault("write_id", uuid4().hex)
    if base is not None:
        change["base"] = base
    try:
        return msgspec.json.encode(change)
    except TypeError as error:
        fail(f"{file}: {error}", EXIT_USAGE)


def _read_change(file: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(file.read_text())
    except OSError as error:
        fail(f"{file}: cannot be read ({error.strerror})", EXIT_USAGE)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        fail(f"{file}: not TOML: {error}", EXIT_USAGE)


def _send_until_known(servers: Sequence[str], token: str, call: Call) -> Answer:
    """Send the change, and the same again while its outcome is not known.

    Its write id makes that safe: a change that was accepted is not accepted twice.
    """
    deadline_s = time.monotonic() + RESOLVE_LIMIT_S
    attempt = 0
    while True:
        detail = "the outcome is not known"
        try:
            answer = send(servers[attempt % len(servers)], token, call)
            if answer.verdict != MAY_HAVE_RUN:
                return answer
        except UnreachableError as error:
            detail = str(error)
            answer = None
        attempt += 1
        if time.monotonic() >= deadline_s:
            if answer is not None:
                return answer
            fail(f"{detail}; is camphoryardd up there?", EXIT_UNREACHABLE)
        if attempt % len(servers) == 0:
            time.sleep(RETRY_PERIOD_S)


def _wait_in_force(servers: Sequence[str], token: str, generation: int) -> None:
    deadline_s = time.monotonic() + IN_FORCE_LIMIT_S
    while True:
        nodes = decode_status(fetch(servers, token, STATUS_PATH)).nodes
        behind = [item for item in nodes if _is_behind(item, generation)]
        if not behind:
            return
        if time.monotonic() >= deadline_s:
            named = ", ".join(f"{item.node} ({item.generation})" for item in behind)
            fail(
                f"generation {generation} is accepted, but not yet in force on"
                f" {named}; status says more",
                EXIT_NOT_IN_FORCE,
            )
        time.sleep(POLL_PERIOD_S)


def _is_behind(node: NodeForm, generation: int) -> bool:
    return node.alive and not node.gone and node.generation < generation


def _print_warnings(accepted: AcceptedForm) -> None:
    for warning in accepted.warnings:
        typer.echo(f"warning: {warning}", err=True)


def _print_changes(accepted: AcceptedForm, with_fields: bool) -> None:
    for change in accepted.changes:
        typer.echo(f"{change.kind} {change.name}")
        if with_fields:
            for text in change.fields:
                typer.echo(f"  {text}")
