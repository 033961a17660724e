"""Tests of reporting the results of runs."""

from bench.report import attainment_percent, verdict
from bench.run import Answer, RunResult, Violations


def answer(met_deadline, is_complete=True, caller="meter-app"):
    """Return one answer."""
    return Answer(
        0.0, caller, met_deadline, is_complete, "" if is_complete else "deadline", []
    )


def run(on_time, late, engines=2, loads=0):
    """Return a run with ``on_time`` answers before the deadline and ``late`` after."""
    answers = [answer(True)] * on_time + [answer(False)] * late
    return RunResult(engines, answers, 0, 0, loads, loads, Violations(0, 0, 0))


class TestAttainment:
    """The percentage of requests that meet their deadline."""

    def test_late_and_refused_answers_do_not_count(self):
        """All offered requests are in the denominator, including refused ones."""
        answers = [answer(True), answer(False), answer(False, is_complete=False)]
        assert attainment_percent([*answers, answer(True)]) == 50.0

    def test_no_requests_give_full_attainment(self):
        """Without any request, none missed its deadline."""
        assert attainment_percent([]) == 100.0


class TestVerdict:
    """The chosen policy compared with the best baseline."""

    def test_attainment_is_per_accelerator(self):
        """The same attainment with twice the engines scores half."""
        runs = {"chosen": [run(8, 2, engines=4)], "a": [run(4, 6)], "b": [run(1, 9)]}
        assert verdict("chosen", runs).startswith("chosen has 1.00 times")

    def test_names_the_best_baseline_and_both_move_counts(self):
        """Moves are loads and unloads."""
        runs = {"chosen": [run(9, 1, loads=3)], "a": [run(1, 9)], "b": [run(6, 4)]}
        line = verdict("chosen", runs)
        assert "1.50 times" in line
        assert "of b, with 6.0 moves against 0.0" in line
