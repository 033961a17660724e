"""Tests of the choice of what leaves an endpoint's memory."""

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


def occupant(name, memory_mb=10, last_used_s=0.0, **states):
    """Return a configured, idle occupant without another copy."""
    known = {"is_configured": True, "is_in_use": False, "is_elsewhere": False}
    return EvictionCandidate(
        ItemId(name), memory_mb, last_used_s=last_used_s, **known | states
    )


def names(victims):
    """Return the items of the victims."""
    return {victim.item for victim in victims}


class TestChooseVictims:
    """Who goes first."""

    def test_unconfigured_goes_first(self):
        """An item that was taken out of the configuration is in nobody's way."""
        others = [occupant("a"), occupant("b", is_configured=False)]
        assert names(choose_victims(LRU, others, 10)) == {"b"}

    def test_idle_goes_before_used(self):
        """An item used of late stays while an idle one makes enough room."""
        others = [occupant("a", is_in_use=True), occupant("b")]
        assert names(choose_victims(LRU, others, 10)) == {"b"}

    def test_second_copy_goes_before_last(self):
        """A last copy stays while another item has a copy elsewhere."""
        others = [occupant("a"), occupant("b", is_elsewhere=True, last_used_s=9)]
        assert names(choose_victims(LRU, others, 10)) == {"b"}

    def test_least_recently_used_goes_first(self):
        """Among equals the one unused for longest goes."""
        others = [occupant("a", last_used_s=2), occupant("b", last_used_s=1)]
        assert names(choose_victims(LRU, others, 10)) == {"b"}

    def test_least_demand_goes_first(self):
        """By demand, what serves least goes, however lately it was used."""
        others = [occupant("a", served_slots=2.0), occupant("b", last_used_s=9)]
        assert names(choose_victims(LeastDemand(), others, 10)) == {"b"}
        assert names(choose_victims(LRU, others, 10)) == {"a"}

    def test_nobody_goes_in_vain(self):
        """If all together free too little, all stay."""
        assert choose_victims(LRU, [occupant("a"), occupant("b")], 21) == ()

    @given(
        st.lists(st.integers(1, 20), min_size=1, max_size=8),
        st.integers(1, 60),
    )
    def test_enough_and_no_more(self, sizes, needed_mb):
        """The victims free enough, and not one of them could have stayed."""
        others = [
            occupant(str(index), size, last_used_s=index)
            for index, size in enumerate(sizes)
        ]
        freed_mb = [item.memory_mb for item in choose_victims(LRU, others, needed_mb)]
        if sum(sizes) < needed_mb:
            assert freed_mb == []
        else:
            assert sum(freed_mb) >= needed_mb
            assert sum(freed_mb) - min(freed_mb) < needed_mb
