"""HTTP calls to model engines and plain services."""

import time
from collections.abc import Callable
from dataclasses import replace
from http.client import HTTPException
from urllib.parse import quote

import msgspec

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.ports import Inventory, Order, load_report
from camphoryard.protocol.endpoint import (
    decode_inventory,
    encode_generate,
    encode_order,
)
from camphoryard.state.configuration import Endpoint
from camphoryard.state.enums import OrderOutcome
from camphoryard.state.errors import (
    BrokenCallError,
    EndpointRefusedError,
    NoInventoryError,
)
from camphoryard.state.ids import EndpointId
from camphoryard.state.load_reports import LoadReport
from camphoryard.state.requests import (
    ActionAnswer,
    ActionRequest,
    InferenceRequest,
)
from camphoryard.transport.event_streams import EventStream
from camphoryard.transport.http_client import (
    Address,
    HttpCall,
    HttpClient,
    OpenAnswer,
)
from camphoryard.transport.stream_reading import StreamLimits, StreamReaders

ORDER_TIMEOUT_S = 2.0
INVENTORY_TIMEOUT_S = 1.0
MIN_TIMEOUT_S = 0.05
MAX_ERROR_BYTES = 64 << 10
"""Maximum size of the explanation in an error answer."""
OK = 200
MIN_ERROR_STATUS = 400
MIN_SERVER_ERROR_STATUS = 500


class HttpEngines:
    """Calls model engines over HTTP; passes each load report to ``on_load_report``."""

    def __init__(
        self,
        client: HttpClient,
        readers: StreamReaders,
        limits: StreamLimits,
        on_load_report: Callable[[EndpointId, LoadReport], None],
    ) -> None:
        self._client = client
        self._readers = readers
        self._limits = limits
        self._on_load_report = on_load_report

    def generate(
        self,
        endpoint: Endpoint,
        request: InferenceRequest,
        offset: int,
        cancellation: Cancellation,
    ) -> EventStream:
        """Open a stream; see the Engines port."""
        limits = self._stream_limits(request, offset)
        first_token_end_s = time.monotonic() + limits.first_token_s
        call = HttpCall(
            "POST",
            "/v1/completions",
            encode_generate(request, offset),
            {"Content-Type": "application/json"},
            limits.first_token_s,
            cancellation=cancellation,
        )
        answer = self._client.open(_address(endpoint), call)
        left_s = max(MIN_TIMEOUT_S, first_token_end_s - time.monotonic())
        if answer.response.status >= MIN_ERROR_STATUS:
            raise EndpointRefusedError(
                answer.response.status,
                _error_detail(answer, left_s),
                answer.number == 1,
            )
        return EventStream(answer, self._readers, replace(limits, first_token_s=left_s))

    def _stream_limits(self, request: InferenceRequest, offset: int) -> StreamLimits:
        deadline_s = request.total_deadline_s if offset else request.deadline_s
        left_s = deadline_s - time.monotonic()
        first_token_s = max(MIN_TIMEOUT_S, min(self._limits.first_token_s, left_s))
        return replace(
            self._limits,
            first_token_s=first_token_s,
            deadline_s=request.total_deadline_s,
        )

    def order(self, endpoint: Endpoint, order: Order) -> OrderOutcome:
        """Send an order; see the Engines port."""
        call = HttpCall(
            "POST",
            "/admin/orders",
            encode_order(order),
            timeout_s=ORDER_TIMEOUT_S,
            new_connection=True,
        )
        match self._client.call(_address(endpoint), call).status:
            case 202:
                return OrderOutcome.ACCEPTED
            case 409:
                return OrderOutcome.FENCED
            case status if status >= MIN_SERVER_ERROR_STATUS:
                raise BrokenCallError(f"order answered with status {status}")
            case _:
                return OrderOutcome.REFUSED

    def inventory(self, endpoint: Endpoint) -> Inventory:
        """Return the models that the engine has loaded; see the Engines port."""
        call = HttpCall(
            "GET",
            "/admin/inventory",
            timeout_s=INVENTORY_TIMEOUT_S,
            # Nothing in an inventory tells it from the copy of an earlier answer.
            new_connection=True,
        )
        answer = self._client.call(_address(endpoint), call)
        if answer.status != OK:
            # Its body could be read as the inventory of an empty engine.
            raise NoInventoryError(f"answered with status {answer.status}")
        try:
            inventory = decode_inventory(answer.body)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise NoInventoryError(f"unreadable: {error}") from error
        self._on_load_report(endpoint.id, load_report(inventory))
        return inventory


class HttpServices:
    """Calls plain services over HTTP; answers over ``max_answer_bytes`` fail."""

    def __init__(self, client: HttpClient, max_answer_bytes: int) -> None:
        self._client = client
        self._max_answer_bytes = max_answer_bytes

    def call(self, endpoint: Endpoint, request: ActionRequest) -> ActionAnswer:
        """Call an operation once, over a new connection."""
        left_s = request.deadline_s - time.monotonic()
        call = HttpCall(
            "POST",
            f"/{quote(request.service)}/{quote(request.operation)}",
            request.body,
            {"Content-Type": "application/json", "X-Request-Id": request.id},
            max(left_s, MIN_TIMEOUT_S),
            new_connection=True,
            max_answer_bytes=self._max_answer_bytes,
            max_answer_time_s=max(left_s, MIN_TIMEOUT_S),
        )
        answer = self._client.call(_address(endpoint), call)
        return ActionAnswer(answer.status, answer.body)


def _error_detail(answer: OpenAnswer, timeout_s: float) -> str:
    try:
        body = answer.read_body(
            MAX_ERROR_BYTES, timeout_s, time.monotonic() + timeout_s
        )
    except (OSError, HTTPException) as error:
        return repr(error)
    else:
        return body.decode(errors="replace")
    finally:
        answer.close(answer.response.isclosed())


def _address(endpoint: Endpoint) -> Address:
    return Address(endpoint.host, endpoint.port)
