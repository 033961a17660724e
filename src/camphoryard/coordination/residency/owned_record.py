"""The record of one owned endpoint: acquisition, reads and writes."""

import time
from dataclasses import dataclass, replace
from uuid import uuid4

from camphoryard.coordination.conditional_writes import write_resolved
from camphoryard.coordination.residency.fences import first_fence
from camphoryard.coordination.residency.ownership import owner_of
from camphoryard.coordination.residency.residency_context import ResidencyContext
from camphoryard.state.configuration import Endpoint
from camphoryard.state.endpoint_record import EndpointRecord, with_new_owner
from camphoryard.state.enums import EndpointKind, NodeState
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import (
    ABSENT,
    EndpointId,
    FencingNumber,
    Incarnation,
    NodeId,
    Version,
    WriteId,
)
from camphoryard.state.store_eras import FIRST_ERA, era_of

TAKEOVER_DELAY_S = 1.5


@dataclass(frozen=True, slots=True)
class _Held:
    """The last record that this owner wrote or acquired, and its version."""

    record: EndpointRecord
    version: Version


class OwnedRecord:
    """Reads and writes the record of an endpoint that is assigned to this node."""

    def __init__(self, endpoint_id: EndpointId, context: ResidencyContext) -> None:
        self._id = endpoint_id
        self._context = context
        self._assigned_since_s = time.monotonic()
        self._version = ABSENT
        self._held: _Held | None = None
        self._missing_in = FIRST_ERA

    def restart_takeover_delay(self) -> None:
        """Restart the takeover delay; after a pause, known leases may be stale."""
        self._assigned_since_s = time.monotonic()

    def endpoint(self) -> Endpoint | None:
        """Return the configured endpoint, or None if it is not an engine."""
        endpoint = self._context.configuration.current.endpoints_by_id.get(self._id)
        if endpoint is None or endpoint.kind is not EndpointKind.ENGINE:
            return None
        return endpoint

    def is_assigned_here(self) -> bool:
        """Return whether this node should own the endpoint."""
        owner = owner_of(self._id, self._context.nodes)
        return owner == self._context.identity.node and self.endpoint() is not None

    def has_ended(self, node: NodeId, incarnation: Incarnation) -> bool:
        """Return whether an incarnation of a node is proved to have ended."""
        context = self._context
        return context.vms.is_gone(node) or context.nodes.has_ended(node, incarnation)

    def refresh(self) -> None:
        """Read the record again, if the object API answers."""
        try:
            stored = self._context.records.get(self._id)
        except StoreUnavailableError:
            return
        if stored is not None and stored.record is not None:
            self._context.table.observe(stored.record, stored.version)
        else:
            self._missing_in = self._context.restores.era

    def write(self, record: EndpointRecord) -> EndpointRecord:
        """Write the record over the one last acquired or written; return it as written.

        Raises
        ------
        ConflictError
            If another node wrote the record in the meantime, or the store was restored
            from an older copy: its new era needs a higher fencing number.
        StoreUnavailableError
            If the write failed, or its outcome is unknown.
        """
        record = replace(record, write_id=WriteId(uuid4().hex))
        self._version = write_resolved(
            self._context.records, record.id, record, self._version
        )
        self._context.table.observe(record, self._version)
        self._held = _Held(record, self._version)
        if record.fence < first_fence(era_of(self._version)):
            raise ConflictError(f"{record.id}: the fence is from before a restore")
        return record

    def acquire(self, endpoint: Endpoint) -> EndpointRecord | None:
        """Return the record, with this incarnation as owner and the configured memory.

        Its fencing number is one of the store's newest era. Returns None while the
        takeover delay keeps it with another owner, or the owner has time to write a
        record again that a restored store has lost.

        Raises
        ------
        ConflictError
            If another node wrote the record in the meantime.
        StoreUnavailableError
            If the write failed, or its outcome is unknown.
        """
        record = self._read()
        if record is None:
            self.refresh()
            record = self._read()
        if self._may_be_lost():
            record = self._write_again()
        if record is not None and self._is_own(record):
            fence = max(record.fence, first_fence(self._context.restores.era))
            updated = replace(record, memory_mb=endpoint.memory_mb, fence=fence)
        elif not self._context.restores.is_settled():
            return None
        elif record is None:
            updated = self._new_record(endpoint)
        elif self._may_take_over(record):
            identity = self._context.identity
            fence = FencingNumber(
                max(record.fence + 1, first_fence(self._context.restores.era))
            )
            updated = with_new_owner(record, identity.node, identity.incarnation, fence)
            updated = replace(updated, memory_mb=endpoint.memory_mb)
        else:
            self._held = None
            return None
        if updated == record:
            self._held = _Held(record, self._version)
            return record
        updated = self.write(updated)
        self._context.timeline.record(
            "endpoint_owned",
            endpoint=self._id,
            fence=updated.fence,
            memory_mb=updated.memory_mb,
        )
        return updated

    def _read(self) -> EndpointRecord | None:
        """Return the record in the table; the next write expects its version."""
        # The version is read first: an older one than the record's makes a write fail.
        self._version = self._context.table.version(self._id)
        if era_of(self._version) < self._missing_in:
            self._version = ABSENT
        return self._context.table.find(self._id)

    def _is_own(self, record: EndpointRecord) -> bool:
        return record.owner_incarnation == self._context.identity.incarnation

    def _may_be_lost(self) -> bool:
        """Return whether the store was restored since this owner wrote or acquired.

        It is called after the table was read: a record from the copy in the table is
        then known to be one.
        """
        held, era = self._held, self._context.restores.era
        return held is not None and era_of(held.version) < era

    def _write_again(self) -> EndpointRecord | None:
        """Write this owner's last record again if the restored store has lost it.

        Returns the current record. Raises as ``write``.
        """
        assert self._held is not None
        last = self._held.record
        stored = self._context.records.get(self._id)
        if stored is not None and _is_at_least(stored.record, last):
            self._held = None
            self.refresh()
            return self._read()
        self._version = stored.version if stored is not None else ABSENT
        fence = max(last.fence, first_fence(self._context.restores.era))
        record = self.write(replace(last, fence=fence))
        self._context.timeline.record(
            "endpoint_record_restored", endpoint=self._id, fence=fence
        )
        return record

    def _new_record(self, endpoint: Endpoint) -> EndpointRecord:
        identity = self._context.identity
        return EndpointRecord(
            self._id,
            endpoint.memory_mb,
            identity.node,
            identity.incarnation,
            first_fence(self._context.restores.era),
            WriteId(""),
        )

    def _may_take_over(self, record: EndpointRecord) -> bool:
        """Return whether the recorded owner has left, or the takeover delay is over.

        A node that just started, or was paused, knows its own lease before those of
        others; it must not take over every endpoint before it has received them.
        """
        if self.has_ended(record.owner, record.owner_incarnation):
            return True
        lease = self._context.nodes.find(record.owner)
        if lease is not None and lease.state is NodeState.DRAINING:
            return True
        return time.monotonic() - self._assigned_since_s >= TAKEOVER_DELAY_S


def _is_at_least(found: EndpointRecord | None, last: EndpointRecord) -> bool:
    """Return whether a stored record is ``last`` or that of a later owner."""
    return found is not None and (
        found.write_id == last.write_id or found.fence > last.fence
    )
