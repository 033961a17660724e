"""Messages between nodes as MessagePack frames."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from camphoryard.coordination.messages import (
    CrashSeen,
    Declined,
    DigestWanted,
    Done,
    GivenUp,
    GiveUp,
    Granted,
    GrantWanted,
    Heartbeat,
    ItemsUsed,
    LoadWanted,
    Message,
    MoveWanted,
    Reply,
    TrialEnded,
    TrialWanted,
)
from camphoryard.state.errors import CamphoryardError
from camphoryard.state.ids import RequestId
from camphoryard.state.nodes import NodeDigest


class PeerMessageError(CamphoryardError):
    """A frame from a peer could not be read."""


class FrameKind(Enum):
    """What a frame's body holds."""

    HEARTBEAT = "heartbeat"
    LOAD_WANTED = "load_wanted"
    MOVE_WANTED = "move_wanted"
    GRANT_WANTED = "grant_wanted"
    GRANTED = "granted"
    ITEMS_USED = "items_used"
    GIVE_UP = "give_up"
    GIVEN_UP = "given_up"
    DIGEST_WANTED = "digest_wanted"
    CRASH_SEEN = "crash_seen"
    TRIAL_WANTED = "trial_wanted"
    TRIAL_ENDED = "trial_ended"
    DONE = "done"
    DECLINED = "declined"
    NODE_DIGEST = "node_digest"


_TYPE_BY_KIND: dict[FrameKind, type[Message] | type[Reply]] = {
    FrameKind.HEARTBEAT: Heartbeat,
    FrameKind.LOAD_WANTED: LoadWanted,
    FrameKind.MOVE_WANTED: MoveWanted,
    FrameKind.GRANT_WANTED: GrantWanted,
    FrameKind.GRANTED: Granted,
    FrameKind.ITEMS_USED: ItemsUsed,
    FrameKind.GIVE_UP: GiveUp,
    FrameKind.GIVEN_UP: GivenUp,
    FrameKind.DIGEST_WANTED: DigestWanted,
    FrameKind.CRASH_SEEN: CrashSeen,
    FrameKind.TRIAL_WANTED: TrialWanted,
    FrameKind.TRIAL_ENDED: TrialEnded,
    FrameKind.DONE: Done,
    FrameKind.DECLINED: Declined,
    FrameKind.NODE_DIGEST: NodeDigest,
}
_KIND_BY_TYPE = {item: kind for kind, item in _TYPE_BY_KIND.items()}


@dataclass(frozen=True, slots=True)
class Frame:
    """One message on the wire; ``id`` is empty when no reply is awaited."""

    id: RequestId
    kind: FrameKind
    body: msgspec.Raw


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message or reply with the id that ties the two together."""

    id: RequestId
    content: Message | Reply


_FRAME = msgspec.msgpack.Decoder(Frame)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the frame's bytes."""
    kind = _KIND_BY_TYPE[type(envelope.content)]
    body = msgspec.Raw(msgspec.msgpack.encode(envelope.content))
    return msgspec.msgpack.encode(Frame(envelope.id, kind, body))


def decode_envelope(data: bytes) -> Envelope:
    """Return the message in a frame.

    Raises
    ------
    PeerMessageError
        If the bytes are no frame of a known kind.
    """
    try:
        frame = _FRAME.decode(data)
        content = msgspec.msgpack.decode(frame.body, type=_TYPE_BY_KIND[frame.kind])
    except msgspec.MsgspecError as error:
        raise PeerMessageError(str(error)) from error
    return Envelope(frame.id, content)
