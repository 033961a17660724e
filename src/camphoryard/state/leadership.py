"""Leadership of the load control, which one node has at a time."""

from dataclasses import dataclass

from camphoryard.state.ids import FencingNumber, Incarnation, NodeId

Z85_KEY_LENGTH = 40


@dataclass(frozen=True, slots=True)
class LeadershipRecord:
    """The leader's lease; ``holder`` is None once the leader has released it.

    ``term`` grows with each change of the holder and fences the holder's orders; until
    the first renewal it is only a lower bound, of the same era. ``renewal`` grows with
    each write, so that each has a new version. ``has_acted`` is False while the holder
    waits for an earlier leader that may still act.
    """

    holder: NodeId | None
    incarnation: Incarnation
    term: FencingNumber
    renewal: int
    has_acted: bool = True


@dataclass(frozen=True, slots=True)
class PeerKeys:
    """The CURVE key pair (Z85) that all nodes of a fleet share."""

    public: str
    secret: str

    def __post_init__(self) -> None:
        for key in (self.public, self.secret):
            if len(key) != Z85_KEY_LENGTH or not key.isascii():
                raise ValueError("not a CURVE key in Z85")
