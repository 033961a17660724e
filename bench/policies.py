"""The policies that a bench run compares, as daemon settings."""

import json
from collections.abc import Mapping
from dataclasses import dataclass

from bench.scenario import Scenario


@dataclass(frozen=True, slots=True)
class BenchPolicy:
    """Names of decision variants, as in ``[decisions]`` of a daemon's settings."""

    routing: str
    admission: str
    placement: str
    eviction: str
    weight_budget: str


POLICY_BY_NAME: Mapping[str, BenchPolicy] = {
    "chosen": BenchPolicy(
        "two_choices", "deadline_first", "demand", "least_demand", "paced"
    ),
    "round-robin-static": BenchPolicy(
        "round_robin", "unlimited", "static", "least_recently_used", "unpaced"
    ),
    "least-on-demand": BenchPolicy(
        "least_in_flight",
        "unlimited",
        "load_on_demand",
        "least_recently_used",
        "unpaced",
    ),
}
CHOSEN = "chosen"


def node_settings(policy: BenchPolicy, scenario: Scenario) -> str:
    """Return the ``[decisions]`` table of a node's settings as TOML."""
    values = {
        "routing": policy.routing,
        "admission": policy.admission,
        "placement": policy.placement,
        "eviction": policy.eviction,
        "weight_budget": policy.weight_budget,
        "engine_slots": scenario.engine_slots,
        "weight_loads_per_s": scenario.weight_store.loads_per_s,
        "weight_loads_at_once": scenario.weight_store.at_once,
    }
    lines = [f"{name} = {json.dumps(value)}" for name, value in values.items()]
    return "\n".join(["", "[decisions]", *lines, ""])
