"""Asking the owners of endpoints, here or at peers, to load items."""

import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Executor
from dataclasses import dataclass

from camphoryard.coordination.messages import Declined, Done, LoadItemsRequest
from camphoryard.coordination.observing.item_usage import ItemUsage
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.placement.weight_budget import BudgetClient
from camphoryard.coordination.ports import Peers
from camphoryard.coordination.residency.eviction import EvictionPolicy
from camphoryard.coordination.residency.load_choice import LoadChoice, choose_endpoints
from camphoryard.coordination.residency.occupancy import Occupancy
from camphoryard.coordination.residency.ownership import owner_of
from camphoryard.coordination.residency.residency_requests import START_WISH_S
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import OrderKind
from camphoryard.state.errors import CamphoryardError
from camphoryard.state.ids import EndpointId, ItemId, NodeId
from camphoryard.state.nodes import NodeTable

LOAD_TIMEOUT_S = 30.0
START_TIMEOUT_S = 2.0
RETRY_PERIOD_S = 0.5
WANTED_OF_LATE_S = 2.0

StartLoading = Callable[[EndpointId, tuple[ItemId, ...], float], None]


@dataclass(frozen=True, slots=True)
class ResidencyClientContext:
    """What the search for a place works with; ``start_here`` asks this node."""

    node: NodeId
    nodes: NodeTable
    peers: Peers
    executor: Executor
    start_here: StartLoading
    timeline: Timeline
    budget: BudgetClient
    usage: ItemUsage
    occupancy: Occupancy
    eviction: EvictionPolicy


class ResidencyClient:
    """Starts loads where they are wanted; a wish already under way is not doubled."""

    def __init__(self, parts: ResidencyClientContext) -> None:
        self._parts = parts
        self._table = parts.occupancy.table
        self._lock = threading.Lock()
        self._wanted_s_by_items: dict[tuple[ItemId, ...], float] = {}
        self._closed = False

    def close(self) -> None:
        """End the wishes under way."""
        self._closed = True
        self._table.wake()

    def record_use(self, items: tuple[ItemId, ...]) -> None:
        """Note that ``items`` are used now."""
        self._parts.usage.record_use(items)

    def request_load(
        self, items: tuple[ItemId, ...], candidates: Sequence[EndpointId]
    ) -> None:
        """Have ``items`` loaded at one of ``candidates``, in the background.

        Those who wait for them ask again and again; the search ends soon after
        nobody does any more.
        """
        with self._lock:
            is_under_way = items in self._wanted_s_by_items
            self._wanted_s_by_items[items] = time.monotonic()
            if is_under_way:
                return
        self._parts.executor.submit(self._bring, items, tuple(candidates))

    def _bring(
        self, items: tuple[ItemId, ...], candidates: Sequence[EndpointId]
    ) -> None:
        """Try endpoints, the best first, until the items are at one of them."""
        wanted = _Wanted(items, candidates)
        try:
            if not self._choices(wanted):
                return
            if not self._is_anywhere(items[0], candidates):
                self._parts.budget.wait_urgent()
            while self._is_wanted(items) and not self._is_there(wanted):
                choices = self._choices(wanted)
                if not choices:
                    return
                for choice in choices:
                    if self._bring_to(choice, wanted):
                        return
        finally:
            with self._lock:
                del self._wanted_s_by_items[items]

    def _bring_to(self, choice: LoadChoice, wanted: "_Wanted") -> bool:
        """Try one endpoint; return whether nothing is left to try."""

        def is_there() -> bool:
            return self._is_there(wanted)

        def is_over() -> bool:
            return is_there() or not self._is_coming(wanted)

        if self._is_coming(wanted):
            self._table.wait_until(is_over, time.monotonic() + LOAD_TIMEOUT_S)
        if is_there():
            return True
        wish_ends_s = time.monotonic() + START_WISH_S
        self._start(choice, wanted.items)
        if self._table.wait_until(is_there, time.monotonic() + RETRY_PERIOD_S):
            return True
        self._table.wait_until(
            lambda: is_there() or not self._is_busy(choice.endpoint), wish_ends_s
        )
        self._table.wait_until(is_over, time.monotonic() + LOAD_TIMEOUT_S)
        return is_there()

    def _choices(self, wanted: "_Wanted") -> tuple[LoadChoice, ...]:
        return choose_endpoints(
            self._parts.eviction, self._parts.occupancy, wanted.items, wanted.candidates
        )

    def _is_wanted(self, items: tuple[ItemId, ...]) -> bool:
        """Return whether somebody has asked for ``items`` of late."""
        with self._lock:
            wanted_s = self._wanted_s_by_items[items]
        return time.monotonic() - wanted_s < WANTED_OF_LATE_S

    def _is_there(self, wanted: "_Wanted") -> bool:
        return self._closed or any(
            self._table.are_resident(item, wanted.items) for item in wanted.candidates
        )

    def _is_coming(self, wanted: "_Wanted") -> bool:
        """Return whether an owner has written down a load of what is missing."""
        return any(
            _is_loading(self._table.find(item), wanted.items)
            for item in wanted.candidates
        )

    def _is_busy(self, endpoint: EndpointId) -> bool:
        """Return whether orders are open there, perhaps to make room."""
        record = self._table.find(endpoint)
        return record is not None and bool(record.intents_by_item)

    def _is_anywhere(self, model: ItemId, candidates: Sequence[EndpointId]) -> bool:
        return any(self._table.are_resident(item, (model,)) for item in candidates)

    def _start(self, choice: LoadChoice, items: tuple[ItemId, ...]) -> None:
        endpoint, limit_slots = choice.endpoint, choice.limit_slots
        owner = owner_of(endpoint, self._parts.nodes)
        try:
            if owner is None:
                return
            if owner == self._parts.node:
                self._parts.start_here(endpoint, items, limit_slots)
                return
            message = LoadItemsRequest(endpoint, items, limit_slots)
            reply = self._parts.peers.ask(owner, message, START_TIMEOUT_S)
            match reply:
                case Done():
                    return
                case Declined(detail):
                    self._record_failure(endpoint, items, detail)
                case other:
                    self._record_failure(endpoint, items, other)
        except CamphoryardError as error:
            self._record_failure(endpoint, items, error)

    def _record_failure(
        self, endpoint: EndpointId, items: tuple[ItemId, ...], error: object
    ) -> None:
        self._parts.timeline.record(
            "load_not_started", endpoint=endpoint, items=items, error=error
        )


@dataclass(frozen=True, slots=True)
class _Wanted:
    """Items that requests wait for, and the endpoints where they may run."""

    items: tuple[ItemId, ...]
    candidates: Sequence[EndpointId]


def _is_loading(record: EndpointRecord | None, items: tuple[ItemId, ...]) -> bool:
    """Return whether what is missing of ``items`` comes, all of it, here."""
    if record is None or record.is_silent:
        return False
    intents = [record.intents_by_item.get(item) for item in items]
    is_loaded = [
        intent.kind is OrderKind.LOAD if intent else item in record.resident_mb_by_item
        for item, intent in zip(items, intents, strict=True)
    ]
    return any(intents) and all(is_loaded)
