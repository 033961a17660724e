"""Case 4: a sound part of a prompt is quarantined in place of the one that crashes."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness as h  # noqa: E402
import prompts as p  # noqa: E402

REPLICAS = 5
DAEMONS = 3
EVENTS_BEFORE_CRASH = 0
FIRST, DEADLY = "5c1e07a2", "91bd3f06"
OLD, NEW = "e4402b7d", "e4402b7e"
"""A shared part that replaces another one when the requests with the part begin."""
BEFORE_S, AFTER_S = 8.0, 24.0
SOUND_PER_S, DEADLY_PER_S = 8.0, 0.5
LEAD_S = 0.2
"""Time from the first request with the new shared part to the first sound one."""
STABLE_WINDOW_S = 3.0
MIN_REQUESTS = 20


def case(folder: Path, record: h.Record) -> bool:
    """Return whether sound requests go on to begin at their first attempt."""
    ip = h.random_ip()
    store = h.Store(ip, record)
    deadly = DEADLY if h.has_trouble() else "none"
    replicas = [
        p.Replica(f"i-{n}", ip, store, record, deadly, EVENTS_BEFORE_CRASH)
        for n in range(REPLICAS)
    ]
    for replica in replicas:
        replica.start()
    store.put("config", "main", p.CONFIG)
    daemons = [h.Daemon(f"edge-{n}", folder, store.address) for n in range(DAEMONS)]
    with h.ended(daemons):
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            daemon.wait_ready()
        clients = p.Clients(daemons, record)
        clients.send_for(BEFORE_S, SOUND_PER_S, lambda n: _sound(n, OLD))
        clients.wait()
        task = threading.Thread(
            target=clients.send_for, args=(AFTER_S, DEADLY_PER_S, _with_part)
        )
        task.start()
        time.sleep(LEAD_S)
        clients.send_for(AFTER_S, SOUND_PER_S, lambda n: _sound(n, NEW))
        task.join()
        clients.wait()
    crashes_s = sorted(at_s for item in replicas for at_s in item.crashes_s)
    record("crashes", count=len(crashes_s))
    sound = [item for item in clients.sent if DEADLY not in item.parts]
    if not h.has_trouble():
        if not all(item.has_begun for item in sound):
            raise h.NotReadyError("not served without the disruption")
        return True
    if not crashes_s:
        return True
    crash_s = crashes_s[min(5, len(crashes_s)) - 1]
    since_s = crash_s + 2 * STABLE_WINDOW_S
    last_s = max(item.sent_s for item in clients.sent if DEADLY in item.parts)
    before = [
        item for item in sound if item.sent_s < crashes_s[0] and OLD in item.parts
    ]
    after = [item for item in sound if since_s < item.sent_s <= last_s]
    share_by_time = {}
    for name, items in (("before", before), ("after", after)):
        begun = sum(item.has_begun for item in items)
        record("sound_requests", when=name, sent=len(items), begun=begun)
        if len(items) < MIN_REQUESTS:
            raise h.NotReadyError("too few sound requests")
        share_by_time[name] = begun / len(items)
    return share_by_time["after"] >= share_by_time["before"] / 2


def _sound(number: int, shared: str) -> tuple[str, ...]:
    return FIRST, f"a{number % 7}", shared, f"b{shared[-1]}{number:x}"


def _with_part(number: int) -> tuple[str, ...]:
    return FIRST, DEADLY, NEW, f"c{number:x}"


if __name__ == "__main__":
    h.run_case(FOLDER, case)
