"""Long random runs of the real processes under injected faults."""
