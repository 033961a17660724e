"""Tests of the order of the requests that wait for an engine."""

import pytest

from camphoryard.coordination.dispatch.order import (
    AverageWork,
    UrgentFirst,
    UsualDemand,
    Waiting,
    sort_key,
    work_shares,
)
from tests.fakes.dispatching import BATCH, URGENT, make_request
from tests.fakes.engines import Clock

NOW_S = 1000.0
POLICY = UrgentFirst()


def wait(rank=URGENT, since_s=NOW_S, due_in_s=0.5, leaves_in_s=2.0, **fields):
    """Return a request that waits."""
    request = make_request(rank, **fields)
    return Waiting(request, since_s, NOW_S + due_in_s, NOW_S + leaves_in_s, 0.1)


def usual(**tokens_by_account):
    """Return the usual demand of some accounts."""
    demand = UsualDemand(Clock())
    for account, tokens in tokens_by_account.items():
        demand.record(make_request(tokens=tokens, output_tokens=0, account=account))
    return demand


def in_order(*waiting, in_hand=None, demand=None):
    """Return the requests in the order in which they go."""
    shares = work_shares(in_hand or {}, waiting, demand or usual(), POLICY)
    return sorted(waiting, key=lambda item: sort_key(item, NOW_S, POLICY, shares))


class TestSortKey:
    """Which of two waiting requests goes first."""

    @pytest.mark.parametrize(
        ("first", "second"),
        [
            (wait(BATCH, has_begun=True), wait(URGENT)),
            (wait(URGENT), wait(BATCH)),
            (wait(BATCH, since_s=NOW_S - 10), wait(BATCH - 1)),
            (wait(due_in_s=0.5), wait(due_in_s=0.05)),
            (wait(due_in_s=-1, has_returned=True), wait(due_in_s=-1)),
            (wait(due_in_s=0.2), wait(due_in_s=0.4)),
            (wait(due_in_s=-2, leaves_in_s=1), wait(due_in_s=-1, leaves_in_s=2)),
            (wait(tokens=10), wait(tokens=1000)),
        ],
        ids=[
            "begun answer",
            "urgent beside batch",
            "batch that has waited long",
            "one that can still be on time",
            "one that was refused before",
            "least time left",
            "late one whose client leaves first",
            "least work",
        ],
    )
    def test_goes_first(self, first, second):
        """The order holds whichever of the two came first."""
        assert in_order(second, first) == [first, second]
        assert in_order(first, second) == [first, second]

    def test_an_account_at_seven_times_its_usual_pays_for_it(self):
        """Its requests go last in their rank; a large account as usual goes on."""
        crowd, large = wait(account="crowd", due_in_s=0.2), wait(account="large")
        in_hand = {(URGENT, "crowd"): 70_000, (URGENT, "large"): 60_000}
        demand = usual(crowd=10_000, large=60_000)
        assert in_order(crowd, large, in_hand=in_hand, demand=demand) == [large, crowd]

    def test_an_unused_share_is_lent(self):
        """An account may have everything while no other one has work."""
        waiting = wait(account="crowd")
        shares = work_shares(
            {(URGENT, "crowd"): 70_000},
            [waiting],
            usual(crowd=1_000, large=9_000),
            POLICY,
        )
        assert shares.excess(waiting) == 0

    def test_batch_with_next_to_nothing_in_hand_goes_before_urgent(self):
        """Batch work is served though urgent work alone fills the engines."""
        batch, urgent = wait(BATCH, due_in_s=5.0), wait(URGENT)
        demand = usual()
        for item in (batch, urgent):
            demand.record(item.request)
        in_hand = {(URGENT, None): 100_000, (BATCH, None): 1_000}
        assert in_order(urgent, batch, in_hand=in_hand, demand=demand)[0] is batch
        in_hand = {(URGENT, None): 100_000, (BATCH, None): 40_000}
        assert in_order(urgent, batch, in_hand=in_hand, demand=demand)[0] is urgent


class TestAverageWork:
    """The average that a crowd is compared with."""

    def test_old_work_fades(self):
        """An account's share follows what it asks for over some minutes."""
        clock = Clock()
        work = AverageWork(clock)
        work.record("before", 1000)
        clock.advance(600)
        work.record("now", 1000)
        assert work.share("now") > 0.99
