"""Tests of what a node knows of restores of the store."""

import threading
import time

from camphoryard.coordination.store_restores import StoreRestores
from camphoryard.state.ids import StoreEra
from camphoryard.state.store_eras import version_in

TIMEOUT_S = 10.0


class TestStoreRestores:
    """Eras that settle."""

    def test_is_settled_before_any_era_is_told(self):
        """A store that tells no era is never restored."""
        assert StoreRestores(3.0).wait_settled(0.0)

    def test_each_later_era_settles(self):
        """An earlier era told late changes nothing."""
        now_s = 0.0
        restores, told = StoreRestores(3.0, lambda: now_s), []
        restores.subscribe(lambda: told.append(restores.era))
        restores.observe(StoreEra(2))
        now_s = 2.0
        restores.observe(StoreEra(1))
        restores.observe(StoreEra(2))
        assert restores.settling_left_s() == 1.0
        restores.observe(StoreEra(3))
        assert restores.settling_left_s() == 3.0
        now_s = 5.0
        assert restores.is_settled()
        assert told == [2, 3]

    def test_record_of_an_earlier_era_is_not_confirmed(self):
        """Nor is one of the newest era before that has settled."""
        now_s = 0.0
        restores = StoreRestores(3.0, lambda: now_s)
        restores.observe(StoreEra(2))
        assert not restores.is_confirmed(version_in(StoreEra(2), 7))
        now_s = 3.0
        assert restores.is_confirmed(version_in(StoreEra(2), 7))
        assert not restores.is_confirmed(version_in(StoreEra(1), 9))

    def test_waits_until_settled(self):
        """The waiting task goes on by itself."""
        restores = StoreRestores(0.05)
        restores.observe(StoreEra(1))
        assert restores.wait_settled(time.monotonic() + TIMEOUT_S)
        assert restores.is_settled()

    def test_does_not_wait_beyond_the_deadline(self):
        """A request that cannot be run in time is refused at once."""
        restores = StoreRestores(TIMEOUT_S)
        restores.observe(StoreEra(1))
        assert not restores.wait_settled(time.monotonic() + TIMEOUT_S / 2)

    def test_restore_prolongs_a_wait(self):
        """A wait that no longer ends before the deadline ends at once."""
        now_s = 0.0
        restores, results = StoreRestores(TIMEOUT_S, lambda: now_s), []
        restores.observe(StoreEra(1))
        waiting = threading.Thread(
            target=lambda: results.append(restores.wait_settled(TIMEOUT_S + 1.0))
        )
        waiting.start()
        now_s = 5.0
        restores.observe(StoreEra(2))
        waiting.join(TIMEOUT_S)
        assert results == [False]
