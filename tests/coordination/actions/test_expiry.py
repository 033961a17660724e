"""Tests of deleting what has been kept long enough."""

import time
from dataclasses import replace

import pytest

from camphoryard.coordination.actions.expiry import (
    CLAIMS_KEPT_S,
    CLOCK_SKEW_MARGIN_S,
    MAX_DELETIONS_A_SWEEP,
    REFUSALS_KEPT_HOURS,
    RELEASED_KEPT_S,
    SECONDS_PER_HOUR,
    ClaimsUnder,
    ExpiryContext,
    RefusalsBefore,
    StaleLeases,
    sweep,
)
from camphoryard.state.claims import Claim
from camphoryard.state.enums import ClaimState, NodeState
from camphoryard.state.ids import ABSENT
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.refusals import RefusalCounts
from tests.fakes.object_api import MemoryRecords

NOW_S = time.time()


@pytest.fixture
def parts():
    """Return empty records."""
    return ExpiryContext(
        "n1",
        NodeTable(),
        MemoryRecords(),
        MemoryRecords(),
        MemoryRecords(),
        MemoryRecords(),
        lambda lease: lease.node == "stale",
    )


def add_claim(parts, key, state, age_s):
    """Record a claim of some age."""
    claim = Claim(state, "i1", "r1", "print", "w", NOW_S - age_s)
    parts.claims.put(key, claim, ABSENT)


class Overtaken:
    """Records whose listing is older than what is stored."""

    def __init__(self, records, listed):
        self.records = records
        self.listed = listed

    def list(self, within):
        """Return the old listing."""
        return self.listed

    def delete(self, key, version):
        """Delete as the records do."""
        self.records.delete(key, version)


class TestSweep:
    """Parts and their ages."""

    @pytest.mark.parametrize(
        ("state", "age_s", "kept"),
        [
            (ClaimState.DONE, CLAIMS_KEPT_S, True),
            (ClaimState.CLAIMED, CLAIMS_KEPT_S + CLOCK_SKEW_MARGIN_S - 1, True),
            (ClaimState.UNKNOWN, CLAIMS_KEPT_S + CLOCK_SKEW_MARGIN_S + 1, False),
            (ClaimState.RELEASED, RELEASED_KEPT_S + 1, False),
            (ClaimState.RELEASED, RELEASED_KEPT_S - 1, True),
        ],
    )
    def test_claims_are_kept_for_their_time(self, parts, state, age_s, kept):
        """A key within the retention is never forgotten."""
        add_claim(parts, "ab1", state, age_s)
        sweep(parts, ClaimsUnder("ab"), NOW_S)
        assert (parts.claims.get("ab1") is not None) is kept

    def test_deletions_are_bounded(self, parts):
        """One sweep deletes a few; the next goes on."""
        count = MAX_DELETIONS_A_SWEEP + 3
        for number in range(count):
            add_claim(parts, f"ab{number}", ClaimState.DONE, 2 * CLAIMS_KEPT_S)
        sweep(parts, ClaimsUnder("ab"), NOW_S)
        assert len(parts.claims.stored_by_key) == 3

    def test_only_expired_hours_of_refusals_go(self, parts):
        """The oldest hour kept stays."""
        oldest = int(NOW_S // SECONDS_PER_HOUR) - REFUSALS_KEPT_HOURS
        for hour in (oldest - 1, oldest):
            parts.refusals.put(f"{hour}/i1", RefusalCounts("i1", ()), ABSENT)
        sweep(parts, RefusalsBefore(), NOW_S)
        assert list(parts.refusals.stored_by_key) == [f"{oldest}/i1"]

    def test_only_stale_leases_go(self, parts):
        """A lease that was renewed since it was listed stays as well."""
        for name in ("stale", "live"):
            lease = NodeLease(name, name, "a", "h", 1, "", NodeState.SERVING, 3.0, "w")
            parts.leases.put(name, lease, ABSENT)
        listed = parts.leases.list("")
        parts.leases.put("stale", listed.items[0].record, listed.items[0].version)
        renewed = replace(parts, leases=Overtaken(parts.leases, listed))
        sweep(renewed, StaleLeases(), NOW_S)
        assert set(parts.leases.stored_by_key) == {"stale", "live"}
        sweep(parts, StaleLeases(), NOW_S)
        assert set(parts.leases.stored_by_key) == {"live"}
