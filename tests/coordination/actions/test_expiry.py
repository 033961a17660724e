"""Tests of deleting expired records."""

import time
from dataclasses import replace

import pytest

from camphoryard.coordination.actions.expiry import (
    CLAIM_RETENTION_S,
    CLOCK_SKEW_MARGIN_S,
    MAX_DELETIONS_PER_SWEEP,
    REFUSAL_RETENTION_HOURS,
    RELEASED_CLAIM_RETENTION_S,
    SECONDS_PER_HOUR,
    ClaimsWithPrefix,
    ExpiredRefusals,
    ExpiryContext,
    StaleLeases,
    sweep,
)
from camphoryard.state.claims import Claim
from camphoryard.state.enums import ClaimState, NodeState
from camphoryard.state.ids import ABSENT
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.refusals import RefusalCounts
from tests.fakes.object_api import InMemoryRecords

NOW_S = time.time()


@pytest.fixture
def context():
    """Return a context with empty records."""
    return ExpiryContext(
        "n1",
        NodeTable(),
        InMemoryRecords(),
        InMemoryRecords(),
        InMemoryRecords(),
        InMemoryRecords(),
        lambda lease: lease.node == "stale",
    )


def add_claim(context, key, state, age_s):
    """Store a claim that is ``age_s`` old."""
    claim = Claim(state, "i1", "r1", "print", "w", NOW_S - age_s)
    context.claims.put(key, claim, ABSENT)


class StaleListing:
    """Records whose listing is older than the stored records."""

    def __init__(self, records, listed):
        self.records = records
        self.listed = listed

    def list(self, within):
        """Return the old listing."""
        return self.listed

    def delete(self, key, version):
        """Delete the stored record if its version is ``version``."""
        self.records.delete(key, version)


class TestSweep:
    """Sweeping partitions."""

    @pytest.mark.parametrize(
        ("state", "age_s", "is_retained"),
        [
            (ClaimState.DONE, CLAIM_RETENTION_S, True),
            (ClaimState.CLAIMED, CLAIM_RETENTION_S + CLOCK_SKEW_MARGIN_S - 1, True),
            (ClaimState.UNKNOWN, CLAIM_RETENTION_S + CLOCK_SKEW_MARGIN_S + 1, False),
            (ClaimState.RELEASED, RELEASED_CLAIM_RETENTION_S + 1, False),
            (ClaimState.RELEASED, RELEASED_CLAIM_RETENTION_S - 1, True),
        ],
    )
    def test_claims_are_retained_for_their_period(
        self, context, state, age_s, is_retained
    ):
        """A claim is deleted only after the retention of its state."""
        add_claim(context, "ab1", state, age_s)
        sweep(context, ClaimsWithPrefix("ab"), NOW_S)
        assert (context.claims.get("ab1") is not None) is is_retained

    def test_deletions_are_bounded(self, context):
        """One sweep deletes a limited number of records."""
        count = MAX_DELETIONS_PER_SWEEP + 3
        for number in range(count):
            add_claim(context, f"ab{number}", ClaimState.DONE, 2 * CLAIM_RETENTION_S)
        sweep(context, ClaimsWithPrefix("ab"), NOW_S)
        assert len(context.claims.stored_by_key) == 3

    def test_only_expired_hours_of_refusals_are_deleted(self, context):
        """The oldest hour within the retention is not deleted."""
        oldest_hour = int(NOW_S // SECONDS_PER_HOUR) - REFUSAL_RETENTION_HOURS
        for hour in (oldest_hour - 1, oldest_hour):
            context.refusals.put(f"{hour}/i1", RefusalCounts("i1", ()), ABSENT)
        sweep(context, ExpiredRefusals(), NOW_S)
        assert list(context.refusals.stored_by_key) == [f"{oldest_hour}/i1"]

    def test_only_stale_leases_are_deleted(self, context):
        """A lease that was renewed after the listing is not deleted either."""
        for name in ("stale", "live"):
            lease = NodeLease(name, name, "a", "h", 1, "", NodeState.SERVING, 3.0, "w")
            context.leases.put(name, lease, ABSENT)
        listed = context.leases.list("")
        context.leases.put("stale", listed.items[0].record, listed.items[0].version)
        renewed_context = replace(context, leases=StaleListing(context.leases, listed))
        sweep(renewed_context, StaleLeases(), NOW_S)
        assert set(context.leases.stored_by_key) == {"stale", "live"}
        sweep(context, StaleLeases(), NOW_S)
        assert set(context.leases.stored_by_key) == {"live"}
