"""Asking an endpoint's owner, here or at a peer, to load a model."""

import functools
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Executor

from camphoryard.coordination.messages import Done, LoadWanted
from camphoryard.coordination.ownership import owner_of
from camphoryard.coordination.ports import Peers
from camphoryard.coordination.timeline import Timeline
from camphoryard.coordination.weight_budget import BudgetClient
from camphoryard.state.endpoint_record import free_mb
from camphoryard.state.errors import CamphoryardError
from camphoryard.state.ids import EndpointId, ItemId, NodeId
from camphoryard.state.nodes import NodeTable
from camphoryard.state.tables import EndpointTable

LOAD_TIMEOUT_S = 30.0


class ResidencyClient:
    """Starts loads where they are wanted; a wish already under way is not doubled."""

    def __init__(
        self,
        node: NodeId,
        nodes: NodeTable,
        table: EndpointTable,
        peers: Peers,
        executor: Executor,
        load_here: Callable[[EndpointId, tuple[ItemId, ...]], None],
        timeline: Timeline,
        budget: BudgetClient,
    ) -> None:
        self._node = node
        self._nodes = nodes
        self._table = table
        self._peers = peers
        self._executor = executor
        self.load_here = load_here
        self._timeline = timeline
        self._budget = budget
        self._lock = threading.Lock()
        self._wanted: set[tuple[ItemId, ...]] = set()
        self._used_s_by_item: dict[ItemId, float] = {}

    def used(self, items: tuple[ItemId, ...]) -> None:
        """Note that ``items`` are used now."""
        now_s = time.monotonic()
        for item in items:
            self._used_s_by_item[item] = now_s

    def last_used_s(self, item: ItemId) -> float:
        """Return when ``item`` was last used here, on the monotonic clock."""
        return self._used_s_by_item.get(item, 0.0)

    def want(self, items: tuple[ItemId, ...], candidates: Sequence[EndpointId]) -> None:
        """Have ``items`` loaded at one of ``candidates``, in the background."""
        with self._lock:
            if items in self._wanted:
                return
            self._wanted.add(items)
        self._executor.submit(self._bring, items, candidates)

    def _bring(
        self, items: tuple[ItemId, ...], candidates: Sequence[EndpointId]
    ) -> None:
        """Try candidates, the one with the most free memory first."""
        order = functools.partial(self._order, items[0])
        try:
            if not self._is_anywhere(items[0], candidates):
                self._budget.wait_urgent()
            for endpoint in sorted(candidates, key=order, reverse=True):
                if self._load(endpoint, items):
                    return
        finally:
            with self._lock:
                self._wanted.discard(items)

    def _is_anywhere(self, model: ItemId, candidates: Sequence[EndpointId]) -> bool:
        return any(self._table.are_resident(item, (model,)) for item in candidates)

    def _order(self, model: ItemId, endpoint: EndpointId) -> tuple[bool, int]:
        """Return the sort key of candidates: an adapter goes where its base is."""
        record = self._table.find(endpoint)
        if record is None:
            return False, 0
        return model in record.resident_mb_by_item, free_mb(record)

    def _load(self, endpoint: EndpointId, items: tuple[ItemId, ...]) -> bool:
        owner = owner_of(endpoint, self._nodes)
        try:
            if owner is None:
                return False
            if owner == self._node:
                self.load_here(endpoint, items)
            else:
                message = LoadWanted(endpoint, items)
                reply = self._peers.ask(owner, message, LOAD_TIMEOUT_S)
                return isinstance(reply, Done)
        except CamphoryardError as error:
            self._timeline.record(
                "load_failed", endpoint=endpoint, items=items, error=error
            )
            return False
        return True
