"""Messages between nodes over ZeroMQ with CURVE keys.

Each node binds one ROUTER socket on which it receives all messages. It has one task
for each peer that it sends to; the task owns a DEALER socket, sends the frames of its
outbox and ends after some time without any. Each frame carries the sender's hybrid
clock, so that every message and reply orders events between nodes.
"""

import queue
import threading
from collections.abc import Callable
from concurrent.futures import Executor, Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass
from uuid import uuid4

import msgspec
import zmq
from zmq.auth.thread import ThreadAuthenticator

from camphoryard.coordination.messages import Gossip, GossipAnswer, Message, Reply
from camphoryard.protocol.peer import (
    Envelope,
    PeerMessageError,
    decode_envelope,
    encode_envelope,
)
from camphoryard.state.dispatch import Progress, Withdrawn
from camphoryard.state.errors import ListenError, PeerUnreachableError
from camphoryard.state.ids import NodeId, RequestId
from camphoryard.state.nodes import NodeLease
from camphoryard.state.timeline import HybridClock, Stamp

MAX_OUTBOX_FRAMES = 1000
LINGER_MS = 200
SEND_TIMEOUT_MS = 1000
HEARTBEAT_PERIOD_MS = 1000
IDLE_TIMEOUT_S = 60.0
HEARTBEAT_TIMEOUT_MS = 3000
STOP = b""
MAX_MESSAGE_BYTES = 16 << 20
"""Maximum size of a message that is received. A peer without an accepted key could
otherwise have any number of bytes buffered before its handshake fails."""

Handler = Callable[[Message], Reply]


@dataclass(frozen=True, slots=True)
class CurveKeys:
    """A node's key pair and the accepted public keys of its peers (Z85)."""

    public: bytes
    secret: bytes
    accepted: frozenset[bytes]


@dataclass(frozen=True, slots=True)
class AddressedFrame:
    """An envelope, the sender that a reply is sent to, and its time stamp."""

    sender: NodeId
    stamp: Stamp
    envelope: bytes


_ADDRESSED = msgspec.msgpack.Decoder(AddressedFrame)


@dataclass(frozen=True, slots=True)
class PeerTraffic:
    """Number of frames sent since the start, and their size in bytes."""

    sent_messages: int
    sent_bytes: int


@dataclass(frozen=True, slots=True)
class _Peer:
    lease: NodeLease
    outbox: "queue.Queue[bytes]"


class _AcceptedKeys:
    """Credentials provider for the authenticator; accepts only listed keys."""

    def __init__(self, accepted: frozenset[bytes]) -> None:
        self._accepted = accepted

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether ``key`` (Z85) is accepted."""
        return key in self._accepted


class PeerNetwork:
    """Sends messages to peers, receives theirs and matches replies to requests."""

    def __init__(
        self,
        node: NodeId,
        keys: CurveKeys | None,
        tasks: Executor,
        handlers: Executor,
        clock: HybridClock,
        source_host: str = "",
    ) -> None:
        self._node = node
        self._source_host = source_host
        self._keys = keys
        self._tasks = tasks
        self._handlers = handlers
        self._clock = clock
        self._context = zmq.Context()
        self._lock = threading.Lock()
        self._lease_by_id: dict[NodeId, NodeLease] = {}
        self._peer_by_id: dict[NodeId, _Peer] = {}
        self._reply_by_id: dict[RequestId, Future[Reply]] = {}
        self._authenticator = ThreadAuthenticator(self._context)
        self._closed = False
        self._sent_messages = 0
        self._sent_bytes = 0

    def listen(self, host: str, port: int, handle: Handler) -> None:
        """Bind the port and start a task that receives messages until closed.

        Raises
        ------
        ListenError
            If the port cannot be bound.
        """
        keys = self._keys
        assert keys is not None, "keys must be set before listening"
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            credentials_provider=_AcceptedKeys(keys.accepted)
        )
        socket = self._context.socket(zmq.ROUTER)
        socket.curve_server = True
        socket.curve_secretkey = keys.secret
        socket.curve_publickey = keys.public
        socket.linger = 0
        socket.maxmsgsize = MAX_MESSAGE_BYTES
        try:
            socket.bind(f"tcp://{host}:{port}")
        except zmq.ZMQError as error:
            socket.close()
            raise ListenError(
                f"node.peer_port: {host}:{port} cannot be bound ({error});"
                " stop the process that uses it, or set another port or host of this VM"
            ) from error
        self._tasks.submit(self._receive, socket, handle)

    def use_keys(self, keys: CurveKeys) -> None:
        """Set the keys; needed before anything is sent."""
        self._keys = keys

    def set_address(self, lease: NodeLease) -> None:
        """Set a peer's address; replaces that of an older incarnation."""
        if lease.node == self._node:
            return
        with self._lock:
            known = self._lease_by_id.get(lease.node)
            if known is not None and _has_same_address(known, lease):
                return
            self._lease_by_id[lease.node] = lease
        if known is not None:
            self._disconnect(lease.node)

    def forget(self, node: NodeId) -> None:
        """Remove a peer and end its task."""
        with self._lock:
            self._lease_by_id.pop(node, None)
        self._disconnect(node)

    def request(self, node: NodeId, message: Message, timeout_s: float) -> Reply:
        """Send a message and wait for the reply.

        Raises
        ------
        PeerUnreachableError
            If no reply arrives within ``timeout_s``.
        """
        request = RequestId(uuid4().hex)
        reply: Future[Reply] = Future()
        with self._lock:
            self._reply_by_id[request] = reply
        try:
            self._send(node, Envelope(request, message))
            return reply.result(timeout_s)
        except FutureTimeoutError as error:
            raise PeerUnreachableError(f"no reply from {node}") from error
        finally:
            with self._lock:
                self._reply_by_id.pop(request, None)

    def send(self, node: NodeId, message: Message) -> None:
        """Send without waiting for a reply; dropped if the node is unknown."""
        try:
            self._send(node, Envelope(RequestId(""), message))
        except PeerUnreachableError:
            return

    def peers(self) -> tuple[NodeId, ...]:
        """Return the peers that have a sending task."""
        with self._lock:
            return tuple(self._peer_by_id)

    @property
    def traffic(self) -> PeerTraffic:
        """Frames that this node has sent to its peers."""
        with self._lock:
            return PeerTraffic(self._sent_messages, self._sent_bytes)

    def close(self) -> None:
        """End the tasks of all peers and the receiving task."""
        with self._lock:
            self._closed = True
        for node in self.peers():
            self._disconnect(node)
        self._authenticator.stop()
        # Terminating the context wakes the tasks, each of which closes its socket.
        self._context.term()

    def _send(self, node: NodeId, envelope: Envelope) -> None:
        frame = AddressedFrame(self._node, self._clock.now(), encode_envelope(envelope))
        data = msgspec.msgpack.encode(frame)
        with self._lock:
            _put_or_drop_oldest(self._get_or_connect(node).outbox, data)
            self._sent_messages += 1
            self._sent_bytes += len(data)

    def _get_or_connect(self, node: NodeId) -> _Peer:
        """Return the peer with its sending task, starting the task if needed."""
        peer = self._peer_by_id.get(node)
        if peer is not None:
            return peer
        lease = self._lease_by_id.get(node)
        if lease is None or self._closed or self._keys is None:
            raise PeerUnreachableError(
                f"{node} is unknown or this node is not connected"
            )
        peer = _Peer(lease, queue.Queue(MAX_OUTBOX_FRAMES))
        self._peer_by_id[node] = peer
        self._tasks.submit(self._send_all, peer, self._keys)
        return peer

    def _disconnect(self, node: NodeId) -> None:
        with self._lock:
            peer = self._peer_by_id.pop(node, None)
        if peer is not None:
            _put_or_drop_oldest(peer.outbox, STOP)

    def _next(self, peer: _Peer) -> bytes:
        """Return the next frame, or STOP if none comes for ``IDLE_TIMEOUT_S``."""
        try:
            return peer.outbox.get(timeout=IDLE_TIMEOUT_S)
        except queue.Empty:
            pass
        with self._lock:
            if not peer.outbox.empty():
                return peer.outbox.get()
            if self._peer_by_id.get(peer.lease.node) is peer:
                del self._peer_by_id[peer.lease.node]
            return STOP

    def _send_all(self, peer: _Peer, keys: CurveKeys) -> None:
        socket = self._context.socket(zmq.DEALER)
        socket.curve_serverkey = peer.lease.public_key.encode()
        socket.curve_publickey = keys.public
        socket.curve_secretkey = keys.secret
        socket.linger = LINGER_MS
        socket.maxmsgsize = MAX_MESSAGE_BYTES
        socket.sndtimeo = SEND_TIMEOUT_MS
        socket.heartbeat_ivl = HEARTBEAT_PERIOD_MS
        socket.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
        try:
            socket.connect(_connect_address(peer.lease, self._source_host))
            while (data := self._next(peer)) != STOP:
                try:
                    socket.send(data)
                except zmq.Again:
                    continue
        except zmq.ContextTerminated:
            return
        finally:
            socket.close()

    def _receive(self, socket: "zmq.Socket[bytes]", handle: Handler) -> None:
        try:
            while True:
                frames = socket.recv_multipart()
                self._handle_frame(frames[-1], handle)
        except zmq.ZMQError:
            return
        finally:
            socket.close()

    def _handle_frame(self, data: bytes, handle: Handler) -> None:
        try:
            frame = _ADDRESSED.decode(data)
            envelope = decode_envelope(frame.envelope)
        except (msgspec.MsgspecError, PeerMessageError, RecursionError):
            return
        self._clock.observe(frame.stamp)
        content = envelope.content
        if isinstance(content, Reply):
            self._resolve_reply(envelope.id, content)
        elif isinstance(content, Gossip | GossipAnswer | Progress | Withdrawn):
            # Handled in this task, as they never block: waking another task for each
            # would cost more than the message itself.
            handle(content)
        else:
            self._handlers.submit(
                self._answer, frame.sender, envelope.id, content, handle
            )

    def _resolve_reply(self, request: RequestId, reply: Reply) -> None:
        with self._lock:
            future = self._reply_by_id.pop(request, None)
        if future is not None:
            future.set_result(reply)

    def _answer(
        self, sender: NodeId, request: RequestId, message: Message, handle: Handler
    ) -> None:
        reply = handle(message)
        if not request:
            return
        try:
            self._send(sender, Envelope(request, reply))
        except PeerUnreachableError:
            return


def _connect_address(lease: NodeLease, source_host: str) -> str:
    """Return the ZeroMQ address of a peer, with this VM's source address."""
    host = lease.advertised_host or lease.host
    port = lease.advertised_port or lease.port
    source = f"{source_host}:0;" if source_host else ""
    return f"tcp://{source}{host}:{port}"


def _has_same_address(old: NodeLease, new: NodeLease) -> bool:
    return (old.incarnation, old.public_key, _connect_address(old, "")) == (
        new.incarnation,
        new.public_key,
        _connect_address(new, ""),
    )


def _put_or_drop_oldest(outbox: "queue.Queue[bytes]", data: bytes) -> None:
    """Put a frame; a full outbox drops its oldest one, whose content is outdated."""
    while True:
        try:
            outbox.put_nowait(data)
            return
        except queue.Full:
            try:
                outbox.get_nowait()
            except queue.Empty:
                continue
