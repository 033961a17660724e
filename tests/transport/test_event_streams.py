"""Tests of event streams over real sockets."""

import socket
from concurrent.futures import ThreadPoolExecutor

import pytest

from camphoryard.state.errors import BrokenCallError
from camphoryard.state.ids import RequestId
from camphoryard.state.requests import TokenFrame
from camphoryard.transport.event_streams import EventStream
from camphoryard.transport.http_client import Address, HttpCall, HttpClient
from camphoryard.transport.stream_reading import StreamLimits, StreamReaders

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PLAIN_HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
FAR = StreamLimits(1e6, 1e6)


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
    """An engine that writes what it is told, and the client's side of it."""

    def __init__(self, executor):
        self._server = socket.create_server(("127.0.0.1", 0))
        self._client = HttpClient()
        self._readers = StreamReaders(executor)
        self.offsets: list[int] = []

    def open(self, first):
        """Return a stream whose answer begins with ``first``, and its far end."""
        with ThreadPoolExecutor(1) as calling:
            opening = calling.submit(self.call)
            far, _ = self._server.accept()
            far.recv(65_536)
            far.sendall(first)
            answer = opening.result()
        return EventStream(answer, self._readers, FAR), far

    def call(self):
        """Return the answer to a call."""
        address = Address(*self._server.getsockname())
        return self._client.open(address, HttpCall("POST", "/"))

    def take(self, frame: TokenFrame) -> bool:
        """Note a frame; return whether it is the last."""
        assert frame.request_id == RequestId("a")
        self.offsets.append(frame.offset)
        return frame.finished


@pytest.fixture
def engine():
    """Return an engine."""
    with ThreadPoolExecutor() as executor:
        yield Engine(executor)


class TestPump:
    """Frames of an open stream."""

    def test_frames_that_came_with_the_head(self, engine):
        """What was read along with the head is not lost."""
        stream, _ = engine.open(HEAD + chunk(event(0)) + chunk(event(1, True)))
        stream.read_frames(engine.take)
        assert engine.offsets == [0, 1]

    def test_bytes_one_at_a_time(self, engine):
        """Events and chunks are put together however they are cut."""
        stream, far = engine.open(HEAD)
        body = chunk(event(0)) + chunk(b": ping\n\n") + chunk(event(1, True))
        with ThreadPoolExecutor(1) as sending:
            sending.submit(lambda: [far.sendall(bytes([byte])) for byte in body])
            stream.read_frames(engine.take)
        assert engine.offsets == [0, 1]

    @pytest.mark.parametrize("head", [HEAD, PLAIN_HEAD])
    def test_connection_that_ends(self, engine, head):
        """A stream whose connection ends is over, whole or not."""
        data = event(0) if head is PLAIN_HEAD else chunk(event(0))
        stream, far = engine.open(head + data)
        far.close()
        stream.read_frames(engine.take)
        assert engine.offsets == [0]

    @pytest.mark.parametrize("bad", [b"zz\r\n", chunk(b"data: {]\n\n")])
    def test_unreadable_data(self, engine, bad):
        """What cannot be read breaks the call."""
        stream, _ = engine.open(HEAD + bad)
        with pytest.raises(BrokenCallError):
            stream.read_frames(engine.take)


class TestClose:
    """Letting go of a stream."""

    def test_a_stream_read_to_its_end(self, engine):
        """Its connection serves the next call."""
        stream, far = engine.open(HEAD + chunk(event(0, True)) + LAST_CHUNK)
        stream.read_frames(engine.take)
        stream.close()
        with ThreadPoolExecutor(1) as calling:
            next_call = calling.submit(engine.call)
            assert far.recv(65_536).startswith(b"POST")
            far.sendall(HEAD + LAST_CHUNK)
            next_call.result()

    def test_an_unread_rest(self, engine):
        """Its connection is reset, which cancels the request at the engine."""
        stream, far = engine.open(HEAD + chunk(event(0, True)))
        stream.read_frames(engine.take)
        stream.close()
        with pytest.raises(ConnectionResetError):
            far.recv(1)
