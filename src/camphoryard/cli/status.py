"""The command that tells whether the system is well."""

from dataclasses import dataclass
from typing import Annotated

import typer

from camphoryard.cli.connection import STATUS_PATH, fetch
from camphoryard.cli.options import (
    EXIT_AT_RISK,
    Output,
    OutputOption,
    ServerOption,
    TokenOption,
    print_json,
)
from camphoryard.cli.refusals import (
    CallerFilter,
    RefusalReport,
    RequestFilter,
    fetch_refusals,
    print_refusals,
)
from camphoryard.cli.tables import print_table
from camphoryard.protocol.operator import (
    EndpointForm,
    NodeForm,
    StatusForm,
    decode_status,
)

REFUSALS_HOURS = 1


@dataclass(frozen=True, slots=True)
class StatusReport:
    """What ``status`` prints as JSON."""

    status: StatusForm
    refusals: RefusalReport


def status(
    server: ServerOption,
    token: TokenOption,
    check: Annotated[
        bool, typer.Option("--check", help="End with 5 if a promise is at risk.")
    ] = False,
    caller: CallerFilter = "",
    request: RequestFilter = "",
    output: OutputOption = Output.TEXT,
) -> None:
    """Show whether a promise is at risk, nodes, endpoints and refusals.

    With --caller or --request: whether a promise is at risk, and why that
    caller or request was refused.
    """
    form = decode_status(fetch(server, token, STATUS_PATH))
    report = fetch_refusals(server, token, REFUSALS_HOURS, caller, request)
    if output is Output.JSON:
        print_json(StatusReport(form, report))
    else:
        _print_risks(form)
        if not caller and not request:
            _print_nodes(form)
            _print_endpoints(form)
        typer.echo("")
        print_refusals(report, caller, request)
    if check and form.risks:
        raise typer.Exit(EXIT_AT_RISK)


def _print_risks(form: StatusForm) -> None:
    if not form.risks:
        typer.echo(f"no promise is at risk, as {form.node} sees it")
    for risk in form.risks:
        typer.echo(f"AT RISK {risk.kind} {risk.subject}: {risk.detail}")
        typer.echo(f"  -> {risk.advice}")


def _print_nodes(form: StatusForm) -> None:
    typer.echo("")
    print_table(
        ("NODE", "STATE", "GENERATION", "HEARD"),
        [
            (node.node, _state(node), str(node.generation), _heard(node))
            for node in form.nodes
        ],
    )


def _print_endpoints(form: StatusForm) -> None:
    typer.echo("")
    print_table(
        ("ENDPOINT", "OWNER", "MEMORY MB", "RESIDENT"),
        [
            (
                endpoint.endpoint,
                endpoint.owner,
                f"{endpoint.committed_mb}/{endpoint.memory_mb}",
                _held(endpoint),
            )
            for endpoint in form.endpoints
        ],
    )


def _held(endpoint: EndpointForm) -> str:
    held = ", ".join(endpoint.resident) or "-"
    if endpoint.in_doubt:
        held += f" (may still arrive: {', '.join(endpoint.in_doubt)})"
    return held


def _state(node: NodeForm) -> str:
    if node.gone:
        return "gone"
    return node.state if node.alive else "dead"


def _heard(node: NodeForm) -> str:
    if node.heard_age_s is None:
        return "never"
    return f"{node.heard_age_s:.0f} s ago"
