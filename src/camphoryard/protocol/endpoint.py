"""Messages to and from model engines and plain services."""

from dataclasses import dataclass, field

import msgspec

from camphoryard.coordination.ports import Inventory, Order
from camphoryard.state.ids import FencingNumber, ItemId
from camphoryard.state.requests import InferenceRequest, TokenFrame

EVENT_PREFIX = b"data: "


@dataclass(frozen=True, slots=True)
class GenerateForm:
    """Body of ``POST /v1/completions`` at an engine."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    resume_from: int
    adapter: str | None = None


@dataclass(frozen=True, slots=True)
class OrderForm:
    """Body of ``POST /admin/orders`` at an engine."""

    order_id: str
    kind: str
    model: str
    memory_mb: int
    fence: int


@dataclass(frozen=True, slots=True)
class InventoryForm:
    """Answer of ``GET /admin/inventory`` at an engine."""

    resident: list[str] = field(default_factory=list)
    loading: list[str] = field(default_factory=list)
    fence: int = 0
    running: int = 0
    waiting: int = 0
    leaving: bool = False
    slots: int = 0


_FRAME = msgspec.json.Decoder(TokenFrame)
_INVENTORY = msgspec.json.Decoder(InventoryForm)
STANDARD_RANK = 1


def encode_generate(request: InferenceRequest, offset: int) -> bytes:
    """Return the body of a request for tokens from ``offset`` on."""
    rank = request.priority.rank if request.priority else STANDARD_RANK
    return msgspec.json.encode(
        GenerateForm(
            request.id,
            request.model,
            request.prompt,
            request.max_tokens,
            rank,
            offset,
            request.adapter,
        )
    )


def decode_frame(line: bytes) -> TokenFrame:
    """Return the frame in one event line; raises ``msgspec.MsgspecError``."""
    return _FRAME.decode(memoryview(line)[len(EVENT_PREFIX) :])


def encode_order(order: Order) -> bytes:
    """Return the body of an order."""
    return msgspec.json.encode(
        OrderForm(order.id, order.kind.value, order.model, order.memory_mb, order.fence)
    )


def decode_inventory(body: bytes) -> Inventory:
    """Return an engine's inventory; raises ``msgspec.MsgspecError``."""
    form = _INVENTORY.decode(body)
    return Inventory(
        frozenset(ItemId(item) for item in form.resident),
        frozenset(ItemId(item) for item in form.loading),
        FencingNumber(form.fence),
        form.running,
        form.waiting,
        form.leaving,
        form.slots,
    )
