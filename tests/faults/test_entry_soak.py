"""A short soak of entry daemons with a fixed seed; longer ones are run by hand."""

from faults.entry_soak import run_soak

SEED = 1
MINUTES = 0.4


class TestEntrySoak:
    """Faults in series and overlapping."""

    def test_short_soak_breaks_no_rule(self):
        """The command that repeats it: make faults FRONT=entry SEED=1 MINUTES=0.4."""
        assert run_soak(SEED, MINUTES, nodes=3) == []
