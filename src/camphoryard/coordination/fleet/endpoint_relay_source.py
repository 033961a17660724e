"""The changes of endpoints that a leader has read and passes on."""

import math
import threading
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from camphoryard.coordination.ports import Snapshot, Stored
from camphoryard.state.endpoint_relay import EndpointRelay, RelayedEndpoint
from camphoryard.state.ids import EndpointId, Incarnation, NodeId, Revision
from camphoryard.state.serving_endpoints import ServingEndpoint

MAX_REMOVED = 512
"""Removed endpoints that are remembered; nodes that lack older removals list the
store."""
MAX_WAITING_BEATS = 64
"""Digests of one node that wait for a call to the store; some seconds of them."""


@dataclass(frozen=True, slots=True)
class _Change:
    """An endpoint, and the revision of the view in which it changed last."""

    until: Revision
    endpoint: ServingEndpoint | None


@dataclass(slots=True)
class _HeardNode:
    """Beats of a node that are newer than the last call to the store."""

    incarnation: Incarnation
    covered_beat: int = 0
    waiting: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_WAITING_BEATS)
    )

    def covered_at(self, sent_s: float) -> int:
        """Return the newest beat that was heard before ``sent_s``."""
        while self.waiting and self.waiting[0][0] <= sent_s:
            _, self.covered_beat = self.waiting.popleft()
        return self.covered_beat


class EndpointRelaySource:
    """Collects the changes of a watch, and tells each node those that it lacks.

    Revisions are those of the store, so that a node may go on with the changes of
    another leader. A change that a node would not notice is not passed on.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._since: Revision | None = None
        self._until = Revision(0)
        self._change_by_id: dict[EndpointId, _Change] = {}
        self._heard_by_node: dict[NodeId, _HeardNode] = {}
        self._confirmed_s = -math.inf

    def apply_listing(self, snapshot: Snapshot[ServingEndpoint]) -> None:
        """Begin anew with a listing; nodes with older views have to list as well."""
        with self._lock:
            self._since = self._until = snapshot.revision
            self._change_by_id = {
                EndpointId(item.key): _Change(snapshot.revision, _relayed(item))
                for item in snapshot.items
            }

    def apply_changes(self, snapshot: Snapshot[ServingEndpoint]) -> None:
        """Add the changes of a watch that went on from the last call."""
        with self._lock:
            for item in snapshot.items:
                id, endpoint = EndpointId(item.key), _relayed(item)
                known = self._change_by_id.get(id)
                if (known.endpoint if known else None) != endpoint:
                    self._change_by_id[id] = _Change(snapshot.revision, endpoint)
            self._until = snapshot.revision
            self._forget_removed()

    def confirm(self, sent_s: float) -> None:
        """Record when the last call was sent whose changes have been added."""
        with self._lock:
            self._confirmed_s = sent_s

    def hear(
        self, node: NodeId, incarnation: Incarnation, beat: int, at_s: float
    ) -> None:
        """Record that a digest of a node arrived."""
        with self._lock:
            heard = self._heard_by_node.get(node)
            if heard is None or heard.incarnation != incarnation:
                heard = self._heard_by_node[node] = _HeardNode(incarnation)
            heard.waiting.append((at_s, beat))

    def relay_for(self, node: NodeId, position: Revision) -> EndpointRelay | None:
        """Return the changes after ``position``, or None if some are not known."""
        with self._lock:
            heard = self._heard_by_node.get(node)
            if heard is None or self._since is None or position < self._since:
                return None
            changes = tuple(
                RelayedEndpoint(id, change.endpoint)
                for id, change in self._change_by_id.items()
                if change.until > position
            )
            return EndpointRelay(
                min(position, self._until),
                self._until,
                changes,
                heard.incarnation,
                heard.covered_at(self._confirmed_s),
            )

    def _forget_removed(self) -> None:
        """Forget the oldest removals beyond MAX_REMOVED."""
        removed = [
            (change.until, id)
            for id, change in self._change_by_id.items()
            if change.endpoint is None
        ]
        for until, id in _oldest(removed, len(removed) - MAX_REMOVED):
            del self._change_by_id[id]
            self._since = until


def _oldest(
    removed: list[tuple[Revision, EndpointId]], count: int
) -> Iterable[tuple[Revision, EndpointId]]:
    return sorted(removed)[:count] if count > 0 else ()


def _relayed(item: Stored[ServingEndpoint]) -> ServingEndpoint | None:
    if item.record is None:
        return None
    return replace(item.record, on_hand=frozenset())
