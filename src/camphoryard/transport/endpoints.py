"""Calls of model engines and plain services."""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http.client import HTTPException
from urllib.parse import quote

import msgspec

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.ports import Inventory, Order, load_report
from camphoryard.protocol.endpoint import (
    EVENT_PREFIX,
    decode_frame,
    decode_inventory,
    encode_generate,
    encode_order,
)
from camphoryard.state.configuration import Endpoint
from camphoryard.state.enums import OrderOutcome
from camphoryard.state.errors import BrokenCallError, EndpointRefusedError
from camphoryard.state.ids import EndpointId
from camphoryard.state.load_reports import LoadReport
from camphoryard.state.requests import (
    ActionAnswer,
    ActionRequest,
    InferenceRequest,
    TokenFrame,
)
from camphoryard.transport.http_client import (
    Address,
    HttpCall,
    HttpClient,
    OpenAnswer,
    broken,
)

ORDER_TIMEOUT_S = 2.0
INVENTORY_TIMEOUT_S = 1.0
MIN_TIMEOUT_S = 0.05
READ_BYTES = 65_536
ERRORS_FROM = 400
SERVER_ERRORS_FROM = 500


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """How long a stream may be silent before and after its first token."""

    first_token_s: float
    stall_s: float


class EventStream:
    """Token frames read from an engine's event stream.

    Once the first token has come, a silence of ``stall_s`` seconds breaks it,
    and so does one that lasts to ``until_s`` on the monotonic clock.
    """

    def __init__(self, answer: OpenAnswer, stall_s: float, until_s: float) -> None:
        self._answer = answer
        self._stall_s = stall_s
        self._until_s = until_s

    def __iter__(self) -> Iterator[TokenFrame]:
        rest = b""
        data = self._read()
        self._answer.limit_reads(self._stall_s)
        while data:
            self._limit_to_deadline()
            *events, rest = (rest + data).split(b"\n\n")
            for event in events:
                if event.startswith(EVENT_PREFIX + b"{"):
                    yield _frame(event)
            data = self._read()

    def _limit_to_deadline(self) -> None:
        left_s = self._until_s - time.monotonic()
        if left_s < self._stall_s:
            self._answer.limit_reads(max(MIN_TIMEOUT_S, left_s))

    def _read(self) -> bytes:
        try:
            return self._answer.response.read1(READ_BYTES)
        except (OSError, HTTPException, ValueError) as error:
            raise broken(error) from error

    def close(self) -> None:
        """Let go of the stream; an unread rest breaks the connection."""
        self._answer.close()


def _frame(event: bytes) -> TokenFrame:
    try:
        return decode_frame(event)
    except msgspec.MsgspecError as error:
        raise BrokenCallError(f"unreadable event: {error}") from error


class HttpEngines:
    """Model engines over HTTP; ``polled`` is given each load report."""

    def __init__(
        self,
        client: HttpClient,
        limits: StreamLimits,
        polled: Callable[[EndpointId, LoadReport], None],
    ) -> None:
        self._client = client
        self._limits = limits
        self._polled = polled

    def generate(
        self,
        endpoint: Endpoint,
        request: InferenceRequest,
        offset: int,
        cancellation: Cancellation,
    ) -> EventStream:
        """Open a stream; see the Engines port."""
        call = HttpCall(
            "POST",
            "/v1/completions",
            encode_generate(request, offset),
            {"Content-Type": "application/json"},
            self._first_token_limit_s(request, offset),
            cancellation=cancellation,
        )
        answer = self._client.open(_address(endpoint), call)
        if answer.response.status >= ERRORS_FROM:
            raise EndpointRefusedError(answer.response.status, _detail(answer))
        return EventStream(answer, self._limits.stall_s, request.total_deadline_s)

    def _first_token_limit_s(self, request: InferenceRequest, offset: int) -> float:
        due_s = request.total_deadline_s if offset else request.deadline_s
        left_s = due_s - time.monotonic()
        return max(MIN_TIMEOUT_S, min(self._limits.first_token_s, left_s))

    def order(self, endpoint: Endpoint, order: Order) -> OrderOutcome:
        """Send an order; see the Engines port."""
        call = HttpCall(
            "POST",
            "/admin/orders",
            encode_order(order),
            timeout_s=ORDER_TIMEOUT_S,
            fresh=True,
        )
        match self._client.call(_address(endpoint), call).status:
            case 202:
                return OrderOutcome.ACCEPTED
            case 409:
                return OrderOutcome.FENCED
            case status if status >= SERVER_ERRORS_FROM:
                raise BrokenCallError(f"the order got status {status}")
            case _:
                return OrderOutcome.REFUSED

    def inventory(self, endpoint: Endpoint) -> Inventory:
        """Return what the engine holds; see the Engines port."""
        call = HttpCall("GET", "/admin/inventory", timeout_s=INVENTORY_TIMEOUT_S)
        answer = self._client.call(_address(endpoint), call)
        try:
            inventory = decode_inventory(answer.body)
        except msgspec.MsgspecError as error:
            raise BrokenCallError(f"unreadable inventory: {error}") from error
        self._polled(endpoint.id, load_report(inventory))
        return inventory


class HttpServices:
    """Plain services over HTTP; longer answers than ``max_answer_bytes`` fail."""

    def __init__(self, client: HttpClient, max_answer_bytes: int) -> None:
        self._client = client
        self._max_answer_bytes = max_answer_bytes

    def call(self, endpoint: Endpoint, request: ActionRequest) -> ActionAnswer:
        """Call an operation once, over a fresh connection."""
        left_s = request.deadline_s - time.monotonic()
        call = HttpCall(
            "POST",
            f"/{quote(request.service)}/{quote(request.operation)}",
            request.body,
            {"Content-Type": "application/json", "X-Request-Id": request.id},
            max(left_s, MIN_TIMEOUT_S),
            fresh=True,
            max_answer_bytes=self._max_answer_bytes,
        )
        answer = self._client.call(_address(endpoint), call)
        return ActionAnswer(answer.status, answer.body)


def _detail(answer: OpenAnswer) -> str:
    try:
        return answer.response.read().decode(errors="replace")
    except (OSError, HTTPException) as error:
        return repr(error)
    finally:
        answer.close()


def _address(endpoint: Endpoint) -> Address:
    return Address(endpoint.host, endpoint.port)
