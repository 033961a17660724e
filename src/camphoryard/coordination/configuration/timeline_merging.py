"""The merged time line of all nodes, fetched from the peers."""

from collections.abc import Mapping, Sequence
from concurrent.futures import Executor
from dataclasses import dataclass

from camphoryard.coordination.messages import EventsReply, EventsRequest
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.ports import Peers
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.ids import NodeId
from camphoryard.state.timeline import Event

ANSWER_TIMEOUT_S = 3.0
MAX_EVENTS = 5000
MODEL_FIELD = "model"
ITEM_FIELDS = ("item", "items", "load")


@dataclass(frozen=True, slots=True)
class MergedTimeline:
    """Events in causal order; ``silent`` are the nodes that did not answer."""

    events: tuple[Event, ...]
    silent: tuple[NodeId, ...]


def select_events(
    events: Sequence[Event], filters: Mapping[str, str], limit: int = MAX_EVENTS
) -> tuple[Event, ...]:
    """Return the last ``limit`` events whose fields match ``filters``.

    The keys ``node`` and ``event`` match an event's node and name. The key
    ``model`` also matches events whose items include the model or one of its
    adapters.
    """
    matching = [event for event in events if _matches(event, filters)]
    return tuple(matching[-limit:])


def _matches(event: Event, filters: Mapping[str, str]) -> bool:
    fields = {**event.fields, "node": event.node, "event": event.name}
    return all(
        fields.get(key) == value
        or (key == MODEL_FIELD and _concerns_model(event, value))
        for key, value in filters.items()
    )


def _concerns_model(event: Event, model: str) -> bool:
    """Return whether one of the event's items is the model or one of its adapters."""
    items = [event.fields[key] for key in ITEM_FIELDS if key in event.fields]
    named = ",".join(items).split(",")
    return any(item == model or item.startswith(f"{model}:") for item in named)


def merge_timelines(
    own: Timeline,
    nodes: Sequence[NodeId],
    peers: Peers,
    executor: Executor,
    filters: Mapping[str, str],
) -> MergedTimeline:
    """Return the events of this node and of ``nodes``, which are asked in parallel."""

    def fetch_events(node: NodeId) -> tuple[Event, ...] | None:
        try:
            reply = peers.request(node, EventsRequest(dict(filters)), ANSWER_TIMEOUT_S)
        except PeerUnreachableError:
            return None
        return reply.events if isinstance(reply, EventsReply) else None

    future_by_node = {node: executor.submit(fetch_events, node) for node in nodes}
    events = list(select_events(own.events(), filters))
    silent = []
    for node, future in future_by_node.items():
        node_events = future.result()
        if node_events is None:
            silent.append(node)
        else:
            events.extend(node_events)
    events.sort(key=lambda event: (event.stamp, event.node))
    return MergedTimeline(tuple(events), tuple(silent))
