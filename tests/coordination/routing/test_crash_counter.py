"""Tests of the quarantine of requests that crash endpoints."""

from dataclasses import replace

import pytest

from camphoryard.coordination.forwarding.ports import ClientRequest
from camphoryard.coordination.routing.crash_counter import (
    MAX_RECORDED_REQUESTS,
    MIN_OTHER_ANSWERS,
    QUARANTINE_S,
    CrashCounter,
    fingerprint,
)
from camphoryard.coordination.routing.told_quarantines import MAX_TOLD_REQUESTS
from camphoryard.state.ids import RequestId
from tests.fakes.engines import SERVICE, Clock, RecordedLog

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

    def test_missed_answers_are_told_once_the_request_comes_again(self):
        """A digest decides nothing by itself."""
        self.crash(3)
        self.answer(50)
        assert not self.counter.quarantine_s_by_request()
        assert self.counter.is_quarantined("shared")
        assert self.counter.quarantine_s_by_request().keys() == {"shared"}

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


# Guards against BUDGET: nodes that were started again sent quarantined requests on.
class TestQuarantinesOfPeers:
    """Quarantines that nodes tell each other."""

    LEFT_S = 60.0

    def setup_method(self):
        """Make a node that has quarantined a request."""
        self.clock = Clock()
        self.counter = CrashCounter(self.clock)
        self.started = CrashCounter(self.clock)
        for endpoint in ("e1", "e2", "e3"):
            self.counter.observe("deadly", endpoint, 1, SERVICE)

    def test_quarantine_ends_at_all_nodes_at_the_same_time(self):
        """The time left is told."""
        self.clock.advance(QUARANTINE_S - self.LEFT_S)
        told = self.counter.quarantine_s_by_request()
        assert told == {"deadly": pytest.approx(self.LEFT_S)}
        self.started.adopt(told)
        assert self.started.is_quarantined("deadly")
        assert self.started.quarantine_s_by_request() == told
        self.clock.advance(self.LEFT_S)
        assert not self.started.is_quarantined("deadly")
        assert self.started.quarantine_s_by_request() == {}

    def test_only_quarantines_in_force_are_told(self):
        """Not the requests beside them, nor those that are answered."""
        for endpoint in ("e1", "e2"):
            self.counter.observe("beside", endpoint, 1, SERVICE)
        self.counter.record_answered("shared", SERVICE)
        self.clock.advance(0.1)
        for endpoint in ("e1", "e2", "e3"):
            self.counter.observe("shared", endpoint, 2, SERVICE)
        assert self.counter.quarantine_s_by_request().keys() == {"deadly"}

    def test_request_that_this_node_has_answered_is_not_refused_on_a_peers_word(self):
        """Its own crashes tell when the answers are missed."""
        self.started.record_answered("deadly", SERVICE)
        self.started.adopt(self.counter.quarantine_s_by_request())
        assert not self.started.is_quarantined("deadly")

    def test_answer_ends_the_quarantine_of_a_peer(self):
        """It may have been on its way when the quarantine was told."""
        self.started.adopt(self.counter.quarantine_s_by_request())
        self.started.record_answered("deadly", SERVICE)
        assert not self.started.is_quarantined("deadly")
        assert self.started.quarantine_s_by_request() == {}

    def test_nodes_do_not_prolong_quarantines_for_each_other(self):
        """What they tell each other is late, by up to a second here."""
        delay_s = 1.0
        nodes = [self.counter, self.started]
        for _ in range(int(QUARANTINE_S) + 10):
            told = [node.quarantine_s_by_request() for node in nodes]
            self.clock.advance(delay_s)
            for node, heard in zip(nodes, reversed(told), strict=True):
                node.adopt(heard)
        assert not any(node.is_quarantined("deadly") for node in nodes)

    def test_number_told_at_once_is_bounded(self):
        """All are told in the end."""
        requests = {f"f{number}" for number in range(3 * MAX_TOLD_REQUESTS)}
        for request in requests:
            for endpoint in ("e1", "e2", "e3"):
                self.counter.observe(request, endpoint, 3, SERVICE)
        for _ in range(200):
            told = self.counter.quarantine_s_by_request()
            assert len(told) == MAX_TOLD_REQUESTS
            self.started.adopt(told)
        assert all(self.started.is_quarantined(request) for request in requests)

    def test_number_adopted_is_bounded(self):
        """The oldest make room."""
        for number in range(MAX_RECORDED_REQUESTS + 1):
            self.started.adopt({f"f{number}": self.LEFT_S})
        assert not self.started.is_quarantined("f0")
        assert self.started.is_quarantined(f"f{MAX_RECORDED_REQUESTS}")

    def test_adopted_quarantine_is_logged_once(self):
        """Peers tell it many times a second."""
        log = RecordedLog()
        started = CrashCounter(self.clock, log)
        for _ in range(3):
            started.adopt(self.counter.quarantine_s_by_request())
        fields = {"fingerprint": "deadly", "left_s": round(QUARANTINE_S)}
        assert log.lines == [("request_quarantined", fields)]
