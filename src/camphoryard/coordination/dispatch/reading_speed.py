"""How fast engines read prompts, learned from the times to first events.

The time to the first event of a request with nothing ahead of it is taken as
``engine * (fixed_s + model * tokens * token_s)``. All engines of a service share
``fixed_s`` and ``token_s``. The slowness of an engine holds for its steps and its
reading, that of a model for its reading only: all models at an engine share its steps.
Both are held as logarithms.
"""

import math
import statistics
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from camphoryard.state.ids import EndpointId, ModelId

INITIAL_TOKEN_S = 1e-4
INITIAL_FIXED_S = 0.06
MIN_FIXED_S = 0.005
MIN_TOKEN_S = 1e-6
INITIAL_WEIGHT = 4.0
"""Samples that each of the initial values counts for."""
INITIAL_TOKENS = 2000.0
"""Where the initial line has its second point, besides 0 tokens."""
SHARED_DECAY = 0.995
"""Weight that the samples so far keep with each new one in the shared line."""
MAX_LOG_RATIO = 2.5
"""Bound of one sample's ratio to what was expected, as a logarithm."""
MIN_READING_SHARE = 0.4
"""Least part of a first event's time that tells how fast a model is read."""
CLEARLY_SLOWER_LOG = 0.25
SLOWING_GAIN = 0.7
RECOVERING_GAIN = 0.08
MODEL_GAIN = 0.03
RECENT_SAMPLES = 3
"""Their median counts, so one odd sample does not."""
STEADY_GAIN = 0.02
STEADY_SAMPLES = 30
"""Samples after which an engine's steady speed is known."""
MAX_STEADY_SPEED = 2.5
FORGETTING_S = 60.0
"""Time constant with which an engine without samples is taken for an average one."""


@dataclass(frozen=True, slots=True)
class Slowness:
    """Slowness of an engine and of a model as logarithms; 0 is the average."""

    engine_log: float
    model_log: float

    @property
    def engine_factor(self) -> float:
        """Time that the engine takes for a step, relative to the average."""
        return math.exp(self.engine_log)

    @property
    def reading_factor(self) -> float:
        """Time that the engine reads a token of the model, relative to the average."""
        return math.exp(self.engine_log + self.model_log)


@dataclass(slots=True)
class _Engine:
    """Estimate of one engine, and the latest samples of it.

    ``steady_log`` is the mean of the samples of the last tens of seconds.
    """

    slowness_log: float = 0.0
    steady_log: float = 0.0
    samples: int = 0
    sampled_s: float = 0.0
    recent_logs: deque[float] = field(
        default_factory=lambda: deque(maxlen=RECENT_SAMPLES)
    )

    def slowness_log_at(self, now_s: float) -> float:
        """Return the estimate, which fades without samples."""
        return self.slowness_log * math.exp((self.sampled_s - now_s) / FORGETTING_S)

    def record(self, sample_log: float, now_s: float) -> None:
        """Follow the median of the latest samples; a clear slowdown at once."""
        before = self.slowness_log_at(now_s)
        self.recent_logs.append(sample_log)
        change = _lower_median(self.recent_logs) - before
        gain = SLOWING_GAIN if change > CLEARLY_SLOWER_LOG else RECOVERING_GAIN
        self.slowness_log = before + gain * change
        self.sampled_s = now_s
        self.samples += 1
        steady_gain = max(STEADY_GAIN, 1.0 / self.samples)
        self.steady_log += steady_gain * (sample_log - self.steady_log)


@dataclass(slots=True)
class _Model:
    """Estimate of one model over all engines."""

    slowness_log: float = 0.0
    samples: int = 0

    def record(self, sample_log: float) -> None:
        """Follow the mean of the samples, the first of them at once."""
        self.samples += 1
        gain = max(MODEL_GAIN, 1.0 / (self.samples + 1))
        self.slowness_log += gain * (sample_log - self.slowness_log)


@dataclass(slots=True)
class _SharedLine:
    """Time to the first event over tokens: a line fitted to the latest samples."""

    weight: float = 0.0
    tokens: float = 0.0
    time_s: float = 0.0
    tokens_squared: float = 0.0
    tokens_time: float = 0.0
    token_s: float = INITIAL_TOKEN_S
    fixed_s: float = INITIAL_FIXED_S

    def record(self, tokens: float, time_s: float) -> None:
        """Fit the line to one more sample, of average slowness."""
        for name in ("weight", "tokens", "time_s", "tokens_squared", "tokens_time"):
            setattr(self, name, getattr(self, name) * SHARED_DECAY)
        self.weight += 1.0
        self.tokens += tokens
        self.time_s += time_s
        self.tokens_squared += tokens * tokens
        self.tokens_time += tokens * time_s
        self._fit()

    def _fit(self) -> None:
        """Solve the normal equations, which the initial line keeps regular."""
        end_s = INITIAL_FIXED_S + INITIAL_TOKENS * INITIAL_TOKEN_S
        weight = self.weight + 2 * INITIAL_WEIGHT
        mean_tokens = (self.tokens + INITIAL_WEIGHT * INITIAL_TOKENS) / weight
        mean_s = (self.time_s + INITIAL_WEIGHT * (INITIAL_FIXED_S + end_s)) / weight
        squared = self.tokens_squared + INITIAL_WEIGHT * INITIAL_TOKENS**2
        product = self.tokens_time + INITIAL_WEIGHT * INITIAL_TOKENS * end_s
        spread = squared - weight * mean_tokens**2
        slope = (product - weight * mean_tokens * mean_s) / spread
        self.token_s = max(MIN_TOKEN_S, slope)
        self.fixed_s = max(MIN_FIXED_S, mean_s - self.token_s * mean_tokens)


class ReadingSpeeds:
    """Reading speeds of a service's engines, by engine and model."""

    def __init__(self) -> None:
        self._line = _SharedLine()
        self._engine_by_id: dict[EndpointId, _Engine] = {}
        self._model_by_id: dict[ModelId, _Model] = {}

    @property
    def token_s(self) -> float:
        """Seconds to read a token at average slowness."""
        return self._line.token_s

    @property
    def fixed_s(self) -> float:
        """Seconds from the last token read to the first event, at average slowness."""
        return self._line.fixed_s

    def slowness(self, endpoint: EndpointId, model: ModelId, now_s: float) -> Slowness:
        """Return how slow an engine is with a model; unknown ones are average."""
        engine = self._engine_by_id.get(endpoint)
        known = self._model_by_id.get(model)
        return Slowness(
            engine.slowness_log_at(now_s) if engine else 0.0,
            known.slowness_log if known else 0.0,
        )

    def record(
        self,
        endpoint: EndpointId,
        model: ModelId,
        before: Slowness,
        ratio: float,
        reading_share: float,
        now_s: float,
    ) -> None:
        """Learn from a first event that took ``ratio`` times what was expected.

        Parameters
        ----------
        endpoint, model
            Where the request ran.
        before : Slowness
            What the expectation was based on.
        ratio : float
            Time to the first event, relative to the expected time; above 0.
        reading_share : float
            Part of the expected time in which the prompt is read.
        now_s : float
            Time of the clock, in seconds.
        """
        known = self._model_by_id.setdefault(model, _Model())
        previous = known.slowness_log
        if reading_share >= MIN_READING_SHARE:
            reading_ratio = 1.0 + (ratio - 1.0) / reading_share
            known.record(before.model_log + _bounded_log(reading_ratio))
        engine = self._engine_by_id.setdefault(endpoint, _Engine(sampled_s=now_s))
        learned = (known.slowness_log - previous) * reading_share
        engine.record(before.engine_log + _bounded_log(ratio) - learned, now_s)

    def record_alone(self, before: Slowness, tokens: int, time_s: float) -> None:
        """Learn from a first event that came after ``time_s`` with nothing ahead."""
        average_tokens = tokens * math.exp(before.model_log)
        expected_s = self.fixed_s + average_tokens * self.token_s
        normal_s = time_s / before.engine_factor
        bound = math.exp(CLEARLY_SLOWER_LOG)
        normal_s = min(bound * expected_s, max(expected_s / bound, normal_s))
        self._line.record(average_tokens, normal_s)

    def steady_speed_by_engine(self) -> Mapping[EndpointId, float]:
        """Return the speeds of engines over some time, relative to their median.

        Engines with few samples are left out.
        """
        log_by_id = {
            id: engine.steady_log
            for id, engine in self._engine_by_id.items()
            if engine.samples >= STEADY_SAMPLES
        }
        if not log_by_id:
            return {}
        median = statistics.median(log_by_id.values())
        speed_by_id = {id: math.exp(median - log) for id, log in log_by_id.items()}
        return {
            id: min(MAX_STEADY_SPEED, max(1.0 / MAX_STEADY_SPEED, speed))
            for id, speed in speed_by_id.items()
        }

    def forget(self, endpoint: EndpointId) -> None:
        """Forget an engine that is gone or has restarted."""
        self._engine_by_id.pop(endpoint, None)


def _bounded_log(ratio: float) -> float:
    """Return the logarithm of a sample's ratio, within its bounds."""
    if ratio <= 0.0:
        return -MAX_LOG_RATIO
    return max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, math.log(ratio)))


def _lower_median(values: deque[float]) -> float:
    """Return the middle value, the lower one of two."""
    return sorted(values)[(len(values) - 1) // 2]
