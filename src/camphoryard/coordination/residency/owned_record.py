"""The record of one owned endpoint: taking it over, reading and writing it."""

import time
from dataclasses import replace
from uuid import uuid4

from camphoryard.coordination.conditional_writes import write_resolved
from camphoryard.coordination.residency.ownership import owner_of
from camphoryard.coordination.residency.residency_context import ResidencyContext
from camphoryard.state.configuration import Endpoint
from camphoryard.state.endpoint_record import EndpointRecord, with_new_owner
from camphoryard.state.enums import EndpointKind, NodeState
from camphoryard.state.errors import StoreUnavailableError
from camphoryard.state.ids import (
    EndpointId,
    FencingNumber,
    Incarnation,
    NodeId,
    WriteId,
)

TAKEOVER_DELAY_S = 1.5


class RecordKeeper:
    """Keeps the record of one endpoint that this node owns or should own."""

    def __init__(self, endpoint_id: EndpointId, parts: ResidencyContext) -> None:
        self._id = endpoint_id
        self._parts = parts
        self._ours_since_s = time.monotonic()

    def was_paused(self) -> None:
        """Wait anew before a takeover: what is known of others may be old."""
        self._ours_since_s = time.monotonic()

    def endpoint(self) -> Endpoint | None:
        """Return the endpoint as configured, or None if it is no engine now."""
        endpoint = self._parts.configuration.current.endpoints_by_id.get(self._id)
        if endpoint is None or endpoint.kind is not EndpointKind.ENGINE:
            return None
        return endpoint

    def is_ours(self) -> bool:
        """Return whether this node should own the endpoint."""
        owner = owner_of(self._id, self._parts.nodes)
        return owner == self._parts.identity.node and self.endpoint() is not None

    def has_ended(self, node: NodeId, incarnation: Incarnation) -> bool:
        """Return whether that start of a node is proved to be over."""
        parts = self._parts
        return parts.vms.is_gone(node) or parts.nodes.has_ended(node, incarnation)

    def refresh(self) -> None:
        """Read the record anew, if the object API answers."""
        try:
            stored = self._parts.records.get(self._id)
        except StoreUnavailableError:
            return
        if stored is not None and stored.record is not None:
            self._parts.table.observe(stored.record, stored.version)

    def write(self, record: EndpointRecord) -> EndpointRecord:
        """Write the record and return it as written.

        Raises
        ------
        ConflictError
            If somebody else wrote meanwhile.
        StoreUnavailableError
            If the write failed, or what became of it is unknown.
        """
        record = replace(record, write_id=WriteId(uuid4().hex))
        before = self._parts.table.version(record.id)
        version = write_resolved(self._parts.records, record.id, record, before)
        self._parts.table.observe(record, version)
        return record

    def own(self, endpoint: Endpoint) -> EndpointRecord | None:
        """Return the record with this start as owner and the configured memory.

        None while it is too early to take it from another owner.
        """
        record = self._parts.table.find(self._id)
        if record is None:
            self.refresh()
            record = self._parts.table.find(self._id)
        if record is None:
            wanted = self._first_record(endpoint)
        elif record.owner_incarnation == self._parts.identity.incarnation:
            wanted = replace(record, memory_mb=endpoint.memory_mb)
        elif self._may_take_over(record):
            me = self._parts.identity
            fence = FencingNumber(record.fence + 1)
            wanted = with_new_owner(record, me.node, me.incarnation, fence)
            wanted = replace(wanted, memory_mb=endpoint.memory_mb)
        else:
            return None
        if wanted == record:
            return record
        wanted = self.write(wanted)
        self._parts.timeline.record(
            "endpoint_owned",
            endpoint=self._id,
            fence=wanted.fence,
            memory_mb=wanted.memory_mb,
        )
        return wanted

    def _first_record(self, endpoint: Endpoint) -> EndpointRecord:
        me = self._parts.identity
        return EndpointRecord(
            self._id,
            endpoint.memory_mb,
            me.node,
            me.incarnation,
            FencingNumber(1),
            WriteId(""),
        )

    def _may_take_over(self, record: EndpointRecord) -> bool:
        """Return whether the recorded owner has left, or is missed for long enough.

        A node that just started, or was paused, knows its own lease first; it
        must not take every endpoint before it has heard of the others.
        """
        if self.has_ended(record.owner, record.owner_incarnation):
            return True
        lease = self._parts.nodes.find(record.owner)
        if lease is not None and lease.state is NodeState.DRAINING:
            return True
        return time.monotonic() - self._ours_since_s >= TAKEOVER_DELAY_S
