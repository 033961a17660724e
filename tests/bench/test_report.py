"""Tests of what runs come to."""

from bench.report import attainment_percent, verdict
from bench.run import Answer, RunResult, Violations


def answer(met_deadline, is_complete=True, caller="meter-app"):
    """Return one answer."""
    return Answer(
        0.0, caller, met_deadline, is_complete, "" if is_complete else "deadline", []
    )


def run(on_time, late, engines=2, loads=0):
    """Return a run with so many answers in time and so many late."""
    answers = [answer(True)] * on_time + [answer(False)] * late
    return RunResult(engines, answers, 0, 0, loads, loads, Violations(0, 0, 0))


class TestAttainment:
    """The share of requests that meet their deadline."""

    def test_late_and_refused_answers_do_not_count(self):
        """Every request offered is in the divisor, refused ones too."""
        answers = [answer(True), answer(False), answer(False, is_complete=False)]
        assert attainment_percent([*answers, answer(True)]) == 50.0

    def test_nothing_offered_is_all_attained(self):
        """No request was turned away."""
        assert attainment_percent([]) == 100.0


class TestVerdict:
    """The chosen policy against the better baseline."""

    def test_is_measured_per_accelerator(self):
        """Twice the engines for the same share count half."""
        runs = {"chosen": [run(8, 2, engines=4)], "a": [run(4, 6)], "b": [run(1, 9)]}
        assert verdict("chosen", runs).startswith("chosen has 1.00 times")

    def test_names_the_better_baseline_and_both_moves(self):
        """Moves are loads and unloads."""
        runs = {"chosen": [run(9, 1, loads=3)], "a": [run(1, 9)], "b": [run(6, 4)]}
        line = verdict("chosen", runs)
        assert "1.50 times" in line
        assert "of b, with 6.0 moves against 0.0" in line
