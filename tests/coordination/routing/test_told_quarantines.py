"""Tests of which quarantines nodes tell each other and adopt."""

from camphoryard.coordination.routing.told_quarantines import (
    MAX_TOLD_REQUESTS,
    MIN_ADOPTED_S,
    choose_adopted,
    choose_told,
)


class TestChooseTold:
    """Quarantines in one digest."""

    def test_those_in_force_are_told(self):
        """One that has ended is not."""
        assert choose_told({"f": 1.0, "ended": 0.0}) == {"f": 1.0}

    def test_their_number_is_bounded(self):
        """A digest stays small, whatever crashes endpoints."""
        left_s_by_request = {f"f{number}": 9.0 for number in range(100)}
        told = choose_told(left_s_by_request)
        assert len(told) == MAX_TOLD_REQUESTS
        assert told.items() <= left_s_by_request.items()


class TestChooseAdopted:
    """Quarantines of a peer."""

    def test_one_that_is_about_to_end_is_not_adopted(self):
        """Nodes would prolong it for each other."""
        told = {"f": MIN_ADOPTED_S, "ending": MIN_ADOPTED_S - 0.1}
        assert choose_adopted(told, 600.0) == {"f": MIN_ADOPTED_S}

    def test_none_is_longer_than_a_quarantine_of_this_node(self):
        """A peer of another version may have longer ones."""
        assert choose_adopted({"f": 1e9}, 600.0) == {"f": 600.0}
