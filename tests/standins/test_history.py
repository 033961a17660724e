"""Tests of the history checker on valid and invalid histories."""

import pytest

from camphoryard.state.verdict import Verdict
from standins.engine import expected_answer
from standins.history import (
    ActionSend,
    CompletionSend,
    Run,
    ViolationKind,
    check_actions,
    check_completions,
)


def send(verdict, sent_s=1.0, status=200, answer="ok"):
    """Return a send of the only action in these histories."""
    return ActionSend("a", "k", sent_s, verdict, status, answer)


def kinds(violations):
    """Return the kinds of violations, in order."""
    return [item.kind for item in violations]


class TestCheckActions:
    """Actions, which may run at most once."""

    @pytest.mark.parametrize(
        ("sends", "runs"),
        [
            ([send(Verdict.RAN)], [Run("a", 2.0)]),
            ([send(Verdict.NOT_RUN)], []),
            ([send(Verdict.MAY_HAVE_RUN)], []),
            ([send(None)], [Run("a", 2.0)]),
            ([send(Verdict.NOT_RUN), send(Verdict.RAN, 1.5)], [Run("a", 2.0)]),
            ([send(Verdict.MAY_HAVE_RUN), send(Verdict.NOT_RUN)], [Run("a", 2.0)]),
        ],
    )
    def test_consistent_histories_pass(self, sends, runs):
        """Answers that agree with the logs are no violation."""
        assert check_actions(sends, runs) == ()

    @pytest.mark.parametrize(
        ("sends", "runs", "kind"),
        [
            ([send(Verdict.NOT_RUN)], [Run("a", 2.0)], ViolationKind.NOT_RUN_BUT_RAN),
            ([send(Verdict.RAN)], [], ViolationKind.RAN_BUT_NO_RUN),
            (
                [send(Verdict.NOT_RUN), send(Verdict.RAN, 3.0)],
                [Run("a", 2.0)],
                ViolationKind.NOT_RUN_BUT_RAN,
            ),
            (
                [send(Verdict.RAN)],
                [Run("a", 2.0), Run("a", 3.0)],
                ViolationKind.RAN_TWICE,
            ),
            ([], [Run("a", 2.0)], ViolationKind.RAN_BEFORE_SENT),
            (
                [send(Verdict.RAN), send(Verdict.RAN, answer="other")],
                [Run("a", 2.0)],
                ViolationKind.ANSWERS_DIFFER,
            ),
        ],
    )
    def test_violations_are_reported(self, sends, runs, kind):
        """Each kind of violation is reported, and no other."""
        assert kinds(check_actions(sends, runs)) == [kind]


class TestCheckCompletions:
    """Completions, which may run more than once."""

    def test_resumed_completion_passes(self):
        """A complete answer that was resumed is no violation."""
        sends = [CompletionSend("p", 4, 1.0, Verdict.RAN, expected_answer("p", 4))]
        assert check_completions(sends, [Run("p", 2.0), Run("p", 3.0)]) == ()

    @pytest.mark.parametrize(
        "text", ["", expected_answer("p", 3), expected_answer("q", 4)]
    )
    def test_incomplete_answer_is_reported(self, text):
        """An answer that is truncated or belongs to another prompt is reported."""
        sends = [CompletionSend("p", 4, 1.0, Verdict.RAN, text)]
        assert kinds(check_completions(sends, [])) == [ViolationKind.NOT_WHOLE]

    def test_run_after_not_run_is_reported(self):
        """A run on any engine contradicts the verdict "not run"."""
        sends = [CompletionSend("p", 4, 1.0, Verdict.NOT_RUN)]
        found = check_completions(sends, [Run("p", 2.0)])
        assert kinds(found) == [ViolationKind.NOT_RUN_BUT_RAN]
