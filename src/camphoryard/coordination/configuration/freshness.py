"""Whether this node may still take its configuration for the accepted one.

The object API confirms the generation when it answers, a peer when it passes
on how long ago that was. In an outage of the object API the nodes confirm it
among themselves: a node that heard more than half of all nodes of late goes
on. Times are counted from before the question was sent, so that a late answer
proves no more than it knew, and clocks of two machines are never compared.
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
    """Dates the last confirmation of this node's configuration.

    Parameters
    ----------
    own : NodeId
        This node.
    holder : ConfigurationHolder
        Told of each confirmation.
    members : callable
        Returns all nodes that may exist, whether heard of late or not.
    limit_s : float
        How long a confirmation lasts, in seconds.
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
        self._changed = threading.Condition()
        self._store_as_of_s = NEVER_S
        self._as_of_s_by_node: dict[NodeId, float] = {}

    def store_confirmed(self, as_of_s: float) -> None:
        """Note that nothing newer was accepted at ``as_of_s``, monotonic time."""
        with self._changed:
            self._store_as_of_s = max(self._store_as_of_s, as_of_s)
        self._holder.confirm(as_of_s)

    def store_age_s(self) -> float | None:
        """Return how long ago the object API confirmed, or None if never."""
        age_s = time.monotonic() - self._store_as_of_s
        return age_s if age_s != float("inf") else None

    def heard(self, node: NodeId, as_of_s: float, generation: Generation) -> None:
        """Note that ``node`` had ``generation`` in force at ``as_of_s``."""
        self.heard_all({node: as_of_s}, generation)

    def heard_all(
        self, as_of_s_by_node: Mapping[NodeId, float], generation: Generation
    ) -> None:
        """Note that each node had ``generation`` in force at its time."""
        if generation > self._holder.current.generation:
            return
        with self._changed:
            for node, as_of_s in as_of_s_by_node.items():
                if as_of_s > self._as_of_s_by_node.get(node, NEVER_S):
                    self._as_of_s_by_node[node] = as_of_s
            self._changed.notify_all()

    def ages_s(self) -> dict[NodeId, float]:
        """Return how long ago each node was heard, in seconds."""
        now_s = time.monotonic()
        with self._changed:
            return {
                node: now_s - as_of_s for node, as_of_s in self._as_of_s_by_node.items()
            }

    def node_age_s(self, node: NodeId) -> float | None:
        """Return how long ago ``node`` was heard, in seconds, or None."""
        with self._changed:
            as_of_s = self._as_of_s_by_node.get(node)
        return None if as_of_s is None else time.monotonic() - as_of_s

    def confirm_among_nodes(self) -> None:
        """Take the word of more than half of the nodes for a confirmation."""
        members = self._members()
        with self._changed:
            as_of_s = self._majority_as_of_s(members)
        if self._holder.current.generation and as_of_s != NEVER_S:
            self._holder.confirm(as_of_s)

    def is_isolated(self) -> bool:
        """Return whether this node hears no majority, though it had time to."""
        if time.monotonic() - self._started_s < self._limit_s:
            return False
        members = self._members()
        with self._changed:
            return not self._hears_majority(members)

    def require_majority(self, members: Collection[NodeId]) -> None:
        """Block until more than half of ``members`` were heard within the limit.

        Raises
        ------
        RefusalError
            If that does not come: nodes that cannot be heard may be going on
            under the present configuration, so none may be accepted over it.
        """
        deadline_s = time.monotonic() + self._limit_s
        with self._changed:
            while not self._hears_majority(members):
                left_s = deadline_s - time.monotonic()
                if left_s <= 0 or not self._changed.wait(left_s):
                    break
            if self._hears_majority(members):
                return
            unheard = sorted(set(members) - self._heard_of_late())
        raise RefusalError(
            Reason.UNHEARD_NODES,
            f"not heard of late: {', '.join(unheard)}. More than half of all nodes"
            " must be, since the others may serve on under the present"
            " configuration; nothing was changed. If their VMs are gone, apply with"
            " --despite-unheard",
        )

    def _hears_majority(self, members: Collection[NodeId]) -> bool:
        return self._majority_as_of_s(members) >= time.monotonic() - self._limit_s

    def _heard_of_late(self) -> set[NodeId]:
        since_s = time.monotonic() - self._limit_s
        heard = {
            node for node, as_of_s in self._as_of_s_by_node.items() if as_of_s > since_s
        }
        return {self._own, *heard}

    def _majority_as_of_s(self, members: Collection[NodeId]) -> float:
        """Return since when more than half of the nodes, with this one, were heard."""
        others = set(members) - {self._own}
        needed = (len(others) + 1) // 2
        if not needed:
            return time.monotonic()
        times_s = sorted(
            (self._as_of_s_by_node.get(node, NEVER_S) for node in others), reverse=True
        )
        return times_s[needed - 1]
