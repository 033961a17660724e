"""The ``refusals`` command, and its output that ``status`` shows too."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Annotated

import typer

from camphoryard.cli.connection import (
    REFUSALS_PATH,
    STATUS_PATH,
    Call,
    call_any,
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
    str, typer.Option("--caller", help="Only this caller's refusals, each listed.")
]
RequestFilter = Annotated[
    str, typer.Option("--request", help="Only the refusal of this request.")
]


@dataclass(frozen=True, slots=True)
class RefusalReport:
    """Counts of refusals, and the refused requests that match the filters.

    ``is_whole`` is false if the counts are those of one node only, because the object
    API is unavailable.
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

    With --caller or --request, also list each refused request with its reason and
    advice.
    """
    counts, is_whole = fetch_counts(server, token, hours)
    requests = fetch_requests(server, token, caller, request)
    report = RefusalReport(hours, filter_by_caller(counts, caller), is_whole, requests)
    if output is Output.JSON:
        print_json(report)
        return
    print_refusals(report, caller, request)


def filter_by_caller(counts: list[RefusalForm], caller: str) -> list[RefusalForm]:
    """Return the counts of ``caller``, or all counts if it is empty."""
    return [item for item in counts if not caller or item.caller == caller]


def fetch_requests(
    servers: Sequence[str], token: str, caller: str, request: str
) -> tuple[Event, ...]:
    """Return the refused requests that match the filters; none without a filter."""
    filters = {"caller": caller, "request": request}
    selected = {key: value for key, value in filters.items() if value}
    if not selected:
        return ()
    return fetch_events(servers, token, {"event": "refused", **selected}).events


def fetch_counts(
    servers: Sequence[str], token: str, hours: int
) -> tuple[list[RefusalForm], bool]:
    """Return counts, and whether they cover all nodes.

    While the object API is unavailable, they are the counts of one node.
    """
    call = Call("GET", REFUSALS_PATH, query={"hours": str(hours)})
    answer = call_any(servers, token, call)
    if error_code(answer) != Reason.STORE_UNAVAILABLE.value:
        return decode_refusals(expect_ok(answer)), True
    status = decode_status(fetch(servers, token, STATUS_PATH))
    typer.echo(
        f"the object API gives no answer: refusals of {status.node} only", err=True
    )
    return status.refusals, False


def print_refusals(report: RefusalReport, caller: str, request: str) -> None:
    """Print the counts and a caller's refused requests, or one refused request."""
    if not request:
        _print_counts(report)
    if caller and not request:
        typer.echo("")
    if caller or request:
        _print_requests(report.requests, request or caller)


def _print_counts(report: RefusalReport) -> None:
    """Print the total and a row for each minute, reason, caller and label."""
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
    """Print each refused request and advice for each reason."""
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
        return (
            "unknown reason of another version; see the documentation of that version"
        )


def _minute(minute: int) -> str:
    moment = datetime.fromtimestamp(minute * SECONDS_PER_MINUTE, UTC)
    return moment.strftime("%Y-%m-%d %H:%M")
