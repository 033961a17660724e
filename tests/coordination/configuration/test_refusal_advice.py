"""Tests of advice about refusals."""

import pytest

from camphoryard.coordination.configuration.refusal_advice import advice_for_refusal
from camphoryard.state.enums import Reason


class TestRefusalAdvice:
    """Advice by reason."""

    @pytest.mark.parametrize("reason", Reason)
    def test_every_reason_has_advice(self, reason):
        """Each reason has a next step for the operator."""
        assert advice_for_refusal(reason)

    def test_invalid_request_is_for_the_caller_to_correct(self):
        """Operators need not act on an invalid request."""
        assert "caller" in advice_for_refusal(Reason.BAD_FIELD)
