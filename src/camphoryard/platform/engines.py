"""HTTP client for orders to the platform's engines and for their reports."""

from collections.abc import Callable

import msgspec

from camphoryard.coordination.loading.ports import (
    EngineOrder,
    EngineReport,
    OrderAnswer,
)
from camphoryard.coordination.routing.endpoint_notices import EndpointNotices
from camphoryard.coordination.routing.endpoint_room import (
    EndpointRoom,
    NoRoom,
    UnlimitedRoom,
)
from camphoryard.platform.dialect import EXPECTED_ENDPOINT, read_notices
from camphoryard.platform.traffic import Count, ListedModel, loaded_by_model
from camphoryard.state.enums import OrderKind
from camphoryard.state.errors import BrokenCallError, NotSentError, NotWantedError
from camphoryard.state.ids import AdapterId, ModelId
from camphoryard.state.quotas import Admitted
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.traffic import RequestedModel
from camphoryard.transport.http_client import Address, HttpAnswer, HttpCall, HttpClient

ORDER_PATH = "/order"
REPORT_PATH = "/report"
ORDER_TIMEOUT_S = 1.0
"""Engines answer in milliseconds; after a timeout the order may still be executed."""
REPORT_TIMEOUT_S = 0.5
OK = 200

_ANSWER_BY_STATUS = {
    200: OrderAnswer.DONE,
    202: OrderAnswer.ACCEPTED,
    409: OrderAnswer.BUSY,
    412: OrderAnswer.FENCED,
}
_OPCODE_BY_KIND = {OrderKind.LOAD: "load", OrderKind.UNLOAD: "unload"}


class _Report(msgspec.Struct, frozen=True, rename="kebab"):
    models: list[ListedModel]
    # Number of orders accepted since the start; in store entries of endpoints, the
    # field of this name counts heartbeats.
    seq: Count
    # Whether a model is being loaded or unloaded, not whether requests run.
    busy: bool = False
    running: Count = 0
    waiting: Count = 0
    # Adapters being loaded, each as MODEL/NAME@VERSION.
    coming: list[str] = []


_REPORT = msgspec.json.Decoder(_Report)


class PlatformEngines:
    """Calls the platform's engines; see the EngineApi port."""

    def __init__(
        self,
        client: HttpClient,
        notices: EndpointNotices,
        room: EndpointRoom | None = None,
    ) -> None:
        self._client = client
        self._notices = notices
        self._room = room or UnlimitedRoom()

    def order(
        self,
        endpoint: ServingEndpoint,
        order: EngineOrder,
        is_permitted: Callable[[], bool],
    ) -> OrderAnswer:
        """Send an order; see the EngineApi port."""
        body: dict[str, object] = {
            "opcode": _OPCODE_BY_KIND[order.kind],
            "model": order.item.model,
            "expected": order.expected,
            "holder": order.holder,
            "fence-token": order.term,
        }
        if order.item.adapter is not None:
            body["adapter"] = order.item.adapter
        call = HttpCall(
            "POST",
            ORDER_PATH,
            msgspec.json.encode(body),
            {"Content-Type": "application/json", EXPECTED_ENDPOINT: endpoint.id},
            ORDER_TIMEOUT_S,
            # Answers to orders carry no id: on a used connection, a copy of an earlier
            # answer could be taken for this one.
            new_connection=True,
            is_permitted=is_permitted,
        )
        answer = self._call(endpoint, call, self._room.take)
        return _ANSWER_BY_STATUS.get(answer.status, OrderAnswer.REFUSED)

    def report(self, endpoint: ServingEndpoint) -> EngineReport:
        """Return the state of an engine; raises BrokenCallError if it is unreadable."""
        call = HttpCall(
            "GET",
            REPORT_PATH,
            headers={EXPECTED_ENDPOINT: endpoint.id},
            timeout_s=REPORT_TIMEOUT_S,
        )
        answer = self._call(endpoint, call, self._room.take_report)
        if answer.status != OK:
            # Possibly the copy of a refusal; read as a report, it would show an engine
            # that has nothing loaded.
            raise BrokenCallError(f"report answered with status {answer.status}")
        try:
            report = _REPORT.decode(answer.body)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise BrokenCallError(f"unreadable report: {error}") from error
        return EngineReport(
            loaded_by_model(report.models),
            report.busy,
            report.seq,
            report.running,
            report.waiting,
            frozenset(map(_loading_adapter, report.coming)),
        )

    def _call(
        self,
        endpoint: ServingEndpoint,
        call: HttpCall,
        take: Callable[[ServingEndpoint], Admitted | NoRoom],
    ) -> HttpAnswer:
        """Make a call unless the endpoint wants none, and heed its answer's head."""
        rest_s = self._notices.rest_left_s(endpoint.id)
        if rest_s > 0:
            raise NotWantedError(f"{endpoint.id} wants no calls for {rest_s:.1f} s")
        match take(endpoint):
            case NoRoom(left_s):
                raise NotWantedError(f"{endpoint.id} is limited for {left_s:.1f} s")
            case admitted:
                pass
        try:
            answer = self._client.call(_address(endpoint), call)
        except NotSentError:
            self._room.refund(admitted)
            raise
        value_by_name = {name.lower(): text for name, text in answer.headers.items()}
        self._notices.heed(
            endpoint, read_notices(endpoint.id, answer.status, value_by_name)
        )
        return answer


def _loading_adapter(text: str) -> RequestedModel:
    model, _, adapter = text.partition("@")[0].partition("/")
    return RequestedModel(ModelId(model), AdapterId(adapter) if adapter else None)


def _address(endpoint: ServingEndpoint) -> Address:
    return Address(endpoint.address.host, endpoint.address.port)
