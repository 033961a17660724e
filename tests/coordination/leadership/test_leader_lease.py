"""Tests of a duty that one node at a time has."""

import pytest

from camphoryard.coordination.leadership.leader_lease import (
    LEASE_MARGIN_S,
    LEASE_S,
    NO_TERM,
    LeaderLease,
)
from camphoryard.coordination.ports import Stored
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import ABSENT, Incarnation, NodeId, ObjectKey, Version
from tests.fakes.engines import Clock, KeptLines

KEY = ObjectKey("ordering")
HANDOVER_S = 3.0


class Store:
    """One record; can be out, or lose the answers of writes."""

    def __init__(self):
        self.stored = None
        self.is_out = False
        self.loses_answers = False
        self._version = 10

    def get(self, key):
        """Return the record."""
        if self.is_out:
            raise StoreUnavailableError("out")
        return self.stored

    def put(self, key, record, version):
        """Write if the version is the present one."""
        if self.is_out:
            raise StoreUnavailableError("out")
        present = self.stored.version if self.stored else ABSENT
        if version != present:
            raise ConflictError("another version")
        self._version += 1
        self.stored = Stored(key, Version(self._version), record)
        if self.loses_answers:
            raise StoreUnavailableError("no answer")
        return self.stored.version


class Fleet:
    """Keepers of one duty that share a clock and a store."""

    def __init__(self, handover_s=HANDOVER_S, is_fenced=False):
        self.clock, self.store = Clock(), Store()
        self._handover_s = handover_s
        self._is_fenced = is_fenced
        self.told_term = NO_TERM

    def keeper(self, name, incarnation="x"):
        """Return the keeper of one node."""
        return LeaderLease(
            self.store,
            KEY,
            NodeId(name),
            Incarnation(f"{name}-{incarnation}"),
            self._handover_s,
            self._is_fenced,
            lambda: self.told_term,
            lambda: True,
            KeptLines(),
            self.clock,
        )

    def turn(self, *keepers, for_s=0.75):
        """Let time pass and give each keeper its turn."""
        self.clock.advance(for_s)
        for keeper in keepers:
            try:
                keeper.turn()
            except ConflictError:
                keeper._seen = None
            except StoreUnavailableError:
                keeper._seen = None
                keeper._unanswered_s = self.clock()


class TestDutyKeeper:
    """Taking a duty over, and losing it."""

    def test_the_first_node_acts_at_once(self):
        """Nobody has to be waited for before the first term."""
        fleet = Fleet()
        keeper = fleet.keeper("a")
        keeper.turn()
        assert keeper.term == 1

    def test_a_second_node_leaves_a_renewed_duty_alone(self):
        """A holder that renews keeps its term."""
        fleet = Fleet()
        first, second = fleet.keeper("a"), fleet.keeper("b")
        for _ in range(20):
            fleet.turn(first, second)
        assert (first.term, second.term) == (1, NO_TERM)

    @pytest.mark.parametrize("handover_s", [0.0, HANDOVER_S])
    def test_terms_never_overlap(self, handover_s):
        """The old holder has stopped before the next one acts."""
        fleet = Fleet(handover_s)
        first, second = fleet.keeper("a"), fleet.keeper("b")
        fleet.turn(first, second)
        while second.term == NO_TERM:
            fleet.turn(second, for_s=0.1)
            assert NO_TERM in (first.term, second.term)
        assert second.term > 1

    def test_a_holder_stops_before_its_lease_ends(self):
        """A call under way at the end of a term is covered by the margin."""
        fleet = Fleet()
        keeper = fleet.keeper("a")
        keeper.turn()
        fleet.clock.advance(LEASE_S - LEASE_MARGIN_S + 0.01)
        assert keeper.term == NO_TERM

    def test_a_suspended_holder_does_not_act_when_it_wakes(self):
        """The clock goes on while the VM is suspended, so the term is over."""
        fleet = Fleet()
        first, second = fleet.keeper("a"), fleet.keeper("b")
        fleet.turn(first, second)
        for _ in range(12):
            fleet.turn(second)
        assert first.term == NO_TERM
        fleet.turn(first)
        assert first.term == NO_TERM

    def test_a_process_takes_over_from_its_own_vms_last_one(self):
        """Nobody else can have acted, so the new process waits for nothing."""
        fleet = Fleet()
        fleet.keeper("a").turn()
        again = fleet.keeper("a", "y")
        again.turn()
        assert again.term == 2

    def test_a_renewal_whose_answer_is_lost_is_found_again(self):
        """The write took effect: the holder goes on in its term."""
        fleet = Fleet()
        keeper = fleet.keeper("a")
        keeper.turn()
        fleet.store.loses_answers = True
        fleet.turn(keeper)
        fleet.store.loses_answers = False
        fleet.turn(keeper)
        fleet.turn(keeper)
        assert keeper.term == 1

    def test_an_outage_longer_than_the_lease_ends_the_term(self):
        """A holder that cannot renew stops, and goes on if nobody took over."""
        fleet = Fleet()
        keeper = fleet.keeper("a")
        keeper.turn()
        fleet.store.is_out = True
        for _ in range(6):
            fleet.turn(keeper)
        assert keeper.term == NO_TERM
        fleet.store.is_out = False
        for _ in range(3):
            fleet.turn(keeper)
        assert keeper.term == 1

    def test_a_fenced_holder_goes_on_through_an_outage(self):
        """Nobody can take over, and engines would refuse it if somebody had."""
        fleet = Fleet(0.0, is_fenced=True)
        keeper = fleet.keeper("a")
        keeper.turn()
        fleet.store.is_out = True
        for _ in range(12):
            fleet.turn(keeper)
            assert keeper.term == 1

    def test_a_fenced_holder_that_was_suspended_looks_first(self):
        """What it tried before it was suspended tells nothing of now."""
        fleet = Fleet(0.0, is_fenced=True)
        keeper = fleet.keeper("a")
        keeper.turn()
        fleet.store.is_out = True
        fleet.turn(keeper)
        fleet.clock.advance(10.0)
        assert keeper.term == NO_TERM

    def test_a_fenced_holder_stops_when_peers_tell_of_a_newer_term(self):
        """It need not wait for the store or an engine to refuse it."""
        fleet = Fleet(0.0, is_fenced=True)
        keeper = fleet.keeper("a")
        keeper.turn()
        fleet.store.is_out = True
        for _ in range(6):
            fleet.turn(keeper)
        fleet.told_term = keeper.term + 1
        assert keeper.term == NO_TERM

    def test_a_holder_that_was_cut_off_finds_its_successor(self):
        """Its term ends with the first answer of the store."""
        fleet = Fleet(0.0, is_fenced=True)
        first, second = fleet.keeper("a"), fleet.keeper("b")
        fleet.turn(first, second)
        for _ in range(8):
            fleet.turn(second)
        assert second.term == 2
        fleet.turn(first)
        assert first.term == NO_TERM

    def test_a_duty_that_was_resigned_is_taken_at_once(self):
        """The next node does not wait for the end of the lease."""
        fleet = Fleet(0.0)
        first, second = fleet.keeper("a"), fleet.keeper("b")
        fleet.turn(first, second)
        first.resign()
        fleet.turn(second, for_s=0.1)
        assert second.term == 2

    def test_a_fenced_term_is_given_up(self):
        """An engine that has seen a newer term ends this one."""
        fleet = Fleet()
        keeper = fleet.keeper("a")
        keeper.turn()
        keeper.fenced(keeper.term)
        assert keeper.term == NO_TERM
