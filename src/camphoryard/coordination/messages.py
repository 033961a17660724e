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
from camphoryard.state.refusals import RefusalSheet
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
class RefusalsCounted:
    """Counts of refusals for a peer to hold, should their node be killed."""

    sheet: RefusalSheet


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
    | CrashSeen
    | TrialWanted
    | TrialEnded
    | RefusalsCounted
)
Reply: TypeAlias = Done | Declined | NodeDigest | GivenUp
