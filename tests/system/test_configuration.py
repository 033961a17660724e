"""Tests of configuration changes over real processes."""

import signal

import pytest

from standins.fleet import HttpError, request
from standins.site import SiteSpec

SHORT = "\n[configuration]\nstale_after_s = 2.0\n"
PATH = "/admin/v1/configuration"


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
        """Of changes sent at once, those accepted are whole and the rest absent."""
        site = start()
        bases = [site.status(node)["generation"] for node in site.nodes]
        changes = {
            node: {**model(f"by-{node}"), "base": bases[0]} for node in site.nodes
        }
        outcomes = {}
        for node, change in changes.items():
            outcomes[node] = refusal_code(lambda n=node, c=change: site.apply(n, c))
        assert sorted(outcomes.values()) == ["", "conflict", "conflict"]
        won = next(node for node, code in outcomes.items() if not code)
        found = request(site.fleet.port("node-1"), "GET", PATH)
        added = [item["id"] for item in found["models"] if "by-" in item["id"]]
        assert added == [f"by-{won}"]


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
