"""What a node does with the messages of its peers."""

from collections.abc import Callable
from dataclasses import dataclass

from camphoryard.coordination.configuration.configuring import Configurator
from camphoryard.coordination.configuration.merging import select_events
from camphoryard.coordination.inference.suspects import Suspects
from camphoryard.coordination.membership.gossip import Gossiper
from camphoryard.coordination.membership.joining import Joiner
from camphoryard.coordination.messages import (
    ConfigurationWanted,
    CrashSeen,
    Declined,
    DigestWanted,
    Done,
    EventsFound,
    EventsWanted,
    GiveUp,
    Gossip,
    GossipAnswer,
    GrantWanted,
    ItemsUsed,
    ItemWanted,
    JoinWanted,
    LoadWanted,
    Message,
    MoveWanted,
    RecordsWanted,
    RefusalsCounted,
    Reply,
    ResidencyMessage,
    TrialEnded,
    TrialWanted,
)
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.placement.placement import Move
from camphoryard.state.errors import CamphoryardError
from camphoryard.state.nodes import NodeDigest
from camphoryard.state.refusals import RefusalCounts


@dataclass(frozen=True, slots=True)
class PeerMessageContext:
    """What the handling of peers' messages works with."""

    gossiper: Gossiper
    joiner: Joiner
    configurator: Configurator
    timeline: Timeline
    digest: Callable[[], NodeDigest]
    residency: Callable[[ResidencyMessage], Reply]
    suspects: Suspects
    hold_refusals: Callable[[RefusalCounts], None]
    carry_out: Callable[[Move], None]
    grant: Callable[[bool], Reply]


def handle(parts: PeerMessageContext, message: Message) -> Reply:
    """Act on a peer's message and return the reply."""
    match message:
        case Gossip() as gossip:
            parts.gossiper.handle_gossip(gossip)
            return Done()
        case GossipAnswer() as answer:
            parts.gossiper.handle_answer(answer)
            return Done()
        case JoinWanted() as wanted:
            return parts.joiner.joined(wanted)
        case RecordsWanted():
            return parts.joiner.records()
        case EventsWanted(fields):
            return EventsFound(select_events(parts.timeline.events(), fields))
        case ConfigurationWanted(known):
            return parts.configurator.offer(known) or Declined("no configuration yet")
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
            parts.suspects.observe(seen)
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
        case ItemWanted():
            return Declined("each engine is ordered by its own owner here")
