"""Asking the owners of endpoints, here or at peers, to load items."""

import functools
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Executor

from camphoryard.coordination.messages import Declined, Done, ItemsUsed, LoadWanted
from camphoryard.coordination.ownership import owner_of
from camphoryard.coordination.ports import Peers, Timer
from camphoryard.coordination.timeline import Timeline
from camphoryard.coordination.weight_budget import BudgetClient
from camphoryard.state.endpoint_record import free_mb
from camphoryard.state.enums import OrderKind
from camphoryard.state.errors import CamphoryardError
from camphoryard.state.ids import EndpointId, ItemId, NodeId
from camphoryard.state.nodes import NodeTable
from camphoryard.state.tables import EndpointTable

LOAD_TIMEOUT_S = 30.0
START_TIMEOUT_S = 2.0
RETRY_PERIOD_S = 0.5
USE_REPORT_PERIOD_S = 3.0

StartLoading = Callable[[EndpointId, tuple[ItemId, ...]], None]


class ResidencyClient:
    """Starts loads where they are wanted; a wish already under way is not doubled."""

    def __init__(
        self,
        node: NodeId,
        nodes: NodeTable,
        table: EndpointTable,
        peers: Peers,
        executor: Executor,
        start_here: StartLoading,
        timeline: Timeline,
        budget: BudgetClient,
    ) -> None:
        self._node = node
        self._nodes = nodes
        self._table = table
        self._peers = peers
        self._executor = executor
        self._start_here = start_here
        self._timeline = timeline
        self._budget = budget
        self._lock = threading.Lock()
        self._wanted: set[tuple[ItemId, ...]] = set()
        self._used_s_by_item: dict[ItemId, float] = {}
        self._unreported: set[ItemId] = set()
        self._closed = False

    def close(self) -> None:
        """End the wishes under way."""
        self._closed = True
        self._table.wake()

    def used(self, items: tuple[ItemId, ...]) -> None:
        """Note that ``items`` are used now."""
        with self._lock:
            self._unreported.update(items)
        self.used_elsewhere(items)

    def used_elsewhere(self, items: tuple[ItemId, ...]) -> None:
        """Note that another node uses ``items`` now."""
        now_s = time.monotonic()
        for item in items:
            self._used_s_by_item[item] = now_s

    def last_used_s(self, item: ItemId) -> float:
        """Return when ``item`` was last used, on the monotonic clock."""
        return self._used_s_by_item.get(item, 0.0)

    def run_reports(self, timer: Timer) -> None:
        """Tell the owners of endpoints, each period, what this node used there."""
        for _ in timer.every(USE_REPORT_PERIOD_S):
            with self._lock:
                items = frozenset(self._unreported)
                self._unreported.clear()
            for owner, used in self._used_by_owner(items).items():
                self._peers.tell(owner, ItemsUsed(tuple(sorted(used))))

    def want(self, items: tuple[ItemId, ...], candidates: Sequence[EndpointId]) -> None:
        """Have ``items`` loaded at one of ``candidates``, in the background."""
        with self._lock:
            if items in self._wanted:
                return
            self._wanted.add(items)
        self._executor.submit(self._bring, items, tuple(candidates))

    def _bring(
        self, items: tuple[ItemId, ...], candidates: Sequence[EndpointId]
    ) -> None:
        """Try candidates in turn until the items are at one of them."""
        deadline_s = time.monotonic() + LOAD_TIMEOUT_S
        order = functools.partial(self._order, items[0])
        try:
            if not self._is_anywhere(items[0], candidates):
                self._budget.wait_urgent()
            while time.monotonic() < deadline_s and not self._closed:
                for endpoint in sorted(candidates, key=order, reverse=True):
                    if self._bring_to(endpoint, items, candidates, deadline_s):
                        return
        finally:
            with self._lock:
                self._wanted.discard(items)

    def _bring_to(
        self,
        endpoint: EndpointId,
        items: tuple[ItemId, ...],
        candidates: Sequence[EndpointId],
        deadline_s: float,
    ) -> bool:
        """Try ``endpoint``; return whether nothing is left to try."""

        def is_there() -> bool:
            return self._closed or any(
                self._table.are_resident(item, items) for item in candidates
            )

        def is_over() -> bool:
            return is_there() or not self._is_under_way(endpoint, items)

        if is_there():
            return True
        self._start(endpoint, items)
        soon_s = min(deadline_s, time.monotonic() + RETRY_PERIOD_S)
        if self._table.wait_until(is_there, soon_s):
            return True
        self._table.wait_until(is_over, deadline_s)
        return is_there()

    def _is_under_way(self, endpoint: EndpointId, items: tuple[ItemId, ...]) -> bool:
        """Return whether the owner has written down a load of one of ``items``."""
        record = self._table.find(endpoint)
        if record is None:
            return False
        intents = [record.intents_by_item.get(item) for item in items]
        return any(intent and intent.kind is OrderKind.LOAD for intent in intents)

    def _is_anywhere(self, model: ItemId, candidates: Sequence[EndpointId]) -> bool:
        return any(self._table.are_resident(item, (model,)) for item in candidates)

    def _order(self, model: ItemId, endpoint: EndpointId) -> tuple[bool, int]:
        """Return the sort key of candidates: an adapter goes where its base is."""
        record = self._table.find(endpoint)
        if record is None or record.is_silent:
            return False, 0
        return model in record.resident_mb_by_item, free_mb(record)

    def _start(self, endpoint: EndpointId, items: tuple[ItemId, ...]) -> None:
        owner = owner_of(endpoint, self._nodes)
        try:
            if owner is None:
                return
            if owner == self._node:
                self._start_here(endpoint, items)
                return
            message = LoadWanted(endpoint, items)
            reply = self._peers.ask(owner, message, START_TIMEOUT_S)
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
        self._timeline.record(
            "load_not_started", endpoint=endpoint, items=items, error=error
        )

    def _used_by_owner(self, items: frozenset[ItemId]) -> dict[NodeId, set[ItemId]]:
        used_by_owner: dict[NodeId, set[ItemId]] = {}
        for record in self._table.by_id().values():
            used = items & record.resident_mb_by_item.keys()
            if used and record.owner != self._node:
                used_by_owner.setdefault(record.owner, set()).update(used)
        return used_by_owner
