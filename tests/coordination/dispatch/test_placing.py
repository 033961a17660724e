"""Tests of the choice among engines with room."""

import pytest

from camphoryard.coordination.dispatch.engine_ledger import Outlook
from camphoryard.coordination.dispatch.order import Waiting
from camphoryard.coordination.dispatch.placing import (
    Candidate,
    RoomPolicy,
    choose_room,
)
from tests.fakes.dispatching import make_request

NOW_S = 1000.0
GAP_S = 0.3


def seen(name, first_event_s=0.1, pause_s=0.1, load=0.5, **fields):
    """Return an endpoint as a request sees it."""
    has_place = fields.get("has_place", True)
    outlook = Outlook(name, first_event_s, pause_s, has_place, 100, load)
    return Candidate(outlook, fields.get("is_near", True), fields.get("line_s", 0.1))


def choose(*candidates, waited_s=0.0, due_in_s=1.0, leaves_in_s=2.0, **fields):
    """Return the name of the endpoint that a request goes to, or None."""
    request = make_request(longest_gap_s=GAP_S, **fields)
    waiting = Waiting(request, NOW_S - waited_s, NOW_S + due_in_s, NOW_S + leaves_in_s)
    chosen = choose_room(waiting, candidates, NOW_S, RoomPolicy())
    return chosen and chosen.outlook.endpoint


class TestChooseRoom:
    """Where a request goes."""

    def test_three_speeds(self):
        """The fast engine with a line costs less than the slow one without."""
        slow, fast = seen("slow", 0.3, load=0.1), seen("fast", 0.15, load=0.5)
        assert choose(slow, fast) == "fast"

    def test_zones_break_ties(self):
        """An endpoint in the request's zone goes before an equal one."""
        assert choose(seen("far", is_near=False), seen("near")) == "near"
        assert choose(seen("far", is_near=False), seen("near", 0.2)) == "far"

    def test_prompts_that_arrive_together_wait(self):
        """None is sent where running streams would pause for too long."""
        assert choose(seen("e", pause_s=0.29)) is None
        assert choose(seen("full", has_place=False)) is None
        assert choose(seen("e", pause_s=0.29), seen("other", pause_s=0.1)) == "other"

    def test_an_idle_engine_has_room(self):
        """No stream runs there that could pause."""
        assert choose(seen("e", pause_s=0.5, load=0.0)) == "e"
        assert choose(seen("e", load=0.0, has_place=False)) == "e"

    @pytest.mark.parametrize(
        ("pause_s", "fields"),
        [
            (0.23, {"due_in_s": 0.15}),
            (0.5, {"has_begun": True}),
            (0.23, {"due_in_s": -1.0, "leaves_in_s": 0.2}),
        ],
        ids=["almost late", "begun answer", "client about to leave"],
    )
    def test_a_wait_that_would_lose_more(self, pause_s, fields):
        """A request goes though streams pause a little, or its client would leave."""
        assert choose(seen("e", pause_s=pause_s)) is None
        assert choose(seen("e", pause_s=pause_s), **fields) == "e"

    @pytest.mark.parametrize(
        "fields", [{"due_in_s": 0.15}, {"due_in_s": -1.0, "leaves_in_s": 0.2}]
    )
    def test_one_answer_does_not_make_all_others_late(self, fields):
        """However little time the request has left."""
        assert choose(seen("e", pause_s=0.29), **fields) is None

    def test_a_prompt_longer_than_the_gap(self):
        """After a short wait it goes where nothing else is read."""
        reading, other = seen("reading", pause_s=0.6), seen("e", pause_s=0.5, line_s=0)
        assert choose(reading, other) is None
        assert choose(reading, other, waited_s=2 * GAP_S) == "e"
        assert choose(reading, waited_s=2 * GAP_S) is None
