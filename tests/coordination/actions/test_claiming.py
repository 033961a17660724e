"""Tests of claims on idempotency keys."""

import time
from dataclasses import replace

import pytest

from camphoryard.coordination.actions.claim_finalizer import ClaimFinalizer
from camphoryard.coordination.actions.claiming import (
    MAX_KEPT_BODY_BYTES,
    ClaimContext,
    Held,
    claim_key,
    fingerprint,
    finish,
    hold,
    leave_unknown,
    release,
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
from tests.fakes.object_api import MemoryRecords

DEADLINE_S = 60.0
ANSWER = ActionAnswer(201, b"booked")


@pytest.fixture
def parts():
    """Return the parts of node n1 over an in-memory object API."""
    timer = TimerService()
    records = MemoryRecords()
    timeline = Timeline("n1", HybridClock(), lambda event: None)
    yield ClaimContext(
        "i1", records, ClaimFinalizer(records, timeline), NodeTable(), timer, timeline
    )
    timer.close()


def make_request(**fields):
    """Return a booking with a key."""
    deadline_s = time.monotonic() + DEADLINE_S
    request = ActionRequest(
        "r1", "front-desk", "bookings", "book", b"{}", deadline_s, None, "k1"
    )
    return replace(request, **fields)


def refusal_of(parts, request):
    """Return the refusal of a request that must be refused."""
    with pytest.raises(RefusalError) as caught:
        hold(parts, request)
    return caught.value.reason, caught.value.verdict


class TestClaimKey:
    """Scope of keys."""

    def test_key_is_scoped_by_caller_and_service(self):
        """The same key of another caller or service is another key."""
        requests = [
            make_request(),
            make_request(caller="meter-app"),
            make_request(service="claims"),
            make_request(caller="front-desk1", key="k"),
        ]
        assert len({claim_key(item) for item in requests}) == len(requests)


class TestHold:
    """Claiming, or finding what came of an earlier claim."""

    def test_free_key_is_held(self, parts):
        """The claim is in the object API before the caller of hold goes on."""
        held = hold(parts, make_request())
        assert parts.claims.get(held.key).record.state is ClaimState.CLAIMED

    def test_finished_action_is_answered_from_its_record(self, parts):
        """Status and body are replayed."""
        finish(parts, hold(parts, make_request()), ANSWER)
        assert hold(parts, make_request(id="r2")) == replace(ANSWER, replayed=True)

    def test_released_key_is_held_again(self, parts):
        """A released claim does not bar the key."""
        release(parts, hold(parts, make_request()))
        assert isinstance(hold(parts, make_request(id="r2")), Held)

    def test_unknown_outcome_is_never_held(self, parts):
        """A key whose action may have run is refused as such."""
        leave_unknown(parts, hold(parts, make_request()))
        refused = refusal_of(parts, make_request(id="r2"))
        assert refused == (Reason.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN)

    def test_claim_of_a_gone_node_is_never_held(self, parts):
        """Nobody waits for a claimant whose lease has lapsed."""
        request = make_request()
        claim = Claim(ClaimState.CLAIMED, "i0", "r0", fingerprint(request), "w0")
        parts.claims.put(claim_key(request), claim, ABSENT)
        refused = refusal_of(parts, request)
        assert refused == (Reason.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN)

    def test_wait_ends_at_the_deadline(self, parts):
        """An action under way past the deadline is refused as in progress."""
        hold(parts, make_request())
        late = make_request(id="r2", deadline_s=time.monotonic())
        assert refusal_of(parts, late) == (Reason.IN_PROGRESS, Verdict.MAY_HAVE_RUN)

    def test_other_body_is_refused_at_once(self, parts):
        """A key is not waited for on behalf of another action."""
        hold(parts, make_request())
        refused = refusal_of(parts, make_request(id="r2", body=b"[]"))
        assert refused == (Reason.KEY_REUSED, Verdict.NOT_RUN)

    def test_large_answer_is_told_but_not_kept(self, parts):
        """A resend hears that the action ran."""
        large = ActionAnswer(200, b"x" * (MAX_KEPT_BODY_BYTES + 1))
        finish(parts, hold(parts, make_request()), large)
        refused = refusal_of(parts, make_request(id="r2"))
        assert refused == (Reason.ANSWER_NOT_KEPT, Verdict.RAN)

    def test_outage_is_refused_as_not_run(self, parts):
        """No claim, no dispatch; the key is released once that can be written."""
        parts.claims.outage = True
        refused = refusal_of(parts, make_request())
        assert refused == (Reason.STORE_UNAVAILABLE, Verdict.NOT_RUN)
        parts.claims.outage = False
        parts.settler.finalize_pending()
        key = claim_key(make_request())
        assert parts.claims.get(key).record.state is ClaimState.RELEASED
