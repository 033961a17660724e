"""Tests of the bound on repeats."""

from hypothesis import given
from hypothesis import strategies as st

from camphoryard.coordination.routing.retry_window import RepeatLimits, RetryWindow
from tests.fakes.engines import Clock

LIMITS = RepeatLimits(0.2, 12.0, 10.0)


class TestRetryWindow:
    """One node's part of the fleet's budget."""

    def test_the_reserve_is_shared_by_the_nodes(self):
        """Six nodes that hear of no request make a sixth of the reserve each."""
        window = RetryWindow(LIMITS, lambda: 6, Clock())
        assert [window.take("desk") for _ in range(3)] == [True, False, False]

    def test_a_crash_of_an_endpoint_spends_what_a_window_earned(self):
        """Twenty streams cut at once go on elsewhere if a hundred came before."""
        window = RetryWindow(LIMITS, lambda: 6, Clock())
        for _ in range(100):
            window.earn("chat")
        assert sum(window.take("chat") for _ in range(40)) == 18

    def test_services_have_budgets_of_their_own(self):
        """Repeats of one service take nothing from another."""
        window = RetryWindow(LIMITS, lambda: 6, Clock())
        assert window.take("desk")
        assert window.take("chat")

    @given(st.lists(st.tuples(st.floats(0.0, 2.0), st.booleans()), max_size=200))
    def test_no_window_has_more_repeats_than_it_may(self, steps):
        """Whatever comes when, each window that ends at a repeat keeps the bound."""
        clock = Clock()
        window = RetryWindow(LIMITS, lambda: 1, clock)
        requests, repeats = [], []
        for after_s, is_request in steps:
            clock.advance(after_s)
            if is_request:
                window.earn("chat")
                requests.append(clock.now_s)
            elif window.take("chat"):
                repeats.append(clock.now_s)
                since_s = clock.now_s - LIMITS.window_s
                made = sum(at_s > since_s for at_s in repeats)
                received = sum(at_s > since_s for at_s in requests)
                assert made <= LIMITS.share * received + LIMITS.reserve
