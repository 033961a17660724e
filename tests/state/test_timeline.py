"""Tests of the hybrid logical clock."""

from camphoryard.state.timeline import HybridClock, Stamp

FAR_AHEAD_MS = 1 << 50


class TestHybridClock:
    """Order of stamps."""

    def test_stamps_only_grow(self):
        """Each stamp is later than the one before."""
        clock = HybridClock()
        stamps = [clock.now() for _ in range(1000)]
        assert stamps == sorted(set(stamps))

    def test_follows_observed_stamps(self):
        """Stamps are later than an observed one."""
        clock = HybridClock()
        observed = Stamp(FAR_AHEAD_MS, 7)
        assert clock.observe(observed) > observed
        assert clock.now() > observed
