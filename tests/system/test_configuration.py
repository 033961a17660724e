"""Tests of configuration changes over real processes."""

import signal
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import pytest

from faults.workload import GenerationRollbacks, watch_generations
from standins.fleet import HttpError, request
from standins.site import SiteSpec

SHORT = "\n[configuration]\nstale_after_s = 2.0\n"
PATH = "/admin/v1/configuration"
RACES = 12
RACE_CODES = ["", "conflict", "conflict"]


def model(name):
    """Return a change that adds a small model."""
    return {"models": [{"id": name, "memory_mb": 1000, "labels": {"family": "new"}}]}


def refusal_code(act):
    """Return the code of the error that ``act`` is refused with, or nothing."""
    try:
        act()
    except HttpError as error:
        return error.body["error"]["code"]
    return ""


@dataclass(frozen=True)
class Raced:
    """What became of one racer's change; ``code`` is empty if it was accepted."""

    node: str
    code: str
    generation: int = 0


@dataclass
class Race:
    """Changes of the same caller over one generation, all sent at once."""

    site: object
    base: int
    number: int
    barrier: threading.Barrier = field(default_factory=lambda: threading.Barrier(3))

    def name(self, node):
        """Return the name that only this racer writes in this round."""
        return f"race-{self.number}-{node}"

    def run(self, node):
        """Send the change through a node once all racers are there."""
        name = self.name(node)
        caller = {"id": "overnight", "labels": {"desk": "batch", "winner": name}}
        change = {**model(name), "callers": [caller], "base": self.base}
        self.barrier.wait()
        try:
            return Raced(node, "", self.site.apply(node, change))
        except HttpError as error:
            return Raced(node, error.body["error"]["code"])


def race(site, tasks, generation, number):
    """Race through all nodes; return the one generation that comes of it."""
    racers = Race(site, generation, number)
    raced = list(tasks.map(racers.run, site.nodes))
    assert sorted(item.code for item in raced) == RACE_CODES
    (winner,) = [item for item in raced if not item.code]
    assert winner.generation == generation + 1
    site.wait_in_force(winner.generation)
    for node in site.nodes:
        assert added_models(site, node, number) == [racers.name(winner.node)]
        assert shared_label(site, node) == racers.name(winner.node)
    return winner.generation


def added_models(site, node, number):
    """Return the models of one round's racers that a node has in force."""
    found = request(site.fleet.port(node), "GET", PATH)["models"]
    return [item["id"] for item in found if item["id"].startswith(f"race-{number}-")]


def shared_label(site, node):
    """Return the label that all racers set, as a node has it in force."""
    found = request(site.fleet.port(node), "GET", PATH)["callers"]
    (caller,) = [item for item in found if item["id"] == "overnight"]
    return caller["labels"]["winner"]


def freeze(site, nodes):
    """Stop the processes of nodes; they keep their sockets and say nothing."""
    for node in nodes:
        site.fleet.process_by_name[node].signal(signal.SIGSTOP)


def thaw(site, nodes):
    """Let frozen processes go on."""
    for node in nodes:
        site.fleet.process_by_name[node].signal(signal.SIGCONT)


class TestInForce:
    """Accepted changes."""

    def test_change_reaches_every_node(self, start):
        """What one node accepted is in force at all, with the same items."""
        site = start()
        site.wait_in_force(site.apply("node-2", model("added")))
        for node in site.nodes:
            found = request(site.fleet.port(node), "GET", PATH)
            assert "added" in [item["id"] for item in found["models"]]

    def test_node_that_starts_in_an_outage_takes_it_from_peers(self, start):
        """A node replaced while the object API is out serves what was accepted."""
        site = start()
        site.complete("node-1", "meter-3b", "warm")
        generation = site.apply("node-1", model("added"))
        site.wait_in_force(generation)
        site.control("object-api", outage=True)
        site.fleet.process_by_name["node-3"].kill()
        site.fleet.restart("node-3")
        site.fleet.wait_ready(["node-3"])
        site.wait_in_force(generation)
        site.fleet.wait_until(
            lambda: (
                refusal_code(lambda: site.complete("node-3", "meter-3b", "hi")) == ""
            ),
            "an answer of node-3",
        )

    def test_racing_operators(self, start):
        """Of changes sent in the same instant one wins, whole, in every round."""
        site = start()
        stop, reverts = threading.Event(), GenerationRollbacks()
        generation = site.status("node-1")["generation"]
        with ThreadPoolExecutor() as tasks:
            watch = tasks.submit(watch_generations, site, reverts, stop)
            try:
                for number in range(RACES):
                    generation = race(site, tasks, generation, number)
            finally:
                stop.set()
            watch.result()
        assert not reverts.found


class TestStale:
    """Nodes that cannot hear of changes."""

    def test_cut_off_node_stops_admitting_until_it_hears_again(self, start):
        """Without object API and most peers a node refuses: not run."""
        site = start(SiteSpec(node_settings=SHORT))
        site.complete("node-1", "meter-3b", "warm")
        site.control("object-api", outage=True)
        freeze(site, ["node-2", "node-3"])

        def code():
            return refusal_code(lambda: site.complete("node-1", "meter-3b", "hi"))

        site.fleet.wait_until(lambda: code() == "stale_configuration", "a refusal")
        with pytest.raises(HttpError) as caught:
            site.complete("node-1", "meter-3b", "hi")
        assert caught.value.body["error"]["verdict"] == "not run"
        thaw(site, ["node-2", "node-3"])
        site.fleet.wait_until(lambda: code() == "", "an answer")

    def test_outage_alone_stops_nobody(self, start):
        """Nodes that hear each other go on without the object API."""
        site = start(SiteSpec(node_settings=SHORT))
        site.complete("node-1", "meter-3b", "warm")
        site.control("object-api", outage=True)
        for node in site.nodes:
            site.fleet.wait_until(
                lambda node=node: site.status(node)["store_age_s"] > 6.0,
                f"a long outage as {node} sees it",
            )
            assert site.complete(node, "meter-3b", "hi")

    def test_minority_accepts_nothing(self, start):
        """A change that most nodes could not hear of is refused."""
        site = start(SiteSpec(node_settings=SHORT))
        freeze(site, ["node-2", "node-3"])
        site.fleet.wait_until(
            lambda: all(
                item["heard_age_s"] > 2.0
                for item in site.status("node-1")["nodes"]
                if item["node"] != "node-1"
            ),
            "silence of the others",
        )
        with pytest.raises(HttpError) as caught:
            site.apply("node-1", model("added"))
        assert caught.value.body["error"]["code"] == "unheard_nodes"
        accepted = request(
            site.fleet.port("node-1"),
            "POST",
            f"{PATH}?despite_unheard=true",
            model("added"),
        )
        assert accepted["generation"] == 2
        thaw(site, ["node-2", "node-3"])
        site.wait_in_force(2)
