"""Authentication of callers and operators; compares tokens in constant time."""

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

    def authenticate_caller(self, headers: Mapping[str, str]) -> CallerId:
        """Return the caller; raises RefusalError if the token is unknown."""
        token_sent = _bearer_token(headers)
        found = [
            caller
            for caller, token in self._token_by_caller.items()
            if hmac.compare_digest(token_sent, token)
        ]
        if not found:
            raise _unauthenticated()
        return found[0]

    def authenticate_operator(self, headers: Mapping[str, str]) -> None:
        """Raise RefusalError unless the token is an operator's."""
        token_sent = _bearer_token(headers)
        if not any(
            [hmac.compare_digest(token_sent, item) for item in self._operator_tokens]
        ):
            raise _unauthenticated()


def _bearer_token(headers: Mapping[str, str]) -> bytes:
    text = headers.get("Authorization", "")
    if not text.startswith(BEARER):
        raise _unauthenticated()
    # A WSGI server decodes the bytes of a header as Latin-1.
    return text.removeprefix(BEARER).encode("latin-1", "backslashreplace")


def _unauthenticated() -> RefusalError:
    return RefusalError(
        Reason.UNAUTHENTICATED,
        "send a valid token as 'Authorization: Bearer TOKEN'",
        field="Authorization",
    )
