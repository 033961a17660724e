"""Measures what a request and an open stream cost the node that receives them.

Run ``python -m bench.entry``; it starts one daemon and four engines. The processor time
of the idle daemon is subtracted. Memory is the daemon's peak so far, so the loads must
be measured in ascending order.
"""

import re
from pathlib import Path

import typer

from bench.relay import STREAM_STEP_MS, Load, arrivals_relayed, make_site, measure
from standins.fleet import Fleet
from standins.site import Site

ENGINES = 4
SEED = 1
SHORT_TOKENS = 4
SHORT_STEP_MS = 2.0
KB_PER_MB = 1024
MILLISECONDS_PER_SECOND = 1000
MICROSECONDS_PER_SECOND = 1_000_000


def peak_mb(site: Site) -> float:
    """Return the peak resident memory of the first node so far, in MB."""
    pid = site.fleet.process_by_name[site.nodes[0]].popen.pid
    status = Path(f"/proc/{pid}/status").read_text()
    peak_line = re.search(r"VmHWM:\s+(\d+)", status)
    return int(peak_line.group(1)) / KB_PER_MB if peak_line else 0.0


def report(site: Site, name: str, load: Load) -> None:
    """Send a load through the daemon and print its cost."""
    run = measure(site, arrivals_relayed(site, load, SEED))
    requests = len(run.outcomes)
    tokens = sum(len(outcome.token_times_s) for outcome in run.outcomes)
    complete_count = sum(outcome.is_complete for outcome in run.outcomes)
    cpu_us = run.daemon_cpu_s * MICROSECONDS_PER_SECOND
    typer.echo(
        f"{name}: complete {complete_count} of {requests}, tokens {tokens},"
        f" {cpu_us / requests:.0f} us per request, {cpu_us / max(1, tokens):.0f} us per"
        f" token, peak {peak_mb(site):.0f} MB"
    )


def main(
    rates: str = "10,20,40", streams: str = "25,50,100", duration_s: float = 6.0
) -> None:
    """Print the cost of short requests at several rates and of open streams."""
    short = Load(0.0, 0, SHORT_TOKENS, duration_s, SHORT_STEP_MS)
    with Fleet() as fleet:
        site = make_site(fleet, short, ENGINES)
        typer.echo(f"idle: peak {peak_mb(site):.0f} MB")
        for rate in map(float, rates.split(",")):
            load = Load(rate, 0, SHORT_TOKENS, duration_s, SHORT_STEP_MS)
            report(site, f"{rate:.0f} requests/s of {SHORT_TOKENS} tokens", load)
    tokens = int(duration_s * MILLISECONDS_PER_SECOND / STREAM_STEP_MS)
    with Fleet() as fleet:
        long_stream = Load(0.0, 1, tokens, duration_s, STREAM_STEP_MS)
        site = make_site(fleet, long_stream, ENGINES)
        for count in map(int, streams.split(",")):
            load = Load(0.0, count, tokens, duration_s, STREAM_STEP_MS)
            report(site, f"{count} streams of {tokens} tokens", load)


if __name__ == "__main__":
    typer.run(main)
