"""Heartbeats between nodes, and what is done with those heard."""

from collections.abc import Callable
from dataclasses import dataclass

from camphoryard.coordination.messages import (
    CrashSeen,
    Declined,
    DigestWanted,
    Done,
    GiveUp,
    GrantWanted,
    Heartbeat,
    ItemsUsed,
    LoadWanted,
    Message,
    MoveWanted,
    Reply,
    ResidencyMessage,
    TrialEnded,
    TrialWanted,
)
from camphoryard.coordination.placement import Move
from camphoryard.coordination.ports import Peers, Timer
from camphoryard.coordination.suspects import Suspects
from camphoryard.state.errors import CamphoryardError
from camphoryard.state.ids import Generation
from camphoryard.state.nodes import NodeDigest, NodeTable
from camphoryard.state.timeline import HybridClock

HEARTBEAT_PERIOD_S = 1.0


@dataclass(frozen=True, slots=True)
class MembershipParts:
    """What the membership tasks work with."""

    nodes: NodeTable
    peers: Peers
    clock: HybridClock
    digest: Callable[[], NodeDigest]
    residency: Callable[[ResidencyMessage], Reply]
    heard_generation: Callable[[Generation], None]
    suspects: Suspects
    carry_out: Callable[[Move], None]
    grant: Callable[[bool], Reply]


def run_heartbeats(parts: MembershipParts, timer: Timer) -> None:
    """Tell every live peer about this node until the timer service closes."""
    for _ in timer.every(HEARTBEAT_PERIOD_S):
        message = Heartbeat(parts.digest(), parts.clock.now())
        for lease in parts.nodes.alive():
            parts.peers.tell(lease.node, message)


def handle(parts: MembershipParts, message: Message) -> Reply:
    """Act on a peer's message and return the reply."""
    match message:
        case Heartbeat(digest, stamp):
            parts.clock.heard(stamp)
            parts.nodes.heard(digest)
            parts.heard_generation(digest.generation)
            return Done()
        case LoadWanted() | ItemsUsed() | GiveUp():
            return parts.residency(message)
        case MoveWanted(endpoint, items, evicted):
            try:
                parts.carry_out(Move(endpoint, items, evicted))
            except CamphoryardError as error:
                return Declined(str(error))
            return Done()
        case GrantWanted(urgent):
            return parts.grant(urgent)
        case DigestWanted():
            return parts.digest()
        case CrashSeen() as seen:
            parts.suspects.saw(seen)
            return Done()
        case TrialWanted() as wanted:
            may_start = parts.suspects.wanted(wanted)
            return Done() if may_start else Declined("not its turn")
        case TrialEnded() as ended:
            parts.suspects.ended(ended)
            return Done()
