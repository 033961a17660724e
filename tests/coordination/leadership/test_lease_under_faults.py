"""The lease of the leader under random faults of the store and of the nodes."""

import random

import pytest

from camphoryard.coordination.leadership.leader_lease import NO_TERM, LeaderLease
from camphoryard.coordination.ports import Stored
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import Incarnation, NodeId, ObjectKey, StoreEra
from camphoryard.state.store_eras import NewestEra, stored_revision, version_in
from tests.fakes.engines import Clock, RecordedLog

KEY = ObjectKey("ordering")
NODES = "abc"
SEEDS = range(150)
STEP_S = 0.05
STEPS = 700
RENEWAL_PERIOD_S = 0.75
HANDOVER_S = 3.0
LATE_SHARE = 0.1
LOST_SHARE = 0.1
"""Shares of the writes that take effect later, and whose answer is lost."""
MAX_CUT_S = 4.0
COPIES_KEPT = 5
STEP_SHARES = {
    "copy": 0.03,
    "restore": 0.012,
    "restart": 0.02,
    "cut": 0.01,
    "resign": 0.008,
    "late_write": 0.02,
}


class Store:
    """One record; a write that changes nothing has no new revision."""

    def __init__(self):
        self.era, self.revision, self.stored = 1, 0, None
        self.copies, self.late_writes = [], []

    def write(self, expected, record):
        """Write if the revision is ``expected``; return the new one or None."""
        revision, current = self.stored or (0, None)
        if revision != expected:
            return None
        if record != current:
            self.revision += 1
            self.stored = self.revision, record
        return self.stored[0]

    def copy(self):
        """Keep a copy to restore."""
        self.copies.append((self.revision, self.stored))

    def restore(self, rng):
        """Go back to one of the last copies."""
        if self.copies:
            self.revision, self.stored = rng.choice(self.copies[-COPIES_KEPT:])
            self.copies.clear()
            self.era += 1


class Records:
    """The records as one process reaches them; see the Records port."""

    def __init__(self, store, rng, is_cut):
        self._store, self._rng, self._is_cut = store, rng, is_cut
        self.newest_era = NewestEra()

    def get(self, key):
        """Return the record."""
        if self._is_cut():
            raise StoreUnavailableError("cut off")
        era = StoreEra(self._store.era)
        self.newest_era.observe(era)
        if self._store.stored is None:
            return None
        revision, record = self._store.stored
        return Stored(key, version_in(era, revision), record)

    def put(self, key, record, version):
        """Write the record; the write may be late and its answer may be lost."""
        era = self.newest_era.of_write(version)
        if era < self.newest_era.current:
            raise ConflictError("earlier era")
        if self._is_cut():
            raise StoreUnavailableError("cut off")
        expected = stored_revision(version)
        luck = self._rng.random()
        if luck < LATE_SHARE:
            self._store.late_writes.append((expected, record))
            raise StoreUnavailableError("late")
        revision = self._store.write(expected, record)
        if luck < LATE_SHARE + LOST_SHARE:
            raise StoreUnavailableError("answer lost")
        self.newest_era.observe(StoreEra(self._store.era))
        if revision is None:
            raise ConflictError("another revision")
        if self._store.era != era:
            raise StoreUnavailableError("restored")
        return version_in(era, revision)


class Fleet:
    """Nodes that compete for the lease, each with its own view of the store."""

    def __init__(self, seed, is_fenced):
        self.rng, self.clock, self.store = random.Random(seed), Clock(), Store()
        self._is_fenced = is_fenced
        self._cut_until_s = dict.fromkeys(NODES, 0.0)
        self._starts = dict.fromkeys(NODES, 0)
        self._lease_by_node, self._next_s = {}, {}
        for node in NODES:
            self.restart(node, self.rng.random())

    def restart(self, node, after_s):
        """Start a new process of a node."""
        self._starts[node] += 1
        records = Records(
            self.store, self.rng, lambda: self.clock() < self._cut_until_s[node]
        )
        self._lease_by_node[node] = LeaderLease(
            records,
            KEY,
            NodeId(node),
            Incarnation(f"{node}{self._starts[node]}"),
            0.0 if self._is_fenced else HANDOVER_S,
            self._is_fenced,
            records.newest_era,
            lambda: NO_TERM,
            lambda: True,
            RecordedLog(),
            self.clock,
        )
        self._next_s[node] = self.clock() + after_s

    def step(self):
        """Let one short time pass, with at most one fault."""
        self.clock.advance(STEP_S)
        self._inject()
        for node, lease in self._lease_by_node.items():
            if self.clock() >= self._next_s[node]:
                self._next_s[node] = self.clock() + RENEWAL_PERIOD_S
                _renew(lease, self.clock)

    def terms_by_node(self):
        """Return the terms of the nodes that may act."""
        terms = {node: lease.term for node, lease in self._lease_by_node.items()}
        return {node: term for node, term in terms.items() if term != NO_TERM}

    def _inject(self):
        faults, weights = list(STEP_SHARES), list(STEP_SHARES.values())
        none = 1.0 - sum(weights)
        node = self.rng.choice(NODES)
        match self.rng.choices([*faults, None], [*weights, none])[0]:
            case "copy":
                self.store.copy()
            case "restore":
                self.store.restore(self.rng)
            case "restart":
                self.restart(node, 0.3)
            case "cut":
                cut_s = self.rng.random() * MAX_CUT_S
                self._cut_until_s[node] = self.clock() + cut_s
            case "resign":
                self._lease_by_node[node].resign()
                self.restart(node, 1.0)
            case "late_write" if self.store.late_writes:
                late = self.rng.randrange(len(self.store.late_writes))
                self.store.write(*self.store.late_writes.pop(late))


def _renew(lease, clock):
    try:
        lease.renew_or_acquire()
    except ConflictError:
        lease._observed = None
    except StoreUnavailableError:
        lease._observed = None
        lease._last_unanswered_s = clock()


# Guards against ONE: leaders with one term, or two that act where no fence is checked.
class TestLeaderLeaseUnderFaults:
    """Cuts, restarts, late and unanswered writes, and restores of the store."""

    @pytest.mark.parametrize("is_fenced", [True, False])
    def test_no_term_is_shared_and_none_overlaps_without_fences(self, is_fenced):
        """Each term belongs to one node; unfenced leaders act one after the other."""
        leading_steps = 0
        for seed in SEEDS:
            fleet, node_by_term, highest = Fleet(seed, is_fenced), {}, NO_TERM
            for _ in range(STEPS):
                fleet.step()
                terms_by_node = fleet.terms_by_node()
                leading_steps += bool(terms_by_node)
                for node, term in terms_by_node.items():
                    assert node_by_term.setdefault(term, node) == node, f"seed {seed}"
                if not is_fenced and terms_by_node:
                    assert len(terms_by_node) == 1, f"seed {seed}"
                    (term,) = terms_by_node.values()
                    assert term >= highest, f"seed {seed}"
                    highest = term
        # A fleet in which nobody ever leads would hold both promises.
        assert leading_steps > len(SEEDS)
