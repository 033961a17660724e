"""Scenarios read from TOML files: a site, its demand and its faults."""

import tomllib
from dataclasses import dataclass, field, replace
from enum import Enum
from pathlib import Path

import msgspec

FOLDER = Path(__file__).parent / "scenarios"


class Fault(Enum):
    """Kinds of faults."""

    KILL = "kill"
    OUTAGE_BEGINS = "outage_begins"
    OUTAGE_ENDS = "outage_ends"


@dataclass(frozen=True, slots=True)
class Catalogue:
    """Models and adapters; the models use the memory sizes in rotation."""

    models: int
    adapters: int
    model_memory_mb: list[int]
    adapter_memory_mb: int = 100


@dataclass(frozen=True, slots=True)
class WeightStoreSpec:
    """Limits of the weight store: model loads per second, concurrent loads."""

    loads_per_s: float
    at_once: int
    adapters_in_transit: int
    load_s: float = 0.8
    adapter_load_s: float = 0.015

    def sped_up(self, factor: float) -> "WeightStoreSpec":
        """Return the store with model loads ``factor`` times as fast."""
        return replace(
            self,
            loads_per_s=self.loads_per_s * factor,
            load_s=self.load_s / factor,
        )


@dataclass(frozen=True, slots=True)
class Traffic:
    """One class of requests.

    Parameters
    ----------
    caller : str
        ``meter-app`` is urgent, ``front-desk`` standard, ``overnight`` deferrable.
    rate_per_s : list of pairs
        Time in seconds and the rate at that time, linear in between.
    tokens : int
        Number of tokens of each answer.
    deadline_s : float
        Seconds from arrival to the last token.
    models : list of int
        Indices in the catalogue; all models if empty.
    skew : float
        Exponent of the Zipf distribution over the models, in list order.
    adapter_share : float
        Share of requests for an adapter, if the model has any.
    """

    caller: str
    rate_per_s: list[tuple[float, float]]
    tokens: int
    deadline_s: float
    models: list[int] = field(default_factory=list)
    skew: float = 1.0
    adapter_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Event:
    """A fault at a process, ``at_s`` seconds after the start of the demand."""

    at_s: float
    fault: Fault
    process: str


@dataclass(frozen=True, slots=True)
class Scenario:
    """One scripted run.

    Demand that in reality changes over minutes or hours is compressed into seconds.
    ``store_speed`` is the factor by which the weight store is faster than the real
    one, so that loads keep up with the compressed demand. Engines and deadlines have
    their real speed.
    """

    name: str
    about: str
    surge: bool
    duration_s: float
    engines: int
    engine_memory_mb: int
    engine_slots: int
    step_ms: float
    catalogue: Catalogue
    weight_store: WeightStoreSpec
    traffic: list[Traffic]
    store_speed: float = 1.0
    nodes: int = 3
    bookings_per_s: float = 1.0
    events: list[Event] = field(default_factory=list)


def model_name(number: int) -> str:
    """Return the id of a model of the catalogue."""
    return f"model-{number:02d}"


def adapters_of(catalogue: Catalogue, number: int) -> list[str]:
    """Return the ids of a model's adapters, which are assigned in rotation."""
    return [
        f"adapter-{index:02d}"
        for index in range(catalogue.adapters)
        if index % catalogue.models == number
    ]


def memory_mb(catalogue: Catalogue, number: int) -> int:
    """Return the memory, in MB, of one copy of a model."""
    sizes = catalogue.model_memory_mb
    return sizes[number % len(sizes)]


def read_scenario(name: str) -> Scenario:
    """Return the scenario in ``bench/scenarios/NAME.toml``.

    Raises
    ------
    ValueError
        If there is no such scenario, or a value is invalid.
    """
    path = FOLDER / f"{name}.toml"
    if not path.exists():
        existing = ", ".join(scenario_names())
        raise ValueError(f"no scenario {name!r}; available: {existing}")
    scenario = msgspec.convert(tomllib.loads(path.read_text()), Scenario)
    store = scenario.weight_store.sped_up(scenario.store_speed)
    return replace(scenario, weight_store=store)


def scenario_names() -> list[str]:
    """Return the names of all scenarios."""
    return sorted(path.stem for path in FOLDER.glob("*.toml"))
