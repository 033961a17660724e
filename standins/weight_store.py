"""Stand-in for the weight store: so many loads at once, so many a second."""

import threading
import time
from dataclasses import dataclass, field

import typer

from standins.web import Answered, Asked, answer, run


@dataclass(slots=True)
class Counts:
    """What was handed over, and the most that was under way at once."""

    models: int = 0
    adapters: int = 0
    most_models: int = 0
    most_adapters: int = 0


@dataclass(slots=True)
class WeightStore:
    """Hands out weights.

    Model loads start ``loads_per_s`` apart at least. More than ``at_once`` of
    them, or more than ``adapters_in_transit`` adapters, slow down in proportion.
    """

    loads_per_s: float
    at_once: int
    load_s: float
    adapter_load_s: float
    adapters_in_transit: int
    next_start_s: float = 0.0
    models: int = 0
    adapters: int = 0
    counts: Counts = field(default_factory=Counts)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def handle(self, asked: Asked) -> Answered:
        """Answer one load when its weights have been handed over."""
        if asked.path == "/control":
            return answer(self.counts)
        item = asked.query.get("item", "")
        if ":" in item:
            self._hand_over_adapter()
        else:
            self._hand_over_model()
        return answer({"item": item})

    def _hand_over_model(self) -> None:
        with self.lock:
            self.models += 1
            self.counts.models += 1
            self.counts.most_models = max(self.counts.most_models, self.models)
            slowness = max(1.0, self.models / self.at_once)
            wait_s = self._wait_s()
        time.sleep(wait_s + self.load_s * slowness)
        with self.lock:
            self.models -= 1

    def _hand_over_adapter(self) -> None:
        with self.lock:
            self.adapters += 1
            self.counts.adapters += 1
            self.counts.most_adapters = max(self.counts.most_adapters, self.adapters)
            slowness = max(1.0, self.adapters / self.adapters_in_transit)
        time.sleep(self.adapter_load_s * slowness)
        with self.lock:
            self.adapters -= 1

    def _wait_s(self) -> float:
        now_s = time.monotonic()
        start_s = max(now_s, self.next_start_s)
        self.next_start_s = start_s + 1 / self.loads_per_s
        return start_s - now_s


def main(
    host: str = "127.0.0.1",
    port: int = 7001,
    loads_per_s: float = 1.0,
    at_once: int = 8,
    load_s: float = 0.3,
    adapter_load_s: float = 0.015,
    adapters_in_transit: int = 65,
) -> None:
    """Run the weight store."""
    store = WeightStore(
        loads_per_s, at_once, load_s, adapter_load_s, adapters_in_transit
    )
    run(store.handle, host, port)


if __name__ == "__main__":
    typer.run(main)
