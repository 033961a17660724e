"""Tests of how nodes register, and how often they fetch the changes of others."""

import pytest

from camphoryard.coordination.fleet.fleet_gossip import Mesh, Star
from camphoryard.coordination.fleet.node_registration import (
    KEYS_GRACE_S,
    PEER_KEYS_KEY,
    STAR_WATCH_PERIODS,
    NodeRegistration,
    agree_on_keys,
    is_node_watch_due,
    restore_keys,
    run_after_restores,
)
from camphoryard.coordination.ports import Stored
from camphoryard.state.enums import NodeState
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import ABSENT, Incarnation, NodeId, StoreEra, WriteId, Zone
from camphoryard.state.leadership import Z85_KEY_LENGTH, PeerKeys
from camphoryard.state.nodes import NodeLease
from camphoryard.state.store_eras import NewestEra
from tests.fakes.engines import Clock, RecordedLog

NODE, LEADER = NodeId("n5"), NodeId("n0")


def due_periods(topology, leader, periods=3 * STAR_WATCH_PERIODS):
    """Return in how many of some periods a node fetches the changes."""
    return sum(
        is_node_watch_due(topology, NODE, leader, period) for period in range(periods)
    )


class TestIsNodeWatchDue:
    """A fleet that restarts, so that nodes change in each period."""

    def test_a_small_fleet_fetches_each_period(self):
        """All nodes gossip with each other."""
        assert due_periods(Mesh(), LEADER) == 3 * STAR_WATCH_PERIODS

    def test_a_large_fleet_leaves_it_to_its_leader(self):
        """The calls of a restart do not grow with the square of the fleet."""
        assert due_periods(Star(), LEADER) == 3

    def test_the_leader_fetches_each_period(self):
        """It gossips with new nodes."""
        assert due_periods(Star(), NODE) == 3 * STAR_WATCH_PERIODS

    def test_a_node_without_a_leader_fetches_each_period(self):
        """The leader may be a node that it does not know yet."""
        assert due_periods(Star(), None) == 3 * STAR_WATCH_PERIODS


class Store:
    """Records that can be lost, as by a restore of the store."""

    def __init__(self):
        self.stored_by_key, self._version = {}, 0
        self.is_unavailable = False

    def get(self, key):
        """Return a record."""
        if self.is_unavailable:
            raise StoreUnavailableError("unavailable")
        return self.stored_by_key.get(key)

    def put(self, key, record, version):
        """Write a record if ``version`` is the stored one."""
        stored = self.get(key)
        if version != (stored.version if stored else ABSENT):
            raise ConflictError("version mismatch")
        self._version += 1
        self.stored_by_key[key] = Stored(key, self._version, record)
        return self._version

    def delete(self, key, version):
        """Delete a record."""
        del self.stored_by_key[key]


class Ticks:
    """A timer that calls a function before each further tick."""

    def __init__(self, *between):
        self._between = between

    def every(self, period_s):
        """Yield the ticks."""
        yield
        for call in self._between:
            call()
            yield


def lease_of(incarnation):
    """Return the entry of one process of the node."""
    return NodeLease(
        NODE,
        Incarnation(incarnation),
        Zone("z"),
        "10.0.0.1",
        7000,
        "",
        NodeState.SERVING,
        1.5,
        WriteId(incarnation),
    )


# Guards against nodes that no other node knows after a restore of the store.
class TestRestoredStore:
    """The store has lost what it had acknowledged last."""

    def keep_entry(self, store, before, *between):
        """Enter a node, lose its entry for that of a process before, keep it up."""
        newest_era, log = NewestEra(), RecordedLog()
        registration = NodeRegistration(store, log)
        registration.run(Ticks(), lease_of("new"))

        def restore():
            store.stored_by_key = {NODE: Stored(NODE, 1, before)} if before else {}
            newest_era.observe(StoreEra(newest_era.current + 1))

        run_after_restores(
            Ticks(restore, *between),
            newest_era,
            lambda: registration.enter(lease_of("new")),
            log,
        )
        return registration, log

    @pytest.mark.parametrize("before", [None, lease_of("old")])
    def test_lost_entry_is_written_again(self, before):
        """Nodes that start later learn of this one from the store only."""
        store = Store()
        self.keep_entry(store, before)
        assert store.stored_by_key[NODE].record == lease_of("new")

    def test_entry_that_was_kept_is_not_written(self):
        """All nodes would write at once for nothing."""
        store = Store()
        _, log = self.keep_entry(store, lease_of("new"))
        assert log.events() == ["node_entered"]
        assert store.stored_by_key[NODE].version == 1

    def test_entry_is_written_once_the_store_answers(self):
        """A call that fails is repeated."""
        store = Store()

        def set_unavailable(is_unavailable):
            store.is_unavailable = is_unavailable

        newest_era, log = NewestEra(), RecordedLog()
        newest_era.observe(StoreEra(1))
        set_unavailable(True)
        registration = NodeRegistration(store, log)
        run_after_restores(
            Ticks(lambda: set_unavailable(False)),
            newest_era,
            lambda: registration.enter(lease_of("new")),
            log,
        )
        assert log.events() == ["records_not_restored", "node_entered"]

    def test_node_that_has_left_does_not_enter_again(self):
        """Its process is about to end."""
        store = Store()
        registration, _ = self.keep_entry(store, None)
        registration.leave()
        registration.enter(lease_of("new"))
        assert store.stored_by_key == {}


class Keys:
    """The stored key pair, which may be unreadable."""

    def __init__(self, stored):
        self.stored, self.written = stored, []

    def get(self, key):
        """Return the stored key pair."""
        return self.stored

    def put(self, key, record, version):
        """Record a write."""
        self.written.append((key, record, version))


class Once:
    """A timer with one tick."""

    def every(self, period_s):
        """Return the tick."""
        return iter([None])


def never(*args, **kwargs):
    """Stand in for a write that must not be made."""
    raise AssertionError("written")


class TestAgreeOnKeys:
    """The key pair that all nodes share."""

    OWN = PeerKeys("p" * Z85_KEY_LENGTH, "s" * Z85_KEY_LENGTH)
    FLEET = PeerKeys("q" * Z85_KEY_LENGTH, "t" * Z85_KEY_LENGTH)

    # Guards against two fleets that cannot talk after a restore of the store.
    def test_lost_keys_are_left_to_the_running_nodes(self):
        """A node that starts does not write others while they may write theirs."""
        store, log = Store(), RecordedLog()
        ticks = Ticks(lambda: restore_keys(store, self.FLEET, log))
        assert agree_on_keys(store, self.OWN, ticks, has_fleet=True) == self.FLEET
        assert log.events() == ["keys_restored"]

    def test_keys_are_written_if_nobody_runs(self):
        """The whole fleet may have ended after the restore."""
        store, clock = Store(), Clock()
        ticks = Ticks(lambda: clock.advance(KEYS_GRACE_S))
        keys = agree_on_keys(store, self.OWN, ticks, True, clock)
        assert keys == self.OWN == store.get(PEER_KEYS_KEY).record

    def test_grace_begins_with_the_first_answer_of_the_store(self):
        """Running nodes learn of the restore at the same time."""
        store, clock, log = Store(), Clock(), RecordedLog()
        store.is_unavailable = True

        def answer():
            clock.advance(KEYS_GRACE_S)
            store.is_unavailable = False

        ticks = Ticks(answer, lambda: restore_keys(store, self.FLEET, log))
        assert agree_on_keys(store, self.OWN, ticks, True, clock) == self.FLEET

    def test_kept_keys_are_not_written_again(self):
        """Most restores do not reach back to the first start."""
        store, log = Store(), RecordedLog()
        store.put(PEER_KEYS_KEY, self.FLEET, ABSENT)
        store.put = never
        restore_keys(store, self.FLEET, log)
        assert log.events() == []

    def test_other_keys_are_reported(self):
        """Those on call see that nodes cannot talk to each other."""
        store, log = Store(), RecordedLog()
        store.put(PEER_KEYS_KEY, self.OWN, ABSENT)
        restore_keys(store, self.FLEET, log)
        assert log.events() == ["keys_differ"]

    def test_stored_keys_are_used(self):
        """The first pair written is that of the fleet."""
        stored = PeerKeys("q" * Z85_KEY_LENGTH, "t" * Z85_KEY_LENGTH)
        keys = Keys(Stored(PEER_KEYS_KEY, 4, stored))
        assert agree_on_keys(keys, self.OWN, Once()) == stored
        assert keys.written == []

    def test_unreadable_keys_are_replaced(self):
        """Otherwise no node could ever join the fleet."""
        keys = Keys(Stored(PEER_KEYS_KEY, 4, None))
        assert agree_on_keys(keys, self.OWN, Once()) == self.OWN
        assert keys.written == [(PEER_KEYS_KEY, self.OWN, 4)]

    def test_keys_of_another_length_are_rejected(self):
        """ZeroMQ would reject them in the task of each peer."""
        with pytest.raises(ValueError, match="CURVE"):
            PeerKeys("short", "s" * Z85_KEY_LENGTH)
