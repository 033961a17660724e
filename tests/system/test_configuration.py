"""Tests of configuration changes over real processes."""

import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import pytest

from faults.workload import GenerationRollbacks, watch_generations
from standins.fleet import HttpError, request
from standins.site import SiteSpec

SHORT_STALENESS_LIMIT = "\n[configuration]\nstale_after_s = 2.0\n"
PATH = "/admin/v1/configuration"
RACES = 12
EXPECTED_RACE_CODES = ["", "conflict", "conflict"]


def change_with_model(name):
    """Return a change that adds a model named ``name``."""
    return {"models": [{"id": name, "memory_mb": 1000, "labels": {"family": "new"}}]}


def refusal_code(act):
    """Return the error code that ``act`` is refused with, or an empty text."""
    try:
        act()
    except HttpError as error:
        return error.body["error"]["code"]
    return ""


@dataclass(frozen=True)
class RaceOutcome:
    """Result of one racing change; ``code`` is empty if it was accepted."""

    node: str
    code: str
    generation: int = 0


@dataclass
class Race:
    """Changes of one item against the same generation, sent at the same time."""

    site: object
    base: int
    number: int
    barrier: threading.Barrier = field(default_factory=lambda: threading.Barrier(3))

    def name(self, node):
        """Return the name that only the change through ``node`` writes."""
        return f"race-{self.number}-{node}"

    def run(self, node):
        """Send the change through a node, at the same time as the others."""
        name = self.name(node)
        caller = {"id": "overnight", "labels": {"desk": "batch", "winner": name}}
        change = {**change_with_model(name), "callers": [caller], "base": self.base}
        self.barrier.wait()
        try:
            return RaceOutcome(node, "", self.site.apply(node, change))
        except HttpError as error:
            return RaceOutcome(node, error.body["error"]["code"])


def run_race(site, tasks, generation, number):
    """Send changes through all nodes at once; return the accepted generation."""
    racing_changes = Race(site, generation, number)
    outcomes = list(tasks.map(racing_changes.run, site.nodes))
    assert sorted(item.code for item in outcomes) == EXPECTED_RACE_CODES
    (winner,) = [item for item in outcomes if not item.code]
    assert winner.generation == generation + 1
    site.wait_in_force(winner.generation)
    for node in site.nodes:
        assert added_models(site, node, number) == [racing_changes.name(winner.node)]
        assert shared_label(site, node) == racing_changes.name(winner.node)
    return winner.generation


def added_models(site, node, number):
    """Return the models that a node has in force from the changes of one race."""
    found = request(site.fleet.port(node), "GET", PATH)["models"]
    return [item["id"] for item in found if item["id"].startswith(f"race-{number}-")]


def shared_label(site, node):
    """Return the label that all racing changes set, as a node has it in force."""
    found = request(site.fleet.port(node), "GET", PATH)["callers"]
    (caller,) = [item for item in found if item["id"] == "overnight"]
    return caller["labels"]["winner"]


def pause_nodes(site, nodes):
    """Pause the processes of nodes; their sockets stay open."""
    for node in nodes:
        site.fleet.process_by_name[node].pause()


def resume_nodes(site, nodes):
    """Resume the paused processes of nodes."""
    for node in nodes:
        site.fleet.process_by_name[node].resume()


class TestAcceptedChanges:
    """Changes that a node accepted."""

    def test_change_reaches_every_node(self, start):
        """A change accepted by one node is in force on each node."""
        site = start()
        site.wait_in_force(site.apply("node-2", change_with_model("added")))
        for node in site.nodes:
            found = request(site.fleet.port(node), "GET", PATH)
            assert "added" in [item["id"] for item in found["models"]]

    def test_node_started_in_an_outage_gets_configuration_from_peers(self, start):
        """A node restarted during an object API outage serves the latest generation."""
        site = start()
        site.complete("node-1", "meter-3b", "warm")
        generation = site.apply("node-1", change_with_model("added"))
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

    def test_one_of_concurrent_changes_is_accepted(self, start):
        """Of concurrent changes one is applied completely, the others conflict."""
        site = start()
        stop, reverts = threading.Event(), GenerationRollbacks()
        generation = site.status("node-1")["generation"]
        with ThreadPoolExecutor() as tasks:
            watch = tasks.submit(watch_generations, site, reverts, stop)
            try:
                for number in range(RACES):
                    generation = run_race(site, tasks, generation, number)
            finally:
                stop.set()
            watch.result()
        assert not reverts.found


class TestStaleNodes:
    """Nodes that cannot learn of configuration changes."""

    def test_isolated_node_refuses_requests_until_reconnected(self, start):
        """A node without the object API and most peers refuses with "not run"."""
        site = start(SiteSpec(node_settings=SHORT_STALENESS_LIMIT))
        site.complete("node-1", "meter-3b", "warm")
        site.control("object-api", outage=True)
        pause_nodes(site, ["node-2", "node-3"])

        def code():
            return refusal_code(lambda: site.complete("node-1", "meter-3b", "hi"))

        site.fleet.wait_until(lambda: code() == "stale_configuration", "a refusal")
        with pytest.raises(HttpError) as caught:
            site.complete("node-1", "meter-3b", "hi")
        assert caught.value.body["error"]["verdict"] == "not run"
        resume_nodes(site, ["node-2", "node-3"])
        site.fleet.wait_until(lambda: code() == "", "an answer")

    def test_nodes_keep_serving_in_an_outage(self, start):
        """Nodes that receive gossip from each other serve without the object API."""
        site = start(SiteSpec(node_settings=SHORT_STALENESS_LIMIT))
        site.complete("node-1", "meter-3b", "warm")
        site.control("object-api", outage=True)
        for node in site.nodes:
            site.fleet.wait_until(
                lambda node=node: site.status(node)["store_age_s"] > 6.0,
                f"an outage longer than 6 s at {node}",
            )
            assert site.complete(node, "meter-3b", "hi")

    def test_minority_refuses_changes(self, start):
        """A node that has not heard from most nodes refuses changes unless forced."""
        site = start(SiteSpec(node_settings=SHORT_STALENESS_LIMIT))
        pause_nodes(site, ["node-2", "node-3"])
        site.fleet.wait_until(
            lambda: all(
                item["heard_age_s"] > 2.0
                for item in site.status("node-1")["nodes"]
                if item["node"] != "node-1"
            ),
            "missing gossip of the other nodes",
        )
        with pytest.raises(HttpError) as caught:
            site.apply("node-1", change_with_model("added"))
        assert caught.value.body["error"]["code"] == "unheard_nodes"
        accepted = request(
            site.fleet.port("node-1"),
            "POST",
            f"{PATH}?despite_unheard=true",
            change_with_model("added"),
        )
        assert accepted["generation"] == 2
        resume_nodes(site, ["node-2", "node-3"])
        site.wait_in_force(2)
