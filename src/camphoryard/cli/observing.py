"""Commands that show events and explain the routing of requests."""

from typing import Annotated

import typer

from camphoryard.cli.connection import EXPLAIN_PATH, fetch
from camphoryard.cli.events import event_line, fetch_events
from camphoryard.cli.options import (
    EXIT_USAGE,
    Output,
    OutputOption,
    ServerOption,
    TokenOption,
    fail,
    print_json,
)
from camphoryard.protocol.operator import (
    EndpointMatchForm,
    ExplanationForm,
    decode_explanation,
)
from camphoryard.state.enums import EndpointKind


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
    query = _parse_filters(filter)
    named = {"request": request, "model": model, "endpoint": endpoint}
    query.update({key: value for key, value in named.items() if value})
    merged = fetch_events(server, token, query)
    if output is Output.JSON:
        print_json(merged)
        return
    for event in merged.events:
        typer.echo(event_line(event))
    if not merged.events:
        typer.echo("no event matches at the nodes that answered", err=True)


def _parse_filters(filters: list[str]) -> dict[str, str]:
    query = {}
    for text in filters:
        key, sign, value = text.partition("=")
        if not sign or not key:
            fail(f"--filter {text!r}: expected KEY=VALUE", EXIT_USAGE)
        query[key] = value
    return query


def explain(
    caller: Annotated[str, typer.Option(help="Id of the caller.")],
    target: Annotated[
        str, typer.Option(help="MODEL, MODEL:ADAPTER or SERVICE/OPERATION.")
    ],
    server: ServerOption,
    token: TokenOption,
    output: OutputOption = Output.TEXT,
) -> None:
    """Show which group, priority and endpoints match a request, and why."""
    query = {"caller": caller, "target": target}
    form = decode_explanation(fetch(server, token, EXPLAIN_PATH, query))
    if output is Output.JSON:
        print_json(form)
        return
    if not form.caller_known:
        typer.echo(f"caller {caller} is not configured: it has no labels")
    for group in form.groups:
        outcome = group.mismatch or f"takes it, priority {group.priority}"
        typer.echo(f"group {group.group} (order {group.order}): {outcome}")
    if not form.matched:
        typer.echo(
            "no group takes it: the request is refused with no_group; change a label"
            " or a selector above"
        )
    for endpoint in form.endpoints:
        typer.echo(f"  {_endpoint_text(form, endpoint)}")
    if form.matched and all(endpoint.mismatch for endpoint in form.endpoints):
        typer.echo(
            f"no endpoint takes it: the request is refused with no_endpoint; give an"
            f" endpoint the labels that group {form.matched} selects"
        )


def _endpoint_text(form: ExplanationForm, endpoint: EndpointMatchForm) -> str:
    if endpoint.mismatch:
        return f"not {endpoint.endpoint}: {endpoint.mismatch}"
    if form.kind == EndpointKind.SERVICE.value:
        return f"at {endpoint.endpoint}"
    resident = "resident" if endpoint.resident else "to be loaded"
    owner = endpoint.owner or "none yet"
    return f"at {endpoint.endpoint}: {resident}, owner {owner}"
