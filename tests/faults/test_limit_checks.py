"""Tests of the check of limits that replicas name."""

import pytest

from faults.entry_checks import STABLE_WINDOW_S, Attempt, Disturbance, SoakHistory
from faults.limit_checks import (
    LIMIT_EXTRA,
    LIMIT_FACTOR,
    LIMIT_WINDOW_S,
    find_limit_violations,
)

LIMIT_PER_S = 2.0
ALLOWED = int(LIMIT_FACTOR * LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_EXTRA)
TOLD_S = 10.0
LATE_S = TOLD_S + STABLE_WINDOW_S + LIMIT_WINDOW_S


class Sample:
    """A history of one replica."""

    def __init__(self, *disturbances):
        self.history = SoakHistory(
            lines_by_replica={"r1": []}, disturbances=list(disturbances)
        )

    def arrive(self, at_s, count=1, limit_per_s=LIMIT_PER_S, node="n1", seal="s.r1"):
        """Add requests that reach the replica, within a second if there are several."""
        lines = self.history.lines_by_replica["r1"]
        for number in range(count):
            id, sent_s = f"c{len(lines)}", at_s + number / count
            fields = {"id": id, "at_s": sent_s, "limit_per_s": limit_per_s}
            lines.append({"event": "arrived", **fields})
            answer = {"done_s": sent_s + 0.1, "headers": {"server-seal": seal}}
            self.history.attempts.append(
                Attempt(id, node, "/chat/1", sent_s, status=200, **answer)
            )
        return self

    @property
    def rules(self):
        """The rules that the history breaks."""
        return [text.partition(":")[0] for text in find_limit_violations(self.history)]


class TestLimits:
    """A replica that names a limit gets no more than it, but for a margin."""

    @pytest.mark.parametrize(
        ("count", "found"), [(ALLOWED, []), (ALLOWED + 1, ["LIMIT"])]
    )
    def test_requests_beyond_the_limit_are_found(self, count, found):
        """LIMIT, in any window of that length."""
        assert Sample().arrive(TOLD_S).arrive(LATE_S, count).rules == found

    def test_windows_before_the_stable_one_are_none(self):
        """The nodes have some time from the first answer that names a limit."""
        at_s = TOLD_S + STABLE_WINDOW_S - 1.1
        assert Sample().arrive(TOLD_S).arrive(at_s, ALLOWED + 1).rules == []

    def test_requests_of_nodes_that_were_not_told_are_none(self):
        """Their clients have got no answer of the replica, or only just now."""
        sample = Sample().arrive(TOLD_S).arrive(LATE_S, ALLOWED + 1, node="n2")
        assert sample.rules == []
        sample = Sample().arrive(TOLD_S, seal="s.r2")
        assert sample.arrive(LATE_S, ALLOWED + 1, seal="s.r2").rules == []

    def test_requests_of_all_nodes_count_together(self):
        """Two nodes that each keep the limit break it together."""
        sample = Sample().arrive(TOLD_S, node="n1").arrive(TOLD_S, node="n2")
        for node in ("n1", "n2"):
            sample.arrive(LATE_S, ALLOWED // 2 + 1, node=node)
        assert sample.rules == ["LIMIT"]

    @pytest.mark.parametrize(("target", "found"), [("n1", []), ("n2", ["LIMIT"])])
    def test_restart_excuses_a_node(self, target, found):
        """It has to be told again."""
        sample = Sample(Disturbance(target, LATE_S - 2.0, LATE_S - 1.0))
        assert sample.arrive(TOLD_S).arrive(LATE_S, ALLOWED + 1).rules == found

    @pytest.mark.parametrize("after_s", [1.0, LIMIT_WINDOW_S + 2.0])
    def test_lower_limit_binds_after_a_window(self, after_s):
        """The higher limit before counts while a window contains it."""
        sample = Sample().arrive(TOLD_S).arrive(LATE_S - after_s, limit_per_s=4.0)
        sample.arrive(LATE_S, ALLOWED + 1)
        assert sample.rules == ["LIMIT"] * (after_s > LIMIT_WINDOW_S)

    def test_replica_that_names_no_limit_any_more_is_free(self):
        """It takes any number until it names one again, and then for a short time."""
        sample = Sample().arrive(TOLD_S)
        sample.arrive(LATE_S, 10 * ALLOWED, limit_per_s=0.0)
        sample.arrive(LATE_S + 2.0, ALLOWED + 1)
        assert sample.rules == []
        assert sample.arrive(LATE_S + 10.0, ALLOWED + 1).rules == ["LIMIT"]

    def test_replica_that_never_names_one_is_free(self):
        """Its answers have no such header."""
        assert Sample().arrive(TOLD_S, 100, limit_per_s=0.0).rules == []
