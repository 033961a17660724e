"""Messages between nodes."""

from dataclasses import dataclass
from typing import TypeAlias

from camphoryard.state.ids import (
    EndpointId,
    FencingNumber,
    Fingerprint,
    Incarnation,
    ItemId,
    NodeId,
    OrderId,
)
from camphoryard.state.nodes import NodeDigest
from camphoryard.state.timeline import Stamp


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A node is alive; its digest heals what was lost."""

    digest: NodeDigest
    stamp: Stamp


@dataclass(frozen=True, slots=True)
class LoadWanted:
    """Ask an endpoint's owner to load items there, in order."""

    endpoint: EndpointId
    items: tuple[ItemId, ...]


@dataclass(frozen=True, slots=True)
class MoveWanted:
    """Ask an endpoint's owner to unload ``evicted`` and then load ``items``."""

    endpoint: EndpointId
    items: tuple[ItemId, ...]
    evicted: tuple[ItemId, ...]


@dataclass(frozen=True, slots=True)
class GrantWanted:
    """Ask the holder of the weight budget when a model load may start."""

    urgent: bool


@dataclass(frozen=True, slots=True)
class Granted:
    """A model load may start in so many seconds."""

    start_in_s: float


@dataclass(frozen=True, slots=True)
class ItemsUsed:
    """Tell an owner of endpoints which items the sender used of late."""

    items: tuple[ItemId, ...]


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Ask an earlier owner to send no more orders numbered below ``fence``."""

    endpoint: EndpointId
    incarnation: Incarnation
    fence: FencingNumber


@dataclass(frozen=True, slots=True)
class GivenUp:
    """The orders are given up; those named were sent and got no answer."""

    unanswered: tuple[OrderId, ...]


@dataclass(frozen=True, slots=True)
class DigestWanted:
    """Ask a node for its digest."""


@dataclass(frozen=True, slots=True)
class CrashSeen:
    """A request was running when its endpoint crashed.

    ``early`` says that no token had come, ``on_trial`` that it was the one
    suspect which had no token there.
    """

    fingerprint: Fingerprint
    endpoint: EndpointId
    early: bool
    on_trial: bool


@dataclass(frozen=True, slots=True)
class TrialWanted:
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
class Done:
    """The request was met, or is under way."""


@dataclass(frozen=True, slots=True)
class Declined:
    """The peer will not or cannot do it."""

    detail: str


ResidencyMessage: TypeAlias = LoadWanted | ItemsUsed | GiveUp
Message: TypeAlias = (
    Heartbeat
    | DigestWanted
    | ResidencyMessage
    | MoveWanted
    | GrantWanted
    | CrashSeen
    | TrialWanted
    | TrialEnded
)
Reply: TypeAlias = Done | Declined | Granted | NodeDigest | GivenUp
