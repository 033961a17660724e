"""Duties that one node at a time has."""

from dataclasses import dataclass

from camphoryard.state.ids import FencingNumber, Incarnation, NodeId


@dataclass(frozen=True, slots=True)
class LeadershipRecord:
    """Who has a duty; ``holder`` is None once it was given up.

    ``term`` grows with each change of the holder and fences its orders.
    ``renewal`` changes with each write, so that a renewal is seen by its version.
    """

    holder: NodeId | None
    incarnation: Incarnation
    term: FencingNumber
    renewal: int


@dataclass(frozen=True, slots=True)
class PeerKeys:
    """The CURVE key pair (Z85) that all nodes of a fleet share."""

    public: str
    secret: str
