"""Stand-in for the platform's list of live and leaving VMs; it lags.

VMs are keyed by a node's id or by ``host:port`` of an endpoint; the states are
``live``, ``leaving`` and ``gone``. ``{"outage": true}`` takes the list away.
"""

import threading
import time
from dataclasses import dataclass, field

import typer

from standins.web import Answered, Asked, answer, run


@dataclass(slots=True)
class VmList:
    """State by VM; a change shows only ``lag_s`` after it was set."""

    lag_s: float
    outage: bool = False
    shown_by_vm: dict[str, str] = field(default_factory=dict)
    pending: list[tuple[float, str, str]] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def handle(self, asked: Asked) -> Answered:
        """Answer ``GET /vms``, or take ``{"vm": ..., "state": ...}``."""
        with self.lock:
            if asked.path == "/control":
                change = asked.json()
                if "outage" in change:
                    self.outage = change["outage"]
                    return answer({})
                due_s = time.monotonic() + self.lag_s
                self.pending.append((due_s, change["vm"], change["state"]))
                return answer({})
            if self.outage:
                return answer({"error": "outage"}, 503)
            self._show_due()
            vms = [
                {"vm": vm, "state": state}
                for vm, state in sorted(self.shown_by_vm.items())
            ]
            return answer({"vms": vms})

    def _show_due(self) -> None:
        now_s = time.monotonic()
        due = [item for item in self.pending if item[0] <= now_s]
        self.pending = [item for item in self.pending if item[0] > now_s]
        for _, vm, state in due:
            self.shown_by_vm[vm] = state


def main(host: str = "127.0.0.1", port: int = 7002, lag_s: float = 1.0) -> None:
    """Run the VM list."""
    run(VmList(lag_s).handle, host, port)


if __name__ == "__main__":
    typer.run(main)
