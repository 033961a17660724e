"""Random draws of the faults of a soak of entry daemons."""

import random
from dataclasses import replace

from faults.entry_checks import deadly_part
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
    ReplicaFault,
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
from faults.soak_site import SERVICES, STORE, SoakSite

DEADLY_S = 15.0
LIMITS_PER_S = ((0.4,), (0.5, 2.0), (2.0, 0.5), (0.4, 0.0, 0.4))
"""Limits that replicas name in turn: one, a rise, a fall, and one that comes back."""


def draw_fault(site: SoakSite, rng: random.Random) -> Fault:
    """Return a random fault."""
    slot = rng.randrange(len(SERVICES))
    node = rng.choice(site.nodes)
    for_s = rng.uniform(0.5, 3.0)
    service_fails = ServiceFails(
        _some_slots(rng, SERVICES[slot]),
        rng.choice(tuple(ReplicaFault)),
        rng.choice((10, 40, 100)),
        rng.uniform(1.0, 12.0),
    )
    fleet_restarts = FleetRestarts(
        rng.choice(tuple(NodeEnd)), rng.choice((0.0, rng.uniform(0.1, 2.0)))
    )
    trouble = replace(
        service_fails,
        how=rng.choice((ReplicaFault.FAIL, ReplicaFault.SHED)),
        percent=100,
        for_s=rng.uniform(6.0, 12.0),
    )
    faults: tuple[Fault, ...] = (
        ReplicaLeaves(slot, rng.choice(tuple(LeavingWord))),
        ReplicaLeaves(slot, LeavingWord.STORE, for_s),
        ReplicaRests(slot, for_s),
        ReplicaCrashes(slot),
        ReplicaGarbles(slot, for_s),
        service_fails,
        ReplicaRepeatsRefusals(slot, 3 * for_s),
        AddressIsTakenOver(slot, 2 * for_s),
        ReplicaNamesLimit(
            _some_slots(rng, SERVICES[slot]),
            rng.choice(LIMITS_PER_S),
            rng.uniform(4.0, 7.0),
        ),
        ReplicaPauses(slot, for_s),
        ReplicaSlows(slot, rng.choice((400, 900, 2000)), 3 * for_s),
        StoreFails(rng.random() < 0.5, for_s),
        StoreIsRestored(rng.uniform(0.5, 8.0), rng.uniform(0.1, 1.5)),
        LeaderChangeIsLost(
            site.leader() or node,
            rng.choice(tuple(NodeEnd)),
            rng.random() < 0.5,
            for_s,
            rng.uniform(0.1, 2.0),
            rng.uniform(0.1, 1.5),
        ),
        OddEntry(rng.randrange(len(ODD_SPECS))),
        NodeStops(node),
        NodeIsKilled(node),
        NodeFreezes(node, for_s),
        fleet_restarts,
        FleetRestartsInTrouble(trouble, fleet_restarts),
        PartTurnsDeadly(deadly_part(rng.randrange(1000)), DEADLY_S),
        ConfigurationChanges(rng.randrange(2, 52)),
        KeysChange(),
    )
    return rng.choice([item for item in faults if site.draws(item)])


def _some_slots(rng: random.Random, service: str) -> tuple[int, ...]:
    """Return at least one of the slots of a service."""
    slots = [slot for slot, name in enumerate(SERVICES) if name == service]
    return tuple(rng.sample(slots, rng.randint(1, len(slots))))


def targets_of(site: SoakSite, fault: Fault) -> tuple[str, ...]:
    """Return what a fault strikes; no two faults strike the same thing at once."""
    match fault:
        case (
            ReplicaLeaves(slot)
            | ReplicaRests(slot)
            | ReplicaCrashes(slot)
            | ReplicaGarbles(slot)
            | ReplicaRepeatsRefusals(slot)
            | AddressIsTakenOver(slot)
            | ReplicaPauses(slot)
            | ReplicaSlows(slot)
        ):
            return (f"slot-{slot}",)
        case ServiceFails(slots) | ReplicaNamesLimit(slots):
            return tuple(f"slot-{slot}" for slot in slots)
        case FleetRestarts():
            return site.nodes
        case FleetRestartsInTrouble(trouble, restart):
            return targets_of(site, trouble) + targets_of(site, restart)
        case NodeStops(node) | NodeIsKilled(node) | NodeFreezes(node):
            return (node,)
        case LeaderChangeIsLost(node):
            return (node, STORE)
        case StoreFails() | StoreIsRestored():
            return (STORE,)
        case OddEntry():
            return ("entries",)
        case PartTurnsDeadly():
            return ("parts",)
        case ConfigurationChanges() | KeysChange():
            return ("configuration",)
