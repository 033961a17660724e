"""Messages between nodes over ZeroMQ with CURVE keys.

Each node binds one ROUTER socket on which everything arrives, and has one task
for each peer that owns a DEALER socket and sends what is put in its outbox.
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

from camphoryard.coordination.messages import (
    Declined,
    Done,
    GivenUp,
    Granted,
    Message,
    Reply,
)
from camphoryard.protocol.peer import (
    Envelope,
    PeerMessageError,
    decode_envelope,
    encode_envelope,
)
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.ids import NodeId, RequestId
from camphoryard.state.nodes import NodeDigest, NodeLease

OUTBOX_FRAMES = 1000
LINGER_MS = 200
SEND_TIMEOUT_MS = 1000
HEARTBEAT_MS = 1000
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
    """An envelope and the node that a reply goes to."""

    sender: NodeId
    envelope: bytes


_ADDRESSED = msgspec.msgpack.Decoder(AddressedFrame)


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
        self, node: NodeId, keys: CurveKeys, tasks: Executor, handlers: Executor
    ) -> None:
        self._node = node
        self._keys = keys
        self._tasks = tasks
        self._handlers = handlers
        self._context = zmq.Context()
        self._lock = threading.Lock()
        self._peer_by_id: dict[NodeId, _Peer] = {}
        self._reply_by_id: dict[RequestId, Future[Reply]] = {}
        self._authenticator = ThreadAuthenticator(self._context)
        self._closed = False

    def listen(self, host: str, port: int, handle: Handler) -> None:
        """Bind and receive in a task of its own until closed."""
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            credentials_provider=_AcceptedKeys(self._keys.accepted)
        )
        socket = self._context.socket(zmq.ROUTER)
        socket.curve_server = True
        socket.curve_secretkey = self._keys.secret
        socket.curve_publickey = self._keys.public
        socket.linger = 0
        socket.bind(f"tcp://{host}:{port}")
        self._tasks.submit(self._receive, socket, handle)

    def know(self, lease: NodeLease) -> None:
        """Have a task for the peer behind ``lease``, in place of an older start's."""
        if lease.node == self._node:
            return
        with self._lock:
            known = self._peer_by_id.get(lease.node)
            if self._closed:
                return
            if known is not None and _same_place(known.lease, lease):
                return
            peer = _Peer(lease, queue.Queue(OUTBOX_FRAMES))
            self._peer_by_id[lease.node] = peer
        if known is not None:
            _put(known.outbox, STOP)
        self._tasks.submit(self._send_all, peer)

    def forget(self, node: NodeId) -> None:
        """End the task of a peer that is gone."""
        with self._lock:
            peer = self._peer_by_id.pop(node, None)
        if peer is not None:
            _put(peer.outbox, STOP)

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

    def tell(self, node: NodeId, message: Message) -> None:
        """Send without waiting; to an unknown node it is lost."""
        try:
            self._send(node, Envelope(RequestId(""), message))
        except PeerUnreachableError:
            return

    def peers(self) -> tuple[NodeId, ...]:
        """Return the peers that have a task."""
        with self._lock:
            return tuple(self._peer_by_id)

    def close(self) -> None:
        """End the tasks of all peers and the receiving one."""
        with self._lock:
            self._closed = True
        for node in self.peers():
            self.forget(node)
        self._authenticator.stop()
        # Each socket is closed by the task that owns it, which the end of the
        # context wakes.
        self._context.term()

    def _send(self, node: NodeId, envelope: Envelope) -> None:
        with self._lock:
            peer = self._peer_by_id.get(node)
        if peer is None:
            raise PeerUnreachableError(f"{node} is not known")
        frame = AddressedFrame(self._node, encode_envelope(envelope))
        _put(peer.outbox, msgspec.msgpack.encode(frame))

    def _send_all(self, peer: _Peer) -> None:
        socket = self._context.socket(zmq.DEALER)
        socket.curve_serverkey = peer.lease.public_key.encode()
        socket.curve_publickey = self._keys.public
        socket.curve_secretkey = self._keys.secret
        socket.linger = LINGER_MS
        socket.sndtimeo = SEND_TIMEOUT_MS
        socket.heartbeat_ivl = HEARTBEAT_MS
        socket.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
        try:
            socket.connect(f"tcp://{peer.lease.host}:{peer.lease.port}")
            while (data := peer.outbox.get()) != STOP:
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
        match envelope.content:
            case Done() | Declined() | Granted() | NodeDigest() | GivenUp() as reply:
                self._settle(envelope.id, reply)
            case message:
                self._handlers.submit(
                    self._answer, frame.sender, envelope.id, message, handle
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


def _same_place(old: NodeLease, new: NodeLease) -> bool:
    return (old.incarnation, old.host, old.port, old.public_key) == (
        new.incarnation,
        new.host,
        new.port,
        new.public_key,
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
