"""Faults of a soak of entry daemons."""

from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeAlias, get_args


class LeavingWord(Enum):
    """Where a replica says that it leaves."""

    ANSWERS = "answers"
    STORE = "store"
    BOTH = "both"


@dataclass(frozen=True, slots=True)
class ReplicaLeaves:
    """A replica leaves, perhaps some seconds after a silence of the store."""

    slot: int
    word: LeavingWord
    silence_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ReplicaRests:
    """A replica turns requests away and asks for some time."""

    slot: int
    for_s: float


@dataclass(frozen=True, slots=True)
class ReplicaCrashes:
    """A replica is killed."""

    slot: int


@dataclass(frozen=True, slots=True)
class ReplicaGarbles:
    """A replica cuts, fails or doubles some of its answers."""

    slot: int
    for_s: float


class ReplicaFault(Enum):
    """How a replica treats a share of its requests."""

    FAIL = "fail"
    SHED = "shed"
    MUTE = "mute"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class ServiceFails:
    """Some replicas of a service treat a share of their requests badly."""

    slots: tuple[int, ...]
    how: ReplicaFault
    percent: int
    for_s: float


@dataclass(frozen=True, slots=True)
class ReplicaRepeatsRefusals:
    """A replica declines requests, and sends refusals again at all times."""

    slot: int
    for_s: float


@dataclass(frozen=True, slots=True)
class AddressIsTakenOver:
    """Another replica takes over an address and repeats refusals.

    The entry of the one before stays, so that nodes send to both ids there.
    """

    slot: int
    for_s: float


@dataclass(frozen=True, slots=True)
class ReplicaNamesLimit:
    """Replicas name limits in turn, each for some time; 0 is none."""

    slots: tuple[int, ...]
    limits_per_s: tuple[float, ...]
    for_s: float


@dataclass(frozen=True, slots=True)
class ReplicaPauses:
    """A replica stands still and goes on."""

    slot: int
    for_s: float


@dataclass(frozen=True, slots=True)
class ReplicaSlows:
    """The events of a replica's streams come at long intervals."""

    slot: int
    period_ms: int
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreFails:
    """The store answers with 503, or leaves calls unanswered for ever."""

    is_mute: bool
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreIsRestored:
    """The store goes away and comes back as it was some time before."""

    back_s: float
    away_s: float


class NodeEnd(Enum):
    """How a node ends."""

    STOP = "stop"
    KILL = "kill"


@dataclass(frozen=True, slots=True)
class LeaderChangeIsLost:
    """The leader ends, and the store is restored from before another took over."""

    node: str
    end: NodeEnd
    starts_before: bool
    for_s: float
    back_s: float
    away_s: float


@dataclass(frozen=True, slots=True)
class OddEntry:
    """Another writer leaves an entry that names no replica."""

    number: int


@dataclass(frozen=True, slots=True)
class NodeStops:
    """A node is told to stop, and is started again."""

    node: str


@dataclass(frozen=True, slots=True)
class NodeIsKilled:
    """A node is killed, and is started again."""

    node: str


@dataclass(frozen=True, slots=True)
class NodeFreezes:
    """A node stands still for some time."""

    node: str
    for_s: float


@dataclass(frozen=True, slots=True)
class FleetRestarts:
    """All nodes end and start again, one after the other or at the same time."""

    end: NodeEnd
    gap_s: float


@dataclass(frozen=True, slots=True)
class FleetRestartsInTrouble:
    """All nodes restart while replicas of a service fail."""

    trouble: ServiceFails
    restart: FleetRestarts


@dataclass(frozen=True, slots=True)
class PartTurnsDeadly:
    """Some requests have a part that crashes replicas, for some time."""

    part: str
    for_s: float


@dataclass(frozen=True, slots=True)
class ConfigurationChanges:
    """The operator changes the number of routes."""

    routes: int


@dataclass(frozen=True, slots=True)
class KeysChange:
    """The operator takes keys away, adds some and moves some to other accounts."""


Fault: TypeAlias = (
    ReplicaLeaves
    | ReplicaRests
    | ReplicaCrashes
    | ReplicaGarbles
    | ServiceFails
    | ReplicaRepeatsRefusals
    | AddressIsTakenOver
    | ReplicaNamesLimit
    | ReplicaPauses
    | ReplicaSlows
    | StoreFails
    | StoreIsRestored
    | LeaderChangeIsLost
    | OddEntry
    | NodeStops
    | NodeIsKilled
    | NodeFreezes
    | FleetRestarts
    | FleetRestartsInTrouble
    | PartTurnsDeadly
    | ConfigurationChanges
    | KeysChange
)


def is_planned(fault: Fault) -> bool:
    """Return whether a fault is planned work, beside which no request may be lost."""
    match fault:
        case NodeStops() | FleetRestarts(end=NodeEnd.STOP):
            return True
        case ConfigurationChanges() | KeysChange():
            return True
        case _:
            return False


KINDS = tuple(kind.__name__ for kind in get_args(Fault))
"""Names of all kinds of faults."""
ODD_SPECS: tuple[Any, ...] = (
    {"service": "desk", "address": "127.0.0.1:99999", "zone": "z", "state": "ready"},
    {"service": "desk", "address": "nowhere", "zone": "z", "state": "ready"},
    {"service": ["desk"], "state": 7},
    [1, 2, 3],
)
