"""Tests of the learned speeds of engines."""

import random
from itertools import pairwise

import pytest

from camphoryard.coordination.dispatch.reading_speed import ReadingSpeeds
from camphoryard.state.ids import EndpointId, ModelId

ENGINE, OTHER = EndpointId("engine"), EndpointId("other")
MODEL, LARGE = ModelId("model"), ModelId("large")
TOKEN_S, FIXED_S = 1 / 20_000, 0.045
SAMPLES_PER_S = 5
"""First events of a busy engine."""


class Readings:
    """First events of engines, of which each has its true slowness."""

    def __init__(self):
        self.speeds = ReadingSpeeds()
        self.now_s = 0.0
        self.rng = random.Random(42)

    def expected_s(self, engine, tokens=1110, model=MODEL):
        """Return the expected time to the first event."""
        slowness = self.speeds.slowness(engine, model, self.now_s)
        reading_s = slowness.reading_factor * tokens * self.speeds.token_s
        return slowness.engine_factor * self.speeds.fixed_s + reading_s

    def read(self, engine, slowness, count=1, model=MODEL, reading=1.0):
        """Record ``count`` first events that nothing else explains.

        The model takes ``reading`` times as long to read.
        """
        for _ in range(count):
            tokens = self.rng.choice((491, 1110, 3000))
            noise = self.rng.uniform(0.9, 1.1)
            time_s = slowness * noise * (FIXED_S + reading * tokens * TOKEN_S)
            before = self.speeds.slowness(engine, model, self.now_s)
            expected_s = self.expected_s(engine, tokens, model)
            fixed_s = before.engine_factor * self.speeds.fixed_s
            ratio, share = time_s / expected_s, 1.0 - fixed_s / expected_s
            self.speeds.record_alone(before, tokens, time_s)
            self.speeds.record(engine, model, before, ratio, share, self.now_s)
            self.now_s += 1 / SAMPLES_PER_S


class TestReadingSpeeds:
    """Expected times to first events."""

    def test_learns_three_speeds_side_by_side(self):
        """The expectation for each of three engines is within a quarter."""
        readings = Readings()
        slowness_by_engine = {f"e{speed}": 1 / speed for speed in (0.6, 1.0, 1.6)}
        for _ in range(60):
            for engine, slowness in slowness_by_engine.items():
                readings.read(engine, slowness)
        for engine, slowness in slowness_by_engine.items():
            for tokens in (491, 3000):
                true_s = slowness * (FIXED_S + tokens * TOKEN_S)
                expected_s = readings.expected_s(engine, tokens)
                assert expected_s == pytest.approx(true_s, rel=0.25)
        speeds = readings.speeds.steady_speed_by_engine()
        assert speeds == pytest.approx({"e0.6": 0.6, "e1.0": 1.0, "e1.6": 1.6}, rel=0.2)

    def test_learns_a_larger_model_for_all_engines(self):
        """A model that one engine reads slowly is expected to be slow at another."""
        readings = Readings()
        for engine in (ENGINE, OTHER):
            readings.read(engine, 1.0, 30)
        readings.read(ENGINE, 1.0, 6, model=LARGE, reading=6.0)
        large_s = readings.expected_s(OTHER, model=LARGE)
        assert large_s > 2.5 * readings.expected_s(OTHER)
        assert readings.expected_s(ENGINE) < 1.5 * readings.expected_s(OTHER)

    def test_long_prompts_of_a_slow_model_beside_a_fast_one(self):
        """Load: two models, one read four times as fast; most prompts are short.

        The time of a short prompt is mostly that of a step, which they share.
        """
        readings = Readings()
        for _ in range(60):
            readings.read(ENGINE, 1.0, model=LARGE)
            readings.read(ENGINE, 1.0, model=MODEL, reading=0.23)
        for model, reading in ((LARGE, 1.0), (MODEL, 0.23)):
            true_s = FIXED_S + reading * 3500 * TOKEN_S
            expected_s = readings.expected_s(ENGINE, 3500, model)
            assert expected_s == pytest.approx(true_s, rel=0.15)

    def test_one_odd_sample_does_not_count(self):
        """One first event after eight times its time leaves the expectation."""
        readings = Readings()
        readings.read(ENGINE, 1.0, 30)
        before_s = readings.expected_s(ENGINE)
        readings.read(ENGINE, 8.0)
        assert readings.expected_s(ENGINE) == pytest.approx(before_s, rel=0.1)

    def test_notices_an_engine_that_turns_slow_and_trusts_it_slowly(self):
        """Four times as slow: noticed within a second, doubted for seconds after."""
        readings = Readings()
        for engine in (ENGINE, OTHER):
            readings.read(engine, 1.0, 30)
        normal_s = readings.expected_s(ENGINE)
        readings.read(ENGINE, 4.0, SAMPLES_PER_S)
        assert readings.expected_s(ENGINE) > 2.5 * normal_s
        expected_s = []
        for _ in range(10):
            readings.read(ENGINE, 1.0, SAMPLES_PER_S)
            expected_s.append(readings.expected_s(ENGINE))
        assert expected_s[0] > 1.7 * normal_s
        assert all(later < earlier for earlier, later in pairwise(expected_s[:5]))
        assert expected_s[-1] < 1.4 * normal_s

    def test_forgets_a_restarted_engine(self):
        """An engine that starts anew is taken for an average one."""
        readings = Readings()
        for engine, slowness in ((ENGINE, 3.0), (OTHER, 1.0)) * 30:
            readings.read(engine, slowness)
        slow_s = readings.expected_s(ENGINE)
        readings.speeds.forget(ENGINE)
        assert readings.expected_s(ENGINE) < 0.7 * slow_s
