"""Tests of calls of plain services."""

import time
from dataclasses import replace

import pytest

from camphoryard.coordination.actions.actions import ActionContext, act
from camphoryard.coordination.actions.claim_finalizer import ClaimFinalizer
from camphoryard.coordination.actions.claiming import ClaimContext, claim_key
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.routing.routing import RoundRobin, Router
from camphoryard.state.configuration import (
    Configuration,
    Endpoint,
    Service,
    ServingGroup,
)
from camphoryard.state.enums import ClaimState, EndpointKind, Priority, Reason
from camphoryard.state.errors import (
    AnswerTooLargeError,
    BrokenCallError,
    NotSentError,
    RefusalError,
)
from camphoryard.state.nodes import NodeTable
from camphoryard.state.requests import ActionAnswer, ActionRequest
from camphoryard.state.tables import ConfigurationHolder, InFlightTable
from camphoryard.state.timeline import HybridClock
from camphoryard.state.verdict import Verdict
from camphoryard.transport.timer import TimerService
from tests.fakes.object_api import MemoryRecords

ANSWER = ActionAnswer(200, b"booked")
ENDPOINTS = ("b1", "b2")


class ScriptedServices:
    """Services that do what the script says, call by call."""

    def __init__(self):
        self.script = []
        self.called = []

    def call(self, endpoint, request):
        """Answer or fail as the next line of the script says."""
        self.called.append(endpoint.id)
        outcome = self.script.pop(0) if self.script else ANSWER
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


def make_configuration(generation=1, endpoints=ENDPOINTS):
    """Return one service at some endpoints."""
    service = Service("bookings", frozenset({"availability"}))
    return Configuration(
        generation=generation,
        services_by_id={"bookings": service},
        endpoints_by_id={
            name: Endpoint(name, EndpointKind.SERVICE, "127.0.0.1", 1)
            for name in endpoints
        },
        groups_by_id={"all": ServingGroup("all", Priority.URGENT)},
    )


@pytest.fixture
def parts():
    """Return the parts of one node over scripted services."""
    timer = TimerService()
    records = MemoryRecords()
    timeline = Timeline("n1", HybridClock(), lambda event: None)
    settler = ClaimFinalizer(records, timeline)
    configuration = ConfigurationHolder()
    configuration.adopt(make_configuration())
    yield ActionContext(
        configuration,
        ClaimContext("i1", records, settler, NodeTable(), timer, timeline),
        InFlightTable(),
        Router(RoundRobin(), lambda endpoint: 0.0),
        ScriptedServices(),
    )
    timer.close()


def make_request(operation="book", key="k1", left_s=60.0):
    """Return a call with a deadline in ``left_s`` seconds."""
    deadline_s = time.monotonic() + left_s
    return ActionRequest(
        "r1", "front-desk", "bookings", operation, b"{}", deadline_s, None, key
    )


def refusal_of(parts, request):
    """Return the refusal of a request that must be refused."""
    with pytest.raises(RefusalError) as caught:
        act(parts, request)
    return caught.value.reason, caught.value.verdict


def state_of(parts, request):
    """Return the state of the request's claim."""
    return parts.claiming.claims.get(claim_key(request)).record.state


class TestActOnce:
    """Operations that may run at most once."""

    def test_key_is_required(self, parts):
        """Without a key nothing is sent."""
        refused = refusal_of(parts, make_request(key=None))
        assert refused == (Reason.KEY_REQUIRED, Verdict.NOT_RUN)
        assert parts.services.called == []

    def test_unreached_endpoint_is_passed_over(self, parts):
        """Another endpoint is tried only when nothing was sent to the first."""
        parts.services.script = [NotSentError("refused")]
        assert act(parts, make_request()) == ANSWER
        assert sorted(parts.services.called) == ["b1", "b2"]

    def test_broken_call_is_never_repeated(self, parts):
        """It may have run: no other endpoint is tried, now or at a resend."""
        parts.services.script = [BrokenCallError("reset")]
        refused = refusal_of(parts, make_request())
        assert refused == (Reason.ENDPOINT_FAILED, Verdict.MAY_HAVE_RUN)
        refused = refusal_of(parts, make_request())
        assert refused == (Reason.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN)
        assert len(parts.services.called) == 1

    def test_key_is_free_when_nothing_was_sent(self, parts):
        """No endpoint could be reached: not run, and a resend may run."""
        parts.services.script = [NotSentError("refused")] * len(ENDPOINTS)
        refused = refusal_of(parts, make_request())
        assert refused == (Reason.ENDPOINT_FAILED, Verdict.NOT_RUN)
        assert act(parts, make_request()) == ANSWER

    def test_passed_deadline_is_not_sent(self, parts):
        """A claim that came too late is released."""
        request = make_request(left_s=-1.0)
        assert refusal_of(parts, request) == (Reason.DEADLINE, Verdict.NOT_RUN)
        assert parts.services.called == []
        assert state_of(parts, request) is ClaimState.RELEASED

    def test_recorded_answer_needs_no_endpoint(self, parts):
        """A finished action keeps its answer while its endpoints are away."""
        act(parts, make_request())
        parts.configuration.adopt(make_configuration(2, ()))
        assert act(parts, make_request()) == replace(ANSWER, replayed=True)
        refused = refusal_of(parts, make_request(key="k2"))
        assert refused == (Reason.NO_ENDPOINT, Verdict.NOT_RUN)


class TestActIdempotent:
    """Operations that may be repeated."""

    def test_broken_call_is_repeated_elsewhere(self, parts):
        """Any endpoint's answer will do, without a claim."""
        parts.services.script = [BrokenCallError("reset")]
        assert act(parts, make_request("availability")) == ANSWER
        assert not parts.claiming.claims.stored_by_key

    @pytest.mark.parametrize(
        ("error", "verdict"),
        [
            (NotSentError("refused"), Verdict.NOT_RUN),
            (BrokenCallError("reset"), Verdict.MAY_HAVE_RUN),
        ],
    )
    def test_verdict_tells_whether_anything_was_sent(self, parts, error, verdict):
        """When every endpoint fails, only unsent calls were not run."""
        parts.services.script = [error, NotSentError("refused")]
        refused = refusal_of(parts, make_request("availability"))
        assert refused == (Reason.ENDPOINT_FAILED, verdict)


class TestAnswerTooLarge:
    """Answers above the bound: the call ran and cannot be answered."""

    @pytest.mark.parametrize(
        ("status", "verdict"), [(200, Verdict.RAN), (500, Verdict.MAY_HAVE_RUN)]
    )
    @pytest.mark.parametrize("operation", ["availability", "book"])
    def test_is_a_true_error_and_sent_once(self, parts, operation, status, verdict):
        """No other endpoint is asked; a server error does not say how far it came."""
        parts.services.script = [AnswerTooLargeError(status, 9)]
        refused = refusal_of(parts, make_request(operation))
        assert refused == (Reason.ANSWER_TOO_LARGE, verdict)
        assert len(parts.services.called) == 1

    def test_action_is_finished(self, parts):
        """A resend is told that it ran and is not sent."""
        parts.services.script = [AnswerTooLargeError(200, 9)]
        refusal_of(parts, make_request())
        again = refusal_of(parts, make_request())
        assert again == (Reason.ANSWER_NOT_KEPT, Verdict.RAN)
        assert len(parts.services.called) == 1
