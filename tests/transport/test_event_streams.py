"""Tests of event streams over sockets."""

import contextlib
import socket
from concurrent.futures import ThreadPoolExecutor

import pytest

from camphoryard.state.errors import BrokenCallError
from camphoryard.state.ids import RequestId
from camphoryard.state.requests import TokenFrame
from camphoryard.transport.event_streams import EventStream
from camphoryard.transport.http_client import Address, HttpCall, HttpClient
from camphoryard.transport.stream_reading import StreamLimits, StreamReaders
from tests.fakes.raw_answers import MALFORMED_CHUNKS, VALID_CHUNKS, chunks

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PLAIN_HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
NO_LIMITS = StreamLimits(1e6, 1e6)


def event(offset, finished=False):
    """Return the event of one frame."""
    flag = b"true" if finished else b"false"
    return b'data: {"request_id":"a","offset":%d,"text":"t","finished":%b}\n\n' % (
        offset,
        flag,
    )


def chunk(data):
    """Return one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Engine:
    """An engine controlled by the test, with the client that calls it."""

    def __init__(self, executor):
        self._server = socket.create_server(("127.0.0.1", 0))
        self._client = HttpClient()
        self._readers = StreamReaders(executor)
        self.offsets: list[int] = []

    def open(self, first_data):
        """Return a stream that begins with ``first_data``, and the engine's socket."""
        with ThreadPoolExecutor(1) as calling:
            opening = calling.submit(self.call)
            engine_sock, _ = self._server.accept()
            engine_sock.recv(65_536)
            engine_sock.sendall(first_data)
            answer = opening.result()
        return EventStream(answer, self._readers, NO_LIMITS), engine_sock

    def call(self):
        """Return the answer to a call."""
        address = Address(*self._server.getsockname())
        return self._client.open(address, HttpCall("POST", "/"))

    @property
    def idle_connections(self):
        """Number of connections that may be used again."""
        return sum(map(len, self._client._idle_by_pool.values()))

    def consume(self, frame: TokenFrame) -> bool:
        """Record a frame; return whether it is the last."""
        assert frame.request_id == RequestId("a")
        self.offsets.append(frame.offset)
        return frame.finished


@pytest.fixture
def engine():
    """Return an engine."""
    with ThreadPoolExecutor() as executor:
        yield Engine(executor)


class TestPump:
    """Decoding the frames of an open stream."""

    def test_frames_received_with_the_head(self, engine):
        """Frames that were read together with the head are not lost."""
        stream, _ = engine.open(HEAD + chunk(event(0)) + chunk(event(1, True)))
        stream.read_frames(engine.consume)
        assert engine.offsets == [0, 1]

    def test_frames_received_byte_by_byte(self, engine):
        """Events and chunks are reassembled from single bytes."""
        stream, engine_sock = engine.open(HEAD)
        body = chunk(event(0)) + chunk(b": ping\n\n") + chunk(event(1, True))
        with ThreadPoolExecutor(1) as executor:
            executor.submit(
                lambda: [engine_sock.sendall(bytes([byte])) for byte in body]
            )
            stream.read_frames(engine.consume)
        assert engine.offsets == [0, 1]

    @pytest.mark.parametrize("head", [HEAD, PLAIN_HEAD])
    def test_end_of_connection_ends_the_stream(self, engine, head):
        """The stream ends with its connection, complete or not."""
        data = event(0) if head is PLAIN_HEAD else chunk(event(0))
        stream, engine_sock = engine.open(head + data)
        engine_sock.close()
        stream.read_frames(engine.consume)
        assert engine.offsets == [0]

    @pytest.mark.parametrize("bad", [b"zz\r\n", chunk(b"data: {]\n\n")])
    def test_invalid_data_breaks_the_call(self, engine, bad):
        """An invalid chunk or event raises BrokenCallError."""
        stream, _ = engine.open(HEAD + bad)
        with pytest.raises(BrokenCallError):
            stream.read_frames(engine.consume)


class TestFraming:
    """Bodies that end before their connection does."""

    EVENTS = event(0) + event(1) + event(2, True)

    @pytest.mark.parametrize("name", MALFORMED_CHUNKS)
    def test_malformed_chunk(self, engine, name):
        """Nothing is read beyond it, and the connection is not used again."""
        body = chunks(self.EVENTS, **MALFORMED_CHUNKS[name])
        stream, engine_sock = engine.open(HEAD + body)
        engine_sock.close()
        if name.startswith("size"):
            with pytest.raises(BrokenCallError):
                stream.read_frames(engine.consume)
            assert engine.offsets == []
        else:
            stream.read_frames(engine.consume)
            assert engine.offsets == [0, 1, 2]
        stream.close()
        assert engine.idle_connections == 0

    @pytest.mark.parametrize("name", VALID_CHUNKS)
    @pytest.mark.parametrize("is_split", [False, True])
    def test_valid_chunks(self, engine, name, is_split):
        """The whole stream is read, and the connection may be used again."""
        body = chunks(self.EVENTS, **VALID_CHUNKS[name])
        stream, engine_sock = engine.open(HEAD + body[: 9 if is_split else None])
        with ThreadPoolExecutor(1) as executor:
            if is_split:
                executor.submit(
                    lambda: [engine_sock.sendall(bytes([byte])) for byte in body[9:]]
                )
            stream.read_frames(engine.consume)
        assert engine.offsets == [0, 1, 2]
        # The end of the body may still be on its way, which costs the connection.
        stream.close()
        assert engine.idle_connections == 1 or is_split

    @pytest.mark.parametrize("offsets", [[], [0], [0, 1]])
    def test_body_of_known_length(self, engine, offsets):
        """What follows it is no part of the stream, but bytes that are not due."""
        length = sum(len(event(offset)) for offset in offsets)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length
        stream, _ = engine.open(head + self.EVENTS)
        stream.read_frames(engine.consume)
        assert engine.offsets == offsets
        stream.close()
        assert engine.idle_connections == 0

    def test_connection_after_a_body_of_known_length(self, engine):
        """It may be used again."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.EVENTS)
        stream, _ = engine.open(head + self.EVENTS)
        stream.read_frames(engine.consume)
        stream.close()
        assert engine.idle_connections == 1


class TestEndlessStreams:
    """Bytes without end that are no frames."""

    @pytest.mark.parametrize(
        ("first", "repeated"),
        [
            (chunk(event(0)) + b"1;", b"e" * 4096),
            (chunk(event(0)) + b"0\r\n", b"x: y\r\n" * 512),
            (chunk(event(0)), chunk(b"data" * 1024)),
            (chunk(event(0)), chunk(b": ping\n\n" * 512)),
        ],
        ids=["chunk extension", "trailers", "one event", "comments"],
    )
    def test_stream_breaks(self, engine, first, repeated):
        """They are not buffered without end."""
        stream, engine_sock = engine.open(HEAD + first)

        def send_without_end():
            with contextlib.suppress(OSError):
                while True:
                    engine_sock.sendall(repeated)

        with ThreadPoolExecutor(1) as sending:
            sending.submit(send_without_end)
            with pytest.raises(BrokenCallError):
                stream.read_frames(engine.consume)
            stream.close()
        assert engine.offsets == [0]


class TestClose:
    """Closing a stream."""

    def test_connection_of_a_complete_stream_is_reused(self, engine):
        """The next call uses the same connection."""
        stream, engine_sock = engine.open(HEAD + chunk(event(0, True)) + LAST_CHUNK)
        stream.read_frames(engine.consume)
        stream.close()
        with ThreadPoolExecutor(1) as calling:
            next_call = calling.submit(engine.call)
            assert engine_sock.recv(65_536).startswith(b"POST")
            engine_sock.sendall(HEAD + LAST_CHUNK)
            next_call.result()

    def test_connection_with_unread_data_is_reset(self, engine):
        """The reset cancels the request at the engine."""
        stream, engine_sock = engine.open(HEAD + chunk(event(0, True)))
        stream.read_frames(engine.consume)
        stream.close()
        with pytest.raises(ConnectionResetError):
            engine_sock.recv(1)
