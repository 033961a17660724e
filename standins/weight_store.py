"""Stand-in for the weight store: so many loads at once, so many a second."""

import threading
import time
from dataclasses import dataclass, field

import typer

from standins.web import Answered, Asked, answer, run


@dataclass(slots=True)
class WeightStore:
    """Hands out weights; a load above the limits waits its turn."""

    loads_per_s: float
    at_once: int
    load_s: float
    adapter_load_s: float
    served: int = 0
    next_start_s: float = 0.0
    slots: threading.Semaphore = field(init=False)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def __post_init__(self) -> None:
        self.slots = threading.Semaphore(self.at_once)

    def handle(self, asked: Asked) -> Answered:
        """Answer one load when its weights have been handed over."""
        if asked.path == "/control":
            return answer({"served": self.served})
        item = asked.query.get("item", "")
        if ":" in item:
            time.sleep(self.adapter_load_s)
            return answer({"item": item})
        with self.slots:
            time.sleep(self._wait_s() + self.load_s)
        return answer({"item": item})

    def _wait_s(self) -> float:
        with self.lock:
            now_s = time.monotonic()
            start_s = max(now_s, self.next_start_s)
            self.next_start_s = start_s + 1 / self.loads_per_s
            self.served += 1
            return start_s - now_s


def main(
    host: str = "127.0.0.1",
    port: int = 7001,
    loads_per_s: float = 1.0,
    at_once: int = 8,
    load_s: float = 0.3,
    adapter_load_s: float = 0.015,
) -> None:
    """Run the weight store."""
    store = WeightStore(loads_per_s, at_once, load_s, adapter_load_s)
    run(store.handle, host, port)


if __name__ == "__main__":
    typer.run(main)
