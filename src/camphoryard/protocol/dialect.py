"""HTTP header dialects of forwarded requests and their answers."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from camphoryard.coordination.forwarding.ports import (
    AnswerHead,
    ClientRequest,
    SendOptions,
)
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import RequestId
from camphoryard.state.serving_endpoints import ServingEndpoint

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
"""Headers that apply to a single connection, in lower case."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A parsed request head; header names are in lower case.

    The headers may hold a client's key and are not part of its ``repr``.
    """

    method: str
    target: str
    headers: Mapping[str, str] = field(repr=False)


class Dialect(Protocol):
    """One set of header names and formats that clients and endpoints use."""

    def read_request(
        self, head: RequestHead, body: bytes, arrived_s: float
    ) -> ClientRequest:
        """Return the request.

        Raises
        ------
        RefusalError
            If a header is invalid.
        """

    def call_headers(
        self,
        endpoint: ServingEndpoint,
        request: ClientRequest,
        options: SendOptions,
        left_s: float,
    ) -> Mapping[str, str]:
        """Return the headers with which a request is sent to an endpoint."""

    def read_answer(
        self,
        endpoint: ServingEndpoint,
        request: ClientRequest,
        status: int,
        headers: Mapping[str, str],
        is_first_on_connection: bool,
    ) -> AnswerHead | None:
        """Return an answer's head, or None if it answers another request.

        Only the first answer on a connection surely belongs to the request if it does
        not carry its id.

        Raises
        ------
        BrokenCallError
            If its id is that of no request.
        """

    def refusal_headers(
        self, id: RequestId | None, refusal: RefusalError
    ) -> Mapping[str, str]:
        """Return the headers of the answer to a refused request."""
