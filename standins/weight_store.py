"""Stand-in for the weight store, which limits the rate and concurrency of loads."""

import threading
import time
from dataclasses import dataclass, field

import typer

from standins.web import Request, Response, json_response, run


@dataclass(slots=True)
class Counts:
    """Loads so far, and the highest number of concurrent loads."""

    models: int = 0
    adapters: int = 0
    most_models: int = 0
    most_adapters: int = 0


@dataclass(slots=True)
class WeightStore:
    """Delivers weights.

    At most ``loads_per_s`` model loads start each second. More than ``at_once``
    concurrent model loads, or more than ``adapters_in_transit`` concurrent adapter
    loads, slow down in proportion.
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

    def handle(self, request: Request) -> Response:
        """Answer one load after its weights have been delivered."""
        if request.path == "/control":
            return json_response(self.counts)
        item = request.query.get("item", "")
        if ":" in item:
            self._load_adapter()
        else:
            self._load_model()
        return json_response({"item": item})

    def _load_model(self) -> None:
        with self.lock:
            self.models += 1
            self.counts.models += 1
            self.counts.most_models = max(self.counts.most_models, self.models)
            slowdown = max(1.0, self.models / self.at_once)
            wait_s = self._reserve_start_s()
        time.sleep(wait_s + self.load_s * slowdown)
        with self.lock:
            self.models -= 1

    def _load_adapter(self) -> None:
        with self.lock:
            self.adapters += 1
            self.counts.adapters += 1
            self.counts.most_adapters = max(self.counts.most_adapters, self.adapters)
            slowdown = max(1.0, self.adapters / self.adapters_in_transit)
        time.sleep(self.adapter_load_s * slowdown)
        with self.lock:
            self.adapters -= 1

    def _reserve_start_s(self) -> float:
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
