"""Long randomized runs of the real processes under injected faults."""
