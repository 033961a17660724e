"""Long watches of the configuration beside a leader that announces new ones."""

import math
import threading
import time
from collections.abc import Callable

from camphoryard.coordination.fleet.endpoint_roles import EndpointRole
from camphoryard.coordination.ports import DecisionLog, Records, Stored, Timer
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import Version
from camphoryard.state.traffic import TrafficRules

FOLLOWED_WAIT_S = 12.0
"""How long a watch may wait for a new configuration while the leader is heard."""
RELAY_WAIT_FRACTION = 0.5
"""Wait of the leader's watch, as a fraction of that of nodes that hear no leader. Its
nodes hear of a new configuration after it does."""
ANNOUNCED_GRACE_S = 0.5
"""Time in which a node's own watch has to show what the leader has announced."""
FETCH_TICK_S = 0.25


class RulesFollowing:
    """Decides how long the watch waits, and when the rules are fetched beside it.

    A watch that the store will never answer is not noticed before its wait is over.
    Meanwhile the leader's word shows that it lacks something; without a leader a node
    fetches the rules periodically until the long watch is over.

    Parameters
    ----------
    role : callable
        Returns the present role of this node.
    wait_s : float
        How long a watch may wait without a leader, in seconds.
    fetch_period_s : float
        Shortest time between two fetches, in seconds.
    seen : callable
        Returns the version of the newest configuration object that this node has read.
    """

    def __init__(
        self,
        role: Callable[[], EndpointRole],
        wait_s: float,
        fetch_period_s: float,
        seen: Callable[[], Version],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._role = role
        self._wait_s = wait_s
        self._fetch_period_s = fetch_period_s
        self._seen = seen
        self._clock = clock
        self._lock = threading.Lock()
        self._announced = Version(0)
        self._announced_s = 0.0
        self._fetched = Version(0)
        self._tried_s = -math.inf
        self._waits_long = False

    @property
    def position(self) -> Version:
        """Version of the newest configuration object that this node has read."""
        return self._seen()

    def hear(self, announced: Version) -> None:
        """Record which version the leader has read."""
        with self._lock:
            if announced > self._announced:
                self._announced, self._announced_s = announced, self._clock()

    def max_wait_s(self) -> float:
        """Return how long the watch that begins now may wait, in seconds."""
        role = self._role()
        self._waits_long = role is EndpointRole.FOLLOWS
        match role:
            case EndpointRole.FOLLOWS:
                return max(FOLLOWED_WAIT_S, self._wait_s)
            case EndpointRole.RELAYS:
                return self._wait_s * RELAY_WAIT_FRACTION
            case EndpointRole.WATCHES:
                return self._wait_s

    def begin_fetch(self) -> Version | None:
        """Return the version that a fetch has to cover now, or None if none is due."""
        now_s = self._clock()
        with self._lock:
            is_missing = self._announced > max(self._fetched, self._seen())
            is_late = now_s - self._announced_s >= ANNOUNCED_GRACE_S
            is_alone = self._waits_long and self._role() is not EndpointRole.FOLLOWS
            is_early = now_s - self._tried_s < self._fetch_period_s
            if is_early or not (is_alone or (is_missing and is_late)):
                return None
            self._tried_s = now_s
            return self._announced

    def end_fetch(self, covered: Version) -> None:
        """Record that a fetch was answered."""
        with self._lock:
            self._fetched = covered


class RulesFetcher:
    """Fetches the rules beside a watch that may be silent."""

    def __init__(
        self,
        records: Records[TrafficRules],
        on_record: Callable[[Stored[TrafficRules]], None],
        following: RulesFollowing,
        log: DecisionLog,
    ) -> None:
        self._records = records
        self._on_record = on_record
        self._following = following
        self._log = log

    def run(self, timer: Timer) -> None:
        """Fetch whenever it is due, until the timer service closes."""
        for _ in timer.every(FETCH_TICK_S):
            covered = self._following.begin_fetch()
            if covered is not None:
                self._fetch(covered)

    def _fetch(self, covered: Version) -> None:
        try:
            snapshot = self._records.list()
        except (ConflictError, StoreUnavailableError) as error:
            self._log("rules_not_fetched", announced=covered, error=str(error))
            return
        for item in snapshot.items:
            self._on_record(item)
        self._following.end_fetch(covered)
        self._log("rules_fetched", announced=covered, revision=snapshot.revision)
