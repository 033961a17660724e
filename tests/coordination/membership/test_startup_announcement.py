"""Tests of greeting live peers after a start."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from camphoryard.coordination.membership.startup_announcement import (
    GREETING_LIMIT_S,
    MAX_GREETED,
    StartupAnnouncer,
)
from camphoryard.state.enums import NodeState
from camphoryard.state.nodes import NodeLease, NodeTable


class Ticks:
    """A timer service whose ticks each run the next step given."""

    def __init__(self, *steps):
        self.steps = steps

    def every(self, period_s):
        """Run one step before each tick."""
        for step in self.steps:
            step()
            yield


@pytest.fixture
def executor():
    """Return an executor for the greetings."""
    with ThreadPoolExecutor(MAX_GREETED) as executor:
        yield executor


class Site:
    """A node's greeter and what it greets."""

    def __init__(self, executor, answers=True):
        self.nodes = NodeTable()
        self.greeted = []
        self.done = []
        self.now_s = 0.0
        self.answers = answers
        self.greeter = StartupAnnouncer(
            "n0",
            self.nodes,
            self.announce,
            executor,
            lambda: self.done.append(sorted(self.greeted)),
            lambda: self.now_s,
        )

    def announce(self, node):
        """Note the greeting."""
        self.greeted.append(node)
        return self.answers

    def come(self, *names):
        """Have nodes become known."""
        for name in names:
            lease = NodeLease(
                name, name, "a", "h", 1, "", NodeState.SERVING, 60.0, name
            )
            self.nodes.observe(lease, 1)

    def pass_limit(self):
        """Let the limit go by."""
        self.now_s += GREETING_LIMIT_S


def nothing():
    """Change nothing."""


class TestGreeter:
    """When greeting is done."""

    def test_each_live_peer_is_greeted_once(self, executor):
        """Greeting is done once one has answered and none is left."""
        site = Site(executor)
        site.greeter.run(
            Ticks(lambda: site.come("n0", "n1"), lambda: site.come("n2"), nothing)
        )
        assert sorted(site.greeted) == ["n1", "n2"]
        assert site.done == [["n1", "n2"]]

    @pytest.mark.parametrize("peers", [[], ["n1"]])
    def test_node_without_answers_goes_on_after_the_limit(self, executor, peers):
        """A lone node, or one that sees leases of dead nodes only, serves."""
        site = Site(executor, answers=False)

        def still_waiting():
            assert site.done == []

        site.come("n0", *peers)
        site.greeter.run(Ticks(nothing, still_waiting, site.pass_limit))
        assert site.done == [peers]

    def test_number_of_greetings_is_bounded(self, executor):
        """A large fleet is not asked whole by each node that starts."""
        site = Site(executor)
        site.come(*(f"n{index}" for index in range(MAX_GREETED * 2)))
        site.greeter.run(Ticks(nothing, nothing))
        assert len(site.greeted) == MAX_GREETED
        assert len(site.done) == 1
