"""How forwarded requests and their answers are written as HTTP heads."""

from collections.abc import Mapping
from dataclasses import dataclass
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
"""Headers that concern one connection only, in lower case."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A request's head as it was read; header names are in lower case."""

    method: str
    target: str
    headers: Mapping[str, str]


class Dialect(Protocol):
    """One way in which clients and endpoints write what the system has to know."""

    def read_request(
        self, head: RequestHead, body: bytes, arrived_s: float
    ) -> ClientRequest:
        """Return the request.

        Raises
        ------
        RefusalError
            If a header cannot be read.
        """

    def call_headers(
        self,
        endpoint: ServingEndpoint,
        request: ClientRequest,
        sending: SendOptions,
        left_s: float,
    ) -> Mapping[str, str]:
        """Return the headers of the call that sends a request to an endpoint."""

    def read_answer(
        self, request: ClientRequest, status: int, headers: Mapping[str, str]
    ) -> AnswerHead | None:
        """Return what an answer's head says, or None if it is another request's."""

    def refusal_headers(
        self, id: RequestId | None, refusal: RefusalError
    ) -> Mapping[str, str]:
        """Return the headers of the answer to a request that is refused."""
