"""Status, risks and counts of refusals as JSON, for operators."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from camphoryard.coordination.observing.risks import Risk
from camphoryard.coordination.observing.status import Status
from camphoryard.state.endpoint_record import committed_mb, unconfirmed_items
from camphoryard.state.enums import Reason
from camphoryard.state.refusals import RefusalKey


@dataclass(frozen=True, slots=True)
class NodeForm:
    """One node in a status; ``heard_age_s`` is None if it was not heard yet."""

    node: str
    state: str
    generation: int
    alive: bool = True
    gone: bool = False
    heard_age_s: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointForm:
    """One endpoint in a status; memory in MB."""

    endpoint: str
    owner: str
    fence: int
    memory_mb: int
    committed_mb: int
    resident: list[str]
    intents: list[str]
    in_doubt: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RefusalForm:
    """One count of refusals; ``minute`` counts from the epoch."""

    reason: str
    label: str
    minute: int
    count: int
    caller: str = ""


@dataclass(frozen=True, slots=True)
class RiskForm:
    """One promise at risk."""

    kind: str
    subject: str
    detail: str
    advice: str


@dataclass(frozen=True, slots=True)
class StatusForm:
    """Body of ``GET /admin/v1/status``."""

    node: str
    state: str
    generation: int
    in_flight: int
    nodes: list[NodeForm]
    endpoints: list[EndpointForm]
    refusals: list[RefusalForm]
    confirmed_age_s: float | None = None
    store_age_s: float | None = None
    risks: list[RiskForm] = field(default_factory=list)


_STATUS = msgspec.json.Decoder(StatusForm)
_REFUSALS = msgspec.json.Decoder(list[RefusalForm])


def encode_status(status: Status) -> bytes:
    """Return the JSON form of a status."""
    nodes = [
        NodeForm(
            item.node,
            item.state.value,
            item.generation,
            item.is_alive,
            item.is_gone,
            item.heard_age_s,
        )
        for item in status.nodes
    ]
    risks = [risk_form(item) for item in status.risks]
    endpoints = [
        EndpointForm(
            record.id,
            record.owner,
            record.fence,
            record.memory_mb,
            committed_mb(record),
            sorted(record.resident_mb_by_item),
            sorted(record.intents_by_item),
            sorted(unconfirmed_items(record)),
        )
        for record in status.records_by_endpoint.values()
    ]
    refusals = _refusal_forms(status.refusals_by_key)
    return msgspec.json.encode(
        StatusForm(
            status.node,
            status.state.value,
            status.generation,
            status.in_flight,
            nodes,
            sorted(endpoints, key=lambda item: item.endpoint),
            refusals,
            status.confirmed_age_s,
            status.store_age_s,
            risks,
        )
    )


def risk_form(risk: Risk) -> RiskForm:
    """Return the form of one risk."""
    return RiskForm(risk.kind.value, risk.subject, risk.detail, risk.advice)


def encode_refusals(count_by_key: Mapping[RefusalKey, int]) -> bytes:
    """Return the JSON form of counts of refusals, in order of minutes."""
    forms = _refusal_forms(count_by_key)
    return msgspec.json.encode(sorted(forms, key=lambda item: item.minute))


def decode_refusals(body: bytes) -> list[RefusalForm]:
    """Return the counts that a daemon sent; raises ``msgspec.MsgspecError``."""
    return _REFUSALS.decode(body)


def count_by_key(forms: Iterable[RefusalForm]) -> dict[RefusalKey, int]:
    """Return counts by key; a reason of another version counts as internal."""
    return {
        RefusalKey(
            _reason(item.reason), item.label, item.minute, item.caller
        ): item.count
        for item in forms
    }


def _reason(text: str) -> Reason:
    try:
        return Reason(text)
    except ValueError:
        return Reason.INTERNAL


def _refusal_forms(count_by_key: Mapping[RefusalKey, int]) -> list[RefusalForm]:
    return [
        RefusalForm(key.reason.value, key.label, key.minute, count, key.caller)
        for key, count in count_by_key.items()
    ]


def decode_status(body: bytes) -> StatusForm:
    """Return the status that a daemon sent; raises ``msgspec.MsgspecError``."""
    return _STATUS.decode(body)
