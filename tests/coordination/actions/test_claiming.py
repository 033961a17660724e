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
    write_claims_again,
)
from camphoryard.coordination.actions.recent_claims import RecentClaims
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.store_restores import StoreRestores
from camphoryard.protocol.platform import CLAIM_CODEC
from camphoryard.state.claims import Claim
from camphoryard.state.enums import ClaimState, Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import ABSENT
from camphoryard.state.nodes import NodeTable
from camphoryard.state.requests import ActionAnswer, ActionRequest
from camphoryard.state.timeline import HybridClock
from camphoryard.state.verdict import Verdict
from camphoryard.transport.timer import TimerService
from standins.object_api import Store
from tests.fakes.object_api import InMemoryRecords, make_object_records

DEADLINE_S = 60.0
SETTLING_S = 3.0
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


class RestoredSite:
    """Two nodes that claim keys in a store, which loses what is claimed."""

    def __init__(self):
        self.store = Store()
        self.timer = TimerService()
        self.now_s = 0.0
        self.one, self.two = self.node("i1"), self.node("i2")
        self.copied_s = time.monotonic()

    def node(self, incarnation):
        """Return the context of a node that has been told the first era."""
        restores = StoreRestores(SETTLING_S, lambda: self.now_s)
        claims = make_object_records(
            self.store, "claims/", CLAIM_CODEC, restores.observe
        )
        timeline = Timeline(incarnation, HybridClock(), lambda event: None)
        context = ClaimContext(
            incarnation,
            claims,
            ClaimFinalizer(claims, timeline),
            NodeTable(),
            self.timer,
            timeline,
            restores,
            RecentClaims(lambda: self.now_s),
        )
        restores.subscribe(lambda: write_claims_again(context))
        claims.list()
        self.settle()
        return context

    def settle(self):
        """Let the time pass in which the nodes write again."""
        self.now_s += SETTLING_S

    def restore(self):
        """Restore the store to the state before the first claim."""
        self.store.restore(self.copied_s)

    def hear(self, context):
        """Let a node hear of the restore and write its claims again."""
        context.claims.list()
        context.finalizer.finalize_pending()


@pytest.fixture
def site():
    """Return two nodes that share a store that can be restored."""
    site = RestoredSite()
    yield site
    site.timer.close()


# Guards against an action that runs twice: the store lost the claim of a running node.
class TestRestoredStore:
    """Claims of running nodes that the store has lost."""

    def test_lost_answer_is_replayed(self, site):
        """The claimant writes the answer again, and another node replays it."""
        held = acquire_claim(site.one, make_request())
        record_answer(site.one, held, ANSWER)
        site.restore()
        site.hear(site.one)
        site.hear(site.two)
        site.settle()
        replayed = acquire_claim(site.two, make_request(id="r2"))
        assert (replayed.body, replayed.replayed) == (ANSWER.body, True)

    def test_lost_claim_of_a_running_action_is_written_again(self, site):
        """Another node finds the claim, and the action's answer once it is known."""
        held = acquire_claim(site.one, make_request())
        site.restore()
        site.hear(site.one)
        site.hear(site.two)
        site.settle()
        with pytest.raises(RefusalError) as caught:
            acquire_claim(site.two, make_request(id="r2"))
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        record_answer(site.one, held, ANSWER)
        site.one.finalizer.finalize_pending()
        assert acquire_claim(site.two, make_request(id="r2")).body == ANSWER.body

    def test_action_answered_after_a_restore_is_not_run_again(self, site):
        """Its outcome is recorded although its claim is gone."""
        held = acquire_claim(site.one, make_request())
        site.restore()
        site.hear(site.two)
        record_answer(site.one, held, ANSWER)
        site.one.finalizer.finalize_pending()
        site.settle()
        assert acquire_claim(site.two, make_request(id="r2")).body == ANSWER.body

    def test_nothing_is_claimed_before_the_claimants_had_time(self, site):
        """The refusal says when to come back, and leaves no claim."""
        acquire_claim(site.one, make_request())
        site.restore()
        site.hear(site.two)
        with pytest.raises(RefusalError) as caught:
            acquire_claim(site.two, make_request(id="r2", deadline_s=site.now_s + 1.0))
        assert caught.value.verdict is Verdict.NOT_RUN
        assert caught.value.retry_after_s == SETTLING_S
        assert site.two.claims.list().items == ()

    def test_claim_whose_own_write_tells_the_restore_is_released(self, site):
        """A node that has not heard of it dispatches nothing, and the answer stays."""
        held = acquire_claim(site.one, make_request())
        record_answer(site.one, held, ANSWER)
        site.restore()
        with pytest.raises(RefusalError) as caught:
            acquire_claim(site.two, make_request(id="r2", deadline_s=site.now_s + 1.0))
        assert caught.value.verdict is Verdict.NOT_RUN
        site.hear(site.one)
        site.settle()
        assert acquire_claim(site.two, make_request(id="r2")).body == ANSWER.body

    def test_claim_in_place_of_a_lost_one_is_waited_for(self, site):
        """The claimant writes again once that claim is released."""
        held = acquire_claim(site.one, make_request())
        record_answer(site.one, held, ANSWER)
        site.restore()
        site.two.claims.list()
        other = Claim(ClaimState.CLAIMED, "i3", "r3", "print", "write-3")
        version = site.two.claims.put(held.key, other, ABSENT)
        site.hear(site.one)
        assert site.one.finalizer.pending == 1
        released = replace(other, state=ClaimState.RELEASED, write_id="write-4")
        site.two.claims.put(held.key, released, version)
        site.one.finalizer.finalize_pending()
        assert site.one.claims.get(held.key).record.state is ClaimState.DONE

    def test_running_claim_does_not_replace_its_own_answer(self, site):
        """An answer that is recorded during the rewrite is the last word."""
        held = acquire_claim(site.one, make_request())
        site.restore()
        site.one.claims.list()
        claims = site.one.claims
        put = claims.put

        def answer_first(key, record, version):
            claims.put = put
            made = put(key, record, version)
            record_answer(site.one, held, ANSWER)
            return made

        claims.put = answer_first
        site.one.finalizer.finalize_pending()
        site.one.finalizer.finalize_pending()
        assert claims.get(held.key).record.state is ClaimState.DONE
