"""Tests of the reports of engines."""

import pytest

from camphoryard.platform.engines import PlatformEngines
from camphoryard.state.errors import BrokenCallError
from camphoryard.transport.http_client import HttpAnswer
from tests.fakes.engines import make_endpoint


class Client:
    """A client whose calls all get the same answer."""

    def __init__(self, status, body):
        self._answer = HttpAnswer(status, {}, body)

    def call(self, address, call):
        """Return the answer."""
        return self._answer


def report(status, body):
    """Return the report in an answer."""
    return PlatformEngines(Client(status, body)).report(make_endpoint("e1"))


class TestReport:
    """Answers to a request for a report."""

    def test_report_is_read(self):
        """It says what is loaded and how many orders were accepted."""
        body = b'{"models":[{"name":"m1","version":1,"adapters":["a1"]}],"seq":2}'
        found = report(200, body)
        assert set(found.loaded_by_model) == {"m1"}
        assert found.orders_accepted == 2

    @pytest.mark.parametrize(
        ("status", "body"),
        [
            (503, b'{"error":"full"}'),
            (503, b'{"models":[],"seq":0}'),
            (421, b"{}"),
            (200, b"{}"),
            (200, b'{"models":[]}'),
            (200, b"ok"),
        ],
    )
    def test_anything_else_is_no_report(self, status, body):
        """An engine that seems to be empty would be ordered to load too much."""
        with pytest.raises(BrokenCallError):
            report(status, body)
