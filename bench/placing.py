"""The placement that every run starts from, whatever the policy."""

from collections.abc import Mapping

from bench.scenario import Scenario, memory_mb, model_name


def initial_residents(scenario: Scenario) -> list[Mapping[str, int]]:
    """Return the memory, in MB, of each item by engine.

    Models are dealt in the order of the catalogue to the engine with the most
    free memory, then second copies as far as they fit, as an operator would
    who knows the catalogue but not the day's demand.
    """
    residents: list[dict[str, int]] = [{} for _ in range(scenario.engines)]
    for _ in range(2):
        for number in range(scenario.catalogue.models):
            _place(scenario, residents, number)
    return list(residents)


def _place(scenario: Scenario, residents: list[dict[str, int]], number: int) -> None:
    name, needed_mb = model_name(number), memory_mb(scenario.catalogue, number)
    free_mb = [
        -1 if name in held else scenario.engine_memory_mb - sum(held.values())
        for held in residents
    ]
    most_mb = max(free_mb)
    if most_mb >= needed_mb:
        residents[free_mb.index(most_mb)][name] = needed_mb
