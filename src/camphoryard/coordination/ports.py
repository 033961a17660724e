"""Interfaces to other systems and nodes, injected into the tasks of this layer."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Generic, Protocol, TypeAlias, TypeVar

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.messages import Message, Reply
from camphoryard.state.configuration import Configuration, Endpoint
from camphoryard.state.enums import OrderKind, OrderOutcome, VmState
from camphoryard.state.ids import (
    FencingNumber,
    ItemId,
    NodeId,
    ObjectKey,
    OrderId,
    Revision,
    Version,
    VmId,
)
from camphoryard.state.load_reports import LoadReport
from camphoryard.state.requests import (
    ActionAnswer,
    ActionRequest,
    InferenceRequest,
    TokenFrame,
)

RecordT = TypeVar("RecordT")


class DecisionLog(Protocol):
    """Log of the decisions of a node."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write one line; never blocks."""


@dataclass(frozen=True, slots=True)
class Stored(Generic[RecordT]):
    """A record at one version; ``record`` is None if it was deleted."""

    key: ObjectKey
    version: Version
    record: RecordT | None


@dataclass(frozen=True, slots=True)
class Snapshot(Generic[RecordT]):
    """Records as of ``revision``; a watch can continue from there."""

    revision: Revision
    items: tuple[Stored[RecordT], ...]


class Records(Protocol[RecordT]):
    """Typed records under one key prefix of the object API."""

    def get(self, key: str) -> Stored[RecordT] | None:
        """Return the record, or None if absent; raises StoreUnavailableError."""

    def put(self, key: str, record: RecordT, version: Version) -> Version:
        """Write the record if its stored version is still ``version``.

        Raises
        ------
        ConflictError
            If the stored version is another one; the write had no effect.
        StoreUnavailableError
            If no answer was received; the write may have taken effect.
        """

    def delete(self, key: str, version: Version) -> None:
        """Delete the record if its version is ``version``; raises as ``put``."""

    def list(self, within: str = "") -> Snapshot[RecordT]:
        """Return all records whose keys start with ``within``.

        Raises
        ------
        StoreUnavailableError
            If the object API did not answer.
        """

    def watch(self, since: Revision, wait_s: float) -> Snapshot[RecordT]:
        """Block up to ``wait_s`` for changes after ``since``.

        Raises
        ------
        ConflictError
            If ``since`` is too old; list the records again.
        StoreUnavailableError
            If the object API did not answer.
        """


class ContentStore(Protocol):
    """Stored parts of configurations; each key is written once, by one writer.

    All methods raise StoreUnavailableError if the object API does not answer.
    """

    def put(self, key: ObjectKey, part: Configuration) -> None:
        """Write a part; raises ObjectTooLargeError if it is too large."""

    def get(self, key: ObjectKey) -> Configuration:
        """Return a part; raises StoreUnavailableError also if it was deleted."""

    def delete(self, key: ObjectKey) -> None:
        """Delete a part; a missing one is no error."""

    def keys(self) -> tuple[ObjectKey, ...]:
        """Return the keys of all parts."""


@dataclass(frozen=True, slots=True)
class Order:
    """An order to a model engine to load or unload an item."""

    id: OrderId
    kind: OrderKind
    model: ItemId
    memory_mb: int
    fence: FencingNumber


@dataclass(frozen=True, slots=True)
class Inventory:
    """The items and load that an engine reports; ``running`` may be out of date."""

    resident: frozenset[ItemId]
    loading: frozenset[ItemId]
    fence: FencingNumber
    running: int
    waiting: int
    leaving: bool = False
    slots: int = 0


def load_report(inventory: Inventory) -> LoadReport:
    """Return the part of the inventory that describes load."""
    return LoadReport(
        inventory.running, inventory.waiting, inventory.slots, inventory.leaving
    )


FrameCallback: TypeAlias = Callable[[TokenFrame], bool]


class TokenStream(Protocol):
    """An open token stream of an engine; closing it early cancels the request."""

    def read_frames(self, on_frame: FrameCallback) -> None:
        """Block, and call ``on_frame`` with each frame as it arrives.

        Returns when ``on_frame`` returns False or the stream ends. ``on_frame``
        runs in the endpoint's task, which also serves other streams, so it must
        not block. Raises as ``generate``, and whatever ``on_frame`` raises.
        """

    def close(self) -> None:
        """Close the stream."""


class Engines(Protocol):
    """Model engines."""

    def generate(
        self,
        endpoint: Endpoint,
        request: InferenceRequest,
        offset: int,
        cancellation: Cancellation,
    ) -> TokenStream:
        """Open a stream that starts at token ``offset``; cancellation aborts it.

        Raises
        ------
        NotSentError
            If no byte reached the engine.
        EndpointRefusedError
            If the engine declined the request.
        StalledCallError
            If the engine sent nothing within the time-out.
        BrokenCallError
            If the connection failed during the call.
        """

    def order(self, endpoint: Endpoint, order: Order) -> OrderOutcome:
        """Send an order; raises NotSentError or BrokenCallError."""

    def inventory(self, endpoint: Endpoint) -> Inventory:
        """Return the engine's inventory.

        Raises
        ------
        NotSentError, BrokenCallError
            If the engine cannot be asked, or does not answer.
        NoInventoryError
            If it answers something else.
        """


class Services(Protocol):
    """Services that are not model engines."""

    def call(self, endpoint: Endpoint, request: ActionRequest) -> ActionAnswer:
        """Call an operation once, without retries.

        Raises
        ------
        NotSentError
            If no byte reached the service.
        BrokenCallError
            If the connection failed during the call; the operation may have run.
        AnswerTooLargeError
            If the answer is larger than the limit.
        """


class Peers(Protocol):
    """The other nodes."""

    def request(self, node: NodeId, message: Message, timeout_s: float) -> Reply:
        """Send ``message`` and return the reply; raises PeerUnreachableError."""

    def send(self, node: NodeId, message: Message) -> None:
        """Send ``message`` without waiting; a lost message is not sent again."""


class VmList(Protocol):
    """The platform's list of live and leaving VMs, which may be out of date."""

    def states(self) -> Mapping[VmId, VmState]:
        """Return the listed VMs; raises VmListUnavailableError."""


class Ticks(Protocol):
    """A subscription to the timer service."""

    def __iter__(self) -> Iterator[None]:
        """Block until each tick; end when the timer service closes."""

    def wake(self) -> None:
        """Trigger the next tick at once."""


class Timer(Protocol):
    """The timer service."""

    def every(self, period_s: float) -> Ticks:
        """Subscribe to a tick every ``period_s`` seconds; the first is immediate."""
