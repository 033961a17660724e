"""Tests of the choice of items to evict from an endpoint."""

from hypothesis import given
from hypothesis import strategies as st

from camphoryard.coordination.residency.eviction import (
    EvictionCandidate,
    LeastDemand,
    LeastRecentlyUsed,
    choose_victims,
)
from camphoryard.state.ids import ItemId

LRU = LeastRecentlyUsed()


def candidate(name, memory_mb=10, last_used_s=0.0, **changes):
    """Return a configured, idle candidate without another copy."""
    defaults = {
        "is_configured": True,
        "is_recently_used": False,
        "has_other_copy": False,
    }
    return EvictionCandidate(
        ItemId(name), memory_mb, last_used_s=last_used_s, **defaults | changes
    )


def names(victims):
    """Return the items of the victims."""
    return {victim.item for victim in victims}


class TestChooseVictims:
    """Eviction order."""

    def test_unconfigured_is_evicted_first(self):
        """An item that is no longer configured is evicted before all others."""
        candidates = [candidate("a"), candidate("b", is_configured=False)]
        assert names(choose_victims(LRU, candidates, 10)) == {"b"}

    def test_idle_is_evicted_before_recently_used(self):
        """A recently used item stays while an idle one frees enough memory."""
        candidates = [candidate("a", is_recently_used=True), candidate("b")]
        assert names(choose_victims(LRU, candidates, 10)) == {"b"}

    def test_second_copy_is_evicted_before_only_copy(self):
        """The only copy of an item stays while another item has a second copy."""
        candidates = [
            candidate("a"),
            candidate("b", has_other_copy=True, last_used_s=9),
        ]
        assert names(choose_victims(LRU, candidates, 10)) == {"b"}

    def test_least_recently_used_is_evicted_first(self):
        """Among otherwise equal items the least recently used one is evicted."""
        candidates = [candidate("a", last_used_s=2), candidate("b", last_used_s=1)]
        assert names(choose_victims(LRU, candidates, 10)) == {"b"}

    def test_least_demand_is_evicted_first(self):
        """``LeastDemand`` evicts what serves least, however recently it was used."""
        candidates = [candidate("a", served_slots=2.0), candidate("b", last_used_s=9)]
        assert names(choose_victims(LeastDemand(), candidates, 10)) == {"b"}
        assert names(choose_victims(LRU, candidates, 10)) == {"a"}

    def test_no_eviction_if_too_little_is_freed(self):
        """If all candidates together free too little, none is evicted."""
        assert choose_victims(LRU, [candidate("a"), candidate("b")], 21) == ()

    @given(
        st.lists(st.integers(1, 20), min_size=1, max_size=8),
        st.integers(1, 60),
    )
    def test_victims_are_sufficient_and_necessary(self, sizes, needed_mb):
        """The victims free enough memory, and each of them is needed for that."""
        candidates = [
            candidate(str(index), size, last_used_s=index)
            for index, size in enumerate(sizes)
        ]
        freed_mb = [
            item.memory_mb for item in choose_victims(LRU, candidates, needed_mb)
        ]
        if sum(sizes) < needed_mb:
            assert freed_mb == []
        else:
            assert sum(freed_mb) >= needed_mb
            assert sum(freed_mb) - min(freed_mb) < needed_mb
