"""The operators' and callers' command-line tool."""

import enum
import sys
import time
import tomllib
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import urlsplit
from uuid import uuid4

import msgspec
import typer
import zmq

from camphoryard.protocol.operator import StatusForm, decode_events, decode_status

app = typer.Typer(
    help="Operate and call camphoryard. Exit codes: 0 done, 1 refused,"
    " 2 bad usage or input, 3 no daemon answered, 4 not in force in time.",
    no_args_is_help=True,
)

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_NOT_IN_FORCE = 4
CALL_TIMEOUT_S = 600.0
IN_FORCE_LIMIT_S = 14.0
POLL_PERIOD_S = 0.1


class Output(enum.Enum):
    """How results are printed."""

    TEXT = "text"
    JSON = "json"


ServerOption = Annotated[
    list[str],
    typer.Option(
        "--server",
        envvar="CAMPHORYARD_SERVER",
        help="Daemon, as http://IP:PORT; give it again for more nodes.",
    ),
]
TokenOption = Annotated[
    str, typer.Option(envvar="CAMPHORYARD_TOKEN", help="Operator or caller token.")
]
OutputOption = Annotated[Output, typer.Option(help="Form of the output.")]


class _Answer(msgspec.Struct, frozen=True):
    status: int
    verdict: str
    body: bytes


def _call(
    server: str,
    token: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> _Answer:
    """Make one call; ends the program with EXIT_UNREACHABLE if it breaks."""
    address = urlsplit(server)
    if not address.hostname or not address.port:
        _fail(f"--server {server!r}: expected http://IP:PORT", EXIT_USAGE)
    connection = HTTPConnection(
        address.hostname or "", address.port, timeout=CALL_TIMEOUT_S
    )
    sent = {"Authorization": f"Bearer {token}", **(headers or {})}
    try:
        connection.request(method, path, body, sent)
        response = connection.getresponse()
        content = response.read()
    except (OSError, HTTPException) as error:
        _fail(f"{server}: no answer ({error}); is camphoryardd up?", EXIT_UNREACHABLE)
    finally:
        connection.close()
    return _Answer(
        response.status, response.headers.get("Camphoryard-Verdict", ""), content
    )


def _fail(message: str, code: int) -> Any:
    typer.echo(f"camphoryard: {message}", err=True)
    raise typer.Exit(code)


def _expect_ok(answer: _Answer) -> bytes:
    """Return the body, or print the error and end with EXIT_REFUSED."""
    if answer.status < 400:
        return answer.body
    try:
        error = msgspec.json.decode(answer.body)["error"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return _fail(f"status {answer.status}", EXIT_REFUSED)
    field = f" ({error['field']})" if error["field"] else ""
    return _fail(
        f"{error['code']}{field}: {error['message']} [verdict: {error['verdict']}]",
        EXIT_REFUSED,
    )


@app.command()
def apply(
    file: Annotated[Path, typer.Argument(help="TOML file with items to set.")],
    server: ServerOption,
    token: TokenOption,
    base: Annotated[
        int | None, typer.Option(help="Refuse unless this generation is accepted.")
    ] = None,
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until in force on every live node.")
    ] = False,
    output: OutputOption = Output.TEXT,
) -> None:
    """Set models, adapters, endpoints, callers, services and groups."""
    change = _read_change(file)
    change["write_id"] = uuid4().hex
    if base is not None:
        change["base"] = base
    body = msgspec.json.encode(change)
    answer = _call(server[0], token, "POST", "/admin/v1/configuration", body)
    generation = msgspec.json.decode(_expect_ok(answer))["generation"]
    if wait:
        _wait_in_force(server[0], token, generation)
    if output is Output.JSON:
        typer.echo(msgspec.json.encode({"generation": generation}))
    else:
        state = "in force on every live node" if wait else "accepted"
        typer.echo(f"generation {generation} {state}")


def _read_change(file: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(file.read_text())
    except OSError as error:
        return _fail(f"{file}: cannot be read ({error.strerror})", EXIT_USAGE)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return _fail(f"{file}: not TOML: {error}", EXIT_USAGE)


def _wait_in_force(server: str, token: str, generation: int) -> None:
    deadline_s = time.monotonic() + IN_FORCE_LIMIT_S
    while True:
        status = _status(server, token)
        behind = [item.node for item in status.nodes if item.generation < generation]
        if not behind:
            return
        if time.monotonic() >= deadline_s:
            _fail(
                f"accepted, but not yet in force on {', '.join(behind)}",
                EXIT_NOT_IN_FORCE,
            )
        time.sleep(POLL_PERIOD_S)


@app.command()
def get(server: ServerOption, token: TokenOption) -> None:
    """Print the configuration in force at a node, as JSON."""
    answer = _call(server[0], token, "GET", "/admin/v1/configuration")
    typer.echo(msgspec.json.format(_expect_ok(answer)).decode())


def _status(server: str, token: str) -> StatusForm:
    return decode_status(_expect_ok(_call(server, token, "GET", "/admin/v1/status")))


@app.command()
def status(
    server: ServerOption, token: TokenOption, output: OutputOption = Output.TEXT
) -> None:
    """Show nodes, endpoints and refusals as one node sees them."""
    form = _status(server[0], token)
    if output is Output.JSON:
        typer.echo(msgspec.json.format(msgspec.json.encode(form)).decode())
        return
    typer.echo(f"{'NODE':<12}{'STATE':<12}GENERATION")
    for node in form.nodes:
        typer.echo(f"{node.node:<12}{node.state:<12}{node.generation}")
    typer.echo(f"\n{'ENDPOINT':<12}{'OWNER':<12}{'MEMORY MB':<16}RESIDENT")
    for endpoint in form.endpoints:
        memory = f"{endpoint.committed_mb}/{endpoint.memory_mb}"
        resident = ", ".join(endpoint.resident)
        typer.echo(f"{endpoint.endpoint:<12}{endpoint.owner:<12}{memory:<16}{resident}")
    total = sum(item.count for item in form.refusals)
    typer.echo(f"\nrefusals at {form.node}: {total}")
    for item in form.refusals:
        typer.echo(f"  {item.reason} {item.label or '-'}: {item.count}")


@app.command()
def call(
    target: Annotated[
        str, typer.Argument(help="MODEL, MODEL:ADAPTER or SERVICE/OPERATION.")
    ],
    text: Annotated[str, typer.Argument(help="Prompt, or body of the operation.")],
    server: ServerOption,
    token: TokenOption,
    key: Annotated[str, typer.Option(help="Idempotency key of an action.")] = "",
    deadline_ms: Annotated[int, typer.Option(help="Deadline from now.")] = 30_000,
    max_tokens: Annotated[int, typer.Option(help="Length of the answer.")] = 32,
) -> None:
    """Call a model or a service and print the answer."""
    headers = {"Camphoryard-Deadline-Ms": str(deadline_ms)}
    if key:
        headers["Idempotency-Key"] = key
    if "/" in target:
        path = f"/v1/services/{target}"
        body = text.encode()
    else:
        path = "/v1/completions"
        body = msgspec.json.encode(
            {"model": target, "prompt": text, "max_tokens": max_tokens}
        )
    content = _expect_ok(_call(server[0], token, "POST", path, body, headers))
    if "/" in target:
        typer.echo(content.decode(errors="replace"))
    else:
        typer.echo(msgspec.json.decode(content)["choices"][0]["text"])


@app.command()
def timeline(
    server: ServerOption,
    token: TokenOption,
    filter: Annotated[
        list[str], typer.Option(help="Keep events with KEY=VALUE; may be given again.")
    ] = [],  # noqa: B006
    output: OutputOption = Output.TEXT,
) -> None:
    """Merge the events of the given nodes in causal order."""
    events = [
        event
        for item in server
        for event in decode_events(
            _expect_ok(_call(item, token, "GET", "/admin/v1/timeline"))
        )
    ]
    for event in sorted(events, key=lambda item: (item.stamp, item.node)):
        pairs = [f"{key}={value}" for key, value in event.fields.items()]
        if not all(wanted in pairs for wanted in filter):
            continue
        if output is Output.JSON:
            typer.echo(msgspec.json.encode(event))
        else:
            stamp = f"{event.stamp.wall_ms}.{event.stamp.count}"
            typer.echo(f"{stamp} {event.node} {event.name} {' '.join(pairs)}")


@app.command()
def drain(server: ServerOption, token: TokenOption) -> None:
    """Stop a node gracefully: it finishes what is in flight and exits."""
    _expect_ok(_call(server[0], token, "POST", "/admin/v1/drain"))
    typer.echo(f"{server[0]} is draining")


@app.command()
def keys() -> None:
    """Print a new pair of CURVE keys for the [peers] settings."""
    public, secret = zmq.curve_keypair()
    typer.echo(f'public_key = "{public.decode()}"\nsecret_key = "{secret.decode()}"')


def main() -> None:
    """Entry point of ``camphoryard``."""
    sys.exit(app())


if __name__ == "__main__":
    main()
