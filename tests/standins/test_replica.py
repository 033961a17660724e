"""Tests of the stand-in for a replica: when it sends refusals again."""

import random
import socket
import threading
from http.client import HTTPResponse

import pytest

from standins.fleet import HOST
from standins.replica import Replica

PERCENT = 100


@pytest.fixture
def replica(tmp_path):
    """Return a replica that declines all requests."""
    journal = tmp_path / "r1.jsonl"
    return Replica("r1", journal, random.Random(1), percent_by_fault={"shed": PERCENT})


class Caller:
    """A kept connection to a replica."""

    def __init__(self, replica):
        with socket.create_server((HOST, 0)) as listener:
            self.socket = socket.create_connection(listener.getsockname(), 5.0)
            served, _ = listener.accept()
        self.thread = threading.Thread(target=replica.serve, args=(served,))
        self.thread.start()

    def send(self, id, **headers):
        """Send a booking."""
        sent = {"Attempt-Id": id, **headers}
        lines = "".join(f"{name}: {text}\r\n" for name, text in sent.items())
        self.socket.sendall(f"POST /book/1 HTTP/1.1\r\n{lines}\r\n".encode())

    def receive(self):
        """Return status and request id of the next answer."""
        response = HTTPResponse(self.socket)
        # Read byte by byte, so that no byte of the next answer is taken.
        response.fp = self.socket.makefile("rb", buffering=0)
        response.begin()
        response.read()
        return response.status, response.headers.get("Attempt-Id")

    def close(self):
        """End the connection and the thread that serves it."""
        self.socket.close()
        self.thread.join()


@pytest.fixture
def caller(replica):
    """Return a connection to the replica."""
    caller = Caller(replica)
    yield caller
    caller.close()


class TestRepeatedRefusals:
    """Refusals that are sent once more bear the id of the refused request."""

    @pytest.fixture(autouse=True)
    def keep_ids(self, monkeypatch):
        """Leave out the id of none."""
        monkeypatch.setattr("standins.replica.BARE_SHARE", 0.0)

    @pytest.mark.parametrize("fault", ["echo", "late"])
    def test_before_the_next_request(self, replica, caller, fault):
        """At once or on the idle connection."""
        replica.percent_by_fault[fault] = PERCENT
        caller.send("b1")
        assert [caller.receive() for _ in range(2)] == [(503, "b1")] * 2

    def test_where_the_next_answer_is_due(self, replica, caller):
        """The last refusal of the connection comes before the answer."""
        for id in ("b1", "b2"):
            caller.send(id)
            caller.receive()
        replica.percent_by_fault |= {"shed": 0, "stale": PERCENT}
        caller.send("b3")
        assert [caller.receive() for _ in range(2)] == [(503, "b2"), (200, "b3")]

    def test_of_the_request_that_is_under_way_again(self, replica, caller):
        """Its own refusal comes before the later one of another request."""
        for id in ("b1", "b2"):
            caller.send(id)
            caller.receive()
        replica.percent_by_fault |= {"shed": 0, "stale": PERCENT}
        caller.send("b1")
        assert [caller.receive() for _ in range(2)] == [(503, "b1"), (200, "b1")]

    @pytest.mark.parametrize(
        ("headers", "status"),
        [({"Expect-Instance": "r0"}, 421), ({"Model": "m1"}, 421)],
    )
    def test_misdirected_requests(self, replica, caller, headers, status):
        """A replica that took over an address, and an engine without the model."""
        replica.percent_by_fault["echo"] = PERCENT
        caller.send("b1", **headers)
        assert [caller.receive() for _ in range(2)] == [(status, "b1")] * 2

    def test_request_for_a_rest(self, replica, caller):
        """A copy of a 503 names the time of the first."""
        replica.rest_until_s = float("inf")
        replica.percent_by_fault["echo"] = PERCENT
        caller.send("b1")
        assert [caller.receive() for _ in range(2)] == [(503, "b1")] * 2
