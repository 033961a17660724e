"""Measures what a daemon adds to a stream: latency, late tokens, processor time.

Run ``python -m bench.relay``; it prints a table. Each load is sent twice, directly to
the engines and through the daemon, so that the delays of the load generator and of the
engines are the same in both.
"""

import json
import os
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import typer
from hdrh.histogram import HdrHistogram

from bench.load import Arrival, Outcome, play
from standins.fleet import CALLER_TOKEN, Fleet
from standins.site import ModelSpec, Site, SiteSpec, start_site

MODEL_MB = 9000
MICROSECONDS_PER_SECOND = 1_000_000
MILLISECONDS_PER_SECOND = 1000
LATENESS_LIMIT_S = 0.030
STREAM_STEP_MS = 30.0
IDLE_S = 4.0
QUANTILES = (50.0, 95.0, 99.0)
HIGHEST_US = 60_000_000
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CALLER = "meter-app"


@dataclass(frozen=True, slots=True)
class Load:
    """Requests per second, or concurrent streams, and their length."""

    rate_per_s: float
    streams: int
    tokens: int
    duration_s: float
    step_ms: float


@dataclass(frozen=True, slots=True)
class Measured:
    """Outcomes of one run, and processor seconds that the daemon used for it."""

    outcomes: Sequence[Outcome]
    daemon_cpu_s: float


def cpu_s(pid: int) -> float:
    """Return the processor time, in seconds, that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def percentiles_ms(values_s: Sequence[float]) -> list[float]:
    """Return the percentiles QUANTILES in milliseconds; values below 0 count as 0."""
    histogram = HdrHistogram(1, HIGHEST_US, 3)
    for value_s in values_s:
        value_us = int(value_s * MICROSECONDS_PER_SECOND)
        histogram.record_value(min(max(1, value_us), HIGHEST_US))
    return [
        histogram.get_value_at_percentile(quantile) / 1000 for quantile in QUANTILES
    ]


def lateness_s(times_s: Sequence[float], step_s: float) -> list[float]:
    """Return how late each token is against a schedule of one every ``step_s``.

    The schedule is aligned so that the earliest token is on time.
    """
    offsets = [time_s - index * step_s for index, time_s in enumerate(times_s)]
    earliest = min(offsets, default=0.0)
    return [offset - earliest for offset in offsets]


def arrivals_direct(site: Site, load: Load, seed: int) -> list[Arrival]:
    """Return the load as requests sent directly to the engines."""
    port_by_model = _port_by_model(site)
    return [
        Arrival(
            at_s,
            port_by_model[_model(site, index)],
            json.dumps(
                {
                    "request_id": f"direct-{seed}-{index}",
                    "model": _model(site, index),
                    "prompt": f"question {index}",
                    "max_tokens": load.tokens,
                    "priority": 0,
                    "resume_from": 0,
                }
            ).encode(),
        )
        for index, at_s in enumerate(_times_s(load, seed))
    ]


def arrivals_relayed(site: Site, load: Load, seed: int) -> list[Arrival]:
    """Return the same load as requests sent to the first node."""
    return [
        Arrival(
            at_s,
            site.fleet.port(site.nodes[0]),
            json.dumps(
                {
                    "model": _model(site, index),
                    "prompt": f"question {index}",
                    "max_tokens": load.tokens,
                    "stream": True,
                }
            ).encode(),
            f"{CALLER_TOKEN}-{CALLER}",
        )
        for index, at_s in enumerate(_times_s(load, seed))
    ]


def _times_s(load: Load, seed: int) -> list[float]:
    rng = random.Random(seed)
    if load.streams:
        return [rng.random() for _ in range(load.streams)]
    times_s = []
    at_s = rng.expovariate(load.rate_per_s)
    while at_s < load.duration_s:
        times_s.append(at_s)
        at_s += rng.expovariate(load.rate_per_s)
    return times_s


def measure(site: Site, arrivals: Sequence[Arrival]) -> Measured:
    """Send a load and measure the daemon's processor time, minus its idle use."""
    pid = site.fleet.process_by_name[site.nodes[0]].popen.pid
    before_s = cpu_s(pid)
    time.sleep(IDLE_S)
    idle_share = (cpu_s(pid) - before_s) / IDLE_S
    started_s, before_s = time.monotonic(), cpu_s(pid)
    outcomes = play(arrivals)
    used_s = cpu_s(pid) - before_s
    return Measured(outcomes, used_s - idle_share * (time.monotonic() - started_s))


def report_latency(direct: Measured, relayed: Measured) -> None:
    """Print the time to first token, direct and relayed, and the difference."""
    pairs_s = [
        (direct_outcome.token_times_s[0], relayed_outcome.token_times_s[0])
        for direct_outcome, relayed_outcome in zip(
            direct.outcomes, relayed.outcomes, strict=True
        )
        if direct_outcome.token_times_s and relayed_outcome.token_times_s
    ]
    rows = {
        "direct": [direct_s for direct_s, _ in pairs_s],
        "relayed": [relayed_s for _, relayed_s in pairs_s],
        "added (pairs)": [relayed_s - direct_s for direct_s, relayed_s in pairs_s],
    }
    print(f"\nfirst token, {len(pairs_s)} pairs        p50 ms    p95 ms    p99 ms")
    for name, values in rows.items():
        _print_row(name, percentiles_ms(values))
    direct_ms, relayed_ms = (percentiles_ms(rows[x]) for x in ("direct", "relayed"))
    added = [
        relayed_value - direct_value
        for direct_value, relayed_value in zip(direct_ms, relayed_ms, strict=True)
    ]
    _print_row("added (quantiles)", added)


def _print_row(name: str, values_ms: Sequence[float]) -> None:
    print(f"{name:<28}" + "".join(f"{value:10.2f}" for value in values_ms))


def report_streams(name: str, load: Load, run: Measured) -> None:
    """Print the complete streams, the late tokens, and the processor time."""
    step_s = load.step_ms / MILLISECONDS_PER_SECOND
    late = [
        value
        for outcome in run.outcomes
        for value in lateness_s(outcome.token_times_s, step_s)
    ]
    complete_count = sum(outcome.is_complete for outcome in run.outcomes)
    tokens = len(late)
    count = sum(value > LATENESS_LIMIT_S for value in late)
    print(
        f"\n{name}: streams complete {complete_count} of {len(run.outcomes)},"
        f" tokens {tokens}"
    )
    print(f"  tokens late by more than {LATENESS_LIMIT_S * 1000:.0f} ms: {count}")
    _print_row("  lateness p50 p95 p99 ms", percentiles_ms(late))
    if tokens:
        cost_us = run.daemon_cpu_s * MICROSECONDS_PER_SECOND / tokens
        print(f"  daemon: {run.daemon_cpu_s:.2f} s CPU, {cost_us:.1f} us per token")


def _model(site: Site, index: int) -> str:
    models = site.spec.models
    return models[index % len(models)].id


def _port_by_model(site: Site) -> dict[str, int]:
    return {
        model: site.fleet.port(engine)
        for engine in site.engines
        for model in site.control(engine)["resident"]
    }


def make_site(fleet: Fleet, load: Load, engines: int) -> Site:
    """Start one node and ``engines`` engines, each with one model loaded."""
    spec = SiteSpec(
        nodes=1,
        fence_checking_engines=engines,
        fence_ignoring_engines=0,
        services=0,
        step_ms=load.step_ms,
        models=tuple(ModelSpec(f"model-{i + 1}", MODEL_MB) for i in range(engines)),
        slots=400,
    )
    site = start_site(fleet, spec)
    fleet.wait_until(
        lambda: len(site.status(site.nodes[0])["endpoints"]) == engines,
        "an owner for each engine",
    )
    for model in spec.models:
        site.complete(site.nodes[0], model.id, "warm")
    return site


def run_pair(load: Load, engines: int, seed: int) -> tuple[Measured, Measured]:
    """Send a load directly and through the daemon at a new site."""
    with Fleet() as fleet:
        site = make_site(fleet, load, engines)
        direct = measure(site, arrivals_direct(site, load, seed))
        relayed = measure(site, arrivals_relayed(site, load, seed))
    return direct, relayed


def main(
    rate_per_s: float = 40.0,
    streams: int = 400,
    duration_s: float = 15.0,
    engines: int = 4,
    seed: int = 1,
) -> None:
    """Measure one daemon in front of several engines."""
    print(f"one daemon, {engines} engines, seed {seed}, {os.cpu_count()} cores")
    latency = Load(rate_per_s, 0, 4, duration_s, 2.0)
    print(f"{rate_per_s:.0f} requests/s for {duration_s:.0f} s")
    report_latency(*run_pair(latency, engines, seed))
    tokens = int(duration_s * MILLISECONDS_PER_SECOND / STREAM_STEP_MS)
    long_streams = Load(0.0, streams, tokens, duration_s, STREAM_STEP_MS)
    direct, relayed = run_pair(long_streams, engines, seed)
    report_streams("direct", long_streams, direct)
    report_streams("relayed", long_streams, relayed)


if __name__ == "__main__":
    typer.run(main)
