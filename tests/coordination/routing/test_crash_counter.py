"""Tests of the quarantine of requests that crash endpoints."""

from dataclasses import replace

import pytest

from camphoryard.coordination.forwarding.ports import ClientRequest
from camphoryard.coordination.routing.crash_counter import (
    MIN_OTHER_ANSWERS,
    QUARANTINE_S,
    CrashCounter,
    fingerprint,
)
from camphoryard.state.ids import RequestId
from tests.fakes.engines import SERVICE, Clock

OTHER_SERVICE = "other"
GET = ClientRequest(RequestId("q1"), "GET", "h", "/a?b=c", {}, b"", 0.0, 1.0)


class TestCrashCounter:
    """Which requests are quarantined."""

    def test_two_crashes_do_not_quarantine(self):
        """A harmless request may twice have run beside one that crashes endpoints."""
        counter = CrashCounter(Clock())
        counter.observe("f", "e1")
        counter.observe("f", "e2")
        assert not counter.is_quarantined("f")

    def test_endpoint_is_counted_once(self):
        """Several nodes may report the same crash."""
        counter = CrashCounter(Clock())
        for _ in range(5):
            counter.observe("f", "e1")
        assert not counter.is_quarantined("f")

    def test_three_crashed_endpoints_quarantine_until_expiry(self):
        """The quarantine expires a fixed time after the last crash."""
        clock = Clock()
        counter = CrashCounter(clock)
        for endpoint in ("e1", "e2", "e3"):
            counter.observe("f", endpoint)
        assert counter.is_quarantined("f")
        clock.advance(QUARANTINE_S)
        assert not counter.is_quarantined("f")

    def test_restart_under_the_same_id_counts_again(self):
        """An endpoint may crash, start under its id and crash again."""
        counter = CrashCounter(Clock())
        for started_ms in (1, 2, 3):
            counter.observe("f", "e1", started_ms)
        assert counter.is_quarantined("f")


# Guards against BUDGET: a GET that crashed each endpoint was never refused.
class TestFingerprint:
    """What tells requests apart."""

    def test_request_without_a_body_is_told_by_its_target(self):
        """It comes again with the same path."""
        assert fingerprint(GET) == fingerprint(replace(GET, id=RequestId("q2")))

    @pytest.mark.parametrize(
        "change", [{"method": "HEAD"}, {"host": "i"}, {"target": "/a"}, {"body": b"x"}]
    )
    def test_other_requests_differ(self, change):
        """They may be sound."""
        assert fingerprint(GET) != fingerprint(replace(GET, **change))


# Guards against LOST: many clients send the same request, and it is sound.
class TestSharedRequests:
    """Requests that are at endpoints which crash for another reason."""

    def setup_method(self):
        """Make a node that has answered the request once in ten times."""
        self.clock = Clock()
        self.counter = CrashCounter(self.clock)
        self.answer(90)
        self.answer(10, "shared")

    def answer(self, count, request="other", service=SERVICE):
        """Answer requests at the same time."""
        for _ in range(count):
            self.counter.record_answered(request, service)

    def crash(self, count, request="shared", **options):
        """Have endpoints crash one after the other."""
        for number in range(count):
            self.clock.advance(0.1)
            endpoint = f"e{number}"
            started_ms = int(self.clock.now_s * 1000)
            self.counter.observe(request, endpoint, started_ms, SERVICE, **options)

    def test_request_that_is_answered_between_crashes_is_not_refused(self):
        """Another one crashes the endpoints."""
        for _ in range(10):
            self.crash(1)
            self.crash(1, "deadly")
            self.answer(MIN_OTHER_ANSWERS)
            self.answer(1, "shared")
        assert not self.counter.is_quarantined("shared")
        assert self.counter.is_quarantined("deadly")

    def test_request_is_not_refused_while_its_service_answers_nothing(self):
        """All endpoints of it are down, and other services go on."""
        self.crash(8)
        self.answer(1000, service=OTHER_SERVICE)
        assert not self.counter.is_quarantined("shared")

    def test_request_is_not_refused_before_its_turn(self):
        """Others of its service happen to be answered first."""
        self.crash(8)
        self.answer(MIN_OTHER_ANSWERS)
        assert not self.counter.is_quarantined("shared")
        self.answer(1, "shared")
        self.answer(1000)
        assert not self.counter.is_quarantined("shared")

    def test_request_whose_answers_are_missed_is_refused(self):
        """It may begin to crash endpoints."""
        self.crash(3)
        self.answer(50)
        assert self.counter.is_quarantined("shared")
        self.answer(1, "shared")
        assert not self.counter.is_quarantined("shared")

    def test_answer_at_the_node_that_reports_counts(self):
        """A node that has never had the request is told of the crashes only."""
        started = CrashCounter(self.clock)
        for number in range(8):
            self.clock.advance(0.1)
            started.observe("shared", f"e{number}", 1, SERVICE, answered_ago_s=0.01)
            for _ in range(MIN_OTHER_ANSWERS):
                started.record_answered("other", SERVICE)
        assert not started.is_quarantined("shared")

    def test_time_since_the_answer_is_told(self):
        """It is what other nodes need."""
        self.clock.advance(2.0)
        assert self.counter.answered_ago_s("shared") == 2.0
        assert self.counter.answered_ago_s("unknown") is None
