"""Tests of the quarantine of parts of prompts that crash endpoints."""

import pytest

from camphoryard.coordination.messages import CrashReport
from camphoryard.coordination.routing.crash_counter import QUARANTINE_S
from camphoryard.coordination.routing.crashed_parts import (
    MIN_OTHER_ANSWERS,
    CrashedParts,
    crashing_parts,
)
from camphoryard.state.dispatch import PromptPart
from tests.fakes.engines import Clock, RecordedLog


class Parts:
    """The parts known to one node, and its clock."""

    def __init__(self):
        self.clock, self.log = Clock(), RecordedLog()
        self.parts = CrashedParts(self.log, self.clock)
        self._requests = 0

    def crash(
        self,
        endpoint,
        *parts,
        request=None,
        has_begun=True,
        answered=(),
        started_ms=1,
    ):
        """Report a request with these parts at an endpoint that crashed.

        No two requests are alike, unless ``request`` names one.
        """
        self._requests += 1
        self.parts.observe(
            CrashReport(
                request or f"request-{self._requests}",
                endpoint,
                early=True,
                on_trial=False,
                started_ms=started_ms,
                has_begun=has_begun,
                parts=parts,
                answered_parts=answered,
            )
        )

    def quarantined(self, *parts):
        """Return those of the parts that are quarantined."""
        return [part for part in parts if self.parts.find([part])]

    def refuses(self, *suspects):
        """Return whether a request with these parts, or this one, is refused."""
        return self.parts.find(suspects) is not None


@pytest.fixture
def node():
    """Return the parts known to one node."""
    return Parts()


class TestQuarantine:
    """Which part is quarantined."""

    def test_one_crash_quarantines_nothing(self, node):
        """The endpoint may have crashed for any reason."""
        node.crash("e1", "system", "deadly")
        assert node.quarantined("system", "deadly") == []

    def test_second_crash_quarantines_the_part_that_was_never_answered(self, node):
        """A part that sound requests share is answered all the time."""
        node.parts.record_answered(["system"])
        node.crash("e1", "system", "deadly", "a")
        node.crash("e2", "system", "deadly", "b")
        assert node.quarantined("system", "deadly", "a", "b") == ["deadly"]

    def test_of_several_parts_only_all_together_are_refused(self, node):
        """Each of them but one may be sound, and shared by many requests."""
        node.crash("e1", "system", "caller", "deadly")
        node.crash("e2", "system", "caller", "deadly")
        assert node.refuses("system", "caller", "deadly")
        assert node.refuses("system", "caller", "deadly", "topic")
        assert not node.refuses("system", "caller")
        assert not node.refuses("system", "deadly")
        assert node.quarantined("system", "caller", "deadly") == []

    # Guards against LOST: a new sound part was quarantined in place of the deadly one.
    @pytest.mark.parametrize("parts", [("deadly", "new"), ("new", "deadly")])
    def test_answer_to_a_part_leaves_the_others_quarantined(self, node, parts):
        """Wherever in the prompt the deadly one stands."""
        node.crash("e1", *parts)
        node.crash("e2", *parts)
        assert not node.refuses("new", "topic")
        node.parts.record_answered(["new", "topic"])
        assert node.quarantined("deadly", "new") == ["deadly"]
        assert node.log.lines == [
            ("part_quarantined", {"part": "deadly,new", "crashes": 2, "aborted": 0}),
            ("part_quarantined", {"part": "deadly", "crashes": 2, "aborted": 0}),
            ("part_released", {"part": "new"}),
        ]

    @pytest.mark.parametrize("parts", [("deadly", "new"), ("new", "deadly")])
    def test_crash_without_a_part_leaves_the_others_quarantined(self, node, parts):
        """Requests with the deadly part need not have the new one."""
        node.crash("e1", *parts)
        node.crash("e2", *parts)
        node.crash("e3", "deadly", "other")
        assert node.quarantined("deadly", "new", "other") == ["deadly"]

    def test_parts_of_one_request_are_refused_in_it_alone(self, node):
        """It may be the request that crashes endpoints, and it is sent twice."""
        node.crash("e1", "new", request="own")
        node.crash("e2", "new", request="own")
        assert node.refuses("new", "own")
        assert not node.refuses("new", "another")
        node.crash("e3", "new", request="another")
        assert node.quarantined("new") == ["new"]

    def test_sound_request_beside_the_deadly_one_is_not_refused(self, node):
        """Both are sent again after the first crash, and meet again."""
        for endpoint in ("e1", "e2"):
            node.crash(endpoint, "deadly", request="cause")
            node.crash(endpoint, "new", request="beside")
        assert not node.refuses("new", "beside")
        assert not node.refuses("new", "another")
        node.crash("e3", "deadly", request="next")
        assert node.quarantined("deadly", "new") == ["deadly"]

    def test_two_deadly_parts_are_both_found(self, node):
        """Each explains crashes that the other one does not."""
        for number in range(3):
            node.crash(f"a{number}", "one", f"x{number}")
            node.crash(f"b{number}", "two", f"y{number}")
        assert node.quarantined("one", "two") == ["one", "two"]

    def test_part_in_front_is_quarantined_if_later_ones_differ(self, node):
        """The deadly part may be any one but the last."""
        node.crash("e1", "deadly", "a")
        node.crash("e2", "deadly", "b")
        assert node.quarantined("deadly", "a", "b") == ["deadly"]

    def test_requests_that_waited_beside_the_crash_are_not_suspected(self, node):
        """Their answers had not begun, and that of another one had."""
        for endpoint, own in (("e1", "a"), ("e2", "b")):
            node.crash(endpoint, "system", "topic", has_begun=False)
            node.crash(endpoint, "system", "deadly", own)
        assert node.refuses("system", "deadly", "c")
        assert not node.refuses("system", "topic")
        node.parts.record_answered(["system"])
        assert node.quarantined("system", "topic", "deadly") == ["deadly"]

    def test_explained_crashes_count_against_no_other_part(self, node):
        """Sound parts fall with the deadly one again and again."""
        for number in range(6):
            node.clock.advance(1.0)
            node.crash(f"e{number}", "system", "caller", "deadly")
        assert node.refuses("system", "caller", "deadly")
        assert not node.refuses("system", "caller")
        node.parts.record_answered(["system", "caller"])
        assert node.quarantined("system", "caller", "deadly") == ["deadly"]

    def test_same_crash_told_by_several_nodes_counts_once(self, node):
        """Each node reports its own requests."""
        for _ in range(5):
            node.crash("e1", "deadly")
        assert node.quarantined("deadly") == []

    def test_restart_under_the_same_id_counts_again(self, node):
        """An endpoint may crash, start under its id and crash again."""
        node.crash("e1", "deadly")
        node.crash("e1", "deadly", started_ms=2)
        assert node.quarantined("deadly") == ["deadly"]

    def test_rack_that_crashes_quarantines_no_answered_part(self, node):
        """Many requests with the same first part are at each of its endpoints."""
        node.parts.record_answered(["system"])
        for number in range(8):
            node.crash(f"e{number}", "system")
            node.crash(f"e{number}", "system", has_begun=False)
        assert node.quarantined("system") == []

    def test_part_answered_at_the_reporting_node_counts_as_answered(self, node):
        """A node that has just started has seen no answers itself."""
        node.crash("e1", "system", answered=["system"])
        node.crash("e2", "system", answered=["system"])
        assert node.quarantined("system") == []

    def test_answered_part_is_quarantined_by_crashes_without_an_answer_between(
        self, node
    ):
        """A part may begin to crash endpoints."""
        node.parts.record_answered(["turned"])
        node.clock.advance(1.0)
        for number in range(3):
            for _ in range(MIN_OTHER_ANSWERS):
                node.parts.record_answered(["other"])
            node.clock.advance(1.0)
            node.crash(f"e{number}", "turned")
        assert node.quarantined("turned") == ["turned"]

    # Guards against LOST: after the crash of every endpoint, all requests were refused.
    @pytest.mark.parametrize("has_begun", [True, False])
    def test_outage_of_all_endpoints_quarantines_no_answered_part(
        self, node, has_begun
    ):
        """Nothing at all is answered meanwhile."""
        node.parts.record_answered(["system"])
        for number in range(8):
            node.clock.advance(1.0)
            node.crash(f"e{number}", "system", has_begun=has_begun)
        assert node.quarantined("system") == []

    def test_part_whose_answers_never_show_a_head_is_quarantined(self, node):
        """The end of the endpoint may take the head of the answer with it."""
        for number in range(3):
            node.clock.advance(1.0)
            node.crash(f"e{number}", "deadly", has_begun=False)
            for _ in range(MIN_OTHER_ANSWERS):
                node.parts.record_answered(["other"])
        node.crash("e3", "deadly", has_begun=False)
        assert node.quarantined("deadly", "other") == ["deadly"]

    def test_answer_between_crashes_clears_a_part(self, node):
        """What is answered crashes no endpoint."""
        node.crash("e1", "system")
        node.clock.advance(1.0)
        node.parts.record_answered(["system"])
        node.clock.advance(1.0)
        node.crash("e2", "system")
        assert node.quarantined("system") == []

    def test_quarantine_ends_after_an_answer_or_its_time(self, node):
        """A request that was sent before the quarantine may be answered."""
        for part in ("a", "b"):
            node.crash("e1" + part, part)
            node.crash("e2" + part, part)
        assert node.quarantined("a", "b") == ["a", "b"]
        node.parts.record_answered(["a"])
        assert node.quarantined("a", "b") == ["b"]
        node.clock.advance(QUARANTINE_S)
        assert node.quarantined("a", "b") == []

    def test_decisions_are_logged(self, node):
        """The line names the part and counts its crashes."""
        node.crash("e1", "deadly")
        node.crash("e2", "deadly")
        node.parts.record_answered(["deadly"])
        assert node.log.lines == [
            ("part_quarantined", {"part": "deadly", "crashes": 2, "aborted": 0}),
            ("part_released", {"part": "deadly"}),
        ]


class TestPeers:
    """Quarantines that peers tell of."""

    def test_part_of_a_peer_is_quarantined_for_its_remaining_time(self, node):
        """Passing it on between nodes does not prolong it."""
        deadly = frozenset({"deadly"})
        node.parts.adopt({deadly: 5.0})
        node.clock.advance(2.0)
        assert node.parts.quarantine_s_by_parts() == {deadly: 3.0}
        node.parts.adopt({deadly: 4.0})
        assert node.parts.quarantine_s_by_parts() == {deadly: 3.0}
        node.clock.advance(3.0)
        assert node.quarantined("deadly") == []

    def test_part_answered_here_is_not_quarantined(self, node):
        """The peer has not seen the answer."""
        node.parts.record_answered(["sound"])
        node.parts.adopt({frozenset({"sound"}): 5.0})
        assert node.quarantined("sound") == []

    def test_parts_that_cannot_be_told_apart_are_told_together(self, node):
        """A node that starts refuses no more than its peers do."""
        node.crash("e1", "deadly", "new")
        node.crash("e2", "deadly", "new")
        started = Parts()
        started.parts.adopt(node.parts.quarantine_s_by_parts())
        assert started.refuses("deadly", "new")
        assert not started.refuses("new")
        started.parts.record_answered(["new"])
        assert started.quarantined("deadly", "new") == ["deadly"]

    def test_request_that_is_refused_alone_is_not_told(self, node):
        """Peers have the same reports of it."""
        node.crash("e1", "new", request="own")
        node.crash("e2", "new", request="own")
        assert node.parts.quarantine_s_by_parts() == {}


class TestWaitingRequests:
    """Requests at other endpoints when a part is quarantined."""

    def test_requests_with_the_part_are_aborted(self, node):
        """They would crash their endpoints next."""
        aborted = []
        with (
            node.parts.abort_if_quarantined(["s", "deadly"], lambda: aborted.append(1)),
            node.parts.abort_if_quarantined(["s", "sound"], lambda: aborted.append(2)),
        ):
            node.crash("e1", "s", "deadly")
            node.crash("e2", "s", "deadly")
        assert aborted == [1]

    def test_request_that_has_ended_is_not_aborted(self, node):
        """Its connection may carry another request."""
        aborted = []
        with node.parts.abort_if_quarantined(["deadly"], lambda: aborted.append(1)):
            pass
        node.crash("e1", "deadly")
        node.crash("e2", "deadly")
        assert aborted == []


class TestCrashingParts:
    """Parts that are considered."""

    def test_last_part_belongs_to_the_request_alone(self):
        """A request with one part has no part that others share."""
        parts = tuple(PromptPart(id, 1) for id in ("a", "b", "c"))
        assert crashing_parts(parts) == ("a", "b")
        assert crashing_parts(parts[:1]) == ()
