"""A line of an entry node's log, as its readers see it."""

from collections.abc import Mapping
from dataclasses import dataclass

from camphoryard.state.ids import NodeId


@dataclass(frozen=True, slots=True)
class LogLine:
    """One decision of a node.

    ``at_s`` is that node's own steady clock in seconds: it orders the lines of one
    start of one node, and nothing else.
    """

    node: NodeId
    at_s: float
    event: str
    fields: Mapping[str, str]
