"""How long an endpoint still gets new work after each sign that it is leaving.

Runs on its own, prints a table and ends: ``python -m bench.leaving``.
"""

import time
from collections.abc import Callable

import typer

from standins.fleet import HOST, Fleet
from standins.site import Site, SiteSpec, engine_item, start_site

MODEL = "meter-3b"
WINDOW_S = 5.0


def label(site: Site, name: str) -> None:
    """Label an engine as leaving."""
    site.apply(site.nodes[0], {"endpoints": [engine_item(site, name, leaving="true")]})


def report(site: Site, name: str) -> None:
    """Have an engine report that it is leaving."""
    site.control(name, leaving=True)


def listed(site: Site, name: str) -> None:
    """Have the platform list the engine's VM as leaving."""
    vm = f"{HOST}:{site.fleet.port(name)}"
    site.control("vm-list", vm=vm, state="leaving")


def measure_s(mark_leaving: Callable[[Site, str], None], nodes: int) -> float:
    """Return how long after ``mark_leaving`` the last request reached the engine."""
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
    """Measure each sign a few times; the platform's list lags by 0.2 s."""
    print(f"{nodes} nodes, one request after the other through each")
    for mark_leaving in (label, report, listed):
        times_s = [measure_s(mark_leaving, nodes) for _ in range(rounds)]
        print(
            f"{mark_leaving.__name__:<8}"
            + "".join(f"{item:8.2f} s" for item in times_s)
        )


if __name__ == "__main__":
    typer.run(main)
