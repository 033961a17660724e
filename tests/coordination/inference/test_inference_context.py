"""Tests of the progress of an inference request."""

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
    """The deadline for the whole answer."""

    def test_deadline_passed(self):
        """The refusal has the number of delivered tokens and the verdict so far."""
        progress = Progress(offset=3, may_have_run=True)
        with pytest.raises(RefusalError, match="3 tokens") as refused:
            check_total_deadline(request(total_deadline_s=0.0), progress)
        assert refused.value.verdict is Verdict.MAY_HAVE_RUN

    def test_no_deadline(self):
        """A request without a total deadline is never refused."""
        check_total_deadline(request(total_deadline_s=math.inf), Progress())


class TestWithVerdict:
    """Refusals after earlier attempts."""

    def test_changes_only_the_verdict(self):
        """Reason, detail, field and delay stay those of the refusal."""
        refusal = RefusalError(
            Reason.OVERLOADED, "full", Verdict.NOT_RUN, "model", retry_after_s=2.0
        )
        refused = with_verdict(refusal, Progress(may_have_run=True))
        assert refused.verdict is Verdict.MAY_HAVE_RUN
        assert (refused.reason, refused.detail) == (Reason.OVERLOADED, "full")
        assert (refused.field, refused.retry_after_s) == ("model", 2.0)
