"""Tests of advice about refusals."""

import pytest

from camphoryard.coordination.configuration.advice import refusal_advice
from camphoryard.state.enums import Reason


class TestRefusalAdvice:
    """What to do, by reason."""

    @pytest.mark.parametrize("reason", Reason)
    def test_every_reason_has_one(self, reason):
        """No reason leaves an operator without a next step."""
        assert refusal_advice(reason)

    def test_caller_mistakes_are_the_callers(self):
        """A bad request is not the operators' to mend."""
        assert "caller" in refusal_advice(Reason.BAD_FIELD)
