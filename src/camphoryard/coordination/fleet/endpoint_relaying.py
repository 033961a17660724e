"""A node's view of the endpoints, read from the store or relayed by the leader."""

import math
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from camphoryard.coordination.fleet.endpoint_relay_source import EndpointRelaySource
from camphoryard.coordination.forwarding.feeding import DirectoryFeed
from camphoryard.coordination.ports import Snapshot
from camphoryard.state.directory import Directory
from camphoryard.state.endpoint_relay import EndpointRelay
from camphoryard.state.ids import Incarnation, NodeId, Revision
from camphoryard.state.nodes import NodeDigest
from camphoryard.state.serving_endpoints import ServingEndpoint

MAX_SENT_BEATS = 64
"""Own digests whose time is remembered; an older one proves nothing."""


@dataclass(frozen=True, slots=True)
class _SentBeat:
    beat: int
    at_s: float


class EndpointRelaying:
    """Applies what the store and the leader tell, and knows how old it may be.

    A relayed view is as old as the node's own digest that the leader had heard before
    it last asked the store. This needs no clock of another node, and holds however long
    a message was on its way.

    Parameters
    ----------
    incarnation : Incarnation
        That of this node, which relays have to name.
    max_age_s : float
        How old a relayed view may become before this node reads the store itself, in
        seconds.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        feed: DirectoryFeed,
        directory: Directory,
        max_age_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._incarnation = incarnation
        self._feed = feed
        self._directory = directory
        self.max_age_s = max_age_s
        self._clock = clock
        self._source = EndpointRelaySource()
        self._lock = threading.Lock()
        self._sent: deque[_SentBeat] = deque(maxlen=MAX_SENT_BEATS)
        self._proven_s = -math.inf

    @property
    def position(self) -> Revision:
        """Revision of this node's view; 0 without one."""
        return self._feed.position

    def is_fresh(self) -> bool:
        """Return whether the leader's relays keep the view young enough."""
        return self._clock() - self._proven_s < self.max_age_s

    def apply_listing(self, snapshot: Snapshot[ServingEndpoint]) -> None:
        """Apply a listing of the store."""
        self._feed.apply_listing(snapshot)
        self._source.apply_listing(snapshot)

    def apply_changes(self, snapshot: Snapshot[ServingEndpoint]) -> None:
        """Apply the changes that a watch of the store reported."""
        self._feed.apply_changes(snapshot)
        self._source.apply_changes(snapshot)

    def confirm(self, sent_s: float) -> None:
        """Record that what the store had confirmed by ``sent_s`` has been applied."""
        self._directory.confirm_endpoints(sent_s)
        self._source.confirm(sent_s)

    def record_sent(self, beat: int) -> None:
        """Record that this node sends the digest ``beat`` to the leader now."""
        with self._lock:
            self._sent.append(_SentBeat(beat, self._clock()))

    def relay_for(
        self, node: NodeId, digest: NodeDigest | None
    ) -> EndpointRelay | None:
        """Return what a node lacks by its last digest, or None if it must list."""
        if digest is None:
            return None
        return self._source.relay_for(node, digest.endpoints_revision)

    def receive(self, digest: NodeDigest) -> None:
        """Take in a peer's digest, and the changes that come with it."""
        self._source.hear(digest.node, digest.incarnation, digest.beat, self._clock())
        relay = digest.relay
        if relay is None or relay.incarnation != self._incarnation:
            return
        if not self._feed.apply_relay(relay):
            return
        with self._lock:
            times_s = (i.at_s for i in self._sent if i.beat == relay.heard_beat)
            sent_s = next(times_s, -math.inf)
            if sent_s <= self._proven_s:
                return
            self._proven_s = sent_s
        self._directory.confirm_endpoints(sent_s)
