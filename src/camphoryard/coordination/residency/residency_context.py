"""Collaborators and settings of the tasks that run owned endpoints."""

from dataclasses import dataclass, field

from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.ports import Engines, Peers, Records
from camphoryard.coordination.residency.eviction import EvictionPolicy
from camphoryard.coordination.residency.occupancy import Occupancy
from camphoryard.coordination.store_restores import StoreRestores
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.ids import Incarnation, NodeId
from camphoryard.state.nodes import NodeTable
from camphoryard.state.tables import ConfigurationHolder, EndpointTable
from camphoryard.state.vms import VmTable


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of one process: its node and its incarnation."""

    node: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class ResidencyContext:
    """Collaborators and settings of the tasks that run owned endpoints.

    ``order_lifetime_s`` is how long an order may be in transit after its sender
    stopped sending. ``orders_may_be_copied`` says whether the network may deliver a
    duplicate of an answered order to an engine later.
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
    restores: StoreRestores = field(default_factory=StoreRestores)
