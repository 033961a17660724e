"""Tests of the hybrid logical clock."""

from camphoryard.state.timeline import HybridClock, Stamp

FAR_AHEAD_MS = 1 << 50


class TestHybridClock:
    """Stamps."""

    def test_never_goes_back(self):
        """Each stamp is later than the one before."""
        clock = HybridClock()
        stamps = [clock.now() for _ in range(1000)]
        assert stamps == sorted(set(stamps))

    def test_follows_what_was_heard(self):
        """After hearing a stamp every later event comes after it."""
        clock = HybridClock()
        heard = Stamp(FAR_AHEAD_MS, 7)
        assert clock.observe(heard) > heard
        assert clock.now() > heard
