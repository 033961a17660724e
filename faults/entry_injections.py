"""Injection of the faults of a soak of entry daemons."""

import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

from faults.entry_checks import STABLE_WINDOW_S, Disturbance
from faults.entry_faults import (
    ODD_SPECS,
    AddressIsTakenOver,
    ConfigurationChanges,
    Fault,
    FleetRestarts,
    FleetRestartsInTrouble,
    KeysChange,
    LeaderChangeIsLost,
    LeavingWord,
    NodeEnd,
    NodeFreezes,
    NodeIsKilled,
    NodeStops,
    OddEntry,
    PartTurnsDeadly,
    ReplicaCrashes,
    ReplicaGarbles,
    ReplicaLeaves,
    ReplicaNamesLimit,
    ReplicaPauses,
    ReplicaRepeatsRefusals,
    ReplicaRests,
    ReplicaSlows,
    ServiceFails,
    StoreFails,
    StoreIsRestored,
)
from faults.soak_site import STORE, SoakSite
from standins.entry_site import GRACE_S
from standins.fleet import HttpError, request

RESTART_S = 1.5
"""Time after which a replica that has ended is replaced."""
LEAVE_S = 4.0
"""Time after which a replica that leaves ends."""
REST_MS = 300
"""Rest that a replica asks for which repeats its refusals."""
DECLINED_PERCENT, REPEATED_PERCENT = 30, 50
ADDRESS_POLL_S = 0.05
LEADER_POLL_S = 0.05
TAKEOVER_S = 8.0
"""Longest time until another node has taken over from a leader that has ended."""


def inject(site: SoakSite, fault: Fault) -> None:
    """Carry out one fault, to its end."""
    match fault:
        case ReplicaLeaves(slot, word, silence_s):
            if silence_s:
                _fail_store(site, is_mute=True, for_s=silence_s)
                site.stop.wait(STABLE_WINDOW_S)
            _leave(site, slot, word)
        case ReplicaRests(slot, for_s):
            site.control(slot, rest_ms=int(for_s * 1000))
            site.stop.wait(for_s)
        case ReplicaCrashes(slot):
            site.fleet.process_by_name[site.replica_by_slot[slot]].kill()
            site.stop.wait(2 * RESTART_S)
        case ReplicaGarbles(slot, for_s):
            site.control(slot, garble=30)
            site.stop.wait(for_s)
            site.control(slot, garble=0)
        case ServiceFails():
            with _failing(site, fault):
                site.stop.wait(fault.for_s)
        case ReplicaRepeatsRefusals(slot, for_s):
            _repeat_refusals(site, slot, for_s)
        case AddressIsTakenOver(slot, for_s):
            _take_over_address(site, slot, for_s)
        case ReplicaNamesLimit(slots, limits_per_s, for_s):
            for limit_per_s in (*limits_per_s, 0.0):
                for slot in slots:
                    site.control(slot, limit_per_s=limit_per_s)
                site.stop.wait(for_s if limit_per_s else 0.0)
        case ReplicaPauses(slot, for_s):
            _pause(site, site.replica_by_slot[slot], for_s)
        case ReplicaSlows(slot, period_ms, for_s):
            site.control(slot, slow_ms=period_ms)
            site.stop.wait(for_s)
            site.control(slot, slow_ms=0)
        case StoreFails(is_mute, for_s):
            _fail_store(site, is_mute, for_s)
        case StoreIsRestored(back_s, away_s):
            _restore_store(site, back_s, away_s)
        case LeaderChangeIsLost():
            _lose_leader_change(site, fault)
        case OddEntry(number):
            site.put("servers", f"odd-{number}", ODD_SPECS[number])
        case NodeStops(node):
            _end(site, node, NodeEnd.STOP)
            site.restart_node(node)
        case NodeIsKilled(node):
            _end(site, node, NodeEnd.KILL)
            site.restart_node(node)
        case NodeFreezes(node, for_s):
            process = site.fleet.process_by_name[node]
            process.pause()
            site.stop.wait(for_s)
            process.resume()
        case FleetRestarts(end, gap_s):
            _restart_fleet(site, end, gap_s)
        case FleetRestartsInTrouble(trouble, FleetRestarts(end, gap_s)):
            with _failing(site, trouble):
                site.stop.wait(trouble.for_s / 2)
                _restart_fleet(site, end, gap_s)
                site.stop.wait(trouble.for_s / 2)
        case PartTurnsDeadly(part, for_s):
            site.deadly_part = part
            site.stop.wait(for_s)
            site.deadly_part = ""
        case ConfigurationChanges(routes):
            site.change_configuration(routes)
        case KeysChange():
            site.change_configuration(draws_keys=True)


@contextmanager
def _failing(site: SoakSite, trouble: ServiceFails) -> Iterator[None]:
    """Have replicas fail; those that replace them meanwhile do not."""
    for slot in trouble.slots:
        site.control(slot, **{trouble.how.value: trouble.percent})
    yield
    for slot in trouble.slots:
        site.control(slot, **{trouble.how.value: 0})


def _repeat_refusals(site: SoakSite, slot: int, for_s: float) -> None:
    """Have a replica decline requests and repeat refusals; it rests in between."""
    site.control(slot, shed=DECLINED_PERCENT, **_repeated(REPEATED_PERCENT))
    site.stop.wait(for_s / 2)
    site.control(slot, rest_ms=REST_MS)
    site.stop.wait(for_s / 2)
    site.control(slot, shed=0, **_repeated(0))


def _repeated(percent: int) -> dict[str, int]:
    """Return the share of the refusals that a replica sends again, for each way."""
    return {"echo": percent, "late": percent, "stale": percent}


def _take_over_address(site: SoakSite, slot: int, for_s: float) -> None:
    """Have another replica take over the address of one whose entry stays."""
    name = site.replica_by_slot[slot]
    process = site.fleet.process_by_name[name]
    site.start_replica(slot, process.port)
    while not site.has_entry(site.replica_by_slot[slot]):
        if site.stop.wait(ADDRESS_POLL_S):
            return
    # At no moment does the address accept no connection: nodes would not use the
    # entry before any more.
    process.signal(signal.SIGTERM)
    process.popen.wait()
    site.control(slot, **_repeated(REPEATED_PERCENT))
    site.stop.wait(for_s)
    site.control(slot, **_repeated(0))
    site.remove_entry(name)


def _pause(site: SoakSite, name: str, for_s: float) -> None:
    process = site.fleet.process_by_name[name]
    began_s = time.monotonic()
    process.pause()
    site.stop.wait(for_s)
    process.resume()
    with site.lock:
        site.history.disturbances.append(Disturbance(name, began_s, time.monotonic()))


def _restart_fleet(site: SoakSite, end: NodeEnd, gap_s: float) -> None:
    """End and start all nodes; without a gap they are all down at the same time."""
    with ThreadPoolExecutor(len(site.nodes)) as tasks:
        for node in site.nodes:
            tasks.submit(_end_and_restart, site, node, end)
            site.stop.wait(gap_s)


def _end_and_restart(site: SoakSite, node: str, end: NodeEnd) -> None:
    _end(site, node, end)
    site.restart_node(node)


def _fail_store(site: SoakSite, is_mute: bool, for_s: float) -> None:
    name = "mute_store" if is_mute else "silent_store"
    began_s = time.monotonic()
    request(site.store_port, "POST", "/control", {name: 1})
    site.stop.wait(for_s)
    request(site.store_port, "POST", "/control", {name: 0})
    with site.lock:
        disturbance = Disturbance(STORE, began_s, time.monotonic())
        site.history.disturbances.append(disturbance)


def _restore_store(site: SoakSite, back_s: float, away_s: float) -> None:
    restore = {"restore_s": back_s, "away_s": away_s}
    request(site.store_port, "POST", "/control", restore)


def _lose_leader_change(site: SoakSite, fault: LeaderChangeIsLost) -> None:
    began_s = time.monotonic()
    _end(site, fault.node, fault.end)
    if fault.starts_before:
        site.restart_node(fault.node)
    while site.leader() in (fault.node, None):
        if time.monotonic() > began_s + TAKEOVER_S:
            # The node that has started again may be the leader once more.
            break
        site.stop.wait(LEADER_POLL_S)
    site.stop.wait(fault.for_s)
    back_s = time.monotonic() - began_s + fault.back_s
    _restore_store(site, back_s, fault.away_s)
    if not fault.starts_before:
        site.restart_node(fault.node)


def _end(site: SoakSite, node: str, end: NodeEnd) -> None:
    process = site.fleet.process_by_name[node]
    match end:
        case NodeEnd.STOP:
            with site.lock:
                stops_s = site.history.stops_s.setdefault(node, [])
                stops_s.append(time.monotonic())
            process.signal(signal.SIGTERM)
            process.popen.wait(2 * GRACE_S)
        case NodeEnd.KILL:
            process.kill()


def _leave(site: SoakSite, slot: int, word: LeavingWord) -> None:
    name = site.replica_by_slot[slot]
    if word is not LeavingWord.STORE:
        site.control(slot, leaving=1)
    if word is not LeavingWord.ANSWERS:
        try:
            site.put("servers", name, site.entry(slot, "draining"))
            site.history.leaves_s[name] = time.monotonic()
        except HttpError:
            # The replica has just ended, and its entry is gone.
            return
    site.stop.wait(LEAVE_S)
    site.fleet.process_by_name[name].kill()
