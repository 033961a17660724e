"""Commands that call models and services, drain nodes and generate keys."""

from typing import Annotated

import msgspec
import typer
import zmq

from camphoryard.cli.connection import Call, expect_ok, send_once
from camphoryard.cli.options import (
    Output,
    OutputOption,
    ServerOption,
    TokenOption,
    print_json,
)


class _Choice(msgspec.Struct, frozen=True):
    text: str


class _CompletionBody(msgspec.Struct, frozen=True):
    choices: list[_Choice]


def call(
    target: Annotated[
        str, typer.Argument(help="MODEL, MODEL:ADAPTER or SERVICE/OPERATION.")
    ],
    text: Annotated[str, typer.Argument(help="Prompt, or body of the operation.")],
    server: ServerOption,
    token: TokenOption,
    key: Annotated[str, typer.Option(help="Idempotency key of an action.")] = "",
    deadline_ms: Annotated[int, typer.Option(help="Deadline in ms from now.")] = 30_000,
    max_tokens: Annotated[int, typer.Option(help="Maximum length of the answer.")] = 32,
    output: OutputOption = Output.TEXT,
) -> None:
    """Call a model or a service and print the answer."""
    headers = {"Camphoryard-Deadline-Ms": str(deadline_ms)}
    if key:
        headers["Idempotency-Key"] = key
    is_service = "/" in target
    if is_service:
        path, body = f"/v1/services/{target}", text.encode()
    else:
        path = "/v1/completions"
        body = msgspec.json.encode(
            {"model": target, "prompt": text, "max_tokens": max_tokens}
        )
    sent = Call("POST", path, body, headers=headers)
    content = expect_ok(send_once(server[0], token, sent))
    if is_service or output is Output.JSON:
        typer.echo(content.decode(errors="replace"))
    else:
        answer = msgspec.json.decode(content, type=_CompletionBody)
        typer.echo(answer.choices[0].text)


def drain(
    server: ServerOption, token: TokenOption, output: OutputOption = Output.TEXT
) -> None:
    """Stop a node gracefully: it finishes its in-flight requests and exits."""
    expect_ok(send_once(server[0], token, Call("POST", "/admin/v1/drain")))
    if output is Output.JSON:
        print_json({"draining": server[0]})
    else:
        typer.echo(f"{server[0]} is draining")


def keys(output: OutputOption = Output.TEXT) -> None:
    """Generate a pair of CURVE keys for the peers settings."""
    public, secret = (item.decode() for item in zmq.curve_keypair())
    if output is Output.JSON:
        print_json({"public_key": public, "secret_key": secret})
    else:
        typer.echo(f'public_key = "{public}"\nsecret_key = "{secret}"')
