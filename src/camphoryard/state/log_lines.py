"""A parsed line of an entry node's log."""

from collections.abc import Mapping
from dataclasses import dataclass

from camphoryard.state.ids import NodeId


@dataclass(frozen=True, slots=True)
class LogLine:
    """One logged event of a node.

    ``at_s`` is the node's monotonic clock, in seconds. It only orders the lines
    that one process of the node wrote.
    """

    node: NodeId
    at_s: float
    event: str
    fields: Mapping[str, str]
