"""Requests to endpoint owners, on this node or on peers, to load items."""

import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Executor
from dataclasses import dataclass

from camphoryard.coordination.messages import Declined, Done, LoadItemsRequest
from camphoryard.coordination.observing.item_usage import ItemUsage
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.placement.weight_budget import WeightBudgetClient
from camphoryard.coordination.ports import Peers
from camphoryard.coordination.residency.eviction import EvictionPolicy
from camphoryard.coordination.residency.load_choice import LoadChoice, choose_endpoints
from camphoryard.coordination.residency.occupancy import Occupancy
from camphoryard.coordination.residency.ownership import owner_of
from camphoryard.coordination.residency.residency_requests import START_LOAD_TIMEOUT_S
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import OrderKind
from camphoryard.state.errors import CamphoryardError
from camphoryard.state.ids import EndpointId, ItemId, NodeId
from camphoryard.state.nodes import NodeTable

LOAD_TIMEOUT_S = 30.0
START_RPC_TIMEOUT_S = 2.0
RETRY_PERIOD_S = 0.5
REQUEST_WINDOW_S = 2.0

StartLoading = Callable[[EndpointId, tuple[ItemId, ...], float], None]


@dataclass(frozen=True, slots=True)
class ResidencyClientContext:
    """Collaborators of the client; ``start_here`` requests a load from this node."""

    node: NodeId
    nodes: NodeTable
    peers: Peers
    executor: Executor
    start_here: StartLoading
    timeline: Timeline
    budget: WeightBudgetClient
    usage: ItemUsage
    occupancy: Occupancy
    eviction: EvictionPolicy


class ResidencyClient:
    """Requests loads of items; only one search runs for the same items at a time."""

    def __init__(self, context: ResidencyClientContext) -> None:
        self._context = context
        self._table = context.occupancy.table
        self._lock = threading.Lock()
        self._requested_s_by_items: dict[tuple[ItemId, ...], float] = {}
        self._closed = False

    def close(self) -> None:
        """End the searches in progress."""
        self._closed = True
        self._table.wake()

    def record_use(self, items: tuple[ItemId, ...]) -> None:
        """Record that ``items`` are used now."""
        self._context.usage.record_use(items)

    def request_load(
        self, items: tuple[ItemId, ...], candidates: Sequence[EndpointId]
    ) -> None:
        """Load ``items`` at one of ``candidates``, in the background.

        Waiting requests repeat this call; the search ends ``REQUEST_WINDOW_S``
        after the last call.
        """
        with self._lock:
            is_in_progress = items in self._requested_s_by_items
            self._requested_s_by_items[items] = time.monotonic()
            if is_in_progress:
                return
        self._context.executor.submit(self._load_at_any, items, tuple(candidates))

    def _load_at_any(
        self, items: tuple[ItemId, ...], candidates: Sequence[EndpointId]
    ) -> None:
        """Try endpoints, best first, until one of them has the items resident."""
        requested = _RequestedItems(items, candidates)
        try:
            if not self._choices(requested):
                return
            if not self._is_model_resident(items[0], candidates):
                self._context.budget.wait_for_urgent_start()
            while self._is_still_requested(items) and not self._is_resident(requested):
                choices = self._choices(requested)
                if not choices:
                    return
                for choice in choices:
                    if self._load_at(choice, requested):
                        return
        finally:
            with self._lock:
                del self._requested_s_by_items[items]

    def _load_at(self, choice: LoadChoice, requested: "_RequestedItems") -> bool:
        """Try one endpoint; return whether the search is finished."""

        def is_resident() -> bool:
            return self._is_resident(requested)

        def is_finished() -> bool:
            return is_resident() or not self._is_loading(requested)

        if self._is_loading(requested):
            self._table.wait_until(is_finished, time.monotonic() + LOAD_TIMEOUT_S)
        if is_resident():
            return True
        deadline_s = time.monotonic() + START_LOAD_TIMEOUT_S
        self._start(choice, requested.items)
        if self._table.wait_until(is_resident, time.monotonic() + RETRY_PERIOD_S):
            return True
        self._table.wait_until(
            lambda: is_resident() or not self._is_busy(choice.endpoint), deadline_s
        )
        self._table.wait_until(is_finished, time.monotonic() + LOAD_TIMEOUT_S)
        return is_resident()

    def _choices(self, requested: "_RequestedItems") -> tuple[LoadChoice, ...]:
        return choose_endpoints(
            self._context.eviction,
            self._context.occupancy,
            requested.items,
            requested.candidates,
        )

    def _is_still_requested(self, items: tuple[ItemId, ...]) -> bool:
        """Return whether ``items`` were requested within ``REQUEST_WINDOW_S``."""
        with self._lock:
            requested_s = self._requested_s_by_items[items]
        return time.monotonic() - requested_s < REQUEST_WINDOW_S

    def _is_resident(self, requested: "_RequestedItems") -> bool:
        return self._closed or any(
            self._table.are_resident(endpoint, requested.items)
            for endpoint in requested.candidates
        )

    def _is_loading(self, requested: "_RequestedItems") -> bool:
        """Return whether an owner has recorded load intents for the missing items."""
        return any(
            _is_loading_at(self._table.find(endpoint), requested.items)
            for endpoint in requested.candidates
        )

    def _is_busy(self, endpoint: EndpointId) -> bool:
        """Return whether orders are open at the endpoint, perhaps to free memory."""
        record = self._table.find(endpoint)
        return record is not None and bool(record.intents_by_item)

    def _is_model_resident(
        self, model: ItemId, candidates: Sequence[EndpointId]
    ) -> bool:
        return any(
            self._table.are_resident(endpoint, (model,)) for endpoint in candidates
        )

    def _start(self, choice: LoadChoice, items: tuple[ItemId, ...]) -> None:
        endpoint, limit_slots = choice.endpoint, choice.limit_slots
        owner = owner_of(endpoint, self._context.nodes)
        try:
            if owner is None:
                return
            if owner == self._context.node:
                self._context.start_here(endpoint, items, limit_slots)
                return
            message = LoadItemsRequest(endpoint, items, limit_slots)
            reply = self._context.peers.request(owner, message, START_RPC_TIMEOUT_S)
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
        self._context.timeline.record(
            "load_not_started", endpoint=endpoint, items=items, error=error
        )


@dataclass(frozen=True, slots=True)
class _RequestedItems:
    """Items that requests wait for, and the candidate endpoints."""

    items: tuple[ItemId, ...]
    candidates: Sequence[EndpointId]


def _is_loading_at(record: EndpointRecord | None, items: tuple[ItemId, ...]) -> bool:
    """Return whether all missing ``items`` are being loaded at this endpoint."""
    if record is None or record.is_silent:
        return False
    intents = [record.intents_by_item.get(item) for item in items]
    is_loaded = [
        intent.kind is OrderKind.LOAD if intent else item in record.resident_mb_by_item
        for item, intent in zip(items, intents, strict=True)
    ]
    return any(intents) and all(is_loaded)
