"""A request that crashes replicas, then a restart of all machines in turn."""

import itertools
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tools2"))

from small_site import (
    STABLE_WINDOW_S,
    TROUBLE,
    Node,
    Site,
    make_route,
    run_case,
)

NODES = 3
REPLICAS = 4
BACK_S = 2.0
MAX_RETRIES = 3
PATH = "/order/crash" if TROUBLE else "/order/sound"
BODY = b"part=1&claim=77"


class Replicas:
    """Starts each replica again some seconds after its crash, as a new boot."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._ports: dict[str, int] = {}
        self._number = itertools.count(1)
        self._is_over = threading.Event()
        for _ in range(REPLICAS):
            self._start(0)

    def _start(self, port: int) -> None:
        id = f"i-{next(self._number):04d}"
        self._ports[id] = self._site.start_replica("desk", id, port, WORK_S="0.3")

    def watch(self) -> None:
        """Start what has ended again, until the case is over."""
        while not self._is_over.wait(0.05):
            for id, process in tuple(self._site.replicas.items()):
                if process.poll() is not None:
                    del self._site.replicas[id]
                    port = self._ports.pop(id)
                    threading.Timer(BACK_S, self._start, (port,)).start()

    def stop(self) -> None:
        """End the watch."""
        self._is_over.set()
        time.sleep(BACK_S + 0.1)


def send_sound(site: Site, is_over: threading.Event) -> None:
    """Send sound requests to the ready machines in turn, five a second."""
    nodes = itertools.cycle(site.nodes)
    threads = []
    for number in itertools.count(1):
        if is_over.wait(0.2):
            break
        node = next(node for node in nodes if node.is_ready())
        call = threading.Thread(
            target=site.request, args=(node, "/order/a", f"s{number:05d}")
        )
        call.start()
        threads.append(call)
    for call in threads:
        call.join()


def count_lost(site: Site, lines: list[dict], crashes: list[float]) -> int:
    """Return how many sound requests ran at a replica that crashed after the third."""
    if len(crashes) < 3:
        return 0
    crashed_s = {
        line["replica"]: line["at"] for line in lines if line["event"] == "crash"
    }
    return sum(
        line["event"] == "run"
        and line["request"].startswith("s")
        and crashed_s.get(line["replica"], 0) > crashes[2]
        and site.status_by_request.get(line["request"]) != 200
        and line["at"] > crashed_s[line["replica"]] - 1
        for line in lines
    )


def play(site: Site) -> list[str]:
    """Play the case; return what was broken."""
    services = [{"name": "desk", "max-conns": 96}]
    site.configure(1, [make_route("order", "non_idempotent", "desk")], services)
    replicas = Replicas(site)
    threading.Thread(target=replicas.watch, daemon=True).start()
    for _ in range(NODES):
        site.add_node()
    site.wait_ready()
    time.sleep(STABLE_WINDOW_S)
    is_over = threading.Event()
    sound = threading.Thread(target=send_sound, args=(site, is_over))
    sound.start()
    ids = (f"p{number:04d}" for number in itertools.count(1))
    sent: dict[str, tuple[float, Node, float]] = {}

    def send(node: Node) -> None:
        id = next(ids)
        sent[id] = (time.time(), node, node.started_s)
        site.request(node, PATH, id, body=BODY)

    # The request comes at any machine until none sends it on any more.
    for node in site.nodes * 4:
        send(node)
        time.sleep(0.7)
    time.sleep(STABLE_WINDOW_S)
    # Planned work: the machines are stopped and started in turn.
    for node in site.nodes:
        node.signal(signal.SIGTERM)
        site.wait(lambda node=node: node.process.poll() is not None, 12, "the stop")
        node.start()
        site.wait(node.is_ready, 15, "the restart")
        time.sleep(STABLE_WINDOW_S + 0.2)
        for _ in range(7):
            send(node)
            time.sleep(BACK_S / 2)
    is_over.set()
    sound.join()
    replicas.stop()
    lines = site.run_lines()
    crashes = [line["at"] for line in lines if line["event"] == "crash"]
    site.record("crashes", count=len(crashes))
    site.record("sound_requests_lost", count=count_lost(site, lines, crashes))
    if len(crashes) < 3:
        return []
    late = [
        line
        for line in lines
        if line["event"] == "run"
        and line["request"] in sent
        and line["at"] > crashes[2] + STABLE_WINDOW_S
        and line["at"] > sent[line["request"]][2] + STABLE_WINDOW_S
    ]
    site.record("retries_after_third_crash", count=len(late))
    if len(late) <= MAX_RETRIES:
        return []
    return [f"BUDGET: {len(late)} retries reached replicas, {len(crashes)} crashes"]


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
