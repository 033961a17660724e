"""Dispatch of messages from peers to the component that handles them."""

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
    """Components that handle messages from peers."""

    gossiper: Gossiper
    joiner: Joiner
    configurator: Configurator
    timeline: Timeline
    digest: Callable[[], NodeDigest]
    residency: Callable[[ResidencyMessage], Reply]
    suspects: Suspects
    store_refusals: Callable[[RefusalCounts], None]
    start_move: Callable[[Move], None]
    grant_load: Callable[[bool], Reply]


def handle(context: PeerMessageContext, message: Message) -> Reply:
    """Handle a message from a peer and return the reply."""
    match message:
        case Gossip() as gossip:
            context.gossiper.handle_gossip(gossip)
            return Done()
        case GossipAnswer() as answer:
            context.gossiper.handle_answer(answer)
            return Done()
        case JoinWanted() as request:
            return context.joiner.handle_join(request)
        case RecordsWanted():
            return context.joiner.records()
        case EventsWanted(fields):
            return EventsFound(select_events(context.timeline.events(), fields))
        case ConfigurationWanted(known_keys):
            return context.configurator.offer(known_keys) or Declined(
                "no configuration yet"
            )
        case LoadWanted() | ItemsUsed() | GiveUp():
            return context.residency(message)
        case MoveWanted(endpoint, items, evicted):
            try:
                context.start_move(Move(endpoint, items, evicted))
            except CamphoryardError as error:
                return Declined(str(error))
            return Done()
        case GrantWanted(urgent):
            return context.grant_load(urgent)
        case DigestWanted():
            return context.digest()
        case CrashSeen() as crash:
            context.suspects.observe(crash)
            return Done()
        case TrialWanted() as request:
            may_start = context.suspects.wanted(request)
            return (
                Done()
                if may_start
                else Declined("request or another trial at its endpoint still running")
            )
        case RefusalsCounted(counts):
            context.store_refusals(counts)
            return Done()
        case TrialEnded() as ended:
            context.suspects.ended(ended)
            return Done()
        case ItemWanted():
            return Declined(
                "no leader here: each engine is controlled by its own owner"
            )
