"""Scenarios: a site, its demand and its faults, read from TOML files."""

import tomllib
from dataclasses import dataclass, field, replace
from enum import Enum
from pathlib import Path

import msgspec

FOLDER = Path(__file__).parent / "scenarios"


class Fault(Enum):
    """What an event does to a process."""

    KILL = "kill"
    OUTAGE_BEGINS = "outage_begins"
    OUTAGE_ENDS = "outage_ends"


@dataclass(frozen=True, slots=True)
class Catalogue:
    """Models and adapters; memory sizes are taken in turn."""

    models: int
    adapters: int
    model_memory_mb: list[int]
    adapter_memory_mb: int = 100


@dataclass(frozen=True, slots=True)
class WeightStoreSpec:
    """Model loads a second and at once at full speed; adapters in transit."""

    loads_per_s: float
    at_once: int
    adapters_in_transit: int
    load_s: float = 0.8
    adapter_load_s: float = 0.015

    def sped_up(self, factor: float) -> "WeightStoreSpec":
        """Return the store with model loads that many times as fast."""
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
        Second and rate there, linear in between.
    tokens : int
        Length of an answer.
    deadline_s : float
        From arrival to the last token.
    models : list of int
        Numbers in the catalogue; all of them if empty.
    skew : float
        Exponent of Zipf's law over the models in their order.
    adapter_share : float
        Share of requests that ask for an adapter, if the model has any.
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
    """A fault at a process, so many seconds after the demand began."""

    at_s: float
    fault: Fault
    process: str


@dataclass(frozen=True, slots=True)
class Scenario:
    """One scripted run.

    Demand that takes minutes or hours to move is played within seconds.
    ``store_speed`` says how many times as fast as the real one the weight store
    is, so that it does not stand still by comparison. Engines and deadlines keep
    their own speed.
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
    """Return the ids of the adapters of a model; they are dealt in turn."""
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
        If there is none, or a value is wrong.
    """
    path = FOLDER / f"{name}.toml"
    if not path.exists():
        existing = ", ".join(scenario_names())
        raise ValueError(f"no scenario {name!r}; there are {existing}")
    scenario = msgspec.convert(tomllib.loads(path.read_text()), Scenario)
    store = scenario.weight_store.sped_up(scenario.store_speed)
    return replace(scenario, weight_store=store)


def scenario_names() -> list[str]:
    """Return the names of all scenarios."""
    return sorted(path.stem for path in FOLDER.glob("*.toml"))
