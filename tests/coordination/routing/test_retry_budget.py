"""Tests of retry budgets."""

from camphoryard.coordination.routing.retry_budget import RetryBudget, RetryLimits
from camphoryard.state.ids import GroupId

DESK, BATCH = GroupId("desk"), GroupId("batch")


class TestRetryBudget:
    """Earning and spending retries."""

    def test_is_exhausted(self):
        """Without new requests, retries are limited to the reserve."""
        budget = RetryBudget(RetryLimits(reserve=2))
        assert [budget.take(DESK) for _ in range(3)] == [True, True, False]

    def test_is_earned_by_requests(self):
        """Each request earns a share of a retry."""
        budget = RetryBudget(RetryLimits(share=0.5, reserve=1))
        budget.take(DESK)
        budget.earn(DESK)
        assert not budget.take(DESK)
        budget.earn(DESK)
        assert budget.take(DESK)

    def test_groups_have_separate_budgets(self):
        """One group's failures do not spend another's budget."""
        budget = RetryBudget(RetryLimits(reserve=1))
        budget.take(DESK)
        assert budget.take(BATCH)
