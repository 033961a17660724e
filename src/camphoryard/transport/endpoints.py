"""Calls of model engines and plain services."""

import time
from collections.abc import Iterator
from http.client import HTTPException
from urllib.parse import quote

import msgspec

from camphoryard.coordination.ports import Inventory, Order
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
)

TOKEN_TIMEOUT_S = 10.0
ORDER_TIMEOUT_S = 2.0
INVENTORY_TIMEOUT_S = 1.0
MIN_ACTION_TIMEOUT_S = 0.05
READ_BYTES = 65_536
ERRORS_FROM = 400
SERVER_ERRORS_FROM = 500


class EventStream:
    """Token frames read from an engine's event stream."""

    def __init__(self, answer: OpenAnswer) -> None:
        self._answer = answer

    def __iter__(self) -> Iterator[TokenFrame]:
        rest = b""
        while True:
            try:
                data = self._answer.response.read1(READ_BYTES)
            except (OSError, HTTPException, ValueError) as error:
                raise BrokenCallError(repr(error)) from error
            if not data:
                return
            *events, rest = (rest + data).split(b"\n\n")
            for event in events:
                if event.startswith(EVENT_PREFIX + b"{"):
                    yield _frame(event)

    def close(self) -> None:
        """Let go of the stream; an unread rest breaks the connection."""
        self._answer.close()


def _frame(event: bytes) -> TokenFrame:
    try:
        return decode_frame(event)
    except msgspec.MsgspecError as error:
        raise BrokenCallError(f"unreadable event: {error}") from error


class HttpEngines:
    """Model engines over HTTP."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def generate(
        self, endpoint: Endpoint, request: InferenceRequest, offset: int
    ) -> EventStream:
        """Open a stream; see the Engines port."""
        call = HttpCall(
            "POST",
            "/v1/completions",
            encode_generate(request, offset),
            {"Content-Type": "application/json"},
            TOKEN_TIMEOUT_S,
        )
        answer = self._client.open(_address(endpoint), call)
        if answer.response.status >= ERRORS_FROM:
            detail = answer.response.read().decode(errors="replace")
            answer.close()
            raise EndpointRefusedError(answer.response.status, detail)
        return EventStream(answer)

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
            return decode_inventory(answer.body)
        except msgspec.MsgspecError as error:
            raise BrokenCallError(f"unreadable inventory: {error}") from error


class HttpServices:
    """Plain services over HTTP."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def call(self, endpoint: Endpoint, request: ActionRequest) -> ActionAnswer:
        """Call an operation once, over a fresh connection."""
        left_s = request.deadline_s - time.monotonic()
        call = HttpCall(
            "POST",
            f"/{quote(request.service)}/{quote(request.operation)}",
            request.body,
            {"Content-Type": "application/json", "X-Request-Id": request.id},
            max(left_s, MIN_ACTION_TIMEOUT_S),
            fresh=True,
        )
        answer = self._client.call(_address(endpoint), call)
        return ActionAnswer(answer.status, answer.body)


def _address(endpoint: Endpoint) -> Address:
    return Address(endpoint.host, endpoint.port)
