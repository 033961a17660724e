"""The time line of all nodes, asked for through peers."""

from collections.abc import Mapping, Sequence
from concurrent.futures import Executor
from dataclasses import dataclass

from camphoryard.coordination.messages import EventsReply, EventsRequest
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.ports import Peers
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.ids import NodeId
from camphoryard.state.timeline import Event

ANSWER_LIMIT_S = 3.0
EVENTS_LIMIT = 5000
MODEL = "model"
ITEM_FIELDS = ("item", "items", "load")


@dataclass(frozen=True, slots=True)
class MergedTimeline:
    """Events in causal order, and the nodes that did not answer."""

    events: tuple[Event, ...]
    silent: tuple[NodeId, ...]


def select_events(
    events: Sequence[Event], wanted: Mapping[str, str], limit: int = EVENTS_LIMIT
) -> tuple[Event, ...]:
    """Return the last ``limit`` events that have all ``wanted`` fields.

    The keys ``node`` and ``event`` stand for an event's node and name, ``model``
    also for what is done to a model or an adapter over it as an item.
    """
    found = [event for event in events if _has(event, wanted)]
    return tuple(found[-limit:])


def _has(event: Event, wanted: Mapping[str, str]) -> bool:
    fields = {**event.fields, "node": event.node, "event": event.name}
    return all(
        fields.get(key) == value or (key == MODEL and _is_about(event, value))
        for key, value in wanted.items()
    )


def _is_about(event: Event, model: str) -> bool:
    """Return whether one of the event's items is the model or an adapter over it."""
    items = [event.fields[key] for key in ITEM_FIELDS if key in event.fields]
    named = ",".join(items).split(",")
    return any(item == model or item.startswith(f"{model}:") for item in named)


def merge_timelines(
    own: Timeline,
    nodes: Sequence[NodeId],
    peers: Peers,
    executor: Executor,
    wanted: Mapping[str, str],
) -> MergedTimeline:
    """Return the events of this node and of ``nodes``, asked all at once."""

    def ask(node: NodeId) -> tuple[Event, ...] | None:
        try:
            reply = peers.ask(node, EventsRequest(dict(wanted)), ANSWER_LIMIT_S)
        except PeerUnreachableError:
            return None
        return reply.events if isinstance(reply, EventsReply) else None

    asked = {node: executor.submit(ask, node) for node in nodes}
    events = list(select_events(own.events(), wanted))
    silent = []
    for node, answer in asked.items():
        found = answer.result()
        if found is None:
            silent.append(node)
        else:
            events.extend(found)
    events.sort(key=lambda event: (event.stamp, event.node))
    return MergedTimeline(tuple(events), tuple(silent))
