"""A task that writes records again that a restored store may have lost."""

from collections.abc import Callable

from camphoryard.coordination.ports import Ticks, Timer
from camphoryard.coordination.store_restores import StoreRestores
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.store_eras import FIRST_ERA

RETRY_PERIOD_S = 0.5


class LostRecordWriter:
    """Writes the records of one kind again after each restore of the store.

    Until the era has settled this is repeated: a write from before the restore may
    still be under way, and this node may yet hear of a record whose own node has died.

    Parameters
    ----------
    write_again : callable
        Writes what the store has lost of the records that this node knows; may raise
        ConflictError or StoreUnavailableError and is then called again.
    restores : StoreRestores
        Restores of the store.
    """

    def __init__(
        self, write_again: Callable[[], None], restores: StoreRestores
    ) -> None:
        self._write_again = write_again
        self._restores = restores
        self._checked_era = FIRST_ERA
        self._ticks: Ticks | None = None
        restores.subscribe(self._wake)

    def run(self, timer: Timer) -> None:
        """Check after each restore until the timer service closes."""
        self._ticks = timer.every(RETRY_PERIOD_S)
        for _ in self._ticks:
            self.check()

    def check(self) -> None:
        """Write once, unless that was done after the newest era had settled."""
        era = self._restores.era
        if era == self._checked_era:
            return
        is_settled = self._restores.is_settled()
        try:
            self._write_again()
        except (ConflictError, StoreUnavailableError):
            return
        if is_settled:
            self._checked_era = era

    def _wake(self) -> None:
        if self._ticks is not None:
            self._ticks.wake()
