"""Records in the store the use of the retry reserve, for a node's next process."""

import math
import time
from collections.abc import Callable

from camphoryard.coordination.fleet.fleet_size import FleetSize
from camphoryard.coordination.ports import DecisionLog, Records, Timer
from camphoryard.coordination.routing.retry_window import RetryWindow
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import ABSENT, NodeId, ServiceId, StoreEra
from camphoryard.state.retry_reserve import RetryReserveUse
from camphoryard.state.store_eras import NewestEra

FAILED_PERIOD_S = 1.0
"""Period in which a store that does not answer is called again: all nodes may do so,
and each call counts against the rate of the store."""
CHECK_PERIOD_S = 0.1
"""Period in which the use of the reserve is compared with the record."""


class RetryRecorder:
    """Keeps the record of one node, and reads what its previous process has left.

    The record is written when the reserve of a service comes into use, once more when
    that of no service is, and when the node stops. A node whose store does not answer
    goes on using its reserve, and writes the record once it does.

    Parameters
    ----------
    records : Records
        The records of all nodes.
    retries : RetryWindow
        The budget of this process, whose reserve is held until `run` has read the
        record.
    newest_era : NewestEra
        The store's era; a store that was restored may have lost the record.
    fleet_size : FleetSize
        Counts the nodes that divide the reserve.
    is_fleet_listed : callable
        Return whether the nodes in the store have been listed.
    """

    def __init__(
        self,
        node: NodeId,
        records: Records[RetryReserveUse],
        retries: RetryWindow[ServiceId],
        newest_era: NewestEra,
        fleet_size: FleetSize,
        is_fleet_listed: Callable[[], bool],
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._node = node
        self._records = records
        self._retries = retries
        self._newest_era = newest_era
        self._fleet_size = fleet_size
        self._is_fleet_listed = is_fleet_listed
        self._log = log
        self._clock = clock
        self._is_leaving = False
        self._version = ABSENT
        self._services: frozenset[ServiceId] = frozenset()
        self._read_in: StoreEra | None = None
        self._is_released = False
        self._is_answering = True
        self._calls_from_s = -math.inf

    def run(self, timer: Timer) -> None:
        """Keep the record up to date until the timer service closes."""
        for _ in timer.every(CHECK_PERIOD_S):
            self.check()

    def check(self) -> None:
        """Read the record if that is due, and write it if the use has changed."""
        if not self._is_fleet_listed():
            return
        if self._clock() < self._calls_from_s and not self._is_leaving:
            return
        try:
            if self._read_in != self._newest_era.current:
                self._read()
            users = self._retries.reserve_users()
            is_over = bool(self._services and not users)
            if not users <= self._services or is_over or self._is_leaving:
                self._write(users)
                self._is_leaving = False
        except ConflictError:
            # The version that was read is no longer the stored one.
            self._read_in = None
        except StoreUnavailableError as error:
            if self._is_answering:
                self._log("retry_record_failed", error=str(error))
            self._is_answering = False
            self._calls_from_s = self._clock() + FAILED_PERIOD_S
        else:
            self._is_answering = True

    def leave(self) -> None:
        """Have the record written once more, for a process that starts after a stop."""
        self._is_leaving = True

    def _read(self) -> None:
        era = self._newest_era.current
        stored = self._records.get(self._node)
        self._version = stored.version if stored is not None else ABSENT
        record = stored.record if stored is not None else None
        self._services = frozenset(record.services if record is not None else ())
        self._read_in = era
        if not self._is_released:
            self._is_released = True
            self._fleet_size.remember(record.nodes if record is not None else 0)
            self._retries.release_reserve(self._services)
            self._log("retry_reserve_released", held=",".join(sorted(self._services)))

    def _write(self, users: frozenset[ServiceId]) -> None:
        nodes = self._fleet_size.count()
        record = RetryReserveUse(self._node, tuple(sorted(users)), nodes)
        self._version = self._records.put(self._node, record, self._version)
        self._services = users
