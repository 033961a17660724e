"""Tests of acquiring, reading and writing the record of an owned endpoint."""

import time
from dataclasses import replace

import pytest

from camphoryard.coordination.residency.fences import first_fence
from camphoryard.coordination.residency.owned_record import OwnedRecord
from camphoryard.coordination.residency.residency_context import (
    Identity,
    ResidencyContext,
)
from camphoryard.coordination.store_restores import StoreRestores
from camphoryard.protocol.platform import ENDPOINT_RECORD_CODEC
from camphoryard.state.configuration import Configuration, Endpoint
from camphoryard.state.endpoint_record import (
    EndpointRecord,
    Intent,
    with_intent,
)
from camphoryard.state.enums import EndpointKind, NodeState, OrderKind
from camphoryard.state.errors import ConflictError
from camphoryard.state.ids import ABSENT, StoreEra
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.tables import ConfigurationHolder, EndpointTable
from camphoryard.state.vms import VmTable
from standins.object_api import Store
from tests.fakes.object_api import InMemoryRecords, make_object_records
from tests.fakes.serving import timeline

ENDPOINT = Endpoint("e", EndpointKind.ENGINE, "h", 1, 100)
INTENT = Intent("o", OrderKind.LOAD, 10, 1, "n1", "i-n1")
PREVIOUS = EndpointRecord("e", 90, "n2", "i2", 4, "w", {"m": 10})


def make_owned(record=None, state=NodeState.SERVING, kind=EndpointKind.ENGINE):
    """Return an owned record at n1, and its store; n2's lease is in ``state``."""
    return make_owned_with_table(record, state, kind)[:2]


def make_owned_with_table(
    record=None, state=NodeState.SERVING, kind=EndpointKind.ENGINE
):
    """Return an owned record as ``make_owned``, its store and n1's table."""
    records = InMemoryRecords()
    if record is not None:
        records.put("e", record, ABSENT)
    context = make_context(records, state, kind)
    return OwnedRecord("e", context), records, context.table


def make_context(records, state, kind):
    """Return the context of n1; n2's lease is in ``state``."""
    nodes, holder = NodeTable(), ConfigurationHolder()
    nodes.observe(NodeLease("n2", "i2", "z", "h", 1, "key", state, 9.0, "w"), 1)
    endpoint = Endpoint("e", kind, "h", 1, 100)
    holder.adopt(Configuration(1, {}, {}, {"e": endpoint}))
    return ResidencyContext(
        Identity("n1", "i1"),
        records,
        EndpointTable(),
        nodes,
        VmTable(),
        holder,
        None,
        None,
        timeline(),
        None,
        None,
        60.0,
    )


class TestAcquire:
    """Acquiring the record."""

    def test_creates_the_first_record(self):
        """The endpoint had no owner before."""
        owned, records = make_owned()
        record = owned.acquire(ENDPOINT)
        assert (record.owner, record.fence, record.memory_mb) == ("n1", 1, 100)
        assert records.get("e").record == record

    def test_waits_for_an_owner_that_may_be_alive(self):
        """A node that just started may not know the owner's lease yet."""
        owned, records = make_owned(PREVIOUS)
        assert owned.acquire(ENDPOINT) is None
        assert records.get("e").record == PREVIOUS

    def test_takes_over_from_a_draining_owner(self):
        """The fencing number rises, the memory is as configured, residents stay."""
        owned, _ = make_owned(PREVIOUS, NodeState.DRAINING)
        record = owned.acquire(ENDPOINT)
        assert (record.owner_incarnation, record.fence) == ("i1", 5)
        assert (record.memory_mb, record.resident_mb_by_item) == (100, {"m": 10})

    def test_an_owned_record_is_not_written_again(self):
        """An unchanged record is not written."""
        owned, records = make_owned()
        owned.acquire(ENDPOINT)
        version = records.get("e").version
        owned.acquire(ENDPOINT)
        assert records.get("e").version == version


# Guards against two owners: the table heard of the new owner while the old one was
# asking the engine, and the old one then wrote over the new one's record.
class TestWrite:
    """Writing the record."""

    def test_record_of_another_owner_is_not_replaced(self):
        """It was written after this owner acquired the record."""
        owned, records, table = make_owned_with_table()
        mine = owned.acquire(ENDPOINT)
        other = replace(mine, owner="n2", owner_incarnation="i2", fence=mine.fence + 1)
        version = records.put("e", other, records.get("e").version)
        table.observe(other, version)
        with pytest.raises(ConflictError):
            owned.write(replace(mine, is_silent=True))
        assert records.get("e").record == other

    def test_each_write_expects_the_one_before(self):
        """Several writes of one step need no read between them."""
        owned, records, _ = make_owned_with_table()
        mine = owned.acquire(ENDPOINT)
        mine = owned.write(replace(mine, is_silent=True))
        mine = owned.write(replace(mine, is_silent=False))
        assert records.get("e").record == mine


class RestoredSite:
    """Nodes that own an endpoint in turn, and a store that is restored."""

    def __init__(self):
        self.store = Store()
        self.copied_s = time.monotonic()
        self.now_s = 0.0
        self.context_by_owner = {}

    def owner(self, node, settling_s=0.0):
        """Return the record as owned by a new node, which takes it over at once."""
        restores = StoreRestores(settling_s, lambda: self.now_s)
        records = make_object_records(
            self.store, "endpoints/", ENDPOINT_RECORD_CODEC, restores.observe
        )
        records.list()
        context = make_context(records, NodeState.DRAINING, EndpointKind.ENGINE)
        identity = Identity(node, f"i-{node}")
        context = replace(context, identity=identity, restores=restores)
        owned = OwnedRecord("e", context)
        self.context_by_owner[owned] = context
        return owned

    def take_copy(self):
        """Restore to the present state at the next restore."""
        self.copied_s = time.monotonic()

    def restore(self):
        """Restore the store to the copy."""
        self.store.restore(self.copied_s)

    def hear(self, owned):
        """Let an owner's node hear of a restore."""
        self.context_by_owner[owned].records.list()

    def watch(self, owned):
        """Bring the records in the store into the table of an owner's node."""
        context = self.context_by_owner[owned]
        for item in context.records.list().items:
            context.table.observe(item.record, item.version)

    @property
    def stored(self):
        """The record in the store."""
        records = make_object_records(self.store, "endpoints/", ENDPOINT_RECORD_CODEC)
        return records.get("e").record


def acquire(owned):
    """Acquire the record; after a conflict the next step tries again."""
    try:
        return owned.acquire(ENDPOINT)
    except ConflictError:
        owned.refresh()
        return owned.acquire(ENDPOINT)


# Guards against two owners with one fencing number: a restored store gave the record of
# an earlier owner to the next one, whose number an engine had already seen.
class TestFenceAfterRestore:
    """Fencing numbers of a store that is restored from an older copy."""

    def test_owner_of_a_lost_record_and_the_next_differ(self):
        """The next owner finds no record and starts above the lost number."""
        site = RestoredSite()
        lost = acquire(site.owner("n1")).fence
        site.restore()
        assert acquire(site.owner("n3")).fence > lost

    def test_owner_whose_takeover_is_lost_and_the_next_differ(self):
        """Both take over from the owner in the copy."""
        site = RestoredSite()
        first = acquire(site.owner("n2"))
        site.take_copy()
        lost = acquire(site.owner("n1")).fence
        site.restore()
        assert acquire(site.owner("n3")).fence > lost > first.fence

    def test_owner_in_the_copy_raises_its_fence(self):
        """An owner that the store has forgotten had a higher number."""
        site = RestoredSite()
        owned = site.owner("n2")
        acquire(owned)
        site.take_copy()
        lost = acquire(site.owner("n1")).fence
        site.restore()
        owned.refresh()
        assert acquire(owned).fence > lost

    def test_write_that_tells_a_restore_sends_no_order(self):
        """Its number is from the era before; the next step raises it."""
        site = RestoredSite()
        owned = site.owner("n1")
        record = acquire(owned)
        site.take_copy()
        site.restore()
        with pytest.raises(ConflictError):
            owned.write(replace(record, is_silent=True))
        assert acquire(owned).fence == first_fence(StoreEra(2))


# Guards against LIMIT: a restored store had lost the record of a load whose order was
# sent, so that its memory counted as free; and a lost record was never written again.
class TestLostRecord:
    """Records of running owners that the store has lost."""

    @pytest.mark.parametrize("is_watched", [True, False])
    def test_lost_load_is_written_again(self, is_watched):
        """Whether or not the node has heard of the record in the copy."""
        site = RestoredSite()
        owned = site.owner("n1")
        record = acquire(owned)
        site.take_copy()
        record = owned.write(with_intent(record, "m", INTENT))
        site.restore()
        (site.watch if is_watched else site.hear)(owned)
        assert acquire(owned).intents_by_item == {"m": INTENT}
        assert site.stored.intents_by_item == {"m": INTENT}
        assert site.stored.fence == first_fence(StoreEra(2))

    def test_record_that_is_gone_is_written_again(self):
        """Its first write was lost."""
        site = RestoredSite()
        owned = site.owner("n1")
        record = owned.write(with_intent(acquire(owned), "m", INTENT))
        site.restore()
        owned.refresh()
        assert acquire(owned).intents_by_item == record.intents_by_item
        assert owned.write(replace(site.stored, is_silent=True)).is_silent

    def test_record_in_the_copy_stays(self):
        """Only its fence rises."""
        site = RestoredSite()
        owned = site.owner("n1")
        record = acquire(owned)
        site.take_copy()
        site.restore()
        site.watch(owned)
        fence = first_fence(StoreEra(2))
        again = acquire(owned)
        assert again == replace(record, fence=fence, write_id=again.write_id)

    def test_record_of_a_later_owner_stays(self):
        """The owner before does not write over it."""
        site = RestoredSite()
        owned = site.owner("n2")
        acquire(owned)
        later = acquire(site.owner("n1"))
        site.take_copy()
        site.restore()
        site.hear(owned)
        assert acquire(owned) is None
        assert site.stored == later

    def test_others_wait_until_owners_had_time(self):
        """A record that is missing may be written again by its owner."""
        site = RestoredSite()
        other = site.owner("n3", settling_s=1.0)
        site.now_s = 1.0
        owned = site.owner("n2")
        record = owned.write(with_intent(acquire(owned), "m", INTENT))
        site.restore()
        assert acquire(other) is None
        site.hear(owned)
        acquire(owned)
        site.now_s = 2.0
        site.watch(other)
        taken = acquire(other)
        assert taken.in_doubt_by_id.keys() == {INTENT.order_id}
        assert taken.fence > record.fence

    def test_known_record_that_is_gone_is_taken_over(self):
        """What the next owner has heard of it is not lost."""
        site = RestoredSite()
        owned = site.owner("n2")
        owned.write(with_intent(acquire(owned), "m", INTENT))
        other = site.owner("n3")
        site.watch(other)
        site.restore()
        other.refresh()
        assert acquire(other).in_doubt_by_id.keys() == {INTENT.order_id}
        assert site.stored.owner == "n3"


class TestEndpoint:
    """The configured endpoint and its assignment."""

    @pytest.mark.parametrize("kind", list(EndpointKind))
    def test_only_engines_have_records(self, kind):
        """Services have no models loaded."""
        owned, _ = make_owned(kind=kind)
        assert (owned.endpoint() is None) == (kind is not EndpointKind.ENGINE)

    def test_assigned_to_another_node(self):
        """The rendezvous hash selects n2, the only node known to be alive."""
        owned, _ = make_owned()
        assert not owned.is_assigned_here()
