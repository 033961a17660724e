"""Calls that forward requests to endpoints."""

import time
from collections.abc import Callable, Iterator
from http.client import HTTPException

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.forwarding.ports import (
    AnswerHead,
    ClientRequest,
    SendOptions,
)
from camphoryard.protocol.dialect import Dialect
from camphoryard.state.errors import BrokenCallError, NotSentError
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.transport.http_client import (
    Address,
    HttpCall,
    HttpClient,
    OpenAnswer,
    broken,
)

CONNECT_LIMIT_S = 0.4
"""Endpoints are some milliseconds away; what takes longer is down or cut off."""
READ_BYTES = 1 << 16
MAX_FOREIGN_ANSWERS = 4
"""Answers to earlier calls that are read past before a connection is given up."""
MIN_TIMEOUT_S = 0.01


class ForwardedAnswer:
    """An open answer; see the Answer port."""

    def __init__(self, answer: OpenAnswer, head: AnswerHead) -> None:
        self.head = head
        self._answer = answer
        self._is_read = False

    def body(self) -> bytes:
        """Return the whole body; raises BrokenCallError if it ends early."""
        try:
            body = self._answer.response.read()
        except (OSError, HTTPException, ValueError) as error:
            raise broken(error) from error
        self._is_read = True
        return body

    def iter_body(
        self, silence_timeout_s: float, waits_on: Callable[[], bool]
    ) -> Iterator[bytes]:
        """Yield the body as it comes; see the Answer port."""
        response = self._answer.response
        self._answer.wait_while(max(MIN_TIMEOUT_S, silence_timeout_s), waits_on)
        while True:
            try:
                piece = response.read1(READ_BYTES)
            except (OSError, HTTPException, ValueError) as error:
                raise broken(error) from error
            if not piece:
                break
            yield piece
        if response.length:
            raise BrokenCallError(f"{response.length} bytes of the body are missing")
        self._is_read = True

    def close(self) -> None:
        """Let go of the answer; an unread rest breaks the connection."""
        self._answer.close(self._is_read and not self.head.closes_connection)


class HttpUpstream:
    """Endpoints over HTTP, in one dialect; see the Upstream port."""

    def __init__(self, client: HttpClient, dialect: Dialect) -> None:
        self._client = client
        self._dialect = dialect

    def open(
        self,
        endpoint: ServingEndpoint,
        request: ClientRequest,
        options: SendOptions,
        cancellation: Cancellation,
    ) -> ForwardedAnswer:
        """Send a request and return its answer once the head has come."""
        left_s = options.deadline_s - time.monotonic()
        if left_s <= 0:
            raise NotSentError("no time is left")
        call = HttpCall(
            request.method,
            request.target,
            request.body,
            self._dialect.call_headers(endpoint, request, options, left_s),
            max(MIN_TIMEOUT_S, min(options.silence_timeout_s, left_s)),
            cancellation=cancellation,
            connect_s=CONNECT_LIMIT_S,
            max_idle_s=options.max_idle_s,
        )
        address = Address(endpoint.address.host, endpoint.address.port)
        answer = self._client.open(address, call)
        try:
            return ForwardedAnswer(answer, self._own_head(answer, request))
        except BrokenCallError:
            answer.close(is_read=False)
            raise

    def is_down(self, endpoint: ServingEndpoint) -> bool:
        """Return whether an endpoint takes no connection now."""
        address = Address(endpoint.address.host, endpoint.address.port)
        return not self._client.can_connect(address, CONNECT_LIMIT_S)

    def _own_head(self, answer: OpenAnswer, request: ClientRequest) -> AnswerHead:
        """Return the head of the answer to this request, past those to others."""
        for _ in range(MAX_FOREIGN_ANSWERS):
            response = answer.response
            headers = dict(response.headers.items())
            head = self._dialect.read_answer(request, response.status, headers)
            if head is not None:
                return head
            answer.skip()
        raise BrokenCallError("only answers to other requests came")
