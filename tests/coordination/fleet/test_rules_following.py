"""Tests of long watches of the configuration, and of fetches beside them."""

import pytest

from camphoryard.coordination.fleet.endpoint_roles import EndpointRole
from camphoryard.coordination.fleet.rules_following import (
    ANNOUNCED_GRACE_S,
    FOLLOWED_WAIT_S,
    RulesFetcher,
    RulesFollowing,
)
from camphoryard.coordination.ports import Snapshot, Stored
from camphoryard.state.errors import StoreUnavailableError
from tests.fakes.engines import Clock, RecordedLog

WAIT_S, FETCH_PERIOD_S = 4.75, 1.5


class Node:
    """A node that follows a leader and waits long for a new configuration."""

    def __init__(self, role=EndpointRole.FOLLOWS):
        self.clock = Clock()
        self.role, self.seen = role, 10
        self.rules = RulesFollowing(
            lambda: self.role, WAIT_S, FETCH_PERIOD_S, lambda: self.seen, self.clock
        )
        self.wait_s = self.rules.max_wait_s()

    def fetches(self, for_s):
        """Return after how many seconds fetches begin, of which none is answered."""
        begun = []
        for tick in range(int(for_s / 0.25) + 1):
            if self.rules.begin_fetch() is not None:
                begun.append(tick * 0.25)
            self.clock.advance(0.25)
        return begun


class TestWaits:
    """How long a watch may wait."""

    @pytest.mark.parametrize(
        ("role", "wait_s"),
        [
            (EndpointRole.WATCHES, WAIT_S),
            (EndpointRole.RELAYS, WAIT_S / 2),
            (EndpointRole.FOLLOWS, FOLLOWED_WAIT_S),
        ],
    )
    def test_wait(self, role, wait_s):
        """78 nodes that hear a leader ask four times in a minute, not twelve."""
        assert Node(role).wait_s == wait_s


class TestFetches:
    """When the rules are fetched beside a watch."""

    def test_calm_needs_no_fetch(self):
        """The watch shows each version as soon as the leader has it."""
        node = Node()
        node.rules.hear(10)
        assert node.fetches(FOLLOWED_WAIT_S) == []

    def test_version_that_the_own_watch_shows_in_time_needs_none(self):
        """A change of the configuration does not have 75 nodes list it."""
        node = Node()
        node.rules.hear(11)
        node.clock.advance(ANNOUNCED_GRACE_S / 2)
        node.seen = 11
        assert node.fetches(FOLLOWED_WAIT_S) == []

    def test_announced_version_is_fetched_beside_a_silent_watch(self):
        """The store was silent for a moment, and keys are taken away just after."""
        node = Node()
        node.rules.hear(11)
        assert node.fetches(FETCH_PERIOD_S) == [ANNOUNCED_GRACE_S]

    def test_fetch_that_fails_is_repeated_at_a_pace(self):
        """A store that turns the node away is not called at each tick."""
        node = Node()
        node.rules.hear(11)
        assert node.fetches(4.0) == [0.5, 2.0, 3.5]

    def test_answered_fetch_covers_what_was_announced(self):
        """Also if the announced object is gone again."""
        node = Node()
        node.rules.hear(11)
        node.clock.advance(ANNOUNCED_GRACE_S)
        node.rules.end_fetch(node.rules.begin_fetch())
        assert node.fetches(FOLLOWED_WAIT_S) == []
        node.rules.hear(12)
        assert node.fetches(1.0) == [ANNOUNCED_GRACE_S]

    def test_without_a_leader_the_rules_are_fetched_until_the_watch_ends(self):
        """The leader has died, and with it the word of a new version."""
        node = Node()
        node.role = EndpointRole.WATCHES
        assert node.fetches(3.0) == [0.0, 1.5, 3.0]
        assert node.rules.max_wait_s() == WAIT_S
        assert node.fetches(3.0) == []

    def test_node_that_never_followed_fetches_nothing(self):
        """Small fleets are served as before."""
        assert Node(EndpointRole.WATCHES).fetches(FOLLOWED_WAIT_S) == []


class Records:
    """A store that answers with one object, or not at all."""

    def __init__(self, is_down=False):
        self.is_down = is_down

    def list(self):
        """Return the object."""
        if self.is_down:
            raise StoreUnavailableError("down")
        return Snapshot(12, (Stored("main", 11, "rules"),))


class Ticks:
    """A timer that ticks once."""

    def every(self, period_s):
        """Return one tick."""
        return iter([None])


class TestRulesFetcher:
    """The task that fetches."""

    @pytest.mark.parametrize(
        ("is_down", "read", "event"),
        [(False, ["rules"], "rules_fetched"), (True, [], "rules_not_fetched")],
    )
    def test_due_fetch_is_made(self, is_down, read, event):
        """What it reads is passed on, and a failure is logged."""
        node, log, passed_on = Node(), RecordedLog(), []
        node.rules.hear(11)
        node.clock.advance(ANNOUNCED_GRACE_S)
        fetcher = RulesFetcher(
            Records(is_down),
            lambda item: passed_on.append(item.record),
            node.rules,
            log,
        )
        fetcher.run(Ticks())
        assert passed_on == read
        assert [name for name, _ in log.lines] == [event]
