"""Tests of the authentication of callers and operators."""

import pytest

from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.transport.access import Access

ACCESS = Access(["operator", "schlüssel"], {"meter-app": "caller"})


def bearer(token):
    """Return headers as a WSGI server decodes them."""
    raw = f"Bearer {token}".encode()
    return {"Authorization": raw.decode("latin-1")}


class TestAccess:
    """Tokens of operators and callers."""

    def test_known_tokens(self):
        """A known token authenticates its owner."""
        ACCESS.authenticate_operator(bearer("operator"))
        ACCESS.authenticate_operator(bearer("schlüssel"))
        assert ACCESS.authenticate_caller(bearer("caller")) == "meter-app"

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
    def test_invalid_tokens_are_refused(self, headers):
        """A missing, wrong or undecodable token is refused as unauthenticated."""
        for check in (ACCESS.authenticate_operator, ACCESS.authenticate_caller):
            with pytest.raises(RefusalError) as caught:
                check(headers)
            assert caught.value.reason is Reason.UNAUTHENTICATED

    def test_caller_and_operator_tokens_are_separate(self):
        """A caller's token is no operator's token, and the reverse."""
        with pytest.raises(RefusalError):
            ACCESS.authenticate_operator(bearer("caller"))
        with pytest.raises(RefusalError):
            ACCESS.authenticate_caller(bearer("operator"))
