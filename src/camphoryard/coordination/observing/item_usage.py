"""When items were last used, here and as other nodes tell."""

import threading
import time
from collections.abc import Collection

from camphoryard.coordination.messages import ItemsUsed
from camphoryard.coordination.ports import Peers, Timer
from camphoryard.state.ids import ItemId, NodeId
from camphoryard.state.tables import EndpointTable

REPORT_PERIOD_S = 3.0


class ItemUsage:
    """Times of last use by item; owners of endpoints are told of it now and then."""

    def __init__(self, node: NodeId, table: EndpointTable, peers: Peers) -> None:
        self._node = node
        self._table = table
        self._peers = peers
        self._lock = threading.Lock()
        self._used_s_by_item: dict[ItemId, float] = {}
        self._unreported: set[ItemId] = set()

    def used(self, items: Collection[ItemId]) -> None:
        """Note that this node uses ``items`` now."""
        with self._lock:
            self._unreported.update(items)
        self.record_peer_use(items)

    def record_peer_use(self, items: Collection[ItemId]) -> None:
        """Note that another node uses ``items`` now."""
        now_s = time.monotonic()
        with self._lock:
            self._used_s_by_item.update(dict.fromkeys(items, now_s))

    def last_used_s(self, item: ItemId) -> float:
        """Return when ``item`` was last used, on the monotonic clock."""
        with self._lock:
            return self._used_s_by_item.get(item, 0.0)

    def run(self, timer: Timer) -> None:
        """Tell owners each period until the timer service closes."""
        for _ in timer.every(REPORT_PERIOD_S):
            self.report()

    def report(self) -> None:
        """Tell the owners of endpoints what this node used there of late."""
        with self._lock:
            items = frozenset(self._unreported)
            self._unreported.clear()
        for owner, used in self._used_by_owner(items).items():
            self._peers.send(owner, ItemsUsed(tuple(sorted(used))))

    def _used_by_owner(self, items: frozenset[ItemId]) -> dict[NodeId, set[ItemId]]:
        used_by_owner: dict[NodeId, set[ItemId]] = {}
        for record in self._table.by_id().values():
            used = items & record.resident_mb_by_item.keys()
            if used and record.owner != self._node:
                used_by_owner.setdefault(record.owner, set()).update(used)
        return used_by_owner
