"""Tests of who a token belongs to."""

import pytest

from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.transport.access import Access

ACCESS = Access(["operator", "schlüssel"], {"meter-app": "caller"})


def bearer(token):
    """Return headers as a WSGI server hands them over."""
    raw = f"Bearer {token}".encode()
    return {"Authorization": raw.decode("latin-1")}


class TestAccess:
    """Tokens of operators and callers."""

    def test_known_tokens(self):
        """A known token is its owner's."""
        ACCESS.operator(bearer("operator"))
        ACCESS.operator(bearer("schlüssel"))
        assert ACCESS.caller(bearer("caller")) == "meter-app"

    @pytest.mark.parametrize(
        "headers",
        [
            {},
            {"Authorization": ""},
            {"Authorization": "Basic operator"},
            {"Authorization": "Bearer"},
            bearer(""),
            bearer("operato"),
            bearer("operator2"),
            bearer("schlussel"),
            bearer("口令"),
            {"Authorization": "Bearer \u53e3"},
            {"Authorization": "Bearer \udcff"},
        ],
    )
    def test_others_are_refused(self, headers):
        """A missing, wrong or strange token gets nothing and breaks nothing."""
        for check in (ACCESS.operator, ACCESS.caller):
            with pytest.raises(RefusalError) as caught:
                check(headers)
            assert caught.value.reason is Reason.UNAUTHENTICATED

    def test_callers_are_no_operators(self):
        """A caller's token opens no operator's door, nor the other way round."""
        with pytest.raises(RefusalError):
            ACCESS.operator(bearer("caller"))
        with pytest.raises(RefusalError):
            ACCESS.caller(bearer("operator"))
