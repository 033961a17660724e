"""Tests of a node's questions for turns, with peers that answer as they are told."""

import pytest

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.dispatch.turns import (
    PAUSE_S,
    FleetTurns,
    TurnsContext,
    is_dispatched,
)
from camphoryard.coordination.messages import Declined
from camphoryard.state.dispatch import (
    Dispatched,
    FirstEventSeen,
    NotDispatched,
    Queued,
    Rejected,
    RunEnded,
    Withdrawn,
)
from camphoryard.state.errors import PeerUnreachableError
from tests.fakes.dispatching import Engines, make_request
from tests.fakes.engines import SERVICE, RecordedLog

ASK_S = 0.3


class Peers:
    """Gives its answers in order; each takes `ASK_S`."""

    def __init__(self, clock):
        self.clock, self.answers, self.asked, self.sent = clock, [], [], []
        self.on_request = lambda: None

    def request(self, node, message, timeout_s):
        """Record a question and return the next answer."""
        self.asked.append((node, message))
        self.on_request()
        self.clock.advance(ASK_S)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def send(self, node, message):
        """Record a message."""
        self.sent.append((node, message))


class OwnDispatcher:
    """The dispatcher of this node itself."""

    def __init__(self):
        self.recorded = []

    def ask(self, request):
        """Dispatch at once."""
        return Dispatched("own")

    def record(self, progress):
        """Record a report."""
        self.recorded.append(progress)

    withdraw = record


class Node:
    """A node of a fleet with one engine."""

    def __init__(self):
        self.engines = Engines("e1")
        self.clock, self.log = self.engines.clock, RecordedLog()
        self.peers, self.dispatcher = Peers(self.clock), OwnDispatcher()
        self.leader, self.nodes = "leader", 2
        self.cancellation = Cancellation()
        self.request = make_request()
        self.turns = FleetTurns(
            TurnsContext(
                "me",
                self.engines.directory,
                self.dispatcher,
                self.peers,
                lambda: self.leader,
                lambda: self.nodes,
                self.log,
                lambda _: None,
                self.clock,
            )
        )

    def take(self, *answers):
        """Ask for a turn."""
        self.peers.answers.extend(answers)
        return self.turns.take(self.request, self.cancellation)


@pytest.fixture
def node():
    """Return a node that does not lead."""
    return Node()


class TestInForce:
    """Where requests take turns."""

    @pytest.mark.parametrize(
        ("nodes", "engines", "expected"),
        [(78, 30, True), (60, 30, True), (59, 30, False), (9, 8, False), (5, 0, False)],
    )
    def test_nodes_outnumber_engines(self, nodes, engines, expected):
        """Other fleets choose at each node, and so do services without engines."""
        assert is_dispatched(nodes, engines) is expected

    def test_the_engines_of_the_service_count(self, node):
        """The number of nodes is that of now."""
        assert node.turns.is_in_force(SERVICE)
        node.nodes = 1
        assert not node.turns.is_in_force(SERVICE)

    def test_there_is_no_leader(self, node):
        """Each node chooses for itself meanwhile."""
        node.leader = None
        assert not node.turns.is_in_force(SERVICE)


class TestTake:
    """Waiting for a turn."""

    def test_a_node_asks_until_the_turn_comes(self, node):
        """Each question has the same ticket, and the time that is left."""
        assert node.take(Queued(0.0), Queued(0.0), Dispatched("e1")) == Dispatched("e1")
        asked = [message for _, message in node.peers.asked]
        assert {item.ticket for item in asked} == {node.request.ticket}
        assert asked[2].leave_left_s == pytest.approx(2.0 - 2 * ASK_S)

    def test_a_refusal_is_passed_on(self, node):
        """The request is not asked about again."""
        assert node.take(Rejected(1.0, "x")) == Rejected(1.0, "x")

    def test_the_client_would_leave(self, node):
        """The request is refused by its own node if the dispatcher never does so."""
        assert isinstance(node.take(*[Queued(0.0)] * 7), Rejected)
        assert node.peers.sent == [("leader", Withdrawn(node.request.ticket))]

    def test_the_leader_changes_during_a_wait(self, node):
        """The new one is asked, with the time that is left."""

        def change():
            node.leader = "next"

        node.peers.on_request = change
        assert node.take(Queued(0.0), Dispatched("e1")) == Dispatched("e1")
        assert [leader for leader, _ in node.peers.asked] == ["leader", "next"]

    def test_the_leader_itself_asks_without_a_message(self, node):
        """Its reports are direct too."""
        node.leader = "me"
        assert node.take() == Dispatched("own")
        node.turns.tell(FirstEventSeen("t", "own", 0.1))
        assert not node.peers.asked
        assert node.dispatcher.recorded == [FirstEventSeen("t", "own", 0.1)]

    def test_the_dispatcher_is_lost_during_a_wait(self, node):
        """The node chooses itself and asks again after a pause; two lines tell."""
        assert node.take(Queued(0.0), PeerUnreachableError("x")) == NotDispatched()
        assert node.peers.sent == [("leader", Withdrawn(node.request.ticket))]
        assert not node.turns.is_in_force(SERVICE)
        node.clock.advance(PAUSE_S)
        assert node.turns.is_in_force(SERVICE)
        node.take(PeerUnreachableError("x"))
        node.take(Dispatched("e1"))
        assert node.log.events() == ["dispatcher_lost", "dispatcher_regained"]

    def test_the_node_that_was_asked_does_not_lead(self, node):
        """Two nodes may disagree on it for a moment; the request is not held up."""
        assert node.take(NotDispatched()) == NotDispatched()
        assert node.take(Declined("unknown")) == NotDispatched()
        assert node.turns.is_in_force(SERVICE)

    @pytest.mark.parametrize("answer", [Queued(5.0), Dispatched("e1")])
    def test_the_client_leaves_during_a_wait(self, node, answer):
        """The ticket is withdrawn at once, and a turn that comes is given back."""
        node.peers.on_request = node.cancellation.cancel
        assert node.take(answer) == NotDispatched()
        sent = [message for _, message in node.peers.sent]
        assert sent[0] == Withdrawn(node.request.ticket)
        is_given_back = RunEnded(node.request.ticket, "e1", was_declined=True) in sent
        assert is_given_back is (answer == Dispatched("e1"))

    def test_tickets_are_unique(self, node):
        """Two sends of one request have two tickets."""
        assert node.turns.make_ticket("q") != node.turns.make_ticket("q")
