"""Messages between nodes.

The fields are encoded under their own names. An item is a model or an adapter.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from camphoryard.state.configuration import Configuration
from camphoryard.state.configuration_head import ConfigurationHead
from camphoryard.state.dispatch import (
    DispatchAnswer,
    DispatchRequest,
    Progress,
    Withdrawn,
)
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.ids import (
    EndpointId,
    FencingNumber,
    Fingerprint,
    Incarnation,
    ItemId,
    LimitedId,
    NodeId,
    ObjectKey,
    OrderId,
    PromptPartId,
    ServiceId,
    Version,
    Zone,
)
from camphoryard.state.nodes import NodeDigest, NodeLease
from camphoryard.state.quotas import QuotaKind
from camphoryard.state.refusals import RefusalCounts
from camphoryard.state.timeline import Event
from camphoryard.state.traffic import RequestedModel


@dataclass(frozen=True, slots=True)
class DigestWithAge:
    """A node's digest, and how long ago the node was last confirmed alive.

    ``age_s`` is None if the sender cannot tell.
    """

    digest: NodeDigest
    age_s: float | None


@dataclass(frozen=True, slots=True)
class Gossip:
    """State updates about nodes; the first digest is the sender's own."""

    round: int
    digests: tuple[DigestWithAge, ...]


@dataclass(frozen=True, slots=True)
class ZoneLiveness:
    """How long ago the sender last confirmed each node of a zone alive.

    ``starts`` is a hash of the node ids and incarnations of the leases that the
    sender has for the zone. ``steps`` has one byte for each of these leases, the
    age in steps, in the order of the node ids.
    """

    zone: Zone
    starts: int
    steps: bytes


@dataclass(frozen=True, slots=True)
class GossipAnswer:
    """The answer to the gossip of ``round``; the first digest is the sender's own.

    ``store_age_s`` is how long ago the object API confirmed the sender's
    configuration, in seconds. ``words`` are the ages of nodes by zone; they hold
    for the sender's generation of the configuration and for older ones.
    """

    round: int
    store_age_s: float | None
    digests: tuple[DigestWithAge, ...]
    words: tuple[ZoneLiveness, ...] = ()


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """Announce a node, and ask the peer for the leases of the nodes it knows.

    ``zones`` limits the answer to these zones; if empty, all are asked for.
    """

    lease: NodeLease
    zones: tuple[Zone, ...] = ()


@dataclass(frozen=True, slots=True)
class KnownSuspect:
    """A request that was running when the endpoints in ``crashed`` crashed.

    It remains a suspect for another ``left_s`` seconds.
    """

    fingerprint: Fingerprint
    crashed: tuple[EndpointId, ...]
    quarantined: bool
    left_s: float


@dataclass(frozen=True, slots=True)
class JoinReply:
    """The leases and suspects that the peer knows; its own lease is first."""

    leases: tuple[NodeLease, ...]
    suspects: tuple[KnownSuspect, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Ask for the configuration in force, except the parts with ``known`` keys."""

    known: tuple[ObjectKey, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """An accepted head, and those of its parts that the requesting node lacks."""

    head: ConfigurationHead
    part_by_key: Mapping[ObjectKey, Configuration]


@dataclass(frozen=True, slots=True)
class RecordsRequest:
    """Ask for the endpoint records in the peer's endpoint table."""


@dataclass(frozen=True, slots=True)
class VersionedRecord:
    """An endpoint record at one version."""

    record: EndpointRecord
    version: Version


@dataclass(frozen=True, slots=True)
class RecordsReply:
    """The endpoint records in a node's endpoint table."""

    records: tuple[VersionedRecord, ...]


@dataclass(frozen=True, slots=True)
class EventsRequest:
    """Ask for the events of the peer's time line that match ``fields``."""

    fields: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class EventsReply:
    """Events of one node, oldest first."""

    events: tuple[Event, ...]


@dataclass(frozen=True, slots=True)
class LoadItemsRequest:
    """Ask the owner of an endpoint to load ``items`` there, in order.

    The items evicted for each load may serve at most ``limit_slots`` of demand.
    """

    endpoint: EndpointId
    items: tuple[ItemId, ...]
    limit_slots: float


@dataclass(frozen=True, slots=True)
class MoveItemsRequest:
    """Ask the owner of an endpoint to unload ``evicted`` and then load ``items``."""

    endpoint: EndpointId
    items: tuple[ItemId, ...]
    evicted: tuple[ItemId, ...]


@dataclass(frozen=True, slots=True)
class LoadGrantRequest:
    """Ask the node that manages the weight budget when a model load may start."""

    urgent: bool


@dataclass(frozen=True, slots=True)
class LoadGrant:
    """Permission to start a model load in ``start_in_s`` seconds."""

    start_in_s: float


@dataclass(frozen=True, slots=True)
class ItemsUsed:
    """Report to an owner of endpoints which items the sender recently used."""

    items: tuple[ItemId, ...]


@dataclass(frozen=True, slots=True)
class RelinquishRequest:
    """Ask a previous owner to send no more orders with a fence below ``fence``."""

    endpoint: EndpointId
    incarnation: Incarnation
    fence: FencingNumber


@dataclass(frozen=True, slots=True)
class RelinquishReply:
    """The orders are relinquished; ``unanswered`` were sent and not answered."""

    unanswered: tuple[OrderId, ...]


@dataclass(frozen=True, slots=True)
class DigestRequest:
    """Ask a node for its digest."""


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A request was running when its endpoint crashed.

    ``early`` means that the request had received no token, ``on_trial`` that it
    was the only suspect without a token at that endpoint. ``started_ms`` tells starts
    of the endpoint apart, ``has_begun`` means that it had begun its answer. ``parts``
    are the parts of the prompt that other requests may share, in order;
    ``answered_parts`` those that the reporting node has seen answered. ``answered_ms``
    is the time since it has seen the request itself answered, None if it never has.
    ``service`` is that of the endpoint.
    """

    fingerprint: Fingerprint
    endpoint: EndpointId
    early: bool
    on_trial: bool
    started_ms: int = 0
    has_begun: bool = False
    parts: tuple[PromptPartId, ...] = ()
    answered_parts: tuple[PromptPartId, ...] = ()
    service: ServiceId | None = None
    answered_ms: int | None = None


@dataclass(frozen=True, slots=True)
class TrialRequest:
    """Ask the trial coordinator to let a suspect run at an endpoint."""

    fingerprint: Fingerprint
    endpoint: EndpointId
    holder: NodeId


@dataclass(frozen=True, slots=True)
class TrialEnded:
    """A suspect's run ended, or it ``passed`` its trial and still runs."""

    fingerprint: Fingerprint
    holder: NodeId
    passed: bool


@dataclass(frozen=True, slots=True)
class RefusalCountsCopy:
    """A copy of the sender's refusal counts, kept in case the sender is killed."""

    sheet: RefusalCounts


@dataclass(frozen=True, slots=True)
class ItemRequest:
    """Ask the leader to have a model or adapter loaded at some endpoint.

    The endpoints in ``avoid`` could not be reached by the sender.
    """

    service: ServiceId
    wanted: RequestedModel
    avoid: tuple[EndpointId, ...] = ()


@dataclass(frozen=True, slots=True)
class ItemLoaded:
    """The item is loaded at ``endpoint``."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class ItemLoading:
    """The item will be loaded at some endpoint in about ``in_s`` seconds."""

    in_s: float


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """Ask the leader of ``term`` for parts of limits of one kind.

    ``number`` grows with each request of one process. Spare parts are not needed yet.
    """

    node: NodeId
    incarnation: Incarnation
    term: FencingNumber
    number: int
    parts_by_id: Mapping[LimitedId, int]
    is_spare: bool = False
    kind: QuotaKind = QuotaKind.ACCOUNT


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """Parts that the leader of ``term`` grants."""

    term: FencingNumber
    parts_by_id: Mapping[LimitedId, int]


@dataclass(frozen=True, slots=True)
class QuotaTake:
    """Ask a backup to admit a request in place of the sender."""

    id: LimitedId
    units: float
    kind: QuotaKind = QuotaKind.ACCOUNT


@dataclass(frozen=True, slots=True)
class Done:
    """The request is done or in progress."""


@dataclass(frozen=True, slots=True)
class Declined:
    """The peer cannot do what was asked, or refuses to; ``detail`` says why."""

    detail: str


ResidencyMessage: TypeAlias = LoadItemsRequest | ItemsUsed | RelinquishRequest
Message: TypeAlias = (
    Gossip
    | GossipAnswer
    | JoinRequest
    | ConfigurationRequest
    | EventsRequest
    | RecordsRequest
    | DigestRequest
    | ResidencyMessage
    | MoveItemsRequest
    | LoadGrantRequest
    | CrashReport
    | TrialRequest
    | TrialEnded
    | RefusalCountsCopy
    | ItemRequest
    | QuotaRequest
    | QuotaTake
    | DispatchRequest
    | Progress
    | Withdrawn
)
Reply: TypeAlias = (
    Done
    | Declined
    | NodeDigest
    | RelinquishReply
    | LoadGrant
    | JoinReply
    | ConfigurationOffer
    | EventsReply
    | RecordsReply
    | ItemLoaded
    | ItemLoading
    | QuotaGrant
    | DispatchAnswer
)
