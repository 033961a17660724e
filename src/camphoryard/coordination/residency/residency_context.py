"""What the tasks of owned endpoints work with."""

from dataclasses import dataclass

from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.ports import Engines, Peers, Records
from camphoryard.coordination.residency.eviction import EvictionPolicy
from camphoryard.coordination.residency.occupancy import Occupancy
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.ids import Incarnation, NodeId
from camphoryard.state.nodes import NodeTable
from camphoryard.state.tables import ConfigurationHolder, EndpointTable
from camphoryard.state.vms import VmTable


@dataclass(frozen=True, slots=True)
class Identity:
    """One process: the node and which start of it."""

    node: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class ResidencyContext:
    """What the tasks of owned endpoints work with.

    ``order_lifetime_s`` is how long an order may be on its way after its sender
    stopped sending; ``orders_may_be_copied`` says that a copy of an answered one
    may arrive at an engine later.
    """

    identity: Identity
    records: Records[EndpointRecord]
    table: EndpointTable
    nodes: NodeTable
    vms: VmTable
    configuration: ConfigurationHolder
    engines: Engines
    peers: Peers
    timeline: Timeline
    occupancy: Occupancy
    eviction: EvictionPolicy
    order_lifetime_s: float
    orders_may_be_copied: bool = False
