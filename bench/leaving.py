"""Measures how long an endpoint still receives requests after it is marked as leaving.

Run ``python -m bench.leaving``; it prints a table with one row for each of the three
ways to mark an endpoint as leaving.
"""

import time
from collections.abc import Callable

import typer

from standins.fleet import HOST, Fleet
from standins.site import Site, SiteSpec, engine_item, start_site

MODEL = "meter-3b"
WINDOW_S = 5.0


def label(site: Site, name: str) -> None:
    """Mark an engine as leaving by a label in the configuration."""
    site.apply(site.nodes[0], {"endpoints": [engine_item(site, name, leaving="true")]})


def report(site: Site, name: str) -> None:
    """Mark an engine as leaving by its own report."""
    site.control(name, leaving=True)


def listed(site: Site, name: str) -> None:
    """Mark an engine's VM as leaving in the platform's VM list."""
    vm = f"{HOST}:{site.fleet.port(name)}"
    site.control("vm-list", vm=vm, state="leaving")


def measure_s(mark_leaving: Callable[[Site, str], None], nodes: int) -> float:
    """Return the seconds from ``mark_leaving`` to the engine's last request."""
    with Fleet() as fleet:
        site = start_site(fleet, SiteSpec(nodes=nodes))
        site.complete(site.nodes[0], MODEL, "warm", 1)
        leaving_engine = next(x for x in site.engines if site.control(x)["log"])
        marked_s = time.time()
        mark_leaving(site, leaving_engine)
        while time.time() < marked_s + WINDOW_S:
            for node in site.nodes:
                site.complete(node, MODEL, "probe", 1)
        last_s: float = site.control(leaving_engine)["log"][-1]["at_s"]
    return max(0.0, last_s - marked_s)


def main(nodes: int = 3, rounds: int = 2) -> None:
    """Measure each way to mark an engine; the VM list lags by 0.2 s."""
    print(f"{nodes} nodes, sequential requests through each")
    for mark_leaving in (label, report, listed):
        times_s = [measure_s(mark_leaving, nodes) for _ in range(rounds)]
        print(
            f"{mark_leaving.__name__:<8}"
            + "".join(f"{item:8.2f} s" for item in times_s)
        )


if __name__ == "__main__":
    typer.run(main)
