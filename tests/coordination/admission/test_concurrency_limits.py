"""Tests of concurrency limits."""

from contextlib import ExitStack

import pytest

from camphoryard.coordination.admission.concurrency_limits import (
    ConcurrencyLimits,
    caller_limit,
)
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import CallerId
from camphoryard.state.nodes import NodeTable
from camphoryard.state.verdict import Verdict

CALLER = CallerId("overnight")


class TestConcurrencyLimits:
    """Concurrent requests of a caller."""

    def test_refuses_above_the_limit(self):
        """The refusal says that nothing ran; a finished request frees its place."""
        limits = ConcurrencyLimits(NodeTable())
        with ExitStack() as places:
            for _ in range(2):
                places.enter_context(limits.count_in_flight(CALLER, 2))
            with (
                pytest.raises(RefusalError) as refused,
                limits.count_in_flight(CALLER, 2),
            ):
                pass
        assert refused.value.reason is Reason.OVERLOADED
        assert refused.value.verdict is Verdict.NOT_RUN
        with limits.count_in_flight(CALLER, 2):
            pass

    @pytest.mark.parametrize(("text", "limit"), [("3", 3), ("", 0), ("x", 0)])
    def test_limit_is_a_label(self, text, limit):
        """A label that is not a number sets no limit."""
        assert caller_limit({"max-concurrent": text}) == limit
