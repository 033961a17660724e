"""Tests of the bound on retries within a window."""

from hypothesis import given
from hypothesis import strategies as st

from camphoryard.coordination.routing.retry_window import RepeatLimits, RetryWindow
from tests.fakes.engines import Clock

LIMITS = RepeatLimits(0.2, 12.0, 10.0)


class TestRetryWindow:
    """One node's part of the fleet's retry budget."""

    def test_nodes_divide_the_reserve(self):
        """Each of six nodes without requests may use a sixth of the reserve."""
        window = RetryWindow(LIMITS, lambda: 6, Clock())
        assert [window.take("desk") for _ in range(3)] == [True, False, False]

    def test_budget_covers_streams_cut_by_a_crash(self):
        """After a hundred requests, 18 of 40 streams cut at once are retried."""
        window = RetryWindow(LIMITS, lambda: 6, Clock())
        for _ in range(100):
            window.earn("chat")
        assert sum(window.take("chat") for _ in range(40)) == 18

    def test_services_have_separate_budgets(self):
        """Retries of one service do not spend the budget of another."""
        window = RetryWindow(LIMITS, lambda: 6, Clock())
        assert window.take("desk")
        assert window.take("chat")

    @given(st.lists(st.tuples(st.floats(0.0, 2.0), st.booleans()), max_size=200))
    def test_no_window_exceeds_the_bound(self, steps):
        """For any timing, each window that ends at a retry keeps the bound."""
        clock = Clock()
        window = RetryWindow(LIMITS, lambda: 1, clock)
        request_times_s, retry_times_s = [], []
        for after_s, is_request in steps:
            clock.advance(after_s)
            if is_request:
                window.earn("chat")
                request_times_s.append(clock.now_s)
            elif window.take("chat"):
                retry_times_s.append(clock.now_s)
                since_s = clock.now_s - LIMITS.window_s
                retries = sum(at_s > since_s for at_s in retry_times_s)
                requests = sum(at_s > since_s for at_s in request_times_s)
                assert retries <= LIMITS.share * requests + LIMITS.reserve
