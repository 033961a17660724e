"""Measures what the ownership of endpoints costs a node and the object API.

Run ``python -m bench.owner --sizes 4,8,16``. One daemon owns all engines. It is
measured while it is idle and while each engine loads a different model.
"""

import time
from dataclasses import dataclass

import typer

from bench.relay import cpu_s
from standins.fleet import Fleet
from standins.site import ModelSpec, Site, SiteSpec, start_site

MODEL_MB = 9000
IDLE_S = 8.0
PERCENT = 100
MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor seconds of the node, and object API reads and writes."""

    cpu_s: float
    reads: float
    writes: float

    def minus(self, other: "Usage", times: float = 1.0) -> "Usage":
        """Return this usage minus ``times`` times another one."""
        return Usage(
            self.cpu_s - other.cpu_s * times,
            self.reads - other.reads * times,
            self.writes - other.writes * times,
        )

    def divided_by(self, count: float) -> "Usage":
        """Return this usage divided by ``count``."""
        return Usage(self.cpu_s / count, self.reads / count, self.writes / count)


def usage(site: Site) -> Usage:
    """Return the usage since the start of the site."""
    pid = site.fleet.process_by_name[site.nodes[0]].popen.pid
    counts = site.control("object-api")["counts"]
    return Usage(cpu_s(pid), counts["reads"], counts["writes"])


def report(engines: int) -> None:
    """Print the cost for a number of engines."""
    models = tuple(ModelSpec(f"model-{index}", MODEL_MB) for index in range(engines))
    spec = SiteSpec(
        nodes=1,
        fence_checking_engines=engines,
        fence_ignoring_engines=0,
        services=0,
        models=models,
    )
    with Fleet() as fleet:
        site = start_site(fleet, spec)
        fleet.wait_until(
            lambda: len(site.status(site.nodes[0])["endpoints"]) == engines,
            "an owner for each engine",
        )
        before = usage(site)
        time.sleep(IDLE_S)
        idle_per_s = usage(site).minus(before).divided_by(IDLE_S)
        before, started_s = usage(site), time.monotonic()
        for model in models:
            site.complete(site.nodes[0], model.id, "load")
        duration_s = time.monotonic() - started_s
        load_cost = (
            usage(site).minus(before).minus(idle_per_s, duration_s).divided_by(engines)
        )
    typer.echo(
        f"{engines:3} engines: idle {idle_per_s.cpu_s * PERCENT:.2f}% of a core,"
        f" {idle_per_s.reads:.2f} reads/s, {idle_per_s.writes:.2f} writes/s; a load"
        f" {load_cost.cpu_s * MILLISECONDS_PER_SECOND:.1f} ms CPU,"
        f" {load_cost.reads:.2f} reads, {load_cost.writes:.2f} writes"
    )


def main(sizes: str = "4,8,16") -> None:
    """Print the cost for each number of engines."""
    for engines in map(int, sizes.split(",")):
        report(engines)


if __name__ == "__main__":
    typer.run(main)
