"""Tests of the lease of the leader."""

import pytest

from camphoryard.coordination.leadership.leader_lease import (
    LEASE_MARGIN_S,
    LEASE_S,
    NO_TERM,
    LeaderLease,
)
from camphoryard.coordination.ports import Stored
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import ABSENT, Incarnation, NodeId, ObjectKey, StoreEra
from camphoryard.state.leadership import LeadershipRecord
from camphoryard.state.store_eras import (
    NewestEra,
    era_of,
    stored_revision,
    version_in,
)
from tests.fakes.engines import Clock, RecordedLog

KEY = ObjectKey("ordering")
HANDOVER_S = 3.0


class Store:
    """A store of one record that can be unavailable or lose the answers to writes."""

    def __init__(self):
        self.stored = None
        self.is_unavailable = False
        self.loses_answers = False
        self._revision = 0
        self.newest_era = NewestEra()

    def copy(self):
        """Return the state that the store can be restored to."""
        return self.stored, self._revision

    def restore(self, copy):
        """Go back to a copy, in a new era."""
        stored, self._revision = copy
        era = StoreEra(self.newest_era.current + 1)
        self.newest_era.observe(era)
        if stored is not None:
            version = version_in(era, stored_revision(stored.version))
            stored = Stored(stored.key, version, stored.record)
        self.stored = stored

    def overwrite(self, record):
        """Replace the record whatever its version."""
        self._revision += 1
        version = version_in(self.newest_era.current, self._revision)
        self.stored = Stored(KEY, version, record)

    def get(self, key):
        """Return the record."""
        if self.is_unavailable:
            raise StoreUnavailableError("unavailable")
        return self.stored

    def put(self, key, record, version):
        """Write the record if ``version`` is the stored one."""
        if self.is_unavailable:
            raise StoreUnavailableError("unavailable")
        current = self.stored.version if self.stored else ABSENT
        if version != current:
            raise ConflictError("version mismatch")
        if self.stored is None or self.stored.record != record:
            self.overwrite(record)
        if self.loses_answers:
            raise StoreUnavailableError("answer lost")
        return self.stored.version


class Fleet:
    """Nodes that compete for one lease, with a shared clock and store."""

    def __init__(self, handover_s=HANDOVER_S, is_fenced=False):
        self.clock, self.store = Clock(), Store()
        self._handover_s = handover_s
        self._is_fenced = is_fenced
        self.reported_term = NO_TERM

    def lease(self, name, incarnation="x"):
        """Return the lease as one node manages it."""
        return LeaderLease(
            self.store,
            KEY,
            NodeId(name),
            Incarnation(f"{name}-{incarnation}"),
            self._handover_s,
            self._is_fenced,
            self.store.newest_era,
            lambda: self.reported_term,
            lambda: True,
            RecordedLog(),
            self.clock,
        )

    def terms_of(self, lease):
        """Return the terms in which a node acts until it has led for a while."""
        terms = []
        for _ in range(20):
            self.advance(lease)
            if lease.term not in (NO_TERM, *terms):
                terms.append(lease.term)
        return terms

    def advance(self, *leases, by_s=0.75):
        """Advance the clock, then have each node renew or acquire the lease."""
        self.clock.advance(by_s)
        for lease in leases:
            try:
                lease.renew_or_acquire()
            except ConflictError:
                lease._observed = None
            except StoreUnavailableError:
                lease._observed = None
                lease._last_unanswered_s = self.clock()


class TestLeaderLease:
    """Acquisition, renewal and loss of the lease."""

    def test_first_leader_acts_at_once(self):
        """There is no earlier leader to wait for before the first term."""
        fleet = Fleet()
        lease = fleet.lease("a")
        lease.renew_or_acquire()
        assert lease.term == 1

    def test_only_the_first_leader_of_a_store_is_in_a_first_term(self):
        """Any other one may have a predecessor whose acts still have effects."""
        fleet = Fleet(0.0, is_fenced=True)
        first, second = fleet.lease("a"), fleet.lease("b")
        fleet.store.newest_era.observe(fleet.store.newest_era.current)
        fleet.advance(first)
        assert first.is_first_term
        fleet.store.restore((None, 0))
        fleet.advance(second)
        assert second.claimed_term
        assert not second.is_first_term

    def test_a_fenced_leader_without_the_store_is_not_renewed(self):
        """Another node may have taken over, although this one goes on."""
        fleet = Fleet(0.0, is_fenced=True)
        lease = fleet.lease("a")
        fleet.advance(lease)
        assert lease.is_renewed
        fleet.store.is_unavailable = True
        for _ in range(4):
            fleet.advance(lease)
        assert lease.claimed_term
        assert not lease.is_renewed

    def test_standby_does_not_take_over_a_renewed_lease(self):
        """A leader that renews its lease stays in its term."""
        fleet = Fleet()
        first, second = fleet.lease("a"), fleet.lease("b")
        for _ in range(20):
            fleet.advance(first, second)
        assert (first.term, second.term) == (1, NO_TERM)

    @pytest.mark.parametrize("handover_s", [0.0, HANDOVER_S])
    def test_terms_never_overlap(self, handover_s):
        """The old leader has stopped before the next one acts."""
        fleet = Fleet(handover_s)
        first, second = fleet.lease("a"), fleet.lease("b")
        fleet.advance(first, second)
        while second.term == NO_TERM:
            fleet.advance(second, by_s=0.1)
            assert NO_TERM in (first.term, second.term)
        assert second.term > 1

    def test_leader_stops_before_its_lease_expires(self):
        """The margin covers a call in progress when the term ends."""
        fleet = Fleet()
        lease = fleet.lease("a")
        lease.renew_or_acquire()
        fleet.clock.advance(LEASE_S - LEASE_MARGIN_S + 0.01)
        assert lease.term == NO_TERM

    def test_suspended_leader_does_not_act_when_resumed(self):
        """The clock counts the time of the suspension, so the term is over."""
        fleet = Fleet()
        first, second = fleet.lease("a"), fleet.lease("b")
        fleet.advance(first, second)
        for _ in range(12):
            fleet.advance(second)
        assert first.term == NO_TERM
        fleet.advance(first)
        assert first.term == NO_TERM

    def test_restarted_process_takes_over_from_its_predecessor(self):
        """No other node can have acted, so the new process does not wait."""
        fleet = Fleet()
        fleet.lease("a").renew_or_acquire()
        again = fleet.lease("a", "y")
        again.renew_or_acquire()
        assert again.term == 2

    def test_renewal_with_a_lost_answer_is_found_in_the_store(self):
        """The write took effect, so the leader goes on in its term."""
        fleet = Fleet()
        lease = fleet.lease("a")
        lease.renew_or_acquire()
        fleet.store.loses_answers = True
        fleet.advance(lease)
        fleet.store.loses_answers = False
        fleet.advance(lease)
        fleet.advance(lease)
        assert lease.term == 1

    def test_store_outage_longer_than_the_lease_ends_the_term(self):
        """A leader that cannot renew stops, and resumes if no node took over."""
        fleet = Fleet()
        lease = fleet.lease("a")
        lease.renew_or_acquire()
        fleet.store.is_unavailable = True
        for _ in range(6):
            fleet.advance(lease)
        assert lease.term == NO_TERM
        fleet.store.is_unavailable = False
        for _ in range(3):
            fleet.advance(lease)
        assert lease.term == 1

    def test_fenced_leader_continues_through_a_store_outage(self):
        """No node can take over, and engines would reject its orders if one had."""
        fleet = Fleet(0.0, is_fenced=True)
        lease = fleet.lease("a")
        lease.renew_or_acquire()
        fleet.store.is_unavailable = True
        for _ in range(12):
            fleet.advance(lease)
            assert lease.term == 1

    def test_fenced_leader_does_not_act_after_a_suspension(self):
        """A renewal attempt before the suspension does not extend the term."""
        fleet = Fleet(0.0, is_fenced=True)
        lease = fleet.lease("a")
        lease.renew_or_acquire()
        fleet.store.is_unavailable = True
        fleet.advance(lease)
        fleet.clock.advance(10.0)
        assert lease.term == NO_TERM

    def test_fenced_leader_stops_when_peers_report_a_newer_term(self):
        """It stops before the store or an engine rejects its term."""
        fleet = Fleet(0.0, is_fenced=True)
        lease = fleet.lease("a")
        lease.renew_or_acquire()
        fleet.store.is_unavailable = True
        for _ in range(6):
            fleet.advance(lease)
        fleet.reported_term = lease.term + 1
        assert lease.term == NO_TERM

    def test_isolated_leader_finds_its_successor(self):
        """Its term ends with the first answer from the store."""
        fleet = Fleet(0.0, is_fenced=True)
        first, second = fleet.lease("a"), fleet.lease("b")
        fleet.advance(first, second)
        for _ in range(8):
            fleet.advance(second)
        assert second.term == 2
        fleet.advance(first)
        assert first.term == NO_TERM

    def test_released_lease_is_acquired_at_once(self):
        """The next node does not wait for the lease to expire."""
        fleet = Fleet(0.0)
        first, second = fleet.lease("a"), fleet.lease("b")
        fleet.advance(first, second)
        first.resign()
        fleet.advance(second, by_s=0.1)
        assert second.term == fleet.store.stored.version == 3

    # Guards against ONE: a write that changes nothing has no new version.
    def test_rejected_term_is_not_taken_again(self):
        """Each lease has a term of its own, also before its first renewal."""
        fleet = Fleet(0.0, is_fenced=True)
        lease = fleet.lease("a")
        terms = []
        for _ in range(4):
            fleet.advance(lease)
            terms.append(lease.term)
            lease.reject_term(lease.term)
        assert terms == sorted(set(terms))

    # Guards against ONE: two leaders acted where engines check no fences.
    def test_handover_is_waited_for_though_an_answer_was_lost(self):
        """The record names this node, but it has not acted yet."""
        fleet = Fleet()
        first, second = fleet.lease("a"), fleet.lease("b")
        fleet.advance(first, second)
        fleet.store.loses_answers = True
        while fleet.store.stored.record.holder != "b":
            fleet.advance(second, by_s=0.1)
        fleet.store.loses_answers = False
        taken_s = fleet.clock()
        while second.term == NO_TERM:
            fleet.advance(second, by_s=0.1)
        assert fleet.clock() - taken_s > HANDOVER_S

    def test_rejected_term_ends(self):
        """An engine that has recorded a newer term ends this one."""
        fleet = Fleet()
        lease = fleet.lease("a")
        lease.renew_or_acquire()
        lease.reject_term(lease.term)
        assert lease.term == NO_TERM


# Guards against ONE: after a restore of the store two leaders had one fencing number.
class TestRestoredStore:
    """The store comes back from a copy that lacks the newest leadership."""

    @pytest.mark.parametrize("is_fenced", [True, False])
    def test_no_term_is_given_out_twice(self, is_fenced):
        """The record is older than the last term that engines have seen."""
        fleet = Fleet(is_fenced=is_fenced)
        first, second, third = (fleet.lease(name) for name in "abc")
        fleet.advance(first, second)
        copy = fleet.store.copy()
        first.resign()
        terms = fleet.terms_of(second)
        fleet.store.restore(copy)
        terms += fleet.terms_of(third)
        assert len(set(terms)) == 2
        assert terms == sorted(terms)

    @pytest.mark.parametrize("is_fenced", [True, False])
    def test_a_leader_goes_on_in_a_new_term(self, is_fenced):
        """A leader whose record was lost may have begun a term since the copy."""
        fleet = Fleet(is_fenced=is_fenced)
        lease = fleet.lease("a")
        fleet.advance(lease)
        before = lease.term
        fleet.store.restore(fleet.store.copy())
        terms = fleet.terms_of(lease)
        assert terms[-1] > before
        assert era_of(terms[-1]) == fleet.store.newest_era.current

    def test_leader_whose_record_is_lost_takes_it_back_at_once(self):
        """Nobody has led since, so the engines need not be without a leader."""
        fleet = Fleet(0.0, is_fenced=True)
        first, second = fleet.lease("a"), fleet.lease("b")
        fleet.advance(first, second)
        copy = fleet.store.copy()
        first.resign()
        fleet.advance(second)
        fleet.store.restore(copy)
        fleet.advance(second)
        assert era_of(second.term) == fleet.store.newest_era.current

    def test_leader_does_not_take_the_lease_from_its_successor(self):
        """A copy that names a later leader than this one is not too old."""
        fleet = Fleet(0.0, is_fenced=True)
        first, second = fleet.lease("a"), fleet.lease("b")
        fleet.advance(first, second)
        fleet.clock.advance(LEASE_S)
        fleet.advance(second)
        fleet.advance(second)
        fleet.store.restore(fleet.store.copy())
        fleet.advance(first)
        assert first.claimed_term == NO_TERM
        fleet.advance(second)
        assert era_of(second.term) == fleet.store.newest_era.current

    def test_unfenced_leader_waits_for_one_that_the_record_lacks(self):
        """The lost leader acts until it sees the restore or its lease expires."""
        fleet = Fleet()
        empty = fleet.store.copy()
        first, second = fleet.lease("a"), fleet.lease("b")
        fleet.advance(first)
        fleet.store.restore(empty)
        second.renew_or_acquire()
        while second.term == NO_TERM:
            fleet.advance(second, by_s=0.1)
            assert NO_TERM in (first.term, second.term)

    def test_leader_whose_write_replaced_another_leader_gets_a_newer_term(self):
        """Its write named a revision that the store had given out again."""
        fleet = Fleet(is_fenced=True)
        first, second = fleet.lease("a"), fleet.lease("b")
        empty = fleet.store.copy()
        fleet.advance(first)
        fleet.store.restore(empty)
        fleet.advance(second)
        term = second.term
        fleet.store.overwrite(
            LeadershipRecord(NodeId("a"), Incarnation("a-x"), first.term, 1)
        )
        fleet.advance(first)
        fleet.advance(first)
        fleet.advance(second)
        fleet.advance(second)
        assert first.term > term
        assert second.term == NO_TERM

    def test_restart_in_the_wait_does_not_end_it(self):
        """The record is of the new era, but its holder has not acted yet."""
        fleet = Fleet()
        empty = fleet.store.copy()
        lost = fleet.lease("a")
        fleet.advance(lost)
        fleet.store.restore(empty)
        fleet.advance(fleet.lease("b"))
        again = fleet.lease("b", "y")
        again.renew_or_acquire()
        assert NO_TERM in (lost.term, again.term)
        while again.term == NO_TERM:
            fleet.advance(again, by_s=0.1)
            assert NO_TERM in (lost.term, again.term)

    def test_resignation_in_the_wait_does_not_end_it(self):
        """The next leader waits for the lost one as well."""
        fleet = Fleet(handover_s=0.5)
        empty = fleet.store.copy()
        lost, second, third = (fleet.lease(name) for name in "abc")
        fleet.advance(lost)
        fleet.store.restore(empty)
        fleet.advance(second)
        second.resign()
        third.renew_or_acquire()
        while third.term == NO_TERM:
            fleet.advance(third, by_s=0.1)
            assert NO_TERM in (lost.term, third.term)

    def test_leader_stays_one_if_its_new_term_cannot_be_written(self):
        """The store is often overloaded right after a restore."""
        fleet = Fleet(0.0, is_fenced=True)
        lease = fleet.lease("a")
        fleet.advance(lease)
        fleet.store.restore(fleet.store.copy())
        fleet.store.loses_answers = True
        fleet.advance(lease)
        assert lease.term != NO_TERM
        fleet.store.loses_answers = False
        fleet.advance(lease)
        assert era_of(lease.term) == fleet.store.newest_era.current
