"""Tests of advice about refusals."""

import pytest

from camphoryard.coordination.configuration.refusal_advice import advice_for_refusal
from camphoryard.state.enums import Reason


class TestRefusalAdvice:
    """What to do, by reason."""

    @pytest.mark.parametrize("reason", Reason)
    def test_every_reason_has_one(self, reason):
        """No reason leaves an operator without a next step."""
        assert advice_for_refusal(reason)

    def test_caller_mistakes_are_the_callers(self):
        """A bad request is not the operators' to mend."""
        assert "caller" in advice_for_refusal(Reason.BAD_FIELD)
