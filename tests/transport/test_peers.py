"""Tests of messages between nodes and of refused connections."""

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
from standins.fleet import reserve_port

TIMEOUT_S = 10.0
HOST = "127.0.0.1"
FUTURE_STAMP = Stamp(4_000_000_000_000, 7)
REFUSAL_EVENTS = (
    zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_DISCONNECTED
)


ZMTP_GREETING = (
    b"\xff" + bytes(8) + b"\x7f" + b"\x03\x01" + b"CURVE".ljust(20, b"\0") + bytes(32)
)
LONG_COMMAND = b"\x06"
"""Flags of a command whose length has eight bytes."""


class PeerNode:
    """A node's network that records the messages it receives."""

    def __init__(self, name, executor, accepted=(), handlers=None):
        self.public, self.secret = zmq.curve_keypair()
        self.name = name
        self.port = reserve_port()
        self.clock = HybridClock()
        self.received = []
        self.message_received = threading.Semaphore(0)
        self.reply = Done()
        keys = CurveKeys(self.public, self.secret, frozenset({self.public, *accepted}))
        self.network = PeerNetwork(
            name, keys, executor, handlers or executor, self.clock
        )
        self.network.listen(HOST, self.port, self.handle)

    def handle(self, message):
        """Record a message and reply."""
        self.received.append(message)
        self.message_received.release()
        return self.reply

    def lease(self):
        """Return the lease of this node."""
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
def nodes():
    """Return two nodes that accept the keys of each other."""
    with ThreadPoolExecutor(16) as executor:
        one = PeerNode("one", executor)
        two = PeerNode("two", executor, accepted=[one.public])
        one.network._keys = CurveKeys(
            one.public, one.secret, frozenset({one.public, two.public})
        )
        one.network._authenticator.configure_curve_callback(
            credentials_provider=_AcceptedKeys({one.public, two.public})
        )
        one.network.set_address(two.lease())
        two.network.set_address(one.lease())
        yield one, two
        one.network.close()
        two.network.close()


class _AcceptedKeys:
    def __init__(self, keys):
        self.keys = keys

    def callback(self, domain, key):
        """Return whether ``key`` is accepted."""
        return key in self.keys


@pytest.fixture
def untrusted_socket():
    """Return a function that makes a socket with any keys or none."""
    context = zmq.Context()
    sockets = []

    def make(node, public=b"", secret=b""):
        untrusted = context.socket(zmq.DEALER)
        sockets.append(untrusted)
        untrusted.linger = 0
        if public:
            untrusted.curve_serverkey = node.public
            untrusted.curve_publickey = public
            untrusted.curve_secretkey = secret
        return untrusted

    yield make
    for item in sockets:
        item.close()
    context.term()


def assert_refused(untrusted, node):
    """Connect, send, and wait until the node refuses the connection."""
    monitor = untrusted.get_monitor_socket(REFUSAL_EVENTS)
    try:
        untrusted.connect(f"tcp://{HOST}:{node.port}")
        untrusted.send(b"message")
        assert monitor.poll(TIMEOUT_S * 1000)
        assert recv_monitor_message(monitor)["event"] & REFUSAL_EVENTS
    finally:
        untrusted.disable_monitor()
        monitor.close()


class BlockedExecutor:
    """An executor that never runs a task."""

    def submit(self, *task):
        """Ignore the task."""


class TestTell:
    """Sending without waiting for a reply."""

    def test_gossip_is_handled_without_the_executor(self):
        """Gossip is handled although the executor of handlers is blocked."""
        with ThreadPoolExecutor(16) as executor:
            node = PeerNode("one", executor, handlers=BlockedExecutor())
            sender = PeerNode("two", executor)
            node.network._authenticator.configure_curve_callback(
                credentials_provider=_AcceptedKeys({sender.public})
            )
            sender.network.set_address(node.lease())
            digest = NodeDigest("two", "two-1", NodeState.SERVING, 1)
            gossip = Gossip(1, (DigestWithAge(digest, 0.0),))
            sender.network.send("one", gossip)
            assert node.message_received.acquire(timeout=TIMEOUT_S)
            assert node.received == [gossip]
            sender.network.close()
            node.network.close()


class TestAsk:
    """Sending a request and waiting for the reply."""

    def test_reply_is_returned(self, nodes):
        """The reply of the handler is returned to the sender."""
        one, two = nodes
        assert one.network.request("two", DigestRequest(), TIMEOUT_S) == Done()
        assert two.received == [DigestRequest()]

    def test_unknown_node(self, nodes):
        """A request to an unknown node raises PeerUnreachableError."""
        with pytest.raises(PeerUnreachableError):
            nodes[0].network.request("three", DigestRequest(), TIMEOUT_S)

    def test_messages_and_replies_advance_the_clock(self, nodes):
        """Stamps of a node are later than those of the messages it received."""
        one, two = nodes
        one.clock.observe(FUTURE_STAMP)
        one.network.request("two", DigestRequest(), TIMEOUT_S)
        assert two.clock.now() > FUTURE_STAMP
        two.clock.observe(Stamp(FUTURE_STAMP.wall_ms * 2, 0))
        one.network.request("two", DigestRequest(), TIMEOUT_S)
        assert one.clock.now().wall_ms == FUTURE_STAMP.wall_ms * 2

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
    def test_reply_is_transferred_unchanged(self, nodes, reply):
        """The sender gets an equal copy of the handler's reply."""
        one, two = nodes
        two.reply = reply
        assert one.network.request("two", DigestRequest(), TIMEOUT_S) == reply


class TestConnections:
    """Connections to peers."""

    def test_only_contacted_peers_have_a_task(self, nodes):
        """A known address alone starts no task and opens no connection."""
        one, _ = nodes
        assert one.network.peers() == ()
        one.network.request("two", DigestRequest(), TIMEOUT_S)
        assert one.network.peers() == ("two",)


class TestUntrustedPeers:
    """Untrusted connections and malformed data are refused."""

    def test_unknown_key(self, nodes, untrusted_socket):
        """A connection with an unlisted CURVE key is refused."""
        one, two = nodes
        assert_refused(untrusted_socket(two, *zmq.curve_keypair()), two)
        one.network.request("two", DigestRequest(), TIMEOUT_S)
        assert two.received == [DigestRequest()]

    def test_no_curve(self, nodes, untrusted_socket):
        """A connection without CURVE is refused."""
        one, two = nodes
        assert_refused(untrusted_socket(two), two)
        one.network.request("two", DigestRequest(), TIMEOUT_S)
        assert two.received == [DigestRequest()]

    def test_data_that_is_not_zeromq(self, nodes):
        """Data that is not ZeroMQ closes only its own connection."""
        one, two = nodes
        with socket.create_connection((HOST, two.port), TIMEOUT_S) as untrusted:
            untrusted.sendall(b"GET / HTTP/1.1\r\n\r\n" + bytes(range(256)) * 16)
            untrusted.settimeout(TIMEOUT_S)
            with contextlib.suppress(ConnectionResetError):
                while untrusted.recv(4096):
                    pass
        assert one.network.request("two", DigestRequest(), TIMEOUT_S) == Done()

    # Guards against memory that grows without end with what a peer sends.
    def test_endless_command_without_a_key(self, nodes):
        """A frame that claims more than any message has closes its connection."""
        one, two = nodes
        with socket.create_connection((HOST, two.port), TIMEOUT_S) as untrusted:
            untrusted.settimeout(TIMEOUT_S)
            untrusted.sendall(ZMTP_GREETING + LONG_COMMAND + (1 << 30).to_bytes(8))
            with pytest.raises(ConnectionError):
                for _ in range(64):
                    untrusted.sendall(bytes(1 << 20))
        assert one.network.request("two", DigestRequest(), TIMEOUT_S) == Done()

    def test_malformed_frames_from_an_accepted_key(self, nodes, untrusted_socket):
        """A malformed frame is dropped; the next frame is handled."""
        one, two = nodes
        malformed = untrusted_socket(two, one.public, one.secret)
        malformed.connect(f"tcp://{HOST}:{two.port}")
        for data in (b"", b"\xc1", b"\x93\x01\x02\x03", bytes(1000)):
            malformed.send(data)
        one.network.request("two", DigestRequest(), TIMEOUT_S)
        assert two.received == [DigestRequest()]
