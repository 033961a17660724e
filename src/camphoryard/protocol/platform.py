"""Messages of the object API, and the encoding of records as its values."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec

from camphoryard.protocol.configuration import (
    decode_configuration,
    encode_configuration,
)
from camphoryard.state.claims import Claim
from camphoryard.state.configuration import Configuration
from camphoryard.state.configuration_head import ConfigurationHead
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.jobs import Job
from camphoryard.state.nodes import NodeLease
from camphoryard.state.refusals import RefusalCounts

RecordT = TypeVar("RecordT")

VERSION_HEADER = "X-Object-Version"
EXPECTED_HEADER = "X-Expected-Version"
ERA_HEADER = "Object-Era"


@dataclass(frozen=True, slots=True)
class ObjectItem:
    """One object in a listing; ``value`` is None if it was deleted."""

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class ObjectListing:
    """Objects, or changes of objects, up to ``revision``."""

    revision: int
    items: list[ObjectItem]


_LISTING = msgspec.json.Decoder(ObjectListing)


def decode_listing(body: bytes) -> ObjectListing:
    """Return the listing or changes in an answer of the object API."""
    return _LISTING.decode(body)


@dataclass(frozen=True, slots=True)
class Codec(Generic[RecordT]):
    """Encoding of one type of records as object values."""

    encode: Callable[[RecordT], bytes]
    decode: Callable[[bytes], RecordT]


def _json_codec(kind: type[RecordT]) -> Codec[RecordT]:
    return Codec(msgspec.json.encode, msgspec.json.Decoder(kind).decode)


CLAIM_CODEC: Codec[Claim] = _json_codec(Claim)
ENDPOINT_RECORD_CODEC: Codec[EndpointRecord] = _json_codec(EndpointRecord)
HEAD_CODEC: Codec[ConfigurationHead] = _json_codec(ConfigurationHead)
REFUSALS_CODEC: Codec[RefusalCounts] = _json_codec(RefusalCounts)
JOB_CODEC: Codec[Job] = _json_codec(Job)
LEASE_CODEC: Codec[NodeLease] = _json_codec(NodeLease)
PART_CODEC: Codec[Configuration] = Codec(encode_configuration, decode_configuration)
