"""Tests of messages between nodes, and of who gets none through."""

import contextlib
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest
import zmq
from zmq.utils.monitor import recv_monitor_message

from camphoryard.coordination.messages import (
    ConfigurationOffer,
    DigestRequest,
    DigestWithAge,
    Done,
    EventsReply,
    Gossip,
)
from camphoryard.state.configuration import Configuration, ServingGroup
from camphoryard.state.configuration_head import ConfigurationHead
from camphoryard.state.enums import NodeState, Priority
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.labels import Equals, Selector
from camphoryard.state.nodes import NodeDigest, NodeLease
from camphoryard.state.timeline import Event, HybridClock, Stamp
from camphoryard.transport.peers import CurveKeys, PeerNetwork
from standins.fleet import free_port

TIMEOUT_S = 10.0
HOST = "127.0.0.1"
FAR_AHEAD = Stamp(4_000_000_000_000, 7)
REFUSED = (
    zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_DISCONNECTED
)


class Side:
    """One node's network, with the messages it was handed."""

    def __init__(self, name, executor, accepted=(), handlers=None):
        self.public, self.secret = zmq.curve_keypair()
        self.name = name
        self.port = free_port()
        self.clock = HybridClock()
        self.seen = []
        self.arrived = threading.Semaphore(0)
        self.reply = Done()
        keys = CurveKeys(self.public, self.secret, frozenset({self.public, *accepted}))
        self.network = PeerNetwork(
            name, keys, executor, handlers or executor, self.clock
        )
        self.network.listen(HOST, self.port, self.handle)

    def handle(self, message):
        """Note a message and reply."""
        self.seen.append(message)
        self.arrived.release()
        return self.reply

    def lease(self):
        """Return the lease by which others know this node."""
        return NodeLease(
            self.name,
            f"{self.name}-1",
            "zone-a",
            HOST,
            self.port,
            self.public.decode(),
            NodeState.SERVING,
            60.0,
            "",
        )


@pytest.fixture
def sides():
    """Return two nodes that accept each other's keys."""
    with ThreadPoolExecutor(16) as executor:
        one = Side("one", executor)
        two = Side("two", executor, accepted=[one.public])
        one.network._keys = CurveKeys(
            one.public, one.secret, frozenset({one.public, two.public})
        )
        one.network._authenticator.configure_curve_callback(
            credentials_provider=_Accepted({one.public, two.public})
        )
        one.network.set_address(two.lease())
        two.network.set_address(one.lease())
        yield one, two
        one.network.close()
        two.network.close()


class _Accepted:
    def __init__(self, keys):
        self.keys = keys

    def callback(self, domain, key):
        """Return whether a key is accepted."""
        return key in self.keys


@pytest.fixture
def rogue():
    """Return a function that makes a socket of a stranger."""
    context = zmq.Context()
    sockets = []

    def make(side, public=b"", secret=b""):
        stranger = context.socket(zmq.DEALER)
        sockets.append(stranger)
        stranger.linger = 0
        if public:
            stranger.curve_serverkey = side.public
            stranger.curve_publickey = public
            stranger.curve_secretkey = secret
        return stranger

    yield make
    for item in sockets:
        item.close()
    context.term()


def wait_refused(stranger, side):
    """Connect, send, and block until the other side turned us away."""
    monitor = stranger.get_monitor_socket(REFUSED)
    try:
        stranger.connect(f"tcp://{HOST}:{side.port}")
        stranger.send(b"let me in")
        assert monitor.poll(TIMEOUT_S * 1000)
        assert recv_monitor_message(monitor)["event"] & REFUSED
    finally:
        stranger.disable_monitor()
        monitor.close()


class BusyExecutor:
    """An executor that never gets to a task."""

    def submit(self, *task):
        """Take in a task and leave it."""


class TestTell:
    """Telling without an answer."""

    def test_news_of_nodes_waits_for_no_handler(self):
        """Gossip is taken in though every handler is busy."""
        with ThreadPoolExecutor(16) as executor:
            side = Side("one", executor, handlers=BusyExecutor())
            sender = Side("two", executor)
            side.network._authenticator.configure_curve_callback(
                credentials_provider=_Accepted({sender.public})
            )
            sender.network.set_address(side.lease())
            digest = NodeDigest("two", "two-1", NodeState.SERVING, 1)
            gossip = Gossip(1, (DigestWithAge(digest, 0.0),))
            sender.network.send("one", gossip)
            assert side.arrived.acquire(timeout=TIMEOUT_S)
            assert side.seen == [gossip]
            sender.network.close()
            side.network.close()


class TestAsk:
    """Asking and answering."""

    def test_reply_comes_back(self, sides):
        """A question is answered by the handler's reply."""
        one, two = sides
        assert one.network.ask("two", DigestRequest(), TIMEOUT_S) == Done()
        assert two.seen == [DigestRequest()]

    def test_unknown_node(self, sides):
        """A node that is not known cannot be asked."""
        with pytest.raises(PeerUnreachableError):
            sides[0].network.ask("three", DigestRequest(), TIMEOUT_S)

    def test_clock_is_heard_through_questions_and_replies(self, sides):
        """Each side's stamps go beyond those of the messages it took in."""
        one, two = sides
        one.clock.observe(FAR_AHEAD)
        one.network.ask("two", DigestRequest(), TIMEOUT_S)
        assert two.clock.now() > FAR_AHEAD
        two.clock.observe(Stamp(FAR_AHEAD.wall_ms * 2, 0))
        one.network.ask("two", DigestRequest(), TIMEOUT_S)
        assert one.clock.now().wall_ms == FAR_AHEAD.wall_ms * 2

    @pytest.mark.parametrize(
        "reply",
        [
            ConfigurationOffer(
                ConfigurationHead(4, "w", {"0": "k"}),
                {
                    "k": Configuration(
                        groups_by_id={
                            "g": ServingGroup(
                                "g",
                                Priority.URGENT,
                                targets=Selector((Equals("a", "b"),)),
                            )
                        }
                    )
                },
            ),
            EventsReply((Event(Stamp(1, 2), "two", "loaded", {"model": "m"}),)),
        ],
        ids=["configuration", "events"],
    )
    def test_reply_is_the_same_on_the_other_side(self, sides, reply):
        """What a handler returns is what the asker gets."""
        one, two = sides
        two.reply = reply
        assert one.network.ask("two", DigestRequest(), TIMEOUT_S) == reply


class TestConnections:
    """Whom a node has connections to."""

    def test_only_peers_talked_to_have_a_task(self, sides):
        """Knowing a peer costs no connection."""
        one, _ = sides
        assert one.network.peers() == ()
        one.network.ask("two", DigestRequest(), TIMEOUT_S)
        assert one.network.peers() == ("two",)


class TestStrangers:
    """Strangers get nothing and change nothing."""

    def test_unknown_key(self, sides, rogue):
        """A CURVE key that is not listed is turned away."""
        one, two = sides
        wait_refused(rogue(two, *zmq.curve_keypair()), two)
        one.network.ask("two", DigestRequest(), TIMEOUT_S)
        assert two.seen == [DigestRequest()]

    def test_no_curve(self, sides, rogue):
        """A peer without CURVE is turned away."""
        one, two = sides
        wait_refused(rogue(two), two)
        one.network.ask("two", DigestRequest(), TIMEOUT_S)
        assert two.seen == [DigestRequest()]

    def test_garbage_on_the_wire(self, sides):
        """Bytes that are no ZeroMQ end that connection and nothing else."""
        one, two = sides
        with socket.create_connection((HOST, two.port), TIMEOUT_S) as stranger:
            stranger.sendall(b"GET / HTTP/1.1\r\n\r\n" + bytes(range(256)) * 16)
            stranger.settimeout(TIMEOUT_S)
            with contextlib.suppress(ConnectionResetError):
                while stranger.recv(4096):
                    pass
        assert one.network.ask("two", DigestRequest(), TIMEOUT_S) == Done()

    def test_garbage_from_an_accepted_key(self, sides, rogue):
        """A frame that cannot be read is dropped; the next one is handled."""
        one, two = sides
        broken = rogue(two, one.public, one.secret)
        broken.connect(f"tcp://{HOST}:{two.port}")
        for data in (b"", b"\xc1", b"\x93\x01\x02\x03", bytes(1000)):
            broken.send(data)
        one.network.ask("two", DigestRequest(), TIMEOUT_S)
        assert two.seen == [DigestRequest()]
