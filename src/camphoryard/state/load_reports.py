"""What engines report about their load, always with a lag."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Requests in an engine's batch and queue; ``slots`` is 0 if it is not told."""

    running: int
    waiting: int
    slots: int = 0
    leaving: bool = False

    @property
    def requests(self) -> int:
        """Requests at the engine, running or waiting."""
        return self.running + self.waiting
