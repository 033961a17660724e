"""Tests of views that the leader relays, and of how old they may be."""

import pytest

from camphoryard.coordination.fleet.endpoint_relaying import EndpointRelaying
from camphoryard.coordination.forwarding.feeding import DirectoryFeed
from camphoryard.coordination.ports import Snapshot, Stored
from camphoryard.state.directory import Directory
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import StoreEra
from camphoryard.state.nodes import NodeDigest
from camphoryard.state.serving_endpoints import EndpointState
from camphoryard.state.store_eras import revision_in
from tests.fakes.engines import SERVICE, Clock, RecordedLog, make_endpoint

MAX_AGE_S = 1.8
LATE_S = MAX_AGE_S + 0.1
E1, E2 = make_endpoint("e1"), make_endpoint("e2")


def snapshot(revision, *endpoints, removed=(), era=0):
    """Return an answer of the store."""
    present = [Stored(item.id, revision, item) for item in endpoints]
    gone = [Stored(id, revision, None) for id in removed]
    return Snapshot(revision_in(StoreEra(era), revision), (*present, *gone))


class Node:
    """A node's view, and the messages of its gossip."""

    def __init__(self, name, clock, incarnation="i"):
        self.name, self.clock, self.beat = name, clock, 0
        self.incarnation = incarnation
        self.directory = Directory(clock)
        self.log = RecordedLog()
        feed = DirectoryFeed(self.directory, self.log, clock)
        self.view = EndpointRelaying(
            incarnation, feed, self.directory, MAX_AGE_S, clock
        )

    def digest(self, relay=None):
        """Return the next digest of this node."""
        self.beat += 1
        return NodeDigest(
            self.name,
            self.incarnation,
            NodeState.SERVING,
            0,
            beat=self.beat,
            endpoints_revision=self.view.position,
            relay=relay,
        )

    def report(self):
        """Return a digest that is sent to the leader now."""
        digest = self.digest()
        self.view.record_sent(digest.beat)
        return digest

    def read(self, answer, is_listing=False):
        """Read an answer of the store to a call that was sent now."""
        if is_listing:
            self.view.apply_listing(answer)
        else:
            self.view.apply_changes(answer)
        self.view.confirm(self.clock.now_s)

    def ready(self):
        """Return the endpoints that get requests."""
        return sorted(item.id for item in self.directory.ready(SERVICE))


class Fleet:
    """A leader and a follower that have both listed the store at revision 10."""

    def __init__(self):
        self.clock = Clock()
        self.leader = Node("n0", self.clock)
        self.follower = Node("n1", self.clock)
        for node in (self.leader, self.follower):
            node.read(snapshot(10, E1, E2), is_listing=True)
        self.last_report = None

    def report(self):
        """Have the leader hear the follower."""
        self.last_report = self.follower.report()
        self.leader.view.receive(self.last_report)

    def message(self):
        """Return the leader's next message to the follower."""
        relay = self.leader.view.relay_for("n1", self.last_report)
        return self.leader.digest(relay)

    def follow(self, *answers):
        """Pass one round: a report, calls of the leader, a message."""
        self.report()
        for answer in answers or [snapshot(11)]:
            self.leader.read(answer)
        self.follower.view.receive(self.message())


@pytest.fixture
def fleet():
    """Return a fleet whose follower follows."""
    fleet = Fleet()
    fleet.follow()
    assert fleet.follower.view.is_fresh()
    return fleet


class TestFollowing:
    """A node that hears the leader without a gap."""

    def test_endpoint_that_leaves_gets_no_requests(self, fleet):
        """A release: one endpoint drains, one is gone, one is new."""
        draining = make_endpoint("e1", state=EndpointState.DRAINING)
        fleet.follow(snapshot(12, draining, make_endpoint("e3"), removed=("e2",)))
        assert fleet.follower.ready() == ["e3"]

    def test_lost_message_is_made_up_for(self, fleet):
        """The next one contains all that the follower has not reported."""
        fleet.leader.read(snapshot(12, removed=("e2",)))
        fleet.follow(snapshot(13, make_endpoint("e3")))
        assert fleet.follower.ready() == ["e1", "e3"]

    def test_later_message_may_arrive_first(self, fleet):
        """Handlers of messages run side by side."""
        fleet.report()
        fleet.leader.read(snapshot(12, removed=("e2",)))
        first = fleet.message()
        fleet.leader.read(snapshot(13, E2))
        fleet.follower.view.receive(fleet.message())
        fleet.follower.view.receive(first)
        assert fleet.follower.ready() == ["e1", "e2"]

    def test_models_on_hand_are_kept(self, fleet):
        """Relays leave them out."""
        known = make_endpoint("e1", on_hand=("m1",))
        fleet.follower.read(snapshot(11, known))
        fleet.follow(snapshot(12, make_endpoint("e1", ("m2",))))
        assert fleet.follower.directory.find("e1").on_hand == known.on_hand


class TestAge:
    """How old a view may be, by the follower's clock alone."""

    def test_view_is_as_old_as_the_report_that_the_call_followed(self, fleet):
        """Neither the leader's clock nor the time on the way counts."""
        fleet.report()
        fleet.clock.advance(0.4)
        fleet.leader.read(snapshot(12))
        message = fleet.message()
        fleet.clock.advance(1.0)
        fleet.follower.view.receive(message)
        assert fleet.follower.directory.endpoints_age_s() == pytest.approx(1.4)
        assert fleet.follower.view.is_fresh()

    def test_leader_that_dies_is_not_waited_for(self, fleet):
        """The follower lists the store by itself."""
        fleet.clock.advance(LATE_S)
        assert not fleet.follower.view.is_fresh()

    def test_message_of_a_frozen_leader_proves_nothing(self, fleet):
        """It was written before the endpoint left."""
        fleet.report()
        fleet.leader.read(snapshot(12))
        message = fleet.message()
        fleet.clock.advance(LATE_S)
        fleet.follower.view.receive(message)
        assert not fleet.follower.view.is_fresh()

    def test_leader_cut_from_the_store_alone_proves_nothing(self, fleet):
        """It still sends, but its calls are not answered."""
        for _ in range(8):
            fleet.clock.advance(MAX_AGE_S / 4)
            fleet.report()
            fleet.follower.view.receive(fleet.message())
        assert not fleet.follower.view.is_fresh()

    def test_answer_to_an_earlier_process_proves_nothing(self, fleet):
        """Beats of a node begin anew with its process."""
        fleet.clock.advance(LATE_S)
        fleet.report()
        fleet.leader.read(snapshot(12))
        message = fleet.message()
        restarted = Node("n1", fleet.clock, "i-later")
        restarted.read(snapshot(12, E1), is_listing=True)
        restarted.view.record_sent(message.relay.heard_beat)
        restarted.view.receive(message)
        assert not restarted.view.is_fresh()


class TestGaps:
    """Views between which and the relay changes are missing."""

    def test_node_that_joins_lists_first(self, fleet):
        """It has no view that changes could be applied to."""
        joined = Node("n1", fleet.clock)
        fleet.report()
        fleet.leader.read(snapshot(12, removed=("e2",)))
        joined.view.receive(fleet.message())
        assert joined.ready() == []
        assert not joined.view.is_fresh()

    def test_gap_ends_the_following(self, fleet):
        """The leader had to list again, so it does not know what it missed."""
        fleet.leader.read(snapshot(20, E1), is_listing=True)
        fleet.clock.advance(LATE_S)
        fleet.follow(snapshot(21))
        assert fleet.follower.ready() == ["e1", "e2"]
        assert not fleet.follower.view.is_fresh()
        fleet.follower.read(snapshot(21, E1), is_listing=True)
        fleet.follow(snapshot(22))
        assert fleet.follower.view.is_fresh()

    def test_restored_store_ends_the_following(self, fleet):
        """Its revisions are given out again; a later era is higher than all."""
        fleet.leader.read(snapshot(5, E1, era=1), is_listing=True)
        fleet.clock.advance(LATE_S)
        fleet.follow(snapshot(6, era=1))
        assert not fleet.follower.view.is_fresh()

    def test_new_leader_goes_on_without_a_gap(self, fleet):
        """It watched as a standby node, by the same revisions."""
        fleet.follow(snapshot(12, removed=("e2",)))
        standby = Node("n2", fleet.clock)
        standby.read(snapshot(11, E1, E2), is_listing=True)
        standby.read(snapshot(12, removed=("e2",)))
        fleet.leader = standby
        fleet.clock.advance(LATE_S)
        fleet.follow(snapshot(13, make_endpoint("e3")))
        assert fleet.follower.ready() == ["e1", "e3"]
        assert fleet.follower.view.is_fresh()
