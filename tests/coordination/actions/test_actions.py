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
from tests.fakes.object_api import InMemoryRecords

ANSWER = ActionAnswer(200, b"booked")
ENDPOINTS = ("b1", "b2")


class ScriptedServices:
    """Services with a scripted outcome for each call."""

    def __init__(self):
        self.script = []
        self.called = []

    def call(self, endpoint, request):
        """Return or raise the next scripted outcome."""
        self.called.append(endpoint.id)
        outcome = self.script.pop(0) if self.script else ANSWER
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


def make_configuration(generation=1, endpoints=ENDPOINTS):
    """Return a configuration of one service at ``endpoints``."""
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
def context():
    """Return the context of one node with scripted services."""
    timer = TimerService()
    records = InMemoryRecords()
    timeline = Timeline("n1", HybridClock(), lambda event: None)
    finalizer = ClaimFinalizer(records, timeline)
    configuration = ConfigurationHolder()
    configuration.adopt(make_configuration())
    yield ActionContext(
        configuration,
        ClaimContext("i1", records, finalizer, NodeTable(), timer, timeline),
        InFlightTable(),
        Router(RoundRobin(), lambda endpoint: 0.0),
        ScriptedServices(),
    )
    timer.close()


def make_request(operation="book", key="k1", time_left_s=60.0):
    """Return a call with a deadline in ``time_left_s`` seconds."""
    deadline_s = time.monotonic() + time_left_s
    return ActionRequest(
        "r1", "front-desk", "bookings", operation, b"{}", deadline_s, None, key
    )


def refusal_of(context, request):
    """Return the refusal of a request that must be refused."""
    with pytest.raises(RefusalError) as caught:
        act(context, request)
    return caught.value.reason, caught.value.verdict


def state_of(context, request):
    """Return the state of the request's claim."""
    return context.claim_context.claims.get(claim_key(request)).record.state


class TestActOnce:
    """Operations that run at most once."""

    def test_key_is_required(self, context):
        """A request without an idempotency key is refused and not sent."""
        refused = refusal_of(context, make_request(key=None))
        assert refused == (Reason.KEY_REQUIRED, Verdict.NOT_RUN)
        assert context.services.called == []

    def test_unreachable_endpoint_is_skipped(self, context):
        """Another endpoint is tried only when nothing was sent to the first."""
        context.services.script = [NotSentError("refused")]
        assert act(context, make_request()) == ANSWER
        assert sorted(context.services.called) == ["b1", "b2"]

    def test_broken_call_is_never_repeated(self, context):
        """The action may have run, so neither this request nor a resend repeats it."""
        context.services.script = [BrokenCallError("reset")]
        refused = refusal_of(context, make_request())
        assert refused == (Reason.ENDPOINT_FAILED, Verdict.MAY_HAVE_RUN)
        refused = refusal_of(context, make_request())
        assert refused == (Reason.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN)
        assert len(context.services.called) == 1

    def test_key_is_released_when_nothing_was_sent(self, context):
        """If no endpoint is reachable, the verdict is NOT_RUN and a resend runs."""
        context.services.script = [NotSentError("refused")] * len(ENDPOINTS)
        refused = refusal_of(context, make_request())
        assert refused == (Reason.ENDPOINT_FAILED, Verdict.NOT_RUN)
        assert act(context, make_request()) == ANSWER

    def test_request_past_its_deadline_is_not_sent(self, context):
        """The claim is released if the deadline passes before the call."""
        request = make_request(time_left_s=-1.0)
        assert refusal_of(context, request) == (Reason.DEADLINE, Verdict.NOT_RUN)
        assert context.services.called == []
        assert state_of(context, request) is ClaimState.RELEASED

    def test_recorded_answer_needs_no_endpoint(self, context):
        """The answer of a finished action is replayed without any usable endpoint."""
        act(context, make_request())
        context.configuration.adopt(make_configuration(2, ()))
        assert act(context, make_request()) == replace(ANSWER, replayed=True)
        refused = refusal_of(context, make_request(key="k2"))
        assert refused == (Reason.NO_ENDPOINT, Verdict.NOT_RUN)


class TestActIdempotent:
    """Operations that can be repeated."""

    def test_broken_call_is_repeated_at_another_endpoint(self, context):
        """The answer of another endpoint is returned, and no claim is written."""
        context.services.script = [BrokenCallError("reset")]
        assert act(context, make_request("availability")) == ANSWER
        assert not context.claim_context.claims.stored_by_key

    @pytest.mark.parametrize(
        ("error", "verdict"),
        [
            (NotSentError("refused"), Verdict.NOT_RUN),
            (BrokenCallError("reset"), Verdict.MAY_HAVE_RUN),
        ],
    )
    def test_verdict_depends_on_whether_a_call_was_sent(self, context, error, verdict):
        """If every endpoint fails, the verdict is NOT_RUN only if no call was sent."""
        context.services.script = [error, NotSentError("refused")]
        refused = refusal_of(context, make_request("availability"))
        assert refused == (Reason.ENDPOINT_FAILED, verdict)


class TestAnswerTooLarge:
    """Answers above the size limit: the call ran but its answer is not returned."""

    @pytest.mark.parametrize(
        ("status", "verdict"), [(200, Verdict.RAN), (500, Verdict.MAY_HAVE_RUN)]
    )
    @pytest.mark.parametrize("operation", ["availability", "book"])
    def test_call_is_refused_and_sent_once(self, context, operation, status, verdict):
        """No other endpoint is tried; after a server error the action may have run."""
        context.services.script = [AnswerTooLargeError(status, 9)]
        refused = refusal_of(context, make_request(operation))
        assert refused == (Reason.ANSWER_TOO_LARGE, verdict)
        assert len(context.services.called) == 1

    def test_action_is_recorded_as_finished(self, context):
        """A resend is refused with the verdict RAN and is not sent."""
        context.services.script = [AnswerTooLargeError(200, 9)]
        refusal_of(context, make_request())
        again = refusal_of(context, make_request())
        assert again == (Reason.ANSWER_NOT_KEPT, Verdict.RAN)
        assert len(context.services.called) == 1
