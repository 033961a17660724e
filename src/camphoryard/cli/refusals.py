"""Refusals: the command, and what ``status`` shows of them too."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Annotated

import typer

from camphoryard.cli.connection import (
    REFUSALS_PATH,
    STATUS_PATH,
    Call,
    ask,
    error_code,
    expect_ok,
    fetch,
)
from camphoryard.cli.events import event_time, fetch_events
from camphoryard.cli.options import (
    Output,
    OutputOption,
    ServerOption,
    TokenOption,
    print_json,
)
from camphoryard.cli.tables import print_table
from camphoryard.coordination.configuration.refusal_advice import advice_for_refusal
from camphoryard.coordination.refusals.refusals import SECONDS_PER_MINUTE
from camphoryard.protocol.status import (
    RefusalForm,
    decode_refusals,
    decode_status,
)
from camphoryard.state.enums import Reason
from camphoryard.state.timeline import Event

CallerFilter = Annotated[
    str, typer.Option("--caller", help="Only refusals of this caller, one by one.")
]
RequestFilter = Annotated[
    str, typer.Option("--request", help="Only the refusal of this request.")
]


@dataclass(frozen=True, slots=True)
class RefusalReport:
    """Counts of refusals, and the refused requests that a filter chose.

    ``is_whole`` is false for counts of one node only, while the object API is
    out.
    """

    hours: int
    counts: list[RefusalForm]
    is_whole: bool
    requests: tuple[Event, ...] = ()


def refusals(
    server: ServerOption,
    token: TokenOption,
    caller: CallerFilter = "",
    request: RequestFilter = "",
    hours: Annotated[int, typer.Option(help="How far back to count, 1 to 48.")] = 1,
    output: OutputOption = Output.TEXT,
) -> None:
    """Show how many requests all nodes refused, by reason, label and minute.

    With --caller or --request also each refused request, why, and what to do.
    """
    counts, is_whole = fetch_counts(server, token, hours)
    requests = fetch_requests(server, token, caller, request)
    report = RefusalReport(hours, of_caller(counts, caller), is_whole, requests)
    if output is Output.JSON:
        print_json(report)
        return
    print_refusals(report, caller, request)


def of_caller(counts: list[RefusalForm], caller: str) -> list[RefusalForm]:
    """Return the counts of a caller, or all without one."""
    return [item for item in counts if not caller or item.caller == caller]


def fetch_requests(
    servers: Sequence[str], token: str, caller: str, request: str
) -> tuple[Event, ...]:
    """Return the refused requests that fit the filters, none without a filter."""
    filters = {"caller": caller, "request": request}
    wanted = {key: value for key, value in filters.items() if value}
    if not wanted:
        return ()
    return fetch_events(servers, token, {"event": "refused", **wanted}).events


def fetch_counts(
    servers: Sequence[str], token: str, hours: int
) -> tuple[list[RefusalForm], bool]:
    """Return counts of all nodes, or of one node while the object API is out."""
    call = Call("GET", REFUSALS_PATH, query={"hours": str(hours)})
    answer = ask(servers, token, call)
    if error_code(answer) != Reason.STORE_UNAVAILABLE.value:
        return decode_refusals(expect_ok(answer)), True
    status = decode_status(fetch(servers, token, STATUS_PATH))
    typer.echo(
        f"the object API gives no answer: refusals of {status.node} only", err=True
    )
    return status.refusals, False


def print_refusals(report: RefusalReport, caller: str, request: str) -> None:
    """Print counts, the refused requests of a caller, or the one of an id."""
    if not request:
        _print_counts(report)
    if caller and not request:
        typer.echo("")
    if caller or request:
        _print_requests(report.requests, request or caller)


def _print_counts(report: RefusalReport) -> None:
    """Print a line for each reason, label, caller and minute, and the total."""
    total = sum(item.count for item in report.counts)
    where = "all nodes" if report.is_whole else "one node"
    typer.echo(f"refusals at {where}, last {report.hours} h: {total}")
    if not report.counts:
        return
    print_table(
        ("MINUTE (UTC)", "REASON", "CALLER", "LABEL", "COUNT"),
        [
            (
                _minute(item.minute),
                item.reason,
                item.caller or "-",
                item.label or "-",
                str(item.count),
            )
            for item in sorted(
                report.counts, key=lambda item: (item.minute, item.reason)
            )
        ],
    )


def _print_requests(events: Sequence[Event], subject: str) -> None:
    """Print why each request was refused and what to do."""
    if not events:
        typer.echo(
            f"no refusal of {subject} is among the last events of the nodes that"
            " answered; counts go back further"
        )
        return
    typer.echo(f"refusals of {subject}:")
    for event in events:
        field = event.fields.get
        typer.echo(
            f"{event_time(event)} {event.node} {field('request', '-')}"
            f" {field('reason', '-')} ({field('verdict', '-')}): {field('detail', '')}"
        )
    for reason in sorted({event.fields.get("reason", "") for event in events}):
        typer.echo(f"  -> {reason}: {_advice(reason)}")


def _advice(reason: str) -> str:
    try:
        return advice_for_refusal(Reason(reason))
    except ValueError:
        return "a reason of another version; see its documentation"


def _minute(minute: int) -> str:
    moment = datetime.fromtimestamp(minute * SECONDS_PER_MINUTE, UTC)
    return moment.strftime("%Y-%m-%d %H:%M")
