"""Measures how long a site takes to recover after nodes are lost.

Run ``python -m bench.recovery --rounds 5``. Each round loads every model, kills some
nodes with SIGKILL, restarts them without state, and measures the time from the kill
until every model answers through every node.
"""

import statistics
import sys
import time
from dataclasses import dataclass, field

import typer

from standins.fleet import Fleet, HttpError
from standins.site import Site, SiteSpec, start_site

DEADLINE_MS = "2000"
TIMEOUT_S = 120.0
SETTINGS = "\n[residency]\nmin_residency_s = 1.0\n"


@dataclass(slots=True)
class Times:
    """Seconds of each round; ``recovered_s`` ends when all models answer."""

    ready_s: list[float] = field(default_factory=list)
    recovered_s: list[float] = field(default_factory=list)


def answers(site: Site, node: str, model: str) -> bool:
    """Return whether a model answers through a node before a short deadline."""
    headers = {"Camphoryard-Deadline-Ms": DEADLINE_MS}
    try:
        return bool(site.complete(node, model, "recovered?", 4, headers=headers))
    except (HttpError, OSError):
        return False


def wait_for_recovery(site: Site) -> None:
    """Block until every model answers through every node."""
    for node in site.nodes:
        for model in site.spec.models:
            site.fleet.wait_until(
                lambda node=node, model=model: answers(site, node, model.id),
                f"{model.id} through {node}",
                TIMEOUT_S,
            )


def kill_and_recover(site: Site, names: list[str], times: Times) -> None:
    """Kill and restart nodes, and append the recovery times."""
    for name in names:
        site.fleet.process_by_name[name].kill()
    started_s = time.monotonic()
    for name in names:
        site.fleet.restart(name)
    site.fleet.wait_ready(names, "/readyz")
    times.ready_s.append(time.monotonic() - started_s)
    wait_for_recovery(site)
    times.recovered_s.append(time.monotonic() - started_s)


def overcommits(site: Site) -> int:
    """Return the number of overcommits that the engines counted."""
    return sum(site.control(name)["overcommits"] for name in site.engines)


def report(title: str, times: Times) -> None:
    """Print the recovery times of one kind of loss."""
    for name, values in (("ready", times.ready_s), ("recovered", times.recovered_s)):
        print(
            f"{title:<12} {name:<9}  median {statistics.median(values):6.2f} s"
            f"  min {min(values):6.2f}  max {max(values):6.2f}  rounds {len(values)}"
        )


def main(rounds: int = 5, nodes: int = 3, engines: int = 3) -> None:
    """Measure recovery from the loss of one node and of all nodes."""
    spec = SiteSpec(
        nodes=nodes,
        fence_checking_engines=engines - engines // 2,
        fence_ignoring_engines=engines // 2,
        node_settings=SETTINGS,
    )
    one_node, all_nodes = Times(), Times()
    with Fleet() as fleet:
        site = start_site(fleet, spec)
        wait_for_recovery(site)
        for number in range(rounds):
            kill_and_recover(site, [site.nodes[number % nodes]], one_node)
            kill_and_recover(site, site.nodes, all_nodes)
        overcommit_count = overcommits(site)
    report("one node", one_node)
    report("all nodes", all_nodes)
    print(f"overcommits {overcommit_count}")
    if overcommit_count:
        sys.exit(1)


if __name__ == "__main__":
    typer.run(main)
