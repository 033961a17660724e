"""Generates the requests of a scenario from a seed."""

import json
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from bench.scenario import Scenario, Traffic, adapters_of, model_name

RATE_STEP_S = 0.1


@dataclass(frozen=True, slots=True)
class Request:
    """One inference request; ``node`` is an index that starts at 0."""

    at_s: float
    node: int
    caller: str
    target: str
    prompt: str
    tokens: int
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Booking:
    """One non-idempotent booking; ``node`` is an index that starts at 0."""

    at_s: float
    node: int
    key: str

    @property
    def body(self) -> bytes:
        """Request body as JSON."""
        return json.dumps({"space": self.key}).encode()


def requests(scenario: Scenario, seed: int) -> list[Request]:
    """Return the inference requests of a seed in order of arrival."""
    drawn = []
    for index, traffic in enumerate(scenario.traffic):
        rng = np.random.default_rng([seed, index])
        drawn.extend(_draw(scenario, traffic, index, rng))
    return sorted(drawn, key=lambda item: item.at_s)


def bookings(scenario: Scenario, seed: int) -> list[Booking]:
    """Return the bookings of a seed in order of arrival."""
    rng = np.random.default_rng([seed, len(scenario.traffic)])
    flat = [(0.0, scenario.bookings_per_s), (scenario.duration_s,) * 2]
    flat[1] = (scenario.duration_s, scenario.bookings_per_s)
    return [
        Booking(float(at_s), int(rng.integers(scenario.nodes)), f"{seed}-{index}")
        for index, at_s in enumerate(arrival_times_s(flat, scenario.duration_s, rng))
    ]


def arrival_times_s(
    rate_per_s: Sequence[tuple[float, float]],
    duration_s: float,
    rng: np.random.Generator,
) -> list[float]:
    """Return the times of a Poisson process with a piecewise linear rate.

    Parameters
    ----------
    rate_per_s : sequence of pairs
        Time in seconds and the rate at that time; linear in between.
    duration_s : float
    rng : numpy.random.Generator

    Returns
    -------
    list of float
        Seconds, ascending.
    """
    edges_s = np.arange(0.0, duration_s, RATE_STEP_S)
    seconds, rates = zip(*rate_per_s, strict=True)
    mean = np.interp(edges_s, seconds, rates) * RATE_STEP_S
    counts = rng.poisson(mean)
    times_s = np.repeat(edges_s, counts) + rng.random(counts.sum()) * RATE_STEP_S
    return [float(item) for item in np.sort(times_s)]


def _draw(
    scenario: Scenario, traffic: Traffic, index: int, rng: np.random.Generator
) -> list[Request]:
    numbers = traffic.models or list(range(scenario.catalogue.models))
    weights = np.arange(1, len(numbers) + 1, dtype=float) ** -traffic.skew
    weights /= weights.sum()
    times_s = arrival_times_s(traffic.rate_per_s, scenario.duration_s, rng)
    chosen = rng.choice(numbers, size=len(times_s), p=weights)
    return [
        Request(
            at_s,
            int(rng.integers(scenario.nodes)),
            traffic.caller,
            _target(scenario, traffic, int(number), rng),
            f"{traffic.caller} {index} {count}",
            traffic.tokens,
            traffic.deadline_s,
        )
        for count, (at_s, number) in enumerate(zip(times_s, chosen, strict=True))
    ]


def _target(
    scenario: Scenario, traffic: Traffic, number: int, rng: np.random.Generator
) -> str:
    adapters = adapters_of(scenario.catalogue, number)
    if adapters and rng.random() < traffic.adapter_share:
        return f"{model_name(number)}:{rng.choice(adapters)}"
    return model_name(number)
