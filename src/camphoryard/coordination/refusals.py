"""Counts of refusals by reason, caller label and minute."""

import threading
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from camphoryard.state.enums import Reason

SECONDS_PER_MINUTE = 60


@dataclass(frozen=True, slots=True)
class RefusalKey:
    """What refusals are counted by; ``minute`` counts from the epoch."""

    reason: Reason
    label: str
    minute: int


class RefusalCounter:
    """Counts every refusal of this node."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count_by_key: Counter[RefusalKey] = Counter()

    def count(self, reason: Reason, label: str) -> None:
        """Count one refusal now."""
        minute = int(time.time() // SECONDS_PER_MINUTE)
        with self._lock:
            self._count_by_key[RefusalKey(reason, label, minute)] += 1

    def by_key(self) -> Mapping[RefusalKey, int]:
        """Return a copy of the counts."""
        with self._lock:
            return dict(self._count_by_key)
