"""Timer service: one thread that sends periodic ticks to its subscribers."""

import heapq
import threading
import time
from collections.abc import Iterator


class Subscription:
    """A subscription that ticks every ``period_s`` seconds, the first time at once."""

    def __init__(self, service: "TimerService", period_s: float) -> None:
        self.period_s = period_s
        self._service = service
        self._tick = threading.Event()
        self._tick.set()

    def __iter__(self) -> Iterator[None]:
        try:
            while True:
                self._tick.wait()
                self._tick.clear()
                if self._service.closed:
                    return
                yield
        finally:
            self._service.unsubscribe(self)

    def wake(self) -> None:
        """Trigger the next tick now."""
        self._tick.set()


class TimerService:
    """Wakes subscribers periodically; ends their loops when closed.

    Examples
    --------
    >>> timer = TimerService()
    >>> for _ in timer.every(0.01):
    ...     timer.close()
    """

    def __init__(self) -> None:
        self.closed = False
        self._changed = threading.Condition()
        self._heap: list[tuple[float, int, Subscription]] = []
        self._active: set[Subscription] = set()
        self._count = 0
        self._thread = threading.Thread(target=self._run, name="timer", daemon=True)
        self._thread.start()

    def every(self, period_s: float) -> Subscription:
        """Return a subscription that ticks every ``period_s`` seconds."""
        subscription = Subscription(self, period_s)
        with self._changed:
            self._active.add(subscription)
            self._push(subscription)
        return subscription

    def unsubscribe(self, subscription: Subscription) -> None:
        """Remove a subscription; its heap entry is removed at its next tick."""
        with self._changed:
            self._active.discard(subscription)

    def close(self) -> None:
        """End every subscriber's loop."""
        with self._changed:
            self.closed = True
            active = tuple(self._active)
            self._changed.notify()
        for subscription in active:
            subscription.wake()

    def _push(self, subscription: Subscription) -> None:
        self._count += 1
        tick_at_s = time.monotonic() + subscription.period_s
        heapq.heappush(self._heap, (tick_at_s, self._count, subscription))
        if self._heap[0][2] is subscription:
            self._changed.notify()

    def _run(self) -> None:
        with self._changed:
            while not self.closed:
                wait_s = self._next_tick_in_s()
                if wait_s is None or wait_s > 0:
                    self._changed.wait(wait_s)
                    continue
                _, _, subscription = heapq.heappop(self._heap)
                if subscription in self._active:
                    subscription.wake()
                    self._push(subscription)

    def _next_tick_in_s(self) -> float | None:
        if not self._heap:
            return None
        return self._heap[0][0] - time.monotonic()
