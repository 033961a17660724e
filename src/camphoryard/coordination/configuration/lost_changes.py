"""Writes accepted changes again that a restored store has lost."""

from camphoryard.coordination.configuration.configurator import Configurator
from camphoryard.coordination.ports import Ticks, Timer
from camphoryard.coordination.store_restores import StoreRestores
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.store_eras import FIRST_ERA

RETRY_PERIOD_S = 0.5


class LostChanges:
    """Writes the configuration in force again after each restore of the store.

    Until the era has settled this is repeated, as this node may yet hear of a newer
    generation whose own node has died.
    """

    def __init__(self, configurator: Configurator, restores: StoreRestores) -> None:
        self._configurator = configurator
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
        """Check once, if the newest era has not been checked since it settled."""
        era = self._restores.era
        if era == self._checked_era:
            return
        is_settled = self._restores.is_settled()
        try:
            self._configurator.write_again()
        except (ConflictError, StoreUnavailableError):
            return
        if is_settled:
            self._checked_era = era

    def _wake(self) -> None:
        if self._ticks is not None:
            self._ticks.wake()
