"""Tests of how far an inference request has come."""

import math

import pytest

from camphoryard.coordination.inference.inference_context import (
    Progress,
    check_total_deadline,
    with_verdict,
)
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.verdict import Verdict
from tests.fakes.serving import request


class TestCheckTotalDeadline:
    """The deadline of a whole answer."""

    def test_passed(self):
        """The refusal tells how many tokens came, and the verdict so far."""
        progress = Progress(offset=3, may_have_run=True)
        with pytest.raises(RefusalError, match="3 tokens") as refused:
            check_total_deadline(request(total_deadline_s=0.0), progress)
        assert refused.value.verdict is Verdict.MAY_HAVE_RUN

    def test_none(self):
        """A request without one is never cut."""
        check_total_deadline(request(total_deadline_s=math.inf), Progress())


class TestWithVerdict:
    """Refusals after earlier attempts."""

    def test_keeps_all_but_the_verdict(self):
        """Reason, detail, field and delay are those of the refusal."""
        refusal = RefusalError(
            Reason.OVERLOADED, "full", Verdict.NOT_RUN, "model", retry_after_s=2.0
        )
        told = with_verdict(refusal, Progress(may_have_run=True))
        assert told.verdict is Verdict.MAY_HAVE_RUN
        assert (told.reason, told.detail) == (Reason.OVERLOADED, "full")
        assert (told.field, told.retry_after_s) == ("model", 2.0)
