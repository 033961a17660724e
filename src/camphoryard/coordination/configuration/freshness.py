"""Whether this node's configuration was recently confirmed as the accepted one.

The object API confirms the generation when it answers, and a peer by reporting
how long ago the object API confirmed it there. During an outage of the object API
the nodes confirm it among themselves: a node that recently heard from more than
half of all nodes continues to serve. A confirmation is dated from before the
request was sent, so that a late answer does not count as a recent one, and the
clocks of two machines are never compared.
"""

import threading
import time
from collections.abc import Callable, Collection, Mapping

from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import Generation, NodeId
from camphoryard.state.tables import ConfigurationHolder

NEVER_S = float("-inf")


class ConfigurationFreshness:
    """Tracks when this node's configuration was last confirmed.

    Parameters
    ----------
    own : NodeId
        This node.
    holder : ConfigurationHolder
        Updated with each confirmation.
    members : callable
        Returns all nodes that may exist, whether recently heard from or not.
    limit_s : float
        How long a confirmation is valid, in seconds.
    """

    def __init__(
        self,
        own: NodeId,
        holder: ConfigurationHolder,
        members: Callable[[], Collection[NodeId]],
        limit_s: float,
    ) -> None:
        self._own = own
        self._holder = holder
        self._members = members
        self._limit_s = limit_s
        self._started_s = time.monotonic()
        self._heard_changed = threading.Condition()
        self._store_as_of_s = NEVER_S
        self._as_of_s_by_node: dict[NodeId, float] = {}

    def store_confirmed(self, as_of_s: float) -> None:
        """Record that no newer generation was accepted at ``as_of_s`` (monotonic)."""
        with self._heard_changed:
            self._store_as_of_s = max(self._store_as_of_s, as_of_s)
        self._holder.confirm(as_of_s)

    def store_age_s(self) -> float | None:
        """Return seconds since the object API's last confirmation, None if never."""
        age_s = time.monotonic() - self._store_as_of_s
        return age_s if age_s != float("inf") else None

    def record_confirmation(
        self, node: NodeId, as_of_s: float, generation: Generation
    ) -> None:
        """Record that ``node`` had ``generation`` in force at ``as_of_s``."""
        self.record_confirmations({node: as_of_s}, generation)

    def record_confirmations(
        self, as_of_s_by_node: Mapping[NodeId, float], generation: Generation
    ) -> None:
        """Record that each node had ``generation`` in force at its time.

        A generation newer than this node's confirms nothing and is ignored.
        """
        if generation > self._holder.current.generation:
            return
        with self._heard_changed:
            for node, as_of_s in as_of_s_by_node.items():
                if as_of_s > self._as_of_s_by_node.get(node, NEVER_S):
                    self._as_of_s_by_node[node] = as_of_s
            self._heard_changed.notify_all()

    def ages_s(self) -> dict[NodeId, float]:
        """Return the seconds since each node was last heard from."""
        now_s = time.monotonic()
        with self._heard_changed:
            return {
                node: now_s - as_of_s for node, as_of_s in self._as_of_s_by_node.items()
            }

    def node_age_s(self, node: NodeId) -> float | None:
        """Return the seconds since ``node`` was last heard from, or None if never."""
        with self._heard_changed:
            as_of_s = self._as_of_s_by_node.get(node)
        return None if as_of_s is None else time.monotonic() - as_of_s

    def confirm_among_nodes(self) -> None:
        """Confirm the configuration as of when a majority of nodes was heard from."""
        members = self._members()
        with self._heard_changed:
            as_of_s = self._majority_as_of_s(members)
        if self._holder.current.generation and as_of_s != NEVER_S:
            self._holder.confirm(as_of_s)

    def is_isolated(self) -> bool:
        """Return whether no majority of nodes was heard from within the limit.

        A node that started less than the limit ago is not isolated yet.
        """
        if time.monotonic() - self._started_s < self._limit_s:
            return False
        members = self._members()
        with self._heard_changed:
            return not self._is_majority_recent(members)

    def require_majority(self, members: Collection[NodeId]) -> None:
        """Block until more than half of ``members`` were recently heard from.

        Raises
        ------
        RefusalError
            If that does not happen within the limit. The other nodes may then
            still serve under the present configuration, so no newer one may be
            accepted.
        """
        deadline_s = time.monotonic() + self._limit_s
        with self._heard_changed:
            while not self._is_majority_recent(members):
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0 or not self._heard_changed.wait(remaining_s):
                    break
            if self._is_majority_recent(members):
                return
            unheard = sorted(set(members) - self._recently_heard())
        raise RefusalError(
            Reason.UNHEARD_NODES,
            f"no recent contact with: {', '.join(unheard)}. More than half of all"
            " nodes must be in contact, since the others may still serve under the"
            " present configuration; nothing was changed. If their VMs are gone,"
            " apply with --despite-unheard",
        )

    def _is_majority_recent(self, members: Collection[NodeId]) -> bool:
        return self._majority_as_of_s(members) >= time.monotonic() - self._limit_s

    def _recently_heard(self) -> set[NodeId]:
        since_s = time.monotonic() - self._limit_s
        recent = {
            node for node, as_of_s in self._as_of_s_by_node.items() if as_of_s > since_s
        }
        return {self._own, *recent}

    def _majority_as_of_s(self, members: Collection[NodeId]) -> float:
        """Return the latest time since which a majority of nodes was heard from.

        This node counts as one of the majority.
        """
        others = set(members) - {self._own}
        needed = (len(others) + 1) // 2
        if not needed:
            return time.monotonic()
        times_s = sorted(
            (self._as_of_s_by_node.get(node, NEVER_S) for node in others), reverse=True
        )
        return times_s[needed - 1]
