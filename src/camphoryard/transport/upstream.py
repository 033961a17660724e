"""HTTP client that forwards requests to endpoints."""

import time
from collections.abc import Callable, Iterator
from http.client import HTTPException

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.forwarding.ports import (
    CONNECT_TIMEOUT_S,
    AnswerHead,
    ClientRequest,
    SendOptions,
)
from camphoryard.protocol.dialect import Dialect
from camphoryard.state.errors import (
    BrokenCallError,
    NotSentError,
    StalledCallError,
)
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.transport.http_client import (
    PIECE_BYTES,
    Address,
    HttpCall,
    HttpClient,
    OpenAnswer,
    broken_call_error,
)

MAX_BODY_BYTES = 4 << 20
"""Maximum size of an answer that is not a stream; each one is held in memory."""
MAX_SKIPPED_ANSWERS = 4
"""Answers to earlier calls that are skipped before the connection is closed."""
MIN_TIMEOUT_S = 0.01


class ForwardedAnswer:
    """An open answer; see the Answer port."""

    def __init__(
        self, answer: OpenAnswer, head: AnswerHead, options: SendOptions
    ) -> None:
        self.head = head
        self._answer = answer
        self._options = options
        self._is_read = False
        response = answer.response
        self.ends_with_connection = response.length is None and not response.chunked
        self.write_error = answer.write_error
        self.number = answer.number

    def body(self) -> bytes:
        """Return the complete body; see the Answer port."""
        options = self._options
        try:
            body = self._answer.read_body(
                MAX_BODY_BYTES, options.silence_timeout_s, options.deadline_s
            )
        except (OSError, HTTPException, ValueError) as error:
            raise broken_call_error(error) from error
        self._is_read = True
        return body

    def iter_body(
        self, silence_timeout_s: float, keep_waiting: Callable[[], bool]
    ) -> Iterator[bytes]:
        """Yield the body in chunks as it arrives; see the Answer port."""
        response = self._answer.response
        deadline_s = self._options.deadline_s
        self._answer.set_read_timeout(
            max(MIN_TIMEOUT_S, silence_timeout_s), keep_waiting, deadline_s
        )
        while True:
            if time.monotonic() >= deadline_s:
                raise StalledCallError("the stream is not complete at the deadline")
            self._answer.restart_read_limits()
            try:
                chunk = response.read1(PIECE_BYTES)
            except (OSError, HTTPException, ValueError) as error:
                raise broken_call_error(error) from error
            if not chunk:
                break
            yield chunk
        if response.length:
            raise BrokenCallError(f"{response.length} bytes of the body are missing")
        self._is_read = True

    def discard(self) -> None:
        """Have `close` reset the connection; see the Answer port."""
        self._is_read = False

    def close(self) -> None:
        """Close the answer; aborts the connection if the body is not fully read."""
        self._answer.close(self._is_read and not self.head.closes_connection)


class HttpUpstream:
    """Sends requests to endpoints over HTTP; see the Upstream port."""

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
        """Send a request and return its answer once the head is received."""
        left_s = options.deadline_s - time.monotonic()
        if left_s <= 0:
            raise NotSentError("deadline exceeded before sending")
        call = HttpCall(
            request.method,
            request.target,
            request.body,
            self._dialect.call_headers(endpoint, request, options, left_s),
            max(MIN_TIMEOUT_S, min(options.head_timeout_s, left_s)),
            max(MIN_TIMEOUT_S, options.silence_timeout_s),
            options.keep_waiting,
            cancellation=cancellation,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            max_idle_s=options.max_idle_s,
            id=request.id,
        )
        address = Address(endpoint.address.host, endpoint.address.port)
        answer = self._client.open(address, call)
        try:
            return ForwardedAnswer(
                answer, self._matching_head(answer, endpoint, request), options
            )
        except BrokenCallError:
            answer.close(is_read=False)
            raise

    def is_down(
        self,
        endpoint: ServingEndpoint,
        after_s: float = 0.0,
        wait_s: float = CONNECT_TIMEOUT_S,
    ) -> bool:
        """Return whether an endpoint accepts no connection; see the Upstream port."""
        time.sleep(after_s)
        address = Address(endpoint.address.host, endpoint.address.port)
        return not self._client.can_connect(address, wait_s)

    def _matching_head(
        self, answer: OpenAnswer, endpoint: ServingEndpoint, request: ClientRequest
    ) -> AnswerHead:
        """Return the head of this request's answer; skips answers to other requests."""
        for _ in range(MAX_SKIPPED_ANSWERS):
            response = answer.response
            headers = dict(response.headers.items())
            head = self._dialect.read_answer(
                endpoint,
                request,
                response.status,
                headers,
                answer.number == 1,
            )
            if head is not None:
                return head
            answer.skip()
        raise BrokenCallError("received only answers to other requests")
