"""Tests of the rates at which endpoints become free."""

import pytest

from camphoryard.coordination.dispatch.dispatch_rates import (
    RATE_WINDOW_S,
    DispatchRates,
)

URGENT, BATCH = 0, 2


class TestDispatchRates:
    """How many requests can go to an endpoint."""

    def test_a_burst_after_a_quiet_time(self):
        """Short runs free their places often, though few were asked for before."""
        rates = DispatchRates()
        for n in range(200):
            rates.begin(f"t{n}", "e", URGENT, n)
            rates.end(f"t{n}", n + 0.1)
        for n in range(8):
            rates.begin(f"burst{n}", "e", URGENT, 300.0)
        assert rates.per_s("e", URGENT, 300.0) == pytest.approx(80.0, rel=0.01)

    def test_batch_gets_what_urgent_work_leaves(self):
        """Urgent requests take the places of both, batch only those of batch."""
        rates = DispatchRates()
        for n in range(8):
            rates.begin(f"t{n}", "e", BATCH if n < 2 else URGENT, 0.0)
        later_s = 2 * RATE_WINDOW_S
        assert rates.per_s("e", URGENT, later_s) == 4 * rates.per_s("e", BATCH, later_s)
