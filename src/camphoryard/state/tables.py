"""Tables that tasks share: endpoint records, loads and the configuration."""

import math
import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping

from camphoryard.state.configuration import Configuration
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.ids import ABSENT, EndpointId, ItemId, Version


class EndpointTable:
    """Endpoint records by id; waiting tasks wake when one changes.

    It dates, on ``clock``, when each copy of an item was first seen and when an
    item was last seen to leave.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self._by_id: dict[EndpointId, EndpointRecord] = {}
        self._version_by_id: dict[EndpointId, Version] = {}
        self._since_s_by_copy: dict[tuple[EndpointId, ItemId], float] = {}
        self._left_s_by_item: dict[ItemId, float] = {}
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Have ``callback`` run after each change, outside the table's lock."""
        self._subscribers.append(callback)

    def observe(self, record: EndpointRecord, version: Version) -> None:
        """Take in a record; an older or equal version changes nothing."""
        with self._changed:
            if self._version_by_id.get(record.id, ABSENT) >= version:
                return
            self._date(record)
            self._by_id[record.id] = record
            self._version_by_id[record.id] = version
            self._changed.notify_all()
        for callback in self._subscribers:
            callback()

    def resident_since_s(self, endpoint: EndpointId, item: ItemId) -> float | None:
        """Return when a copy was first seen, or None if there is none."""
        with self._changed:
            return self._since_s_by_copy.get((endpoint, item))

    def last_resident_s(self, item: ItemId, now_s: float) -> float:
        """Return when ``item`` was last resident anywhere: now, or when it left.

        An item that was never seen has been away for ever.
        """
        with self._changed:
            if any(item in x.resident_mb_by_item for x in self._by_id.values()):
                return now_s
            return self._left_s_by_item.get(item, -math.inf)

    def _date(self, record: EndpointRecord) -> None:
        """Note what came and what left since the last record of an endpoint."""
        now_s = self._clock()
        known = self._by_id.get(record.id)
        before = known.resident_mb_by_item.keys() if known else frozenset[ItemId]()
        for item in before - record.resident_mb_by_item.keys():
            del self._since_s_by_copy[record.id, item]
            self._left_s_by_item[item] = now_s
        for item in record.resident_mb_by_item.keys() - before:
            self._since_s_by_copy[record.id, item] = now_s

    def wake(self) -> None:
        """Have waiting tasks look again."""
        with self._changed:
            self._changed.notify_all()

    def find(self, endpoint: EndpointId) -> EndpointRecord | None:
        """Return the last record seen."""
        with self._changed:
            return self._by_id.get(endpoint)

    def version(self, endpoint: EndpointId) -> Version:
        """Return the version of the last record seen, or ABSENT."""
        with self._changed:
            return self._version_by_id.get(endpoint, ABSENT)

    def by_id(self) -> Mapping[EndpointId, EndpointRecord]:
        """Return a copy of the table."""
        with self._changed:
            return dict(self._by_id)

    def are_resident(self, endpoint: EndpointId, items: tuple[ItemId, ...]) -> bool:
        """Return whether ``items`` may all be used at ``endpoint`` now."""
        with self._changed:
            record = self._by_id.get(endpoint)
        if record is None or record.is_silent:
            return False
        return all(
            item in record.resident_mb_by_item and item not in record.intents_by_item
            for item in items
        )

    def wait_until(self, holds: Callable[[], bool], deadline_s: float) -> bool:
        """Block until ``holds()`` after some change, or the deadline passes."""
        with self._changed:
            while not holds():
                left_s = deadline_s - time.monotonic()
                if left_s <= 0 or not self._changed.wait(left_s):
                    return holds()
        return True


class InFlightTable:
    """Requests that this node has under way, by endpoint; exact."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count_by_id: Counter[EndpointId] = Counter()

    def begin(self, endpoint: EndpointId) -> None:
        """Count one more."""
        with self._lock:
            self._count_by_id[endpoint] += 1

    def end(self, endpoint: EndpointId) -> None:
        """Count one less."""
        with self._lock:
            self._count_by_id[endpoint] -= 1

    def by_id(self) -> Mapping[EndpointId, int]:
        """Return the counts that are not zero."""
        with self._lock:
            return {item: count for item, count in self._count_by_id.items() if count}

    def count(self, endpoint: EndpointId) -> int:
        """Return how many are under way at ``endpoint``."""
        with self._lock:
            return self._count_by_id[endpoint]


class ConfigurationHolder:
    """The configuration in force at this node; it only ever moves upward.

    Parameters
    ----------
    stale_after_s : float
        How long a confirmation that nothing newer was accepted lasts, in
        seconds; without one the configuration never counts as stale.
    """

    def __init__(self, stale_after_s: float | None = None) -> None:
        self._stale_after_s = stale_after_s
        self._confirmed_s = float("-inf")
        self._changed = threading.Condition()
        self._current = Configuration()

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        return self._current

    def adopt(self, configuration: Configuration) -> bool:
        """Put ``configuration`` in force if it is newer; return whether it was."""
        with self._changed:
            if configuration.generation <= self._current.generation:
                return False
            self._current = configuration
            self._changed.notify_all()
            return True

    def confirm(self, as_of_s: float) -> None:
        """Note that nothing newer was accepted at ``as_of_s``, monotonic time."""
        with self._changed:
            self._confirmed_s = max(self._confirmed_s, as_of_s)

    def confirmed_age_s(self) -> float:
        """Return how long ago that was, in seconds; infinite if never."""
        return time.monotonic() - self._confirmed_s

    def is_current(self) -> bool:
        """Return whether the last confirmation still lasts."""
        if self._stale_after_s is None:
            return True
        return self.confirmed_age_s() < self._stale_after_s
