"""Tests of claims on idempotency keys."""

import time
from dataclasses import replace

import pytest

from camphoryard.coordination.actions.claim_finalizer import ClaimFinalizer
from camphoryard.coordination.actions.claiming import (
    MAX_STORED_BODY_BYTES,
    ClaimContext,
    HeldClaim,
    acquire_claim,
    claim_key,
    fingerprint,
    record_answer,
    record_unknown_outcome,
    release_claim,
)
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.state.claims import Claim
from camphoryard.state.enums import ClaimState, Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import ABSENT
from camphoryard.state.nodes import NodeTable
from camphoryard.state.requests import ActionAnswer, ActionRequest
from camphoryard.state.timeline import HybridClock
from camphoryard.state.verdict import Verdict
from camphoryard.transport.timer import TimerService
from tests.fakes.object_api import InMemoryRecords

DEADLINE_S = 60.0
ANSWER = ActionAnswer(201, b"booked")


@pytest.fixture
def context():
    """Return the context of node n1 with an in-memory object API."""
    timer = TimerService()
    records = InMemoryRecords()
    timeline = Timeline("n1", HybridClock(), lambda event: None)
    yield ClaimContext(
        "i1", records, ClaimFinalizer(records, timeline), NodeTable(), timer, timeline
    )
    timer.close()


def make_request(**fields):
    """Return a booking request with an idempotency key."""
    deadline_s = time.monotonic() + DEADLINE_S
    request = ActionRequest(
        "r1", "front-desk", "bookings", "book", b"{}", deadline_s, None, "k1"
    )
    return replace(request, **fields)


def refusal_of(context, request):
    """Return the refusal of a request that must be refused."""
    with pytest.raises(RefusalError) as caught:
        acquire_claim(context, request)
    return caught.value.reason, caught.value.verdict


class TestClaimKey:
    """Scope of idempotency keys."""

    def test_key_is_scoped_by_caller_and_service(self):
        """The same key from another caller or for another service is independent."""
        requests = [
            make_request(),
            make_request(caller="meter-app"),
            make_request(service="claims"),
            make_request(caller="front-desk1", key="k"),
        ]
        assert len({claim_key(item) for item in requests}) == len(requests)


class TestAcquireClaim:
    """Claiming a key, or finding the outcome of an earlier claim."""

    def test_free_key_is_claimed(self, context):
        """The claim is stored in the object API before the function returns."""
        held_claim = acquire_claim(context, make_request())
        assert context.claims.get(held_claim.key).record.state is ClaimState.CLAIMED

    def test_answer_of_finished_action_is_replayed(self, context):
        """The recorded status and body are returned."""
        record_answer(context, acquire_claim(context, make_request()), ANSWER)
        assert acquire_claim(context, make_request(id="r2")) == replace(
            ANSWER, replayed=True
        )

    def test_released_key_is_claimed_again(self, context):
        """A released claim does not block the key."""
        release_claim(context, acquire_claim(context, make_request()))
        assert isinstance(acquire_claim(context, make_request(id="r2")), HeldClaim)

    def test_unknown_outcome_is_never_claimed(self, context):
        """A key whose action may have run is refused with that verdict."""
        record_unknown_outcome(context, acquire_claim(context, make_request()))
        refused = refusal_of(context, make_request(id="r2"))
        assert refused == (Reason.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN)

    def test_claim_of_a_dead_node_is_never_claimed(self, context):
        """A claim of a node whose lease has expired is not waited for."""
        request = make_request()
        claim = Claim(ClaimState.CLAIMED, "i0", "r0", fingerprint(request), "w0")
        context.claims.put(claim_key(request), claim, ABSENT)
        refused = refusal_of(context, request)
        assert refused == (Reason.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN)

    def test_wait_ends_at_the_deadline(self, context):
        """An action still in progress at the deadline is refused as in progress."""
        acquire_claim(context, make_request())
        late = make_request(id="r2", deadline_s=time.monotonic())
        assert refusal_of(context, late) == (Reason.IN_PROGRESS, Verdict.MAY_HAVE_RUN)

    def test_other_body_is_refused_at_once(self, context):
        """A request with another body does not wait for the key's claim."""
        acquire_claim(context, make_request())
        refused = refusal_of(context, make_request(id="r2", body=b"[]"))
        assert refused == (Reason.KEY_REUSED, Verdict.NOT_RUN)

    def test_too_large_answer_is_recorded_without_its_body(self, context):
        """A resend is refused with the verdict RAN."""
        large = ActionAnswer(200, b"x" * (MAX_STORED_BODY_BYTES + 1))
        record_answer(context, acquire_claim(context, make_request()), large)
        refused = refusal_of(context, make_request(id="r2"))
        assert refused == (Reason.ANSWER_NOT_KEPT, Verdict.RAN)

    def test_outage_is_refused_as_not_run(self, context):
        """Without a claim nothing is sent; the key is released after the outage."""
        context.claims.outage = True
        refused = refusal_of(context, make_request())
        assert refused == (Reason.STORE_UNAVAILABLE, Verdict.NOT_RUN)
        context.claims.outage = False
        context.finalizer.finalize_pending()
        key = claim_key(make_request())
        assert context.claims.get(key).record.state is ClaimState.RELEASED
