"""Tests of reading all streams of an endpoint in one task."""

import contextlib
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from camphoryard.state.errors import StalledCallError
from camphoryard.transport.http_client import Address
from camphoryard.transport.stream_reading import (
    OpenStream,
    StreamLimits,
    StreamReaders,
)

NO_LIMITS = StreamLimits(1e6, 1e6)
ADDRESS = Address("127.0.0.1", 1)


class RecordingStream:
    """A stream over a socket pair that records the data it consumes."""

    def __init__(self):
        self.engine_sock, own_sock = socket.socketpair()
        own_sock.setblocking(False)
        self.consumed: list[bytes] = []
        self.threads: set[str] = set()
        self.data_consumed = threading.Semaphore(0)
        self.open_stream = OpenStream(own_sock, self._consume)

    def _consume(self, data):
        self.threads.add(threading.current_thread().name)
        self.consumed.append(data)
        self.data_consumed.release()
        if data == b"fail":
            raise KeyError(data)
        return not data or data.endswith(b".")


@pytest.fixture
def readers():
    """Return the stream readers of all endpoints."""
    with ThreadPoolExecutor(thread_name_prefix="stream") as executor:
        yield StreamReaders(executor)


class TestStreamReaders:
    """Streams of one endpoint."""

    def test_one_task_reads_all_streams_of_an_endpoint(self, readers):
        """All streams of an endpoint are read by the same thread."""
        streams = [RecordingStream() for _ in range(3)]
        for stream in streams:
            readers.start(ADDRESS, stream.open_stream)
        for stream in streams:
            stream.engine_sock.sendall(b"a")
            stream.data_consumed.acquire()
        for stream in streams:
            stream.engine_sock.sendall(b"b.")
            stream.open_stream.wait(NO_LIMITS)
        assert [stream.consumed for stream in streams] == [[b"a", b"b."]] * 3
        assert len(set.union(*(stream.threads for stream in streams))) == 1

    def test_new_task_starts_after_the_last_stream(self, readers):
        """A later stream of an endpoint without streams is read again."""
        for _ in range(3):
            stream = RecordingStream()
            readers.start(ADDRESS, stream.open_stream)
            stream.engine_sock.sendall(b"all.")
            stream.open_stream.wait(NO_LIMITS)
            assert stream.consumed == [b"all."]

    def test_error_in_one_stream_leaves_others_intact(self, readers):
        """Only the task that waits for the failed stream gets its error."""
        bad, good = RecordingStream(), RecordingStream()
        for stream in (bad, good):
            readers.start(ADDRESS, stream.open_stream)
        bad.engine_sock.sendall(b"fail")
        with pytest.raises(KeyError):
            bad.open_stream.wait(NO_LIMITS)
        good.engine_sock.sendall(b"all.")
        good.open_stream.wait(NO_LIMITS)


class TestOpenStream:
    """One stream."""

    def test_closed_connection_is_passed_as_empty_data(self, readers):
        """The consumer gets ``b""`` when the connection ends."""
        stream = RecordingStream()
        readers.start(ADDRESS, stream.open_stream)
        stream.engine_sock.close()
        stream.open_stream.wait(NO_LIMITS)
        assert stream.consumed == [b""]

    @pytest.mark.parametrize("limits", [StreamLimits(0.01, 1e6)])
    def test_no_first_token_stalls(self, readers, limits):
        """A stream without any data times out."""
        stream = RecordingStream()
        readers.start(ADDRESS, stream.open_stream)
        with pytest.raises(StalledCallError):
            stream.open_stream.wait(limits)

    def test_pause_between_tokens_stalls(self, readers):
        """A stream times out after a long pause and then consumes nothing more."""
        stream = RecordingStream()
        readers.start(ADDRESS, stream.open_stream)
        stream.engine_sock.sendall(b"a")
        stream.data_consumed.acquire()
        with pytest.raises(StalledCallError):
            stream.open_stream.wait(StreamLimits(1e6, 0.01))
        with pytest.raises(BrokenPipeError):
            stream.engine_sock.sendall(b"b")
        assert stream.consumed == [b"a", b""]

    def test_stream_without_further_tokens_stalls_although_it_sends_data(self, readers):
        """A byte now and then is no progress."""
        stream = RecordingStream()
        tokens = []
        open_stream = OpenStream(
            stream.open_stream.sock, stream._consume, tokens.__len__
        )
        readers.start(ADDRESS, open_stream)
        tokens.append("a")
        stream.engine_sock.sendall(b"a")
        stream.data_consumed.acquire()
        is_over = threading.Event()

        def send_bytes():
            while not is_over.wait(0.02):
                with contextlib.suppress(OSError):
                    stream.engine_sock.sendall(b"b")

        with ThreadPoolExecutor(1) as sending:
            sending.submit(send_bytes)
            with pytest.raises(StalledCallError):
                open_stream.wait(StreamLimits(1e6, 0.1, time.monotonic() + 5.0))
            is_over.set()
        assert stream.consumed[-1] == b""

    def test_slow_stream_with_tokens_goes_on(self, readers):
        """The limit applies to each pause, not to the whole stream."""
        stream = RecordingStream()
        open_stream = OpenStream(
            stream.open_stream.sock, stream._consume, lambda: len(stream.consumed)
        )
        readers.start(ADDRESS, open_stream)

        def send_tokens():
            for token in (b"a", b"b", b"c", b"d."):
                stream.engine_sock.sendall(token)
                time.sleep(0.2)

        with ThreadPoolExecutor(1) as sending:
            sending.submit(send_tokens)
            open_stream.wait(StreamLimits(1e6, 0.5))
        assert stream.consumed == [b"a", b"b", b"c", b"d."]

    def test_waiting_task_reads_first_data(self):
        """The waiting task reads the first data itself and times out without it."""
        stream = RecordingStream()
        with pytest.raises(StalledCallError):
            stream.open_stream.read_first(StreamLimits(0.0, 1e6))
        stream.engine_sock.sendall(b"a")
        assert not stream.open_stream.read_first(NO_LIMITS)
        stream.engine_sock.sendall(b"b.")
        assert stream.open_stream.read_first(NO_LIMITS)
        assert stream.consumed == [b"a", b"b."]

    def test_late_reader_is_no_stall(self, readers):
        """Unread data in the socket does not count as a pause of the engine."""
        stream = RecordingStream()
        stream.engine_sock.sendall(b"all.")
        with ThreadPoolExecutor(1) as waiting:
            waited = waiting.submit(stream.open_stream.wait, StreamLimits(0.0, 1e6))
            readers.start(ADDRESS, stream.open_stream)
            waited.result()
        assert stream.consumed == [b"all."]

    def test_stream_complete_at_its_deadline_succeeds(self, readers):
        """Data received before the deadline still completes an aborted stream."""
        stream = RecordingStream()
        stream.engine_sock.sendall(b"all.")
        with ThreadPoolExecutor(1) as waiting:
            limits = StreamLimits(1e6, 1e6, deadline_s=0.0)
            waited = waiting.submit(stream.open_stream.wait, limits)
            assert stream.engine_sock.recv(1) == b""
            readers.start(ADDRESS, stream.open_stream)
            waited.result()
        assert stream.consumed == [b"all."]
