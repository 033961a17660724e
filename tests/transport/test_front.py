"""Tests of the answers to refused requests and of the admission switch."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest

from camphoryard.platform.dialect import PlatformDialect
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.verdict import Verdict
from camphoryard.transport.front import AdmissionSwitch, FrontApp, refusal_status
from camphoryard.transport.http_server import make_server
from tests.fakes.engines import RecordedLog

NOT_RUN, MAY_HAVE_RUN = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN


class TestRefuse:
    """Requests that the server itself refuses."""

    def test_client_without_room_is_told_when_to_come_again(self):
        """The load: a crowd that fills the memory of a node."""
        log = RecordedLog()
        context = SimpleNamespace(
            directory=SimpleNamespace(rules=None), count=lambda name: None, log=log
        )
        response = FrontApp(context, PlatformDialect()).refuse(503, "no room")
        assert (response.status, response.headers) == (503, {"Retry-After": "1.000"})


class TestRefusalStatus:
    """503 guarantees that the request has not run; 502 and 504 do not."""

    @pytest.mark.parametrize(
        ("reason", "verdict", "status"),
        [
            (Reason.OVERLOADED, NOT_RUN, 503),
            (Reason.OVER_QUOTA, NOT_RUN, 429),
            (Reason.NO_ENDPOINT, NOT_RUN, 503),
            (Reason.NO_ENDPOINT, MAY_HAVE_RUN, 502),
            (Reason.DEADLINE, NOT_RUN, 503),
            (Reason.DEADLINE, MAY_HAVE_RUN, 504),
            (Reason.ENDPOINT_FAILED, MAY_HAVE_RUN, 502),
            (Reason.QUARANTINED, NOT_RUN, 503),
            (Reason.QUARANTINED, MAY_HAVE_RUN, 502),
            (Reason.NOT_FOUND, NOT_RUN, 404),
            (Reason.BAD_HEADER, NOT_RUN, 400),
            (Reason.HEADER_TOO_LARGE, NOT_RUN, 431),
            (Reason.BODY_TOO_LARGE, NOT_RUN, 413),
            (Reason.TOO_SLOW, NOT_RUN, 408),
            (Reason.STALE_CONFIGURATION, NOT_RUN, 503),
        ],
    )
    def test_status(self, reason, verdict, status):
        """Verdict and reason determine the status."""
        assert refusal_status(RefusalError(reason, "x", verdict)) == status

    @pytest.mark.parametrize("reason", list(Reason))
    def test_request_that_may_have_run_gets_no_429_or_503(self, reason):
        """No reason gives a status that guarantees that the request has not run."""
        status = refusal_status(RefusalError(reason, "x", MAY_HAVE_RUN))
        assert status not in (429, 503)


HOST = "127.0.0.1"
TIMEOUT_S = 10.0
REQUEST = (
    b"POST /a/b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
    b"Attempt-Id: q1\r\nContent-Length: 2\r\n\r\nhi"
)


@pytest.fixture
def answer(monkeypatch):
    """Return a function that sends a request and returns all that the client gets."""
    executor = ThreadPoolExecutor()
    context = SimpleNamespace(
        log=RecordedLog(),
        count=lambda _: None,
        directory=SimpleNamespace(rules=None),
    )
    app = FrontApp(context, PlatformDialect())
    server = make_server(app, HOST, 0, executor, app.refuse)
    threading.Thread(target=server.run, daemon=True).start()

    def send(forward):
        monkeypatch.setattr("camphoryard.transport.front.forward", forward)
        address = (HOST, server.effective_port)
        with socket.create_connection(address, TIMEOUT_S) as connection:
            connection.sendall(REQUEST)
            return b"".join(iter(lambda: connection.recv(4096), b""))

    yield send
    server.close()
    executor.shutdown()


class SingleTask(ThreadPoolExecutor):
    """Runs one task at a time; counts the submitted ones."""

    def __init__(self):
        super().__init__(1)
        self.submitted = threading.Semaphore(0)

    def submit(self, *args, **kwargs):
        """Submit a task."""
        future = super().submit(*args, **kwargs)
        self.submitted.release()
        return future


# Guards against CONFIG and BUDGET: requests that had waited for a task were held past
# the time-out of their route, and endpoints were told more time than was left.
class TestArrival:
    """Requests that wait for a task, as others occupy all of them."""

    def test_time_in_the_queue_counts(self, monkeypatch):
        """A request arrives when it has been received."""
        arrived_s, begun, go_on = [], threading.Event(), threading.Event()

        def forward(context, request, cancellation, reply):
            arrived_s.append(request.arrived_s)
            begun.set()
            go_on.wait(TIMEOUT_S)
            raise RefusalError(Reason.OVERLOADED, "x", NOT_RUN)

        monkeypatch.setattr("camphoryard.transport.front.forward", forward)
        context = SimpleNamespace(
            log=RecordedLog(),
            count=lambda _: None,
            directory=SimpleNamespace(rules=None),
        )
        app = FrontApp(context, PlatformDialect())
        with SingleTask() as executor:
            server = make_server(app, HOST, 0, executor, app.refuse)
            threading.Thread(target=server.run, daemon=True).start()
            address = (HOST, server.effective_port)
            with (
                socket.create_connection(address, TIMEOUT_S) as first,
                socket.create_connection(address, TIMEOUT_S) as second,
            ):
                first.sendall(REQUEST)
                assert executor.submitted.acquire(timeout=TIMEOUT_S)
                assert begun.wait(TIMEOUT_S)
                second.sendall(REQUEST)
                assert executor.submitted.acquire(timeout=TIMEOUT_S)
                released_s = time.monotonic()
                go_on.set()
                assert second.recv(4096)
            server.close()
        assert len(arrived_s) == 2
        assert arrived_s[1] < released_s


# Guards against LOST: a connection closed where a status could still be sent.
class TestUnansweredRequests:
    """What a client gets if forwarding its request fails."""

    @pytest.mark.parametrize("verdict", [NOT_RUN, MAY_HAVE_RUN])
    @pytest.mark.parametrize("reason", list(Reason))
    def test_refused_request_gets_a_status(self, answer, reason, verdict):
        """Nothing of an answer was sent, whatever ends the request."""

        def forward(context, request, cancellation, reply):
            raise RefusalError(reason, "x", verdict)

        status = refusal_status(RefusalError(reason, "x", verdict))
        assert answer(forward).startswith(f"HTTP/1.1 {status} ".encode())

    def test_fault_of_the_program_gets_a_status(self, answer):
        """It does not promise that the request has not run."""

        def forward(context, request, cancellation, reply):
            raise RuntimeError("a fault")

        assert answer(forward).startswith(b"HTTP/1.1 502 ")

    def test_answer_whose_head_cannot_be_written_gets_a_status(self, answer):
        """A header of the endpoint may have a line break in it."""

        def forward(context, request, cancellation, reply):
            reply.send_complete(200, {"X-Folded": "a\r\n b"}, b"ok")

        assert answer(forward).startswith(b"HTTP/1.1 500 ")

    def test_answer_that_has_begun_ends_without_its_end(self, answer):
        """The client sees that it is not complete."""

        def forward(context, request, cancellation, reply):
            reply.begin(200, {})
            reply.write(b"data: 1\n\n")
            raise RefusalError(Reason.ENDPOINT_FAILED, "x", MAY_HAVE_RUN)

        received = answer(forward)
        assert received.startswith(b"HTTP/1.1 200 ")
        assert not received.endswith(b"0\r\n\r\n")


class TestAdmissionSwitch:
    """Admission on a node that stops."""

    def test_closed_switch_refuses_as_not_run(self):
        """The refusal lets the client retry at another node soon."""
        admission = AdmissionSwitch()
        admission.check()
        admission.close()
        with pytest.raises(RefusalError) as caught:
            admission.check()
        assert caught.value.verdict is NOT_RUN
        assert 0 < caught.value.retry_after_s < 1
