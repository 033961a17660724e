"""Dispatch of messages from peers to the component that handles them."""

from collections.abc import Callable
from dataclasses import dataclass

from camphoryard.coordination.configuration.configurator import Configurator
from camphoryard.coordination.configuration.timeline_merging import select_events
from camphoryard.coordination.inference.suspects import Suspects
from camphoryard.coordination.membership.gossip import Gossiper
from camphoryard.coordination.membership.joining import Joiner
from camphoryard.coordination.messages import (
    ConfigurationRequest,
    CrashReport,
    Declined,
    DigestRequest,
    Done,
    EventsReply,
    EventsRequest,
    Gossip,
    GossipAnswer,
    ItemRequest,
    ItemsUsed,
    JoinRequest,
    LoadGrantRequest,
    LoadItemsRequest,
    Message,
    MoveItemsRequest,
    QuotaRequest,
    QuotaTake,
    RecordsRequest,
    RefusalCountsCopy,
    RelinquishRequest,
    Reply,
    ResidencyMessage,
    TrialEnded,
    TrialRequest,
)
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.placement.placement import Move
from camphoryard.state.dispatch import (
    DispatchRequest,
    FirstEventSeen,
    RunEnded,
    Withdrawn,
)
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
        case JoinRequest() as request:
            return context.joiner.handle_join(request)
        case RecordsRequest():
            return context.joiner.records()
        case EventsRequest(fields):
            return EventsReply(select_events(context.timeline.events(), fields))
        case ConfigurationRequest(known_keys):
            return context.configurator.offer(known_keys) or Declined(
                "no configuration yet"
            )
        case LoadItemsRequest() | ItemsUsed() | RelinquishRequest():
            return context.residency(message)
        case MoveItemsRequest(endpoint, items, evicted):
            try:
                context.start_move(Move(endpoint, items, evicted))
            except CamphoryardError as error:
                return Declined(str(error))
            return Done()
        case LoadGrantRequest(urgent):
            return context.grant_load(urgent)
        case DigestRequest():
            return context.digest()
        case CrashReport() as crash:
            context.suspects.record_crash(crash)
            return Done()
        case TrialRequest() as request:
            may_start = context.suspects.start_trial(request)
            return (
                Done()
                if may_start
                else Declined("request or another trial at its endpoint still running")
            )
        case RefusalCountsCopy(counts):
            context.store_refusals(counts)
            return Done()
        case TrialEnded() as ended:
            context.suspects.end_trial(ended)
            return Done()
        case ItemRequest():
            return Declined(
                "no leader here: each engine is controlled by its own owner"
            )
        case QuotaRequest() | QuotaTake():
            return Declined("no limits are shared here")
        case DispatchRequest() | FirstEventSeen() | RunEnded() | Withdrawn():
            return Declined("no dispatcher here: each node admits its own requests")
