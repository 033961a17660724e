"""The initial placement of all runs, which does not depend on the policy."""

from collections.abc import Mapping

from bench.scenario import Scenario, adapters_of, memory_mb, model_name


def initial_residents(scenario: Scenario) -> list[Mapping[str, int]]:
    """Return the memory, in MB, of each loaded item, for each engine.

    Each model is placed, in catalogue order and with its adapters, on the engine with
    the most free memory. Second copies of models follow as far as they fit. This is the
    placement of an operator who knows the catalogue, but not the demand of the day.
    """
    residents: list[dict[str, int]] = [{} for _ in range(scenario.engines)]
    for with_adapters in (True, False):
        for number in range(scenario.catalogue.models):
            _place(scenario, residents, number, with_adapters)
    return list(residents)


def _place(
    scenario: Scenario,
    residents: list[dict[str, int]],
    number: int,
    with_adapters: bool,
) -> None:
    catalogue = scenario.catalogue
    name = model_name(number)
    items = {name: memory_mb(catalogue, number)}
    if with_adapters:
        for adapter in adapters_of(catalogue, number):
            items[f"{name}:{adapter}"] = catalogue.adapter_memory_mb
    free_mb = [
        -1
        if name in resident_mb_by_item
        else scenario.engine_memory_mb - sum(resident_mb_by_item.values())
        for resident_mb_by_item in residents
    ]
    largest_mb = max(free_mb)
    if largest_mb >= sum(items.values()):
        residents[free_mb.index(largest_mb)].update(items)
