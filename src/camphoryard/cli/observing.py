"""Commands that show what the system does and why."""

from typing import Annotated

import typer

from camphoryard.cli.connection import Call, ask, expect_ok
from camphoryard.cli.options import (
    EXIT_AT_RISK,
    EXIT_USAGE,
    Output,
    OutputOption,
    ServerOption,
    TokenOption,
    fail,
    print_json,
)
from camphoryard.coordination.merging import MergedTimeline
from camphoryard.protocol.operator import (
    NodeForm,
    StatusForm,
    decode_explanation,
    decode_status,
    decode_timeline,
)
from camphoryard.state.timeline import Event

STATUS_PATH = "/admin/v1/status"
TIMELINE_PATH = "/admin/v1/timeline"
EXPLAIN_PATH = "/admin/v1/explain"


def status(
    server: ServerOption,
    token: TokenOption,
    check: Annotated[
        bool, typer.Option("--check", help="End with 5 if a promise is at risk.")
    ] = False,
    output: OutputOption = Output.TEXT,
) -> None:
    """Show whether a promise is at risk, nodes, endpoints and refusals."""
    call = Call("GET", STATUS_PATH)
    form = decode_status(expect_ok(ask(server, token, call)))
    if output is Output.JSON:
        print_json(form)
    else:
        _print_status(form)
    if check and form.risks:
        raise typer.Exit(EXIT_AT_RISK)


def _print_status(form: StatusForm) -> None:
    if not form.risks:
        typer.echo(f"no promise is at risk, as {form.node} sees it")
    for risk in form.risks:
        typer.echo(f"AT RISK {risk.kind} {risk.subject}: {risk.detail}")
        typer.echo(f"  -> {risk.advice}")
    typer.echo(f"\n{'NODE':<16}{'STATE':<12}{'GENERATION':<12}HEARD")
    for node in form.nodes:
        typer.echo(
            f"{node.node:<16}{_state(node):<12}{node.generation:<12}{_heard(node)}"
        )
    typer.echo(f"\n{'ENDPOINT':<16}{'OWNER':<16}{'MEMORY MB':<16}RESIDENT")
    for endpoint in form.endpoints:
        memory = f"{endpoint.committed_mb}/{endpoint.memory_mb}"
        resident = ", ".join(endpoint.resident)
        typer.echo(f"{endpoint.endpoint:<16}{endpoint.owner:<16}{memory:<16}{resident}")
    total = sum(item.count for item in form.refusals)
    typer.echo(f"\nrefusals at {form.node}: {total}")
    for item in form.refusals:
        typer.echo(f"  {item.reason} {item.label or '-'}: {item.count}")


def _state(node: NodeForm) -> str:
    if node.gone:
        return "gone"
    return node.state if node.alive else "dead"


def _heard(node: NodeForm) -> str:
    if node.heard_age_s is None:
        return "never"
    return f"{node.heard_age_s:.0f} s ago"


def timeline(
    server: ServerOption,
    token: TokenOption,
    request: Annotated[str, typer.Option(help="Only events of this request.")] = "",
    model: Annotated[str, typer.Option(help="Only events of this model.")] = "",
    endpoint: Annotated[str, typer.Option(help="Only events of this endpoint.")] = "",
    filter: Annotated[
        list[str],
        typer.Option(
            help="Only events with KEY=VALUE, among them node=ID and event=NAME;"
            " may be given again."
        ),
    ] = [],  # noqa: B006
    output: OutputOption = Output.TEXT,
) -> None:
    """Show the events of all nodes in causal order."""
    wanted = _wanted(filter)
    named = {"request": request, "model": model, "endpoint": endpoint}
    wanted.update({key: value for key, value in named.items() if value})
    merged = _events(server, token, wanted)
    if output is Output.JSON:
        print_json(merged)
        return
    for event in merged.events:
        typer.echo(_line(event))


def refusals(
    server: ServerOption,
    token: TokenOption,
    caller: Annotated[str, typer.Option(help="Only refusals of this caller.")] = "",
    output: OutputOption = Output.TEXT,
) -> None:
    """Show which requests were refused lately at any node, whose and why."""
    wanted = {"event": "refused"}
    if caller:
        wanted["caller"] = caller
    merged = _events(server, token, wanted)
    if output is Output.JSON:
        print_json(merged)
        return
    for event in merged.events:
        typer.echo(_line(event))
    if not merged.events:
        typer.echo("no refusal is kept at the nodes that answered")


def _wanted(filters: list[str]) -> dict[str, str]:
    wanted = {}
    for text in filters:
        key, sign, value = text.partition("=")
        if not sign or not key:
            fail(f"--filter {text!r}: expected KEY=VALUE", EXIT_USAGE)
        wanted[key] = value
    return wanted


def _events(servers: list[str], token: str, wanted: dict[str, str]) -> MergedTimeline:
    call = Call("GET", TIMELINE_PATH, query=wanted)
    merged = decode_timeline(expect_ok(ask(servers, token, call)))
    for node in merged.silent:
        typer.echo(f"{node} gave no answer: its events are missing", err=True)
    return merged


def _line(event: Event) -> str:
    pairs = " ".join(f"{key}={_quoted(value)}" for key, value in event.fields.items())
    stamp = f"{event.stamp.wall_ms}.{event.stamp.count}"
    return f"{stamp} {event.node} {event.name} {pairs}"


def _quoted(value: str) -> str:
    if value and not any(character in value for character in ' "='):
        return value
    return '"' + value.replace('"', '\\"') + '"'


def explain(
    caller: Annotated[str, typer.Option(help="Id of the caller.")],
    target: Annotated[
        str, typer.Option(help="MODEL, MODEL:ADAPTER or SERVICE/OPERATION.")
    ],
    server: ServerOption,
    token: TokenOption,
    output: OutputOption = Output.TEXT,
) -> None:
    """Show which group, priority and endpoints a request would get, and why."""
    call = Call("GET", EXPLAIN_PATH, query={"caller": caller, "target": target})
    form = decode_explanation(expect_ok(ask(server, token, call)))
    if output is Output.JSON:
        print_json(form)
        return
    if not form.caller_known:
        typer.echo(f"caller {caller} is not configured: it has no labels")
    for group in form.groups:
        if group.mismatch:
            typer.echo(f"group {group.group} ({group.order}): {group.mismatch}")
        else:
            typer.echo(f"group {group.group} ({group.order}): takes it,")
            typer.echo(f"  priority {group.priority}")
    if not form.matched:
        typer.echo("no group takes it: the request is refused with no_group")
    for endpoint in form.endpoints:
        if endpoint.mismatch:
            typer.echo(f"  not {endpoint.endpoint}: {endpoint.mismatch}")
        else:
            resident = "resident" if endpoint.resident else "to be loaded"
            owner = endpoint.owner or "none yet"
            typer.echo(f"  at {endpoint.endpoint}: {resident}, owner {owner}")
