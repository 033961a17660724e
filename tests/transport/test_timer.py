"""Tests of the timer service."""

from concurrent.futures import ThreadPoolExecutor

from camphoryard.transport.timer import TimerService


class TestTimerService:
    """Subscribing to ticks."""

    def test_first_tick_comes_at_once(self):
        """A loop starts without waiting for its period."""
        timer = TimerService()
        for _ in timer.every(3600.0):
            break
        timer.close()

    def test_close_ends_every_loop(self):
        """Closing wakes subscribers whose next tick is far away."""
        timer = TimerService()
        with ThreadPoolExecutor() as executor:
            loops = [executor.submit(list, timer.every(3600.0)) for _ in range(3)]
            timer.close()
            for loop in loops:
                assert len(loop.result()) <= 1

    def test_wake_brings_the_tick(self):
        """A woken subscription does not wait for its period."""
        timer = TimerService()
        ticks = timer.every(3600.0)
        seen = 0
        for _ in ticks:
            seen += 1
            if seen == 3:
                break
            ticks.wake()
        timer.close()
        assert seen == 3
