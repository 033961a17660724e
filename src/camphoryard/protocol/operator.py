"""Answers to operators as JSON."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, fields
from enum import Enum
from typing import Any

import msgspec

from camphoryard.coordination.configuring import Accepted
from camphoryard.coordination.explaining import Explanation, Mismatch
from camphoryard.coordination.merging import MergedTimeline
from camphoryard.coordination.risks import Risk
from camphoryard.coordination.status import Status
from camphoryard.protocol.selectors import format_selector
from camphoryard.state.endpoint_record import committed_mb, items_in_doubt
from camphoryard.state.enums import Reason
from camphoryard.state.ids import NodeId
from camphoryard.state.labels import Selector
from camphoryard.state.refusals import RefusalKey
from camphoryard.state.timeline import Event, Stamp


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


@dataclass(frozen=True, slots=True)
class ItemChangeForm:
    """What a change does to one item; ``fields`` as ``name: old -> new``."""

    name: str
    kind: str
    fields: list[str]


@dataclass(frozen=True, slots=True)
class AcceptedForm:
    """Body of the answer to an accepted change, or to one only tried."""

    generation: int
    changes: list[ItemChangeForm] = field(default_factory=list)
    warnings: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class EventForm:
    """One event of the time line."""

    wall_ms: int
    count: int
    node: str
    name: str
    fields: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class TimelineForm:
    """Body of ``GET /admin/v1/timeline``; ``silent`` names nodes without answer."""

    events: list[EventForm]
    silent: list[str]


@dataclass(frozen=True, slots=True)
class GroupTrialForm:
    """A group that was tried; ``mismatch`` is empty for the one that matched."""

    group: str
    order: int
    priority: str
    mismatch: str


@dataclass(frozen=True, slots=True)
class EndpointTrialForm:
    """An endpoint; ``mismatch`` is empty for one that takes the request."""

    endpoint: str
    mismatch: str
    owner: str
    resident: bool


@dataclass(frozen=True, slots=True)
class ExplanationForm:
    """Body of ``GET /admin/v1/explain``; ``matched`` is empty if no group did.

    ``kind`` is that of the endpoints; a service's have no owner and no residents.
    """

    caller: str
    caller_known: bool
    target: str
    matched: str
    groups: list[GroupTrialForm]
    endpoints: list[EndpointTrialForm]
    kind: str = "engine"


_STATUS = msgspec.json.Decoder(StatusForm)
_TIMELINE = msgspec.json.Decoder(TimelineForm)
_EXPLANATION = msgspec.json.Decoder(ExplanationForm)
_ACCEPTED = msgspec.json.Decoder(AcceptedForm)
_REFUSALS = msgspec.json.Decoder(list[RefusalForm])


def encode_accepted(accepted: Accepted) -> bytes:
    """Return the JSON form of an accepted or tried change."""
    changes = [
        ItemChangeForm(
            item.name, item.kind.value, _field_texts(item.before, item.after)
        )
        for item in accepted.changes
    ]
    return msgspec.json.encode(
        AcceptedForm(accepted.generation, changes, list(accepted.warnings))
    )


def decode_accepted(body: bytes) -> AcceptedForm:
    """Return what a daemon accepted; raises ``msgspec.MsgspecError``."""
    return _ACCEPTED.decode(body)


def _field_texts(before: Any, after: Any) -> list[str]:
    shown = before if after is None else after
    texts = []
    for item in fields(shown):
        old = getattr(before, item.name, None)
        new = getattr(after, item.name, None)
        if old != new and item.name != "id":
            texts.append(f"{item.name}: {_text(old)} -> {_text(new)}")
    return texts


def _text(value: Any) -> str:
    match value:
        case None:
            return "-"
        case Selector():
            return repr(format_selector(value))
        case Enum():
            return str(value.value)
        case _:
            return msgspec.json.encode(value, order="deterministic").decode()


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
            sorted(items_in_doubt(record)),
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


def encode_timeline(merged: MergedTimeline) -> bytes:
    """Return the JSON form of a merged time line."""
    events = [
        EventForm(
            item.stamp.wall_ms, item.stamp.count, item.node, item.name, item.fields
        )
        for item in merged.events
    ]
    return msgspec.json.encode(TimelineForm(events, list(merged.silent)))


def decode_timeline(body: bytes) -> MergedTimeline:
    """Return what a daemon sent; raises ``msgspec.MsgspecError``."""
    form = _TIMELINE.decode(body)
    events = tuple(
        Event(
            Stamp(item.wall_ms, item.count), NodeId(item.node), item.name, item.fields
        )
        for item in form.events
    )
    return MergedTimeline(events, tuple(NodeId(node) for node in form.silent))


def encode_explanation(explanation: Explanation) -> bytes:
    """Return the JSON form of an explanation."""
    groups = [
        GroupTrialForm(
            trial.group.id,
            trial.group.order,
            trial.group.priority.value,
            _mismatch_text(trial.mismatch),
        )
        for trial in explanation.trials
    ]
    endpoints = [
        EndpointTrialForm(
            item.id,
            "leaving" if item.leaving else _mismatch_text(item.mismatch),
            item.owner or "",
            item.resident,
        )
        for item in explanation.endpoints
    ]
    return msgspec.json.encode(
        ExplanationForm(
            explanation.caller,
            explanation.caller_known,
            explanation.target,
            explanation.matched or "",
            groups,
            endpoints,
            explanation.kind.value,
        )
    )


def decode_explanation(body: bytes) -> ExplanationForm:
    """Return what a daemon explained; raises ``msgspec.MsgspecError``."""
    return _EXPLANATION.decode(body)


def _mismatch_text(mismatch: Mismatch | None) -> str:
    """Return why a selector does not hold, or nothing if it does."""
    if mismatch is None:
        return ""
    requirement = format_selector(Selector((mismatch.requirement,)))
    labels = ", ".join(f"{key}={value}" for key, value in mismatch.labels.items())
    subject = mismatch.selector.value
    return f"{subject}: {requirement!r} does not hold for labels [{labels or 'none'}]"
