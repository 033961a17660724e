"""Measures the time until an accepted change is active on every node.

Run ``python -m bench.configuration --nodes 9 --changes 20``; it starts real daemons.
The time runs from the answer to ``apply`` until the status of the last node shows the
generation.
"""

import os
import time
from pathlib import Path
from typing import Annotated

import typer

from standins.fleet import Fleet
from standins.site import Site, SiteSpec, start_site

BOUNDED_SETTINGS = """
[configuration]
watchers_per_zone = 1
"""
IN_FORCE_TIMEOUT_S = 14.0
IDLE_S = 10.0
PERCENT = 100
BYTES_PER_MB = 1 << 20


def measure(site: Site, changes: int) -> list[float]:
    """Return the seconds that each change took, in ascending order."""
    durations_s = []
    for index in range(changes):
        change = {"models": [{"id": "added", "memory_mb": 1000 + index}]}
        generation = site.apply(site.nodes[index % len(site.nodes)], change)
        started_s = time.monotonic()
        site.wait_in_force(generation, IN_FORCE_TIMEOUT_S)
        durations_s.append(time.monotonic() - started_s)
    return sorted(durations_s)


def idle_cost(site: Site) -> tuple[float, float]:
    """Return the highest memory (MB) and processor use (% of a core) of idle nodes."""
    before_s = {name: _cpu_s(site, name) for name in site.nodes}
    time.sleep(IDLE_S)
    core = max(
        (_cpu_s(site, name) - before_s[name]) / IDLE_S * PERCENT for name in site.nodes
    )
    return max(_resident_mb(site, name) for name in site.nodes), core


def _cpu_s(site: Site, name: str) -> float:
    pid = site.fleet.process_by_name[name].popen.pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _resident_mb(site: Site, name: str) -> float:
    pid = site.fleet.process_by_name[name].popen.pid
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


def main(
    nodes: Annotated[int, typer.Option(help="Number of daemons.")] = 9,
    changes: Annotated[int, typer.Option(help="Number of changes.")] = 20,
    watchers: Annotated[
        bool, typer.Option("--watchers", help="Only one node in each zone watches.")
    ] = False,
) -> None:
    """Print the median and longest time, and the number of object API calls."""
    settings = BOUNDED_SETTINGS if watchers else ""
    with Fleet() as fleet:
        site = start_site(fleet, SiteSpec(nodes=nodes, node_settings=settings))
        before = site.control("object-api")["counts"]
        started_s = time.monotonic()
        durations_s = measure(site, changes)
        window_s = time.monotonic() - started_s
        after = site.control("object-api")["counts"]
        memory_mb, core = idle_cost(site)
    typer.echo(f"nodes {nodes}, changes {changes}, one watcher per zone: {watchers}")
    typer.echo(
        f"active on all nodes: median {durations_s[len(durations_s) // 2]:.3f} s"
    )
    typer.echo(f"active on all nodes: longest {durations_s[-1]:.3f} s")
    typer.echo(f"idle node: at most {memory_mb:.0f} MB, {core:.2f}% of a core")
    calls = ", ".join(f"{name} {after[name] - before[name]}" for name in before)
    typer.echo(f"object API calls in {window_s:.1f} s: {calls}")


if __name__ == "__main__":
    typer.run(main)
