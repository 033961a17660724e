"""Counts of this node's refusals, and whether another node holds them too."""

import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from camphoryard.state.enums import Reason
from camphoryard.state.ids import Incarnation
from camphoryard.state.refusals import RefusalCount, RefusalKey, RefusalSheet

SECONDS_PER_MINUTE = 60
KEPT_MINUTES = 120
HANDOVER_LIMIT_S = 0.25


@dataclass(frozen=True, slots=True)
class Unhanded:
    """Counts that no other node holds yet, up to refusal ``number``."""

    number: int
    sheet: RefusalSheet


class RefusalCounter:
    """Counts every refusal of this node.

    ``count`` blocks until another node holds the count, or a limit has passed,
    so that the refused caller hears of it only then.
    """

    def __init__(self, incarnation: Incarnation) -> None:
        self._incarnation = incarnation
        self._changed = threading.Condition()
        self._count_by_key: Counter[RefusalKey] = Counter()
        self._unhanded: set[RefusalKey] = set()
        self._unfolded: set[RefusalKey] = set()
        self._number = 0
        self._handed_number = 0
        self._wake: Callable[[], None] | None = None

    def subscribe(self, wake: Callable[[], None]) -> None:
        """Have ``wake`` called after each refusal."""
        self._wake = wake

    def count(self, reason: Reason, label: str, caller: str = "") -> None:
        """Count one refusal now."""
        minute = int(time.time() // SECONDS_PER_MINUTE)
        key = RefusalKey(reason, label, minute, caller)
        with self._changed:
            self._count_by_key[key] += 1
            self._unhanded.add(key)
            self._unfolded.add(key)
            self._number += 1
            number = self._number
        if self._wake is None:
            return
        self._wake()
        with self._changed:
            self._changed.wait_for(
                lambda: self._handed_number >= number, HANDOVER_LIMIT_S
            )

    def unhanded(self) -> Unhanded | None:
        """Return the counts that changed since the last handover, if any."""
        with self._changed:
            if not self._unhanded:
                return None
            return Unhanded(self._number, self._sheet(self._unhanded))

    def handed(self, number: int) -> None:
        """Take note that another node holds all counts up to ``number``."""
        with self._changed:
            self._handed_number = max(self._handed_number, number)
            if number == self._number:
                self._unhanded.clear()
            self._changed.notify_all()

    def give_up_handing(self) -> None:
        """Let refused callers go on: there is nobody to hand counts to."""
        with self._changed:
            self._handed_number = self._number
            self._changed.notify_all()

    def hand_all_again(self) -> None:
        """Make every count that is not folded one to hand over, to a new peer."""
        with self._changed:
            self._unhanded |= self._unfolded

    def unfolded(self) -> RefusalSheet:
        """Return the counts that the object API does not have yet."""
        with self._changed:
            return self._sheet(self._unfolded)

    def folded(self, counts: Iterable[RefusalCount]) -> None:
        """Take note that the object API has ``counts``; forget what is old."""
        oldest = int(time.time() // SECONDS_PER_MINUTE) - KEPT_MINUTES
        with self._changed:
            for item in counts:
                if self._count_by_key[item.key] == item.count:
                    self._unfolded.discard(item.key)
                    self._unhanded.discard(item.key)
                    if item.key.minute < oldest:
                        del self._count_by_key[item.key]

    def sheet(self) -> RefusalSheet:
        """Return all counts kept here."""
        with self._changed:
            return self._sheet(self._count_by_key)

    def by_key(self) -> Mapping[RefusalKey, int]:
        """Return a copy of the counts."""
        with self._changed:
            return dict(self._count_by_key)

    def _sheet(self, keys: Iterable[RefusalKey]) -> RefusalSheet:
        counts = tuple(RefusalCount(key, self._count_by_key[key]) for key in keys)
        return RefusalSheet(self._incarnation, counts)
