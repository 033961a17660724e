"""Tests of announcing a node to live peers after its start."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from camphoryard.coordination.membership.startup_announcement import (
    ANNOUNCEMENT_TIMEOUT_S,
    MAX_ANNOUNCED_PEERS,
    StartupAnnouncer,
)
from camphoryard.state.enums import NodeState
from camphoryard.state.nodes import NodeLease, NodeTable


class Ticks:
    """A timer service that runs the next given step before each tick."""

    def __init__(self, *steps):
        self.steps = steps

    def every(self, period_s):
        """Run one step before each tick."""
        for step in self.steps:
            step()
            yield


@pytest.fixture
def executor():
    """Return an executor for the announcements."""
    with ThreadPoolExecutor(MAX_ANNOUNCED_PEERS) as executor:
        yield executor


class Site:
    """A node's announcer and the peers that it announced the node to."""

    def __init__(self, executor, answers=True):
        self.nodes = NodeTable()
        self.announced_to = []
        self.done = []
        self.now_s = 0.0
        self.answers = answers
        self.announcer = StartupAnnouncer(
            "n0",
            self.nodes,
            self.announce,
            executor,
            lambda: self.done.append(sorted(self.announced_to)),
            lambda: self.now_s,
        )

    def announce(self, node):
        """Record the announcement."""
        self.announced_to.append(node)
        return self.answers

    def add_nodes(self, *names):
        """Make nodes known."""
        for name in names:
            lease = NodeLease(
                name, name, "a", "h", 1, "", NodeState.SERVING, 60.0, name
            )
            self.nodes.observe(lease, 1)

    def pass_timeout(self):
        """Advance the clock by the timeout."""
        self.now_s += ANNOUNCEMENT_TIMEOUT_S


def nothing():
    """Change nothing."""


class TestStartupAnnouncer:
    """When the announcement is done."""

    def test_node_is_announced_once_to_each_live_peer(self, executor):
        """It is done once a peer has answered and none is left."""
        site = Site(executor)
        site.announcer.run(
            Ticks(
                lambda: site.add_nodes("n0", "n1"),
                lambda: site.add_nodes("n2"),
                nothing,
            )
        )
        assert sorted(site.announced_to) == ["n1", "n2"]
        assert site.done == [["n1", "n2"]]

    @pytest.mark.parametrize("peers", [[], ["n1"]])
    def test_node_without_answers_continues_after_the_timeout(self, executor, peers):
        """A node that is alone, or knows only dead nodes, still starts to serve."""
        site = Site(executor, answers=False)

        def still_waiting():
            assert site.done == []

        site.add_nodes("n0", *peers)
        site.announcer.run(Ticks(nothing, still_waiting, site.pass_timeout))
        assert site.done == [peers]

    def test_number_of_announcements_is_bounded(self, executor):
        """A node that starts does not send to every node of a large fleet."""
        site = Site(executor)
        site.add_nodes(*(f"n{index}" for index in range(MAX_ANNOUNCED_PEERS * 2)))
        site.announcer.run(Ticks(nothing, nothing))
        assert len(site.announced_to) == MAX_ANNOUNCED_PEERS
        assert len(site.done) == 1
