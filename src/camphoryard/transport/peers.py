"""Messages between nodes over ZeroMQ with CURVE keys.

Each node binds one ROUTER socket on which everything arrives, and has one task
for each peer that it talks to, which owns a DEALER socket, sends what is put in
its outbox and ends after a while without any. Each frame carries the sender's
hybrid clock, so that events are ordered by every message and reply.
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
from camphoryard.state.errors import ListenError, PeerUnreachableError
from camphoryard.state.ids import NodeId, RequestId
from camphoryard.state.nodes import NodeLease
from camphoryard.state.timeline import HybridClock, Stamp

OUTBOX_FRAMES = 1000
LINGER_MS = 200
SEND_TIMEOUT_MS = 1000
HEARTBEAT_MS = 1000
IDLE_S = 60.0
HEARTBEAT_TIMEOUT_MS = 3000
STOP = b""

Handler = Callable[[Message], Reply]


@dataclass(frozen=True, slots=True)
class CurveKeys:
    """A node's key pair and the public keys of the nodes it accepts (Z85)."""

    public: bytes
    secret: bytes
    accepted: frozenset[bytes]


@dataclass(frozen=True, slots=True)
class AddressedFrame:
    """An envelope, the node that a reply goes to, and when it was sent."""

    sender: NodeId
    stamp: Stamp
    envelope: bytes


_ADDRESSED = msgspec.msgpack.Decoder(AddressedFrame)


@dataclass(frozen=True, slots=True)
class Traffic:
    """Frames sent since the start."""

    sent_messages: int
    sent_bytes: int


@dataclass(frozen=True, slots=True)
class _Peer:
    lease: NodeLease
    outbox: "queue.Queue[bytes]"


class _AcceptedKeys:
    """Credentials provider for the authenticator: only listed keys get in."""

    def __init__(self, accepted: frozenset[bytes]) -> None:
        self._accepted = accepted

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether ``key`` (Z85) is accepted."""
        return key in self._accepted


class PeerNetwork:
    """Sends to peers, receives from them and ties replies to questions."""

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
        """Bind and receive in a task of its own until closed.

        Raises
        ------
        ListenError
            If the port cannot be bound.
        """
        keys = self._keys
        assert keys is not None, "keys come before the first connection"
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            credentials_provider=_AcceptedKeys(keys.accepted)
        )
        socket = self._context.socket(zmq.ROUTER)
        socket.curve_server = True
        socket.curve_secretkey = keys.secret
        socket.curve_publickey = keys.public
        socket.linger = 0
        try:
            socket.bind(f"tcp://{host}:{port}")
        except zmq.ZMQError as error:
            socket.close()
            raise ListenError(
                f"node.peer_port: {host}:{port} cannot be bound ({error});"
                " end what uses it, or set another port and host of this VM"
            ) from error
        self._tasks.submit(self._receive, socket, handle)

    def use_keys(self, keys: CurveKeys) -> None:
        """Set the keys, which must be known before anything is sent."""
        self._keys = keys

    def set_address(self, lease: NodeLease) -> None:
        """Send to the peer at the place in ``lease``, in place of an older start's."""
        if lease.node == self._node:
            return
        with self._lock:
            known = self._lease_by_id.get(lease.node)
            if known is not None and _same_place(known, lease):
                return
            self._lease_by_id[lease.node] = lease
        if known is not None:
            self._disconnect(lease.node)

    def forget(self, node: NodeId) -> None:
        """End the task of a peer that is gone."""
        with self._lock:
            self._lease_by_id.pop(node, None)
        self._disconnect(node)

    def ask(self, node: NodeId, message: Message, timeout_s: float) -> Reply:
        """Send and wait for the reply.

        Raises
        ------
        PeerUnreachableError
            If none came in time.
        """
        request = RequestId(uuid4().hex)
        reply: Future[Reply] = Future()
        with self._lock:
            self._reply_by_id[request] = reply
        try:
            self._send(node, Envelope(request, message))
            return reply.result(timeout_s)
        except FutureTimeoutError as error:
            raise PeerUnreachableError(f"{node} gave no reply") from error
        finally:
            with self._lock:
                self._reply_by_id.pop(request, None)

    def send(self, node: NodeId, message: Message) -> None:
        """Send without waiting; to an unknown node it is lost."""
        try:
            self._send(node, Envelope(RequestId(""), message))
        except PeerUnreachableError:
            return

    def peers(self) -> tuple[NodeId, ...]:
        """Return the peers that have a task."""
        with self._lock:
            return tuple(self._peer_by_id)

    @property
    def traffic(self) -> Traffic:
        """What this node has sent to its peers."""
        with self._lock:
            return Traffic(self._sent_messages, self._sent_bytes)

    def close(self) -> None:
        """End the tasks of all peers and the receiving one."""
        with self._lock:
            self._closed = True
        for node in self.peers():
            self._disconnect(node)
        self._authenticator.stop()
        # Each socket is closed by the task that owns it, which the end of the
        # context wakes.
        self._context.term()

    def _send(self, node: NodeId, envelope: Envelope) -> None:
        frame = AddressedFrame(self._node, self._clock.now(), encode_envelope(envelope))
        data = msgspec.msgpack.encode(frame)
        with self._lock:
            _put(self._connected(node).outbox, data)
            self._sent_messages += 1
            self._sent_bytes += len(data)

    def _connected(self, node: NodeId) -> _Peer:
        """Return the peer's task, started now if it has none."""
        peer = self._peer_by_id.get(node)
        if peer is not None:
            return peer
        lease = self._lease_by_id.get(node)
        if lease is None or self._closed or self._keys is None:
            raise PeerUnreachableError(f"{node} is not known")
        peer = _Peer(lease, queue.Queue(OUTBOX_FRAMES))
        self._peer_by_id[node] = peer
        self._tasks.submit(self._send_all, peer, self._keys)
        return peer

    def _disconnect(self, node: NodeId) -> None:
        with self._lock:
            peer = self._peer_by_id.pop(node, None)
        if peer is not None:
            _put(peer.outbox, STOP)

    def _next(self, peer: _Peer) -> bytes:
        """Return the next frame, or STOP once there was none for long."""
        try:
            return peer.outbox.get(timeout=IDLE_S)
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
        socket.sndtimeo = SEND_TIMEOUT_MS
        socket.heartbeat_ivl = HEARTBEAT_MS
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
                self._take(frames[-1], handle)
        except zmq.ZMQError:
            return
        finally:
            socket.close()

    def _take(self, data: bytes, handle: Handler) -> None:
        try:
            frame = _ADDRESSED.decode(data)
            envelope = decode_envelope(frame.envelope)
        except (msgspec.MsgspecError, PeerMessageError):
            return
        self._clock.observe(frame.stamp)
        content = envelope.content
        if isinstance(content, Reply):
            self._settle(envelope.id, content)
        elif isinstance(content, Gossip | GossipAnswer):
            # Taken in at once, since it waits for nothing: to wake another task
            # for each would cost more than the message.
            handle(content)
        else:
            self._handlers.submit(
                self._answer, frame.sender, envelope.id, content, handle
            )

    def _settle(self, request: RequestId, reply: Reply) -> None:
        with self._lock:
            waiting = self._reply_by_id.pop(request, None)
        if waiting is not None:
            waiting.set_result(reply)

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
    """Return where a peer is reached, and from which of this VM's addresses."""
    host = lease.advertised_host or lease.host
    port = lease.advertised_port or lease.port
    source = f"{source_host}:0;" if source_host else ""
    return f"tcp://{source}{host}:{port}"


def _same_place(old: NodeLease, new: NodeLease) -> bool:
    return (old.incarnation, old.public_key, _connect_address(old, "")) == (
        new.incarnation,
        new.public_key,
        _connect_address(new, ""),
    )


def _put(outbox: "queue.Queue[bytes]", data: bytes) -> None:
    """Put a frame; a full outbox loses its oldest one, whose news is stale."""
    while True:
        try:
            outbox.put_nowait(data)
            return
        except queue.Full:
            try:
                outbox.get_nowait()
            except queue.Empty:
                continue
