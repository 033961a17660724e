"""Messages between nodes."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from camphoryard.state.configuration import Configuration
from camphoryard.state.configuration_head import ConfigurationHead
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.ids import (
    EndpointId,
    FencingNumber,
    Fingerprint,
    Incarnation,
    ItemId,
    NodeId,
    ObjectKey,
    OrderId,
    ServiceId,
    Version,
    Zone,
)
from camphoryard.state.nodes import NodeDigest, NodeLease
from camphoryard.state.refusals import RefusalCounts
from camphoryard.state.timeline import Event
from camphoryard.state.traffic import RequestedModel


@dataclass(frozen=True, slots=True)
class DigestWithAge:
    """A digest and how long ago its node surely was there, or None if unsure."""

    digest: NodeDigest
    age_s: float | None


@dataclass(frozen=True, slots=True)
class Gossip:
    """News of nodes; the first digest is the sender's own."""

    round: int
    digests: tuple[DigestWithAge, ...]


@dataclass(frozen=True, slots=True)
class ZoneLiveness:
    """How long ago each node of a zone surely was there, by the sender's words.

    ``starts`` is the hash of the starts of the zone that the sender knows, and
    ``steps`` has one byte for each of them in the order of their nodes.
    """

    zone: Zone
    starts: int
    steps: bytes


@dataclass(frozen=True, slots=True)
class GossipAnswer:
    """News in return for those of ``round``; the first digest is the sender's own.

    ``store_age_s`` is how long ago the object API confirmed its configuration.
    All ``words`` hold for the sender's generation and older ones.
    """

    round: int
    store_age_s: float | None
    digests: tuple[DigestWithAge, ...]
    words: tuple[ZoneLiveness, ...] = ()


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """A node makes itself known and asks for the nodes known to the peer.

    An empty ``zones`` asks for those of all zones.
    """

    lease: NodeLease
    zones: tuple[Zone, ...] = ()


@dataclass(frozen=True, slots=True)
class KnownSuspect:
    """A request that was running when the endpoints in ``crashed`` crashed.

    It stays a suspect for ``left_s``.
    """

    fingerprint: Fingerprint
    crashed: tuple[EndpointId, ...]
    quarantined: bool
    left_s: float


@dataclass(frozen=True, slots=True)
class JoinReply:
    """The nodes and suspects known to the peer, itself first."""

    leases: tuple[NodeLease, ...]
    suspects: tuple[KnownSuspect, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Ask for the configuration in force, without the parts already known."""

    known: tuple[ObjectKey, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """An accepted head and those of its parts that the asker lacks."""

    head: ConfigurationHead
    part_by_key: Mapping[ObjectKey, Configuration]


@dataclass(frozen=True, slots=True)
class RecordsRequest:
    """Ask for the endpoint records that the peer has seen."""


@dataclass(frozen=True, slots=True)
class VersionedRecord:
    """An endpoint record at one version."""

    record: EndpointRecord
    version: Version


@dataclass(frozen=True, slots=True)
class RecordsReply:
    """The endpoint records that a node has seen."""

    records: tuple[VersionedRecord, ...]


@dataclass(frozen=True, slots=True)
class EventsRequest:
    """Ask for the events of the peer's time line that have these fields."""

    fields: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class EventsReply:
    """Events of one node, oldest first."""

    events: tuple[Event, ...]


@dataclass(frozen=True, slots=True)
class LoadItemsRequest:
    """Ask an endpoint's owner to load items there, in order.

    What leaves for each may serve ``limit_slots`` of demand at most.
    """

    endpoint: EndpointId
    items: tuple[ItemId, ...]
    limit_slots: float


@dataclass(frozen=True, slots=True)
class MoveItemsRequest:
    """Ask an endpoint's owner to unload ``evicted`` and then load ``items``."""

    endpoint: EndpointId
    items: tuple[ItemId, ...]
    evicted: tuple[ItemId, ...]


@dataclass(frozen=True, slots=True)
class LoadGrantRequest:
    """Ask the holder of the weight budget when a model load may start."""

    urgent: bool


@dataclass(frozen=True, slots=True)
class LoadGrant:
    """A model load may start in so many seconds."""

    start_in_s: float


@dataclass(frozen=True, slots=True)
class ItemsUsed:
    """Tell an owner of endpoints which items the sender used of late."""

    items: tuple[ItemId, ...]


@dataclass(frozen=True, slots=True)
class RelinquishRequest:
    """Ask an earlier owner to send no more orders numbered below ``fence``."""

    endpoint: EndpointId
    incarnation: Incarnation
    fence: FencingNumber


@dataclass(frozen=True, slots=True)
class RelinquishReply:
    """The orders are given up; those named were sent and got no answer."""

    unanswered: tuple[OrderId, ...]


@dataclass(frozen=True, slots=True)
class DigestRequest:
    """Ask a node for its digest."""


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A request was running when its endpoint crashed.

    ``early`` says that no token had come, ``on_trial`` that it was the one
    suspect which had no token there.
    """

    fingerprint: Fingerprint
    endpoint: EndpointId
    early: bool
    on_trial: bool


@dataclass(frozen=True, slots=True)
class TrialRequest:
    """Ask the coordinator of trials to let a suspect run at an endpoint."""

    fingerprint: Fingerprint
    endpoint: EndpointId
    holder: NodeId


@dataclass(frozen=True, slots=True)
class TrialEnded:
    """A suspect's run ended, or only ``passed`` its trial and goes on."""

    fingerprint: Fingerprint
    holder: NodeId
    passed: bool


@dataclass(frozen=True, slots=True)
class RefusalCountsCopy:
    """Counts of refusals for a peer to hold, should their node be killed."""

    sheet: RefusalCounts


@dataclass(frozen=True, slots=True)
class ItemRequest:
    """Ask who orders the engines to have a model or adapter loaded somewhere.

    The endpoints in ``avoid`` could not be reached by the sender.
    """

    service: ServiceId
    wanted: RequestedModel
    avoid: tuple[EndpointId, ...] = ()


@dataclass(frozen=True, slots=True)
class ItemLoaded:
    """The item can be used at an endpoint."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class ItemLoading:
    """The item will be held somewhere in about ``in_s`` seconds."""

    in_s: float


@dataclass(frozen=True, slots=True)
class Done:
    """The request was met, or is under way."""


@dataclass(frozen=True, slots=True)
class Declined:
    """The peer will not or cannot do it."""

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
)
