"""Trace of one request, and of related events, from the logs of the nodes."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from camphoryard.state.ids import NodeId, RequestId
from camphoryard.state.log_lines import LogLine

CONTEXT_WINDOW_S = 5.0
"""Lines up to this long before or after a request's own lines may explain it; loads
and changes of the leader take about as long."""
NODE_WIDE_EVENTS = frozenset(
    {
        "configuration_adopted",
        "duty_lost",
        "duty_taken",
        "duty_unrenewed",
        "holder_unreachable",
        "signal",
        "started",
        "stood_still",
        "stopped",
        "stopping",
        "store_lost",
        "store_regained",
    }
)
"""Events that affect all requests of a node."""
LEADERSHIP_EVENTS = frozenset({"duty_lost", "duty_taken", "stood_still"})
"""Events of other nodes that may explain a request: changes of the leader, and
pauses of a process."""


@dataclass(frozen=True, slots=True)
class NodeTrace:
    """One node's lines about a request, and related lines nearby, in log order."""

    node: NodeId
    own: Sequence[LogLine]
    around: Sequence[LogLine]


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """Traces of the nodes that read a request; ``duty`` are others' leader changes."""

    nodes: Sequence[NodeTrace]
    duty: Sequence[LogLine]


def trace_request(lines: Iterable[LogLine], request: RequestId) -> RequestTrace:
    """Return the trace of a request; it has no nodes if none read the request."""
    lines_by_node: dict[NodeId, list[LogLine]] = {}
    for line in lines:
        lines_by_node.setdefault(line.node, []).append(line)
    traces = []
    leadership: list[LogLine] = []
    for node, node_lines in sorted(lines_by_node.items()):
        own = [line for line in node_lines if line.fields.get("request") == request]
        if own:
            traces.append(NodeTrace(node, own, _related_lines(node_lines, own)))
        else:
            leadership.extend(
                line for line in node_lines if line.event in LEADERSHIP_EVENTS
            )
    return RequestTrace(traces, leadership)


def _related_lines(lines: Sequence[LogLine], own: Sequence[LogLine]) -> list[LogLine]:
    """Return nearby lines about the endpoints, the model or the whole node."""
    first_s = min(line.at_s - _waited_s(line) for line in own) - CONTEXT_WINDOW_S
    last_s = max(line.at_s for line in own) + CONTEXT_WINDOW_S
    endpoints = {line.fields.get("endpoint") for line in own} - {None, ""}
    models = {line.fields.get("model", "").partition(":")[0] for line in own} - {""}
    return [
        line
        for line in lines
        if first_s <= line.at_s <= last_s
        if "request" not in line.fields
        if line.event in NODE_WIDE_EVENTS
        or line.fields.get("endpoint") in endpoints
        or models & {line.fields.get("model", ""), line.fields.get("load", "")}
    ]


def _waited_s(line: LogLine) -> float:
    """Return how long a request had waited when a line was written, in seconds."""
    return float(line.fields.get("held_ms", 0.0)) / 1000.0
