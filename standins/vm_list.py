"""Stand-in for the platform's list of live and leaving VMs, which lags.

VMs are keyed by the id of a node or by ``host:port`` of an endpoint; the states are
``live``, ``leaving`` and ``gone``. With ``{"outage": true}`` the list answers 503.
"""

import threading
import time
from dataclasses import dataclass, field

import typer

from standins.web import Request, Response, json_response, run


@dataclass(slots=True)
class VmList:
    """State by VM; a change becomes visible ``lag_s`` after it was set."""

    lag_s: float
    outage: bool = False
    state_by_vm: dict[str, str] = field(default_factory=dict)
    pending: list[tuple[float, str, str]] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def handle(self, request: Request) -> Response:
        """Answer ``GET /vms``, or store a change ``{"vm": ..., "state": ...}``."""
        with self.lock:
            if request.path == "/control":
                change = request.json()
                if "outage" in change:
                    self.outage = change["outage"]
                    return json_response({})
                visible_at_s = time.monotonic() + self.lag_s
                self.pending.append((visible_at_s, change["vm"], change["state"]))
                return json_response({})
            if self.outage:
                return json_response({"error": "outage"}, 503)
            self._apply_due_changes()
            vms = [
                {"vm": vm, "state": state}
                for vm, state in sorted(self.state_by_vm.items())
            ]
            return json_response({"vms": vms})

    def _apply_due_changes(self) -> None:
        now_s = time.monotonic()
        visible = [item for item in self.pending if item[0] <= now_s]
        self.pending = [item for item in self.pending if item[0] > now_s]
        for _, vm, state in visible:
            self.state_by_vm[vm] = state


def main(host: str = "127.0.0.1", port: int = 7002, lag_s: float = 1.0) -> None:
    """Run the VM list."""
    run(VmList(lag_s).handle, host, port)


if __name__ == "__main__":
    typer.run(main)
