"""Tests of reading the streams of an endpoint in one task."""

import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from camphoryard.state.errors import StalledCallError
from camphoryard.transport.http_client import Address
from camphoryard.transport.stream_reading import (
    Reading,
    StreamLimits,
    StreamReaders,
)

FAR = StreamLimits(1e6, 1e6)
ADDRESS = Address("127.0.0.1", 1)


class Stream:
    """A stream between two sockets; what it takes is noted."""

    def __init__(self):
        self.theirs, ours = socket.socketpair()
        ours.setblocking(False)
        self.taken: list[bytes] = []
        self.threads: set[str] = set()
        self.heard = threading.Semaphore(0)
        self.reading = Reading(ours, self._take)

    def _take(self, data):
        self.threads.add(threading.current_thread().name)
        self.taken.append(data)
        self.heard.release()
        if data == b"fail":
            raise KeyError(data)
        return not data or data.endswith(b".")


@pytest.fixture
def readers():
    """Return the readers of all endpoints."""
    with ThreadPoolExecutor(thread_name_prefix="stream") as executor:
        yield StreamReaders(executor)


class TestStreamReaders:
    """Streams of one endpoint."""

    def test_one_task_for_an_endpoint(self, readers):
        """All streams of an endpoint are read by the same thread."""
        streams = [Stream() for _ in range(3)]
        for stream in streams:
            readers.start(ADDRESS, stream.reading)
        for stream in streams:
            stream.theirs.sendall(b"a")
            stream.heard.acquire()
        for stream in streams:
            stream.theirs.sendall(b"b.")
            stream.reading.wait(FAR)
        assert [stream.taken for stream in streams] == [[b"a", b"b."]] * 3
        assert len(set.union(*(stream.threads for stream in streams))) == 1

    def test_a_new_task_after_the_last_stream(self, readers):
        """An endpoint that had no stream left is read again."""
        for _ in range(3):
            stream = Stream()
            readers.start(ADDRESS, stream.reading)
            stream.theirs.sendall(b"all.")
            stream.reading.wait(FAR)
            assert stream.taken == [b"all."]

    def test_failing_stream_leaves_the_others(self, readers):
        """What taking one stream raises is raised to who waits for it only."""
        bad, good = Stream(), Stream()
        for stream in (bad, good):
            readers.start(ADDRESS, stream.reading)
        bad.theirs.sendall(b"fail")
        with pytest.raises(KeyError):
            bad.reading.wait(FAR)
        good.theirs.sendall(b"all.")
        good.reading.wait(FAR)


class TestReading:
    """One stream."""

    def test_closed_connection(self, readers):
        """The end of the connection is handed on as no data."""
        stream = Stream()
        readers.start(ADDRESS, stream.reading)
        stream.theirs.close()
        stream.reading.wait(FAR)
        assert stream.taken == [b""]

    @pytest.mark.parametrize("limits", [StreamLimits(0.01, 1e6)])
    def test_silent_before_the_first_token(self, readers, limits):
        """A stream that never says anything stalls."""
        stream = Stream()
        readers.start(ADDRESS, stream.reading)
        with pytest.raises(StalledCallError):
            stream.reading.wait(limits)

    def test_silent_afterwards(self, readers):
        """A stream that falls silent stalls, and takes nothing afterwards."""
        stream = Stream()
        readers.start(ADDRESS, stream.reading)
        stream.theirs.sendall(b"a")
        stream.heard.acquire()
        with pytest.raises(StalledCallError):
            stream.reading.wait(StreamLimits(1e6, 0.01))
        with pytest.raises(BrokenPipeError):
            stream.theirs.sendall(b"b")
        assert stream.taken == [b"a", b""]

    def test_first_data_is_read_by_who_waits(self):
        """Before the hand-over the waiting task reads, and hears of silence."""
        stream = Stream()
        with pytest.raises(StalledCallError):
            stream.reading.read_first(StreamLimits(0.0, 1e6))
        stream.theirs.sendall(b"a")
        assert not stream.reading.read_first(FAR)
        stream.theirs.sendall(b"b.")
        assert stream.reading.read_first(FAR)
        assert stream.taken == [b"a", b"b."]

    def test_reader_that_is_behind(self, readers):
        """Data that waits to be read is no silence of the engine."""
        stream = Stream()
        stream.theirs.sendall(b"all.")
        with ThreadPoolExecutor(1) as waiting:
            waited = waiting.submit(stream.reading.wait, StreamLimits(0.0, 1e6))
            readers.start(ADDRESS, stream.reading)
            waited.result()
        assert stream.taken == [b"all."]

    def test_end_that_comes_while_it_is_broken_off(self, readers):
        """A stream that was whole by its deadline is not resumed elsewhere."""
        stream = Stream()
        stream.theirs.sendall(b"all.")
        with ThreadPoolExecutor(1) as waiting:
            limits = StreamLimits(1e6, 1e6, until_s=0.0)
            waited = waiting.submit(stream.reading.wait, limits)
            assert stream.theirs.recv(1) == b""
            readers.start(ADDRESS, stream.reading)
            waited.result()
        assert stream.taken == [b"all."]
