"""Measures the cost of claims: object API calls and latency of each action.

Run as ``python -m bench.ledger``. It starts three daemons and stand-ins, sends actions
at several rates and prints a table. The reads and writes of the idle nodes, such as
lease renewals, are measured first and subtracted.
"""

import sys
import time
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from itertools import count

from hdrh.histogram import HdrHistogram

from camphoryard.state.verdict import Verdict
from standins.fleet import Fleet
from standins.history import check_actions, service_runs
from standins.recording import Action, RecordedSend, send_action
from standins.site import Site, SiteSpec, start_site

NODES = 3
SENDERS = 128
RUN_S = 5.0
RATES_PER_S = (10, 40, 80, 120)
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_FIGURES = 3
ACTION_NUMBERS = count(1)


@dataclass(frozen=True, slots=True)
class Row:
    """Results for one rate; reads and writes are those of the object API."""

    rate_per_s: int
    ran: int
    sent: int
    writes_per_action: float
    reads_per_action: float
    p50_ms: float
    p99_ms: float
    violations: int


@dataclass(frozen=True, slots=True)
class TimedSend:
    """One send and its latency, counted from its scheduled time."""

    recorded: RecordedSend
    latency_s: float


def send_at(site: Site, action: Action, scheduled_s: float, node: str) -> TimedSend:
    """Send an action and measure its latency from ``scheduled_s``."""
    recorded = send_action(site.fleet.port(node), action)
    return TimedSend(recorded, time.monotonic() - scheduled_s)


def play(site: Site, rate_per_s: int) -> list[TimedSend]:
    """Send actions at a fixed rate that does not depend on the answers."""
    pending: list[Future[TimedSend]] = []
    with ThreadPoolExecutor(SENDERS) as executor:
        started_s = time.monotonic()
        for index in range(int(rate_per_s * RUN_S)):
            scheduled_s = started_s + index / rate_per_s
            time.sleep(max(0.0, scheduled_s - time.monotonic()))
            number = next(ACTION_NUMBERS)
            action = Action(f"bench-{number}", f'{{"space": {number}}}')
            node = site.nodes[number % len(site.nodes)]
            pending.append(executor.submit(send_at, site, action, scheduled_s, node))
    return [item.result() for item in pending]


def counts(site: Site) -> tuple[int, int]:
    """Return the number of object API writes and reads so far."""
    state = site.control("object-api")["counts"]
    return state["writes"], state["reads"]


def idle_rates(site: Site) -> tuple[float, float]:
    """Return the writes and reads per second while no actions are sent."""
    writes, reads = counts(site)
    time.sleep(RUN_S)
    writes_after, reads_after = counts(site)
    return (writes_after - writes) / RUN_S, (reads_after - reads) / RUN_S


def measure(site: Site, rate_per_s: int, idle: tuple[float, float]) -> Row:
    """Return the results for one rate."""
    before = counts(site)
    started_s = time.monotonic()
    timed_sends = play(site, rate_per_s)
    elapsed_s = time.monotonic() - started_s
    after = counts(site)
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
    for item in timed_sends:
        histogram.record_value(int(item.latency_s * 1e6))
    sends = [item.recorded.send for item in timed_sends]
    runs = service_runs(site.control("bookings-1"))
    bodies = {item.body for item in sends}
    violations = check_actions(sends, [run for run in runs if run.subject in bodies])
    writes, reads = (
        (last - first - rate * elapsed_s) / len(timed_sends)
        for first, last, rate in zip(before, after, idle, strict=True)
    )
    return Row(
        rate_per_s,
        sum(item.verdict is Verdict.RAN for item in sends),
        len(sends),
        writes,
        reads,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        len(violations),
    )


def print_table(rows: Sequence[Row]) -> None:
    """Print the rows as a Markdown table."""
    print(
        "| actions/s | ran | writes per action | reads per action | p50 ms | p99 ms |"
    )
    print("|---|---|---|---|---|---|")
    for row in rows:
        print(
            f"| {row.rate_per_s} | {row.ran} of {row.sent}"
            f" | {row.writes_per_action:.2f} | {row.reads_per_action:.2f}"
            f" | {row.p50_ms:.1f} | {row.p99_ms:.1f} |"
        )


def main() -> None:
    """Measure all rates; exit with 1 if there are any violations."""
    with Fleet() as fleet:
        site = start_site(fleet, SiteSpec(nodes=NODES, fence_ignoring_engines=0))
        idle = idle_rates(site)
        print(f"idle: {idle[0]:.1f} writes/s, {idle[1]:.1f} reads/s, {NODES} nodes")
        rows = [measure(site, rate, idle) for rate in RATES_PER_S]
    print_table(rows)
    violations = sum(row.violations for row in rows)
    print(f"violations: {violations}")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
