"""Status of the system that a node reports to operators."""

from collections.abc import Mapping
from dataclasses import dataclass

from camphoryard.coordination.observing.risks import NodeView, Risk
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import EndpointId, Generation, NodeId
from camphoryard.state.refusals import RefusalKey


@dataclass(frozen=True, slots=True)
class Status:
    """The system as observed by one node; ages in seconds, None for never."""

    node: NodeId
    state: NodeState
    generation: Generation
    in_flight: int
    confirmed_age_s: float | None
    store_age_s: float | None
    nodes: tuple[NodeView, ...]
    records_by_endpoint: Mapping[EndpointId, EndpointRecord]
    refusals_by_key: Mapping[RefusalKey, int]
    risks: tuple[Risk, ...]
