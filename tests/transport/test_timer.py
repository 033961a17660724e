"""Tests of the timer service."""

from concurrent.futures import ThreadPoolExecutor

from camphoryard.transport.timer import TimerService


class TestTimerService:
    """Subscribing to ticks."""

    def test_first_tick_is_immediate(self):
        """The first tick does not wait for the period."""
        timer = TimerService()
        for _ in timer.every(3600.0):
            break
        timer.close()

    def test_close_ends_every_loop(self):
        """Closing wakes subscribers whose next tick is in the distant future."""
        timer = TimerService()
        with ThreadPoolExecutor() as executor:
            loops = [executor.submit(list, timer.every(3600.0)) for _ in range(3)]
            timer.close()
            for loop in loops:
                assert len(loop.result()) <= 1

    def test_wake_triggers_the_next_tick(self):
        """A woken subscription does not wait for its period."""
        timer = TimerService()
        ticks = timer.every(3600.0)
        tick_count = 0
        for _ in ticks:
            tick_count += 1
            if tick_count == 3:
                break
            ticks.wake()
        timer.close()
        assert tick_count == 3
