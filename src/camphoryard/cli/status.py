"""The command that shows the health of the system."""

import time
from dataclasses import dataclass, replace
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
    fetch_counts,
    fetch_requests,
    filter_by_caller,
    print_refusals,
)
from camphoryard.cli.tables import print_table
from camphoryard.coordination.observing.risks import refusal_risks
from camphoryard.coordination.refusals.refusals import SECONDS_PER_MINUTE
from camphoryard.protocol.status import (
    EndpointForm,
    NodeForm,
    RefusalForm,
    StatusForm,
    count_by_key,
    decode_status,
    risk_form,
)
from camphoryard.state.enums import RiskKind

REFUSALS_HOURS = 1


@dataclass(frozen=True, slots=True)
class StatusReport:
    """JSON output of ``status``."""

    status: StatusForm
    refusals: RefusalReport


def status(
    server: ServerOption,
    token: TokenOption,
    check: Annotated[
        bool, typer.Option("--check", help="Exit with 5 if a promise is at risk.")
    ] = False,
    caller: CallerFilter = "",
    request: RequestFilter = "",
    output: OutputOption = Output.TEXT,
) -> None:
    """Show promises at risk, nodes, endpoints and refusals.

    With --caller or --request: promises at risk, and why requests of that caller
    or that request were refused.
    """
    form = decode_status(fetch(server, token, STATUS_PATH))
    counts, is_whole = fetch_counts(server, token, REFUSALS_HOURS)
    if is_whole:
        form = _with_refusals_of_all(form, counts)
    requests = fetch_requests(server, token, caller, request)
    report = RefusalReport(
        REFUSALS_HOURS, filter_by_caller(counts, caller), is_whole, requests
    )
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


def _with_refusals_of_all(form: StatusForm, counts: list[RefusalForm]) -> StatusForm:
    """Return the status with refusal risks from the counts of all nodes."""
    others = [item for item in form.risks if item.kind != RiskKind.REFUSALS.value]
    minute = int(time.time() // SECONDS_PER_MINUTE)
    risks = refusal_risks(count_by_key(counts), minute, "all nodes")
    return replace(form, risks=[*others, *map(risk_form, risks)])


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
            (node.node, _state(node), str(node.generation), _last_heard(node))
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
                _resident_text(endpoint),
            )
            for endpoint in form.endpoints
        ],
    )


def _resident_text(endpoint: EndpointForm) -> str:
    resident = ", ".join(endpoint.resident) or "-"
    if endpoint.in_doubt:
        resident += f" (may still arrive: {', '.join(endpoint.in_doubt)})"
    return resident


def _state(node: NodeForm) -> str:
    if node.gone:
        return "gone"
    return node.state if node.alive else "dead"


def _last_heard(node: NodeForm) -> str:
    if node.heard_age_s is None:
        return "never"
    return f"{node.heard_age_s:.0f} s ago"
