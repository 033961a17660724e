"""Outward calls that the tasks of this layer are given at construction."""

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


@dataclass(frozen=True, slots=True)
class Stored(Generic[RecordT]):
    """A record at one version; ``record`` is None once deleted."""

    key: ObjectKey
    version: Version
    record: RecordT | None


@dataclass(frozen=True, slots=True)
class Snapshot(Generic[RecordT]):
    """Records as of ``revision``, from which a watch goes on."""

    revision: Revision
    items: tuple[Stored[RecordT], ...]


class Records(Protocol[RecordT]):
    """Typed records below one prefix of the object API."""

    def get(self, key: str) -> Stored[RecordT] | None:
        """Return the record, or None; raises StoreUnavailableError."""

    def put(self, key: str, record: RecordT, version: Version) -> Version:
        """Write if the version is still ``version``.

        Raises
        ------
        ConflictError
            If another version is there: this write took no effect.
        StoreUnavailableError
            If no answer came: the write may have taken effect.
        """

    def delete(self, key: str, version: Version) -> None:
        """Delete if the version is still ``version``; raises as ``put``."""

    def list(self, within: str = "") -> Snapshot[RecordT]:
        """Return all records whose key begins with ``within``.

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
            If ``since`` is too old: list again.
        StoreUnavailableError
            If the object API did not answer.
        """


class ContentStore(Protocol):
    """Parts of configurations; a key is written once, by one writer.

    All methods raise StoreUnavailableError if the object API does not answer.
    """

    def put(self, key: ObjectKey, part: Configuration) -> None:
        """Write a part; raises ObjectTooLargeError if it is too large."""

    def get(self, key: ObjectKey) -> Configuration:
        """Return a part; one that is gone counts as not answered."""

    def delete(self, key: ObjectKey) -> None:
        """Delete a part, whether it is there or not."""

    def keys(self) -> tuple[ObjectKey, ...]:
        """Return the keys of all parts."""


@dataclass(frozen=True, slots=True)
class Order:
    """An order to a model engine."""

    id: OrderId
    kind: OrderKind
    model: ItemId
    memory_mb: int
    fence: FencingNumber


@dataclass(frozen=True, slots=True)
class Inventory:
    """What an engine says it holds; ``running`` counts requests with a lag."""

    resident: frozenset[ItemId]
    loading: frozenset[ItemId]
    fence: FencingNumber
    running: int
    waiting: int
    leaving: bool = False
    slots: int = 0


def load_report(inventory: Inventory) -> LoadReport:
    """Return what the inventory says about load."""
    return LoadReport(
        inventory.running, inventory.waiting, inventory.slots, inventory.leaving
    )


FrameCallback: TypeAlias = Callable[[TokenFrame], bool]


class TokenStream(Protocol):
    """An open stream of an engine; closing it early cancels the request."""

    def read_frames(self, take: FrameCallback) -> None:
        """Block while frames are handed to ``take`` as they arrive.

        Returns once ``take`` says that it wants no more, or the stream ends.
        ``take`` runs in the task of the endpoint, which serves other streams as
        well, and must not block. Raises as ``generate``, and what ``take`` raises.
        """

    def close(self) -> None:
        """Let go of the stream."""


class Engines(Protocol):
    """Model engines."""

    def generate(
        self,
        endpoint: Endpoint,
        request: InferenceRequest,
        offset: int,
        cancellation: Cancellation,
    ) -> TokenStream:
        """Open a stream from token ``offset`` on; cancelling breaks it off.

        Raises
        ------
        NotSentError
            If no byte reached the engine.
        EndpointRefusedError
            If the engine will not run it.
        StalledCallError
            If the engine said nothing for too long.
        BrokenCallError
            If the call broke on the way.
        """

    def order(self, endpoint: Endpoint, order: Order) -> OrderOutcome:
        """Send an order; raises NotSentError or BrokenCallError."""

    def inventory(self, endpoint: Endpoint) -> Inventory:
        """Return what the engine holds; raises NotSentError or BrokenCallError."""


class Services(Protocol):
    """Plain services."""

    def call(self, endpoint: Endpoint, request: ActionRequest) -> ActionAnswer:
        """Call an operation once.

        Raises
        ------
        NotSentError
            If no byte reached the service.
        BrokenCallError
            If the call broke on the way: it may have run.
        AnswerTooLargeError
            If the service answered with more than is taken.
        """


class Peers(Protocol):
    """The other nodes."""

    def ask(self, node: NodeId, message: Message, timeout_s: float) -> Reply:
        """Send and wait for the reply; raises PeerUnreachableError."""

    def send(self, node: NodeId, message: Message) -> None:
        """Send without waiting; a lost message is lost."""


class VmList(Protocol):
    """The platform's list of live and leaving VMs; it lags."""

    def states(self) -> Mapping[VmId, VmState]:
        """Return the listed VMs; raises VmListUnavailableError."""


class Ticks(Protocol):
    """A subscription to the timer service."""

    def __iter__(self) -> Iterator[None]:
        """Block until each tick; end when the timer service closes."""

    def wake(self) -> None:
        """Make the next tick come now."""


class Timer(Protocol):
    """The timer service."""

    def every(self, period_s: float) -> Ticks:
        """Subscribe to a tick each ``period_s``, the first one at once."""
