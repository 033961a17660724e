"""Which request waits, and which is refused."""
