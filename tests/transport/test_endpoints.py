"""Tests of calls to an engine that repeats the last answer of a connection."""

import contextlib
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import parse_headers

import pytest

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.inference.frames import FrameSequencer
from camphoryard.coordination.ports import Order
from camphoryard.state.configuration import Endpoint
from camphoryard.state.enums import EndpointKind, OrderKind
from camphoryard.state.errors import (
    BrokenCallError,
    EndpointRefusedError,
    StalledCallError,
)
from camphoryard.state.ids import EndpointId, FencingNumber, ItemId, OrderId, RequestId
from camphoryard.transport.endpoints import HttpEngines
from camphoryard.transport.http_client import HttpClient
from camphoryard.transport.stream_reading import StreamLimits, StreamReaders
from tests.fakes.serving import request

TIMEOUT_S = 2.0
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def answer(status, body):
    """Return a whole answer."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


def stream(id):
    """Return the whole stream of a request for one token."""
    data = b'data: {"request_id":"%b","offset":0,"finished":true}\n\n' % id.encode()
    return STREAM_HEAD + b"%x\r\n%b\r\n" % (len(data), data) + LAST_CHUNK


REFUSAL = answer(404, b'{"error":"not resident"}')


def read_call(reader):
    """Read a whole call; return False at the end of the connection."""
    if not reader.readline():
        return False
    reader.read(int(parse_headers(reader).get("Content-Length", 0)))
    return True


class Engine:
    """Answers the calls of all its connections with ``answers``, in order.

    Later calls of a connection first get the connection's previous answer again.
    ``is_idle`` is set once the client has closed the connection of the last call.
    """

    def __init__(self, *answers):
        self.is_idle = threading.Event()
        self._answers = list(answers)
        self._listener = socket.create_server(("127.0.0.1", 0))
        port = self._listener.getsockname()[1]
        self.endpoint = Endpoint(
            EndpointId("engine-1"), EndpointKind.ENGINE, "127.0.0.1", port, 9000
        )
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        previous, has_last_call = b"", False
        with connection, connection.makefile("rb") as reader:
            with contextlib.suppress(OSError):
                while read_call(reader):
                    own = self._answers.pop(0)
                    has_last_call = not self._answers
                    connection.sendall(previous + own)
                    previous = own
            if has_last_call:
                self.is_idle.set()


def read(opened, id):
    """Read a stream to its end or to that of the request's answer, and close it."""
    sequencer = FrameSequencer(id, 0)

    def take(frame):
        sequencer.add(frame)
        return sequencer.is_complete

    with contextlib.closing(opened):
        opened.read_frames(take)


@pytest.fixture
def engines():
    """Return the client of the engines."""
    client = HttpClient()
    with ThreadPoolExecutor() as executor:
        limits = StreamLimits(TIMEOUT_S, TIMEOUT_S)
        readers = StreamReaders(executor)
        yield HttpEngines(client, readers, limits, lambda endpoint, report: None)
        client.close()


class TestRunBehindACopy:
    """A request that runs at an engine, but an earlier answer was read for its own."""

    # Guards against: the run goes on while the request is sent to another engine.
    def test_run_behind_a_copied_refusal_ends(self, engines):
        """The engine is told that nobody waits for the run."""
        engine = Engine(REFUSAL, STREAM_HEAD)
        with pytest.raises(EndpointRefusedError):
            engines.generate(engine.endpoint, request("a"), 0, Cancellation())
        with contextlib.suppress(EndpointRefusedError):
            engines.generate(engine.endpoint, request("b"), 0, Cancellation()).close()
        assert engine.is_idle.wait(TIMEOUT_S)

    # Guards against: the run goes on while the request is sent to another engine.
    def test_run_behind_a_copied_stream_ends(self, engines):
        """A stream that ends without the request's answer keeps no connection."""
        first, second = request("a"), request("b")
        engine = Engine(stream(first.id), STREAM_HEAD)
        for item in (first, second):
            opened = engines.generate(engine.endpoint, item, 0, Cancellation())
            read(opened, item.id)
        assert engine.is_idle.wait(TIMEOUT_S)


# Guards against: a caller's first token was waited for past its deadline, as the head
# of the answer and what follows each had the whole time.
class TestTimeToFirstToken:
    """An engine that begins its answer late and then falls silent."""

    HEAD_AFTER_S = 0.7 * TIMEOUT_S

    @pytest.mark.parametrize(
        "head",
        [STREAM_HEAD, b"HTTP/1.1 500 X\r\nContent-Length: 9\r\n\r\n"],
        ids=["stream", "failure"],
    )
    def test_time_to_the_head_counts(self, engines, head):
        """The attempt ends within the limit of the first token."""

        def answer_late(listener):
            connection, _ = listener.accept()
            with connection, connection.makefile("rb") as reader:
                read_call(reader)
                time.sleep(self.HEAD_AFTER_S)
                connection.sendall(head)
                with contextlib.suppress(OSError):
                    reader.read(1)

        with socket.create_server(("127.0.0.1", 0)) as listener:
            task = threading.Thread(target=answer_late, args=(listener,), daemon=True)
            task.start()
            engine = Endpoint(
                EndpointId("e"),
                EndpointKind.ENGINE,
                "127.0.0.1",
                listener.getsockname()[1],
                9000,
            )
            began_s = time.monotonic()
            with pytest.raises((StalledCallError, EndpointRefusedError)):
                opened = engines.generate(engine, request("a"), 0, Cancellation())
                read(opened, RequestId("a"))
            assert time.monotonic() - began_s < TIMEOUT_S + self.HEAD_AFTER_S / 2
            task.join(10.0)


class TestRefusal:
    """Refusals whose explanation cannot be read."""

    # Guards against: a request ended with an error of the process's own, as memory for
    # whatever length a refusal claimed was asked for at once.
    @pytest.mark.parametrize(
        "framing",
        [
            b"Content-Length: 99999999999999999",
            b"Transfer-Encoding: chunked\r\n\r\nfffffffffffffff",
        ],
        ids=["length", "chunk"],
    )
    def test_claimed_length(self, engines, framing):
        """The engine refuses, whatever it claims of the rest."""
        engine = Engine(b"HTTP/1.1 503 X\r\n%b\r\n\r\nbusy" % framing)
        with pytest.raises(EndpointRefusedError) as caught:
            engines.generate(engine.endpoint, request("a"), 0, Cancellation())
        assert caught.value.status == 503


def refuse(engines, engine):
    """Have a request refused."""
    with pytest.raises(EndpointRefusedError):
        engines.generate(engine.endpoint, request(), 0, Cancellation())


def run(engines, engine):
    """Run a request."""
    opened = engines.generate(engine.endpoint, request(), 0, Cancellation())
    read(opened, request().id)


def order(engines, engine):
    """Order a load."""
    load = Order(OrderId("o"), OrderKind.LOAD, ItemId("m"), 1, FencingNumber(1))
    engines.order(engine.endpoint, load)


def take_stock(engines, engine):
    """Read the inventory."""
    engines.inventory(engine.endpoint)


class TestInventory:
    """What an engine has loaded."""

    # Guards against: a refusal counts as the inventory of an empty engine, to which
    # more is loaded than it has room for.
    @pytest.mark.parametrize("status", [202, 404, 503])
    def test_other_answers_are_no_inventory(self, engines, status):
        """They may be JSON objects as well, and every field has a default."""
        engine = Engine(answer(status, b'{"error":"busy"}'))
        with pytest.raises(BrokenCallError):
            engines.inventory(engine.endpoint)

    # Guards against: a loaded model counts as gone, so that more is loaded than the
    # engine has room for, and a sound request as the cause of a crash.
    @pytest.mark.parametrize(
        ("call", "earlier"),
        [
            (refuse, REFUSAL),
            (run, stream(request().id)),
            (order, answer(202, b'{"accepted":"o"}')),
            (take_stock, answer(200, b'{"resident":[]}')),
        ],
        ids=["refusal", "stream", "order", "inventory"],
    )
    def test_copy_of_an_earlier_answer_is_no_inventory(self, engines, call, earlier):
        """An inventory has nothing that tells which call it answers."""
        engine = Engine(earlier, answer(200, b'{"resident":["m"]}'))
        call(engines, engine)
        assert engines.inventory(engine.endpoint).resident == {"m"}
