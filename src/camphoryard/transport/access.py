"""Who a token belongs to, compared in constant time."""

import hmac
from collections.abc import Mapping, Sequence

from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import CallerId

BEARER = "Bearer "


class Access:
    """Checks the tokens of callers and operators."""

    def __init__(
        self,
        operator_tokens: Sequence[str],
        caller_token_by_id: Mapping[CallerId, str],
    ) -> None:
        self._operator_tokens = tuple(item.encode() for item in operator_tokens)
        self._token_by_caller = {
            caller: token.encode() for caller, token in caller_token_by_id.items()
        }

    def caller(self, headers: Mapping[str, str]) -> CallerId:
        """Return the caller; raises RefusalError if the token is not known."""
        given = _token(headers)
        found = [
            caller
            for caller, token in self._token_by_caller.items()
            if hmac.compare_digest(given, token)
        ]
        if not found:
            raise _unknown()
        return found[0]

    def operator(self, headers: Mapping[str, str]) -> None:
        """Raise RefusalError unless the token is an operator's."""
        given = _token(headers)
        if not any(
            [hmac.compare_digest(given, item) for item in self._operator_tokens]
        ):
            raise _unknown()


def _token(headers: Mapping[str, str]) -> bytes:
    text = headers.get("Authorization", "")
    if not text.startswith(BEARER):
        raise _unknown()
    # A WSGI server hands over the bytes of a header as Latin-1.
    return text.removeprefix(BEARER).encode("latin-1", "backslashreplace")


def _unknown() -> RefusalError:
    return RefusalError(
        Reason.UNAUTHENTICATED,
        "send a known token as 'Authorization: Bearer TOKEN'",
        field="Authorization",
    )
