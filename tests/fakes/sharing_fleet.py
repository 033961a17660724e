"""Nodes that share limits of one kind, with messages that tests deliver."""

import random
from enum import Enum

from hypothesis import strategies as st

from camphoryard.coordination.admission.quota_shares import QuotaShares
from camphoryard.coordination.fleet.quota_sharing import QuotaSharing
from camphoryard.coordination.messages import QuotaRequest, QuotaTake
from camphoryard.state.enums import NodeState
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.ids import FencingNumber, NodeId
from camphoryard.state.nodes import NodeDigest
from tests.fakes.engines import Clock, RecordedLog

PERIOD_S = 0.5


class AskFate(Enum):
    """What happens to a request between nodes; only one that is answered is in time."""

    ANSWERED = "answered"
    LOST = "lost"
    LATE = "late"
    UNHEARD = "unheard"


class Delivery(Enum):
    """What happens to a digest."""

    NOW = "now"
    LATER = "later"
    NEVER = "never"


NODE = st.integers(0, 2).map("n{}".format)
PRESS = st.tuples(
    st.just("press"), st.sampled_from([0.5, 2.0, 4.0, 9.0]), st.sets(NODE)
)
"""Load for some seconds at some of three nodes."""
FAILURE = st.one_of(
    st.tuples(st.just("suspend"), st.sampled_from([1.0, 9.0]), st.none()),
    st.tuples(st.just("mail"), st.integers(0, 2**16), st.booleans()),
    st.tuples(st.just("asks"), st.sampled_from(AskFate), st.none()),
    st.tuples(st.just("restart"), NODE, st.none()),
    st.tuples(st.just("lose"), NODE, st.booleans()),
    st.tuples(st.just("lead"), NODE, st.booleans()),
)
"""Failures of three nodes, which `SharingFleet.strike` brings about."""


class FakeLease:
    """A lease of leadership as the test wants it."""

    def __init__(self):
        self.claimed_term = FencingNumber(0)
        self.is_renewed = self.is_first_term = False


class SharingNode:
    """One process of a node."""

    def __init__(self, fleet, name, incarnation):
        self.name, self.incarnation, self.beat = name, incarnation, 0
        self.leader, self.leader_term, self.beat_by_sender = None, 0, {}
        self.lease, self.log = FakeLease(), RecordedLog()
        self.fleet = fleet

    def make_sharing(self, kind, policy, limits):
        """Return what this node shares with the others."""
        fleet = self.fleet
        return QuotaSharing(
            self.name,
            self.incarnation,
            kind,
            policy,
            fleet.is_first_start,
            limits,
            QuotaShares(policy, lambda: fleet.size, fleet.clock),
            self,
            self.lease,
            self.log,
            lambda name: None,
            fleet.clock,
            lambda: 0.0,
            lambda: fleet.node_by_id.keys(),
        )

    def request(self, node, message, timeout_s):
        """Ask a peer; see the Peers port."""
        fleet = self.fleet
        fleet.asks += 1
        if {node, self.name} & fleet.lost or fleet.ask_fate is AskFate.LOST:
            raise PeerUnreachableError(f"no reply from {node}")
        if fleet.ask_fate is AskFate.LATE:
            fleet.late_asks.append((node, message))
            raise PeerUnreachableError(f"no reply from {node}")
        reply = fleet.node_by_id[node].answer(message)
        if fleet.ask_fate is AskFate.UNHEARD:
            raise PeerUnreachableError(f"no reply from {node}")
        return reply

    def answer(self, message):
        """Answer a message of a peer."""
        match message:
            case QuotaRequest():
                return self.sharing.answer(message)
            case QuotaTake():
                return self.sharing.take_for_peer(message)

    def receive(self, digest):
        """Receive a digest, unless it is older than one received before."""
        sender = digest.node, digest.incarnation
        if self.beat_by_sender.get(sender, 0) >= digest.beat:
            return
        self.beat_by_sender[sender] = digest.beat
        self.sharing.receive(digest)
        if digest.duty_term > self.leader_term:
            self.leader, self.leader_term = digest.node, digest.duty_term

    def send_digests(self):
        """Send this node's digest to the leader, or as a leader to all others."""
        self.beat += 1
        term = self.lease.claimed_term
        if term and term >= self.leader_term:
            self.leader, self.leader_term = self.name, term
            self.sharing.report_to_self(self.beat)
        if term:
            for node in self.fleet.node_by_id.values():
                if node is not self:
                    renewal = self.sharing.renewal(node.name, node.incarnation)
                    renewals = {self.sharing.kind: renewal} if renewal else {}
                    digest = self.digest(quota_renewal_by_kind=renewals)
                    self.fleet.mail.append((node.name, digest))
        elif self.leader is not None:
            report = self.sharing.report(self.leader, self.leader_term, self.beat)
            reports = {self.sharing.kind: report} if report else {}
            digest = self.digest(quota_report_by_kind=reports)
            self.fleet.mail.append((self.leader, digest))

    def digest(self, **fields):
        """Return the next digest of this node."""
        return NodeDigest(
            self.name,
            self.incarnation,
            NodeState.SERVING,
            0,
            beat=self.beat,
            duty_term=self.lease.claimed_term,
            **fields,
        )


class SharingFleet:
    """A fleet with one leader, whose nodes ``make_node`` makes.

    Nodes in ``lost`` neither send nor receive anything. ``ask_fate`` is what happens to
    requests between nodes, ``decide`` tells that of each digest.
    """

    def __init__(self, size, make_node, is_first_start=True):
        self.is_first_start, self.make_node = is_first_start, make_node
        self.clock, self.size, self.asks, self.term = Clock(), size, 0, 0
        self.lost, self.mail, self.late_asks = set(), [], []
        self.ask_fate, self.decide = AskFate.ANSWERED, lambda: Delivery.NOW
        self.node_by_id = {}

    def start_all(self):
        """Start all nodes, of which the first leads."""
        for number in range(self.size):
            self.start(f"n{number}")
        self.lead("n0", is_first=True)

    def start(self, name):
        """Start a process of a node, in place of an earlier one."""
        before = self.node_by_id.get(name)
        incarnation = before.incarnation + 1 if before else 0
        node = self.make_node(self, NodeId(name), incarnation)
        self.node_by_id[NodeId(name)] = node

    def lead(self, name, is_first=False, is_doubted=False):
        """Have a node take over; an earlier leader goes on if it ``is_doubted``."""
        for node in self.node_by_id.values():
            node.lease.is_renewed = False
            if not is_doubted:
                node.lease.claimed_term = FencingNumber(0)
        self.term += 1
        lease = self.node_by_id[name].lease
        lease.claimed_term = FencingNumber(self.term)
        lease.is_renewed, lease.is_first_term = True, is_first

    def send_digests(self):
        """Have all nodes send their digests."""
        for node in self.node_by_id.values():
            node.send_digests()

    def deliver(self):
        """Deliver the digests, each as ``decide`` says, and late requests."""
        mail, self.mail = self.mail, []
        for name, digest in mail:
            is_lost = {name, digest.node} & self.lost
            match self.decide():
                case Delivery.LATER:
                    self.mail.append((name, digest))
                case Delivery.NOW if not is_lost:
                    self.node_by_id[name].receive(digest)
        asks, self.late_asks = self.late_asks, []
        for name, message in asks:
            self.node_by_id[name].answer(message)

    def run(self, duration_s):
        """Let time pass, with gossip and requests for spare parts."""
        end_s = self.clock.now_s + duration_s
        while self.clock.now_s < end_s:
            self.send_digests()
            self.deliver()
            for node in self.node_by_id.values():
                node.sharing.ask_for_spare()
            self.clock.advance(PERIOD_S)

    def strike(self, failure):
        """Bring about a drawn failure."""
        match failure:
            case "suspend", duration_s, _:
                self.clock.advance(duration_s)
            case "mail", seed, True:
                drawn = random.Random(seed)
                self.decide = lambda: drawn.choice(list(Delivery))
            case "mail", _, False:
                self.decide = lambda: Delivery.NOW
            case "asks", fate, _:
                self.ask_fate = fate
            case "restart", node, _:
                self.start(node)
            case "lose", node, True:
                self.lost.add(node)
            case "lose", node, False:
                self.lost.discard(node)
            case "lead", node, is_doubted:
                self.lead(node, is_doubted=is_doubted)
