"""Compares policies on scripted demand: ``make bench SCENARIO=... SEEDS=...``."""

import time
from typing import Annotated

import typer

from bench.policies import CHOSEN, POLICY_BY_NAME
from bench.report import FOLDER, attainment_percent, plot, table, verdict
from bench.run import RunResult, run_once
from bench.scenario import Scenario, read_scenario, scenario_names

ALL = "all"


def main(
    scenario: Annotated[
        str, typer.Option(help=f"One of {', '.join(scenario_names())}, or all.")
    ] = ALL,
    seeds: Annotated[str, typer.Option(help="Seeds, separated by commas.")] = "1,2,3",
    policies: Annotated[
        str, typer.Option(help="Policies to compare, separated by commas.")
    ] = ",".join(POLICY_BY_NAME),
    save: Annotated[
        bool, typer.Option(help="Write the table and the plot to files.")
    ] = True,
) -> None:
    """Run scenarios under each policy with the same seeds, and compare them."""
    names = scenario_names() if scenario == ALL else [scenario]
    for name in names:
        compare(
            read_scenario(name),
            [int(seed) for seed in seeds.split(",")],
            policies.split(","),
            save,
        )


def compare(
    scenario: Scenario, seeds: list[int], policies: list[str], save: bool
) -> None:
    """Run one scenario and print the comparison."""
    print(f"\n{scenario.name}: {scenario.about}", flush=True)
    runs_by_policy: dict[str, list[RunResult]] = {name: [] for name in policies}
    for seed in seeds:
        for policy in policies:
            runs_by_policy[policy].append(_run(scenario, policy, seed))
    text = table(scenario, runs_by_policy) + "\n" + verdict(CHOSEN, runs_by_policy)
    print("\n" + text, flush=True)
    if save:
        plot(scenario, runs_by_policy)
        seeds_text = ",".join(map(str, seeds))
        head = f"`make bench SCENARIO={scenario.name} SEEDS={seeds_text}`\n\n"
        (FOLDER / f"{scenario.name}.md").write_text(head + text)


def _run(scenario: Scenario, policy: str, seed: int) -> RunResult:
    started_s = time.monotonic()
    result = run_once(scenario, POLICY_BY_NAME[policy], seed)
    print(
        f"  seed {seed} {policy:<20} {len(result.answers)} requests,"
        f" {attainment_percent(result.answers):.1f}% before the deadline,"
        f" {result.loads} loads,"
        f" {result.unloads} unloads, {time.monotonic() - started_s:.0f} s",
        flush=True,
    )
    return result


if __name__ == "__main__":
    typer.run(main)
