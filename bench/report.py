"""Results of runs as a table and a plot."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path
from statistics import mean

import matplotlib

from bench.relay import percentiles_ms
from bench.run import Answer, RunResult
from bench.scenario import Scenario

matplotlib.use("Agg")

from matplotlib import pyplot

FOLDER = Path(__file__).parent / "results"
URGENT_CALLER = "meter-app"
DEFERRABLE_CALLER = "overnight"
PERCENT = 100
BIN_S = 1.0

RunsByPolicy = Mapping[str, Sequence[RunResult]]


@dataclass(frozen=True, slots=True)
class Spread:
    """Mean, minimum and maximum over seeds."""

    mean: float
    minimum: float
    maximum: float

    def __str__(self) -> str:
        return f"{self.mean:.1f} ({self.minimum:.1f}-{self.maximum:.1f})"


def spread(values: Sequence[float]) -> Spread:
    """Return mean, minimum and maximum of ``values``, which must not be empty."""
    return Spread(mean(values), min(values), max(values))


def attainment_percent(answers: Sequence[Answer]) -> float:
    """Return the percentage of requests answered completely before the deadline."""
    if not answers:
        return 100.0
    return PERCENT * sum(answer.met_deadline for answer in answers) / len(answers)


def _of_caller(answers: Sequence[Answer], caller: str) -> list[Answer]:
    return [answer for answer in answers if answer.caller == caller]


def _per_engine(run: RunResult) -> float:
    return attainment_percent(run.answers) / run.engines


def _deferrable_done_percent(run: RunResult) -> float:
    answers = _of_caller(run.answers, DEFERRABLE_CALLER)
    if not answers:
        return 100.0
    return PERCENT * sum(answer.is_complete for answer in answers) / len(answers)


def _moves(run: RunResult) -> int:
    return run.loads + run.unloads


def _first_token_ms(runs: Sequence[RunResult]) -> str:
    first_tokens_s = [
        answer.token_times_s[0]
        for run in runs
        for answer in run.answers
        if answer.token_times_s
    ]
    return " / ".join(f"{value:.0f}" for value in percentiles_ms(first_tokens_s))


def _between_tokens_ms(runs: Sequence[RunResult]) -> str:
    gaps_s = [
        later - earlier
        for run in runs
        for answer in run.answers
        for earlier, later in pairwise(answer.token_times_s)
    ]
    return " / ".join(f"{value:.0f}" for value in percentiles_ms(gaps_s))


def _refusals(runs: Sequence[RunResult]) -> str:
    reasons = Counter(
        answer.refusal for run in runs for answer in run.answers if answer.refusal
    )
    return (
        ", ".join(f"{name} {count}" for name, count in sorted(reasons.items())) or "0"
    )


def _violations(runs: Sequence[RunResult]) -> str:
    counts = [
        sum(run.violations.overcommits for run in runs),
        sum(run.violations.doubled_bookings for run in runs),
        sum(run.violations.wrong_answers for run in runs),
    ]
    return " / ".join(map(str, counts))


def _bookings(runs: Sequence[RunResult]) -> str:
    done = sum(run.bookings_done for run in runs)
    return f"{done} of {sum(run.bookings_offered for run in runs)}"


def _column(runs: Sequence[RunResult]) -> Mapping[str, str]:
    """Return the cells of one policy, by row title."""
    return {
        "attainment per accelerator, %": str(
            spread([_per_engine(run) for run in runs])
        ),
        "attainment of all, %": str(
            spread([attainment_percent(run.answers) for run in runs])
        ),
        "attainment of urgent, %": str(
            spread(
                [
                    attainment_percent(_of_caller(run.answers, URGENT_CALLER))
                    for run in runs
                ]
            )
        ),
        "moves": str(spread([_moves(run) for run in runs])),
        "loads": str(spread([run.loads for run in runs])),
        "unloads": str(spread([run.unloads for run in runs])),
        "deferrable finished, %": str(
            spread([_deferrable_done_percent(run) for run in runs])
        ),
        "first token p50 / p95 / p99, ms": _first_token_ms(runs),
        "between tokens p50 / p95 / p99, ms": _between_tokens_ms(runs),
        "not answered, by reason": _refusals(runs),
        "bookings done": _bookings(runs),
        "overcommits / doubled bookings / wrong answers": _violations(runs),
    }


def table(scenario: Scenario, runs_by_policy: RunsByPolicy) -> str:
    """Return the comparison as a Markdown table with one column per policy."""
    columns = {name: _column(runs) for name, runs in runs_by_policy.items()}
    names = list(columns)
    lines = [
        f"| {scenario.name} | " + " | ".join(names) + " |",
        "|---" * (len(names) + 1) + "|",
    ]
    for row in columns[names[0]]:
        cells = " | ".join(columns[name][row] for name in names)
        lines.append(f"| {row} | {cells} |")
    return "\n".join(lines) + "\n"


def verdict(chosen: str, runs_by_policy: RunsByPolicy) -> str:
    """Return one line that compares the chosen policy with the best baseline."""
    score_by_name = {
        name: mean(_per_engine(run) for run in runs)
        for name, runs in runs_by_policy.items()
    }
    moves_by_name = {
        name: mean(_moves(run) for run in runs) for name, runs in runs_by_policy.items()
    }
    baselines = [name for name in score_by_name if name != chosen]
    if chosen not in score_by_name or not baselines:
        return ""
    best_baseline = max(baselines, key=lambda name: score_by_name[name])
    ratio = score_by_name[chosen] / max(score_by_name[best_baseline], 1e-9)
    return (
        f"{chosen} has {ratio:.2f} times the attainment per accelerator of"
        f" {best_baseline}, with {moves_by_name[chosen]:.1f} moves against"
        f" {moves_by_name[best_baseline]:.1f}\n"
    )


def plot(scenario: Scenario, runs_by_policy: RunsByPolicy) -> Path:
    """Plot offered and attained rates over time, and attainment; return the file."""
    figure, (left, right) = pyplot.subplots(
        1, 2, figsize=(10, 3.6), width_ratios=[2, 1]
    )
    first = next(iter(runs_by_policy.values()))[0]
    seconds = range(int(scenario.duration_s / BIN_S))
    left.plot(seconds, _rate(first.answers, scenario), "k:", label="offered")
    for name, runs in runs_by_policy.items():
        answers_before_deadline = [
            answer for answer in runs[0].answers if answer.met_deadline
        ]
        left.plot(seconds, _rate(answers_before_deadline, scenario), label=name)
    left.set(xlabel="arrival, s", ylabel="requests/s", title=scenario.name)
    left.legend(fontsize="small")
    for position, (name, runs) in enumerate(runs_by_policy.items()):
        values = spread([attainment_percent(run.answers) for run in runs])
        error = [[values.mean - values.minimum], [values.maximum - values.mean]]
        right.bar(position, values.mean, yerr=error, capsize=4, label=name)
    right.set(ylabel="attainment, %", xticks=[], ylim=(0, 105))
    figure.tight_layout()
    FOLDER.mkdir(exist_ok=True)
    path = FOLDER / f"{scenario.name}.png"
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
    return path


def _rate(answers: Sequence[Answer], scenario: Scenario) -> list[float]:
    counts = Counter(int(answer.at_s / BIN_S) for answer in answers)
    return [counts[index] / BIN_S for index in range(int(scenario.duration_s / BIN_S))]
