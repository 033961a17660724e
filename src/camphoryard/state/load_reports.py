"""Reports of engines about their load, which lag behind it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Requests in an engine's batch and queue; ``slots`` is 0 if unreported."""

    running: int
    waiting: int
    slots: int = 0
    leaving: bool = False

    @property
    def requests(self) -> int:
        """Number of requests at the engine, running or waiting."""
        return self.running + self.waiting
