"""The timer service: one thread that wakes subscribers when their time comes."""

import heapq
import threading
import time
from collections.abc import Iterator


class Subscription:
    """A subscription that ticks each ``period_s``, the first time at once."""

    def __init__(self, service: "TimerService", period_s: float) -> None:
        self.period_s = period_s
        self._service = service
        self._due = threading.Event()
        self._due.set()

    def __iter__(self) -> Iterator[None]:
        try:
            while True:
                self._due.wait()
                self._due.clear()
                if self._service.closed:
                    return
                yield
        finally:
            self._service.drop(self)

    def wake(self) -> None:
        """Make the next tick come now."""
        self._due.set()


class TimerService:
    """Wakes subscribers; ends all of their loops when closed.

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
        self._live: set[Subscription] = set()
        self._count = 0
        self._thread = threading.Thread(target=self._run, name="timer", daemon=True)
        self._thread.start()

    def every(self, period_s: float) -> Subscription:
        """Return a subscription to ticks that come each ``period_s``."""
        subscription = Subscription(self, period_s)
        with self._changed:
            self._live.add(subscription)
            self._push(subscription)
        return subscription

    def drop(self, subscription: Subscription) -> None:
        """Forget a subscription; its heap entry goes when it falls due."""
        with self._changed:
            self._live.discard(subscription)

    def close(self) -> None:
        """End every subscriber's loop."""
        with self._changed:
            self.closed = True
            live = tuple(self._live)
            self._changed.notify()
        for subscription in live:
            subscription.wake()

    def _push(self, subscription: Subscription) -> None:
        self._count += 1
        due_s = time.monotonic() + subscription.period_s
        heapq.heappush(self._heap, (due_s, self._count, subscription))
        if self._heap[0][2] is subscription:
            self._changed.notify()

    def _run(self) -> None:
        with self._changed:
            while not self.closed:
                left_s = self._until_due_s()
                if left_s is None or left_s > 0:
                    self._changed.wait(left_s)
                    continue
                _, _, subscription = heapq.heappop(self._heap)
                if subscription in self._live:
                    subscription.wake()
                    self._push(subscription)

    def _until_due_s(self) -> float | None:
        if not self._heap:
            return None
        return self._heap[0][0] - time.monotonic()
