"""Case 3: a part of a prompt crashes replicas some events into the answer, for ever."""

import sys
import threading
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness as h  # noqa: E402
import prompts as p  # noqa: E402

REPLICAS = 5
DAEMONS = 3
EVENTS_BEFORE_CRASH = 2
PATHS = ("/spot/a", "/lease/a")
"""Sound streams of the first may be resumed, those of the second may not."""
FIRST, DEADLY = "5c1e07a2", "91bd3f06"
BEFORE_S = 6.0
DEADLY_S = 30.0
SOUND_PER_S, DEADLY_PER_S = 8.0, 1.0
STABLE_WINDOW_S = 3.0
FIFTH = 5
MAX_ARRIVALS = 3


def case(folder: Path, record: h.Record) -> bool:
    """Return whether few requests with the part arrive after the fifth crash."""
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
        daemons[0].wait_logged("event=node_entered")
        clients = p.Clients(daemons, record)

        def sound(number: int) -> tuple[str, ...]:
            return (FIRST, f"a{number % 7}", f"b{number:x}")

        def with_part(number: int) -> tuple[str, ...]:
            return (FIRST, DEADLY, f"c{number:x}")

        clients.send_for(BEFORE_S, SOUND_PER_S, sound, PATHS)
        task = threading.Thread(
            target=clients.send_for, args=(DEADLY_S, DEADLY_PER_S, with_part)
        )
        task.start()
        clients.send_for(DEADLY_S, SOUND_PER_S, sound, PATHS)
        task.join()
        clients.wait()
    crashes_s = sorted(at_s for item in replicas for at_s in item.crashes_s)
    record("crashes", count=len(crashes_s))
    if not h.has_trouble():
        if not all(item.answer.is_complete for item in clients.sent):
            raise h.NotReadyError("not served without the disruption")
        return True
    if len(crashes_s) < FIFTH:
        return True
    since_s = crashes_s[FIFTH - 1] + STABLE_WINDOW_S
    late = [
        arrival
        for replica in replicas
        for arrival in replica.arrivals
        if DEADLY in arrival.parts and arrival.at_s > since_s
    ]
    record("arrivals_after_fifth_crash", count=len(late), allowed=MAX_ARRIVALS)
    sound_sent = [item for item in clients.sent if DEADLY not in item.parts]
    before = [item for item in sound_sent if item.sent_s < crashes_s[0]]
    after = [item for item in sound_sent if item.sent_s > since_s + STABLE_WINDOW_S]
    for name, items in (("before", before), ("after", after)):
        for path in PATHS:
            chosen = [item for item in items if item.path == path]
            record(
                "sound_requests",
                when=name,
                path=path,
                sent=len(chosen),
                begun=sum(item.has_begun for item in chosen),
                whole=sum(
                    item.has_begun and item.answer.is_complete for item in chosen
                ),
            )
    return len(late) <= MAX_ARRIVALS


if __name__ == "__main__":
    h.run_case(FOLDER, case)
