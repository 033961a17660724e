"""Heartbeats between nodes, and what is done with those heard."""

from collections.abc import Callable
from dataclasses import dataclass

from camphoryard.coordination.messages import (
    CrashSeen,
    Declined,
    DigestWanted,
    Done,
    GiveUp,
    Heartbeat,
    ItemsUsed,
    LoadWanted,
    Message,
    RefusalsCounted,
    Reply,
    ResidencyMessage,
    TrialEnded,
    TrialWanted,
)
from camphoryard.coordination.ports import Peers, Timer
from camphoryard.coordination.suspects import Suspects
from camphoryard.state.ids import Generation
from camphoryard.state.nodes import NodeDigest, NodeTable
from camphoryard.state.refusals import RefusalSheet
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
    hold_refusals: Callable[[RefusalSheet], None]


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
        case DigestWanted():
            return parts.digest()
        case CrashSeen() as seen:
            parts.suspects.saw(seen)
            return Done()
        case TrialWanted() as wanted:
            may_start = parts.suspects.wanted(wanted)
            return Done() if may_start else Declined("not its turn")
        case RefusalsCounted(sheet):
            parts.hold_refusals(sheet)
            return Done()
        case TrialEnded() as ended:
            parts.suspects.ended(ended)
            return Done()
