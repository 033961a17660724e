"""Replicas hang in part of their streams, on a route with a short time-out."""

import itertools
import sys
import threading
import time
from http.client import HTTPConnection, HTTPException
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tools2"))

from small_site import TROUBLE, Node, Site, make_route, run_case

REPLICAS = 7
NODES = 2
TIMEOUT_S = 5.0
DEADLINE_MS = 25_000
GRACE_S = 0.5
FOR_S = 6.5
TROUBLE_AFTER_S = (0.0, 9.0)
HANG_PERCENT = 45
MIN_REQUESTS = 8
REQUESTS_PER_S = 28


class Stream:
    """One request of a client, and when its answer came to its end."""

    def __init__(self, site: Site, node: Node, id: str) -> None:
        self.site, self.node, self.id = site, node, id
        self.sent_s = time.time()
        self.ended_s: float | None = None
        self.events = 0
        self.how = "open"
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        connection = HTTPConnection(self.node.host, self.node.front, timeout=30)
        fields = {
            "Host": "site.example",
            "Attempt-Id": self.id,
            "Deadline-Ms": str(DEADLINE_MS),
            "Model": "m1",
            "Token-Count": "1460,120",
            "Prompt-Prefix": f"aa:350,{self.id}:1110",
        }
        try:
            connection.request("POST", "/digest/a", b"x", fields)
            response = connection.getresponse()
            while line := response.readline():
                self.events += line.startswith(b"id:")
            self.how = str(response.status)
        except (OSError, HTTPException) as error:
            self.how = repr(error)[:40]
        self.ended_s = time.time()

    def record(self) -> None:
        """Write what became of the request."""
        lasted_s = (self.ended_s or time.time()) - self.sent_s
        self.site.record(
            "client",
            request=self.id,
            node=self.node.name,
            sent=f"{self.sent_s:.3f}",
            events=self.events,
            how=self.how.replace(" ", "_"),
            lasted_s=f"{lasted_s:.2f}",
        )


def play(site: Site) -> list[str]:
    """Play the case; return what was broken."""
    engine = {
        "slots": 64,
        "kv-capacity": 143941,
        "mb": 200000,
        "adapter-slots": 8,
        "loads-per-s": 1.1,
        "models": [{"name": "m1", "mb": 72700, "load-s": 8.6}],
    }
    route = make_route("digest", "streaming", "models", **{"sticky": True})
    route |= {"goal-ms": 6000, "gap-target-ms": 300}
    route |= {"timeout-ms": int(TIMEOUT_S * 1000)}
    services = [{"name": "models", "max-conns": 370, "engine": engine}]
    site.configure(1, [route], services)
    first_s = time.time() + 12
    for number in range(REPLICAS):
        trouble = {}
        if TROUBLE and number < len(TROUBLE_AFTER_S):
            from_s = first_s + TROUBLE_AFTER_S[number]
            trouble = {
                "HANG_PERCENT": str(HANG_PERCENT),
                "HANG_FROM": str(from_s),
                "HANG_UNTIL": str(from_s + FOR_S),
            }
        site.start_replica("models", f"i-{number}", MODEL="m1", SLOTS="64", **trouble)
    for _ in range(NODES):
        site.add_node()
    site.wait_ready()
    streams = []
    nodes = itertools.cycle(site.nodes)
    number = itertools.count(1)
    while time.time() < first_s + TROUBLE_AFTER_S[-1] + FOR_S:
        streams.append(Stream(site, next(nodes), f"{next(number):08x}"))
        time.sleep(1 / REQUESTS_PER_S)
    time.sleep(DEADLINE_MS / 1000 + 2)
    for stream in streams:
        stream.record()
    long = [s for s in streams if (s.ended_s or 1e12) - s.sent_s > TIMEOUT_S]
    late = [s for s in long if (s.ended_s or 1e12) - s.sent_s > TIMEOUT_S + GRACE_S]
    site.record("long", count=len(long), late=len(late), all=len(streams))
    if len(late) < MIN_REQUESTS or len(late) * 4 <= len(long):
        return []
    last_s = max((s.ended_s or 1e12) - s.sent_s for s in late)
    return [
        f"CONFIG: {len(late)} of {len(long)} have no final answer, up to {last_s:.1f} s"
    ]


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
