"""What became of one request, and what went on around it, from the nodes' logs."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from camphoryard.state.ids import NodeId, RequestId
from camphoryard.state.log_lines import LogLine

CONTEXT_S = 5.0
"""How long before and after a request's own lines others may explain it; loads, and
changes of the node that orders engines, take about as long."""
NODE_EVENTS = frozenset(
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
"""Events that touch every request of a node."""
DUTY_EVENTS = frozenset({"duty_lost", "duty_taken", "stood_still"})
"""Events of other nodes that may explain a request: who ordered engines."""


@dataclass(frozen=True, slots=True)
class NodeTrace:
    """One node's lines about a request, and those around them, in their order."""

    node: NodeId
    own: Sequence[LogLine]
    around: Sequence[LogLine]


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """The nodes that read a request, and what others say of the ordering duty."""

    nodes: Sequence[NodeTrace]
    duty: Sequence[LogLine]


def trace_request(lines: Iterable[LogLine], request: RequestId) -> RequestTrace:
    """Return what the logs say of a request; no nodes if none of them read it."""
    lines_by_node: dict[NodeId, list[LogLine]] = {}
    for line in lines:
        lines_by_node.setdefault(line.node, []).append(line)
    traces = []
    duty: list[LogLine] = []
    for node, of_node in sorted(lines_by_node.items()):
        own = [line for line in of_node if line.fields.get("request") == request]
        if own:
            traces.append(NodeTrace(node, own, _around(of_node, own)))
        else:
            duty.extend(line for line in of_node if line.event in DUTY_EVENTS)
    return RequestTrace(traces, duty)


def _around(lines: Sequence[LogLine], own: Sequence[LogLine]) -> list[LogLine]:
    """Return the lines near ``own`` that touch its endpoints, its model or all."""
    first_s = min(line.at_s - _held_s(line) for line in own) - CONTEXT_S
    last_s = max(line.at_s for line in own) + CONTEXT_S
    endpoints = {line.fields.get("endpoint") for line in own} - {None, ""}
    models = {line.fields.get("model", "").partition(":")[0] for line in own} - {""}
    return [
        line
        for line in lines
        if first_s <= line.at_s <= last_s
        if "request" not in line.fields
        if line.event in NODE_EVENTS
        or line.fields.get("endpoint") in endpoints
        or models & {line.fields.get("model", ""), line.fields.get("load", "")}
    ]


def _held_s(line: LogLine) -> float:
    """Return for how long a request had been held when a line was written."""
    return float(line.fields.get("held_ms", 0.0)) / 1000.0
