"""Changes, timelines and explanations as JSON, for operators."""

from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from enum import Enum
from typing import Any

import msgspec

from camphoryard.coordination.configuration.configurator import ChangeResult
from camphoryard.coordination.configuration.timeline_merging import MergedTimeline
from camphoryard.coordination.observing.explanation import Explanation, Mismatch
from camphoryard.protocol.selectors import format_selector
from camphoryard.state.ids import NodeId
from camphoryard.state.labels import Selector
from camphoryard.state.timeline import Event, Stamp


@dataclass(frozen=True, slots=True)
class ItemChangeForm:
    """Effect of a change on one item; ``fields`` are ``name: old -> new``."""

    name: str
    kind: str
    fields: list[str]


@dataclass(frozen=True, slots=True)
class AcceptedForm:
    """Body of the answer to an accepted change, or to a dry run."""

    generation: int
    changes: list[ItemChangeForm] = field(default_factory=list)
    warnings: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class EventForm:
    """One event of the timeline."""

    wall_ms: int
    count: int
    node: str
    name: str
    fields: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class TimelineForm:
    """Body of ``GET /admin/v1/timeline``; ``silent`` lists unresponsive nodes."""

    events: list[EventForm]
    silent: list[str]


@dataclass(frozen=True, slots=True)
class GroupMatchForm:
    """A group that was tried; ``mismatch`` is empty if it matched."""

    group: str
    order: int
    priority: str
    mismatch: str


@dataclass(frozen=True, slots=True)
class EndpointMatchForm:
    """An endpoint; ``mismatch`` is empty if it can serve the request."""

    endpoint: str
    mismatch: str
    owner: str
    resident: bool


@dataclass(frozen=True, slots=True)
class ExplanationForm:
    """Body of ``GET /admin/v1/explain``; ``matched`` is empty if no group matched.

    ``kind`` is the kind of the endpoints; those of services have no owner and no
    resident items.
    """

    caller: str
    caller_known: bool
    target: str
    matched: str
    groups: list[GroupMatchForm]
    endpoints: list[EndpointMatchForm]
    kind: str = "engine"


_TIMELINE = msgspec.json.Decoder(TimelineForm)
_EXPLANATION = msgspec.json.Decoder(ExplanationForm)
_ACCEPTED = msgspec.json.Decoder(AcceptedForm)


def encode_accepted(accepted: ChangeResult) -> bytes:
    """Return the JSON form of an accepted change or a dry run."""
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
    """Return an accepted change; raises ``msgspec.MsgspecError``."""
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


def encode_timeline(merged: MergedTimeline) -> bytes:
    """Return the JSON form of a merged timeline."""
    events = [
        EventForm(
            item.stamp.wall_ms, item.stamp.count, item.node, item.name, item.fields
        )
        for item in merged.events
    ]
    return msgspec.json.encode(TimelineForm(events, list(merged.silent)))


def decode_timeline(body: bytes) -> MergedTimeline:
    """Return a merged timeline; raises ``msgspec.MsgspecError``."""
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
        GroupMatchForm(
            trial.group.id,
            trial.group.order,
            trial.group.priority.value,
            _mismatch_text(trial.mismatch),
        )
        for trial in explanation.group_matches
    ]
    endpoints = [
        EndpointMatchForm(
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
    """Return an explanation; raises ``msgspec.MsgspecError``."""
    return _EXPLANATION.decode(body)


def _mismatch_text(mismatch: Mismatch | None) -> str:
    """Return why a selector does not match, or an empty string if it does."""
    if mismatch is None:
        return ""
    requirement = format_selector(Selector((mismatch.requirement,)))
    labels = ", ".join(f"{key}={value}" for key, value in mismatch.labels.items())
    subject = mismatch.selector.value
    return f"{subject}: {requirement!r} does not hold for labels [{labels or 'none'}]"
