"""The engine part of a replica: its loaded models, and the orders that change them.

Orders are carried out at once. They are refused if their fence is lower than the
highest one so far (412) or their number is not the next (409).
"""

import threading
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

ACCEPTED, CONFLICT, FENCED = 202, 409, 412


@dataclass(slots=True)
class ReplicaEngine:
    """Models of one start of an engine, the highest fence and the accepted orders."""

    models: set[str] = field(default_factory=set)
    fence: int = 0
    accepted: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)

    def order(self, order: Mapping[str, Any]) -> int:
        """Carry out an order; return the status of the answer."""
        with self.lock:
            if order["fence-token"] < self.fence:
                return FENCED
            self.fence = order["fence-token"]
            if order["expected"] != self.accepted:
                return CONFLICT
            self.accepted += 1
            if order["opcode"] == "load":
                self.models.add(order["model"])
            else:
                self.models.discard(order["model"])
            return ACCEPTED

    def report(self) -> dict[str, Any]:
        """Return the body of a report."""
        with self.lock:
            models = [{"name": name, "version": 1} for name in sorted(self.models)]
            return {"models": models, "busy": False, "seq": self.accepted}
