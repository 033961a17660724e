"""Updates of the directory from traffic rules and endpoints in the store."""

import time
from collections.abc import Callable

from camphoryard.coordination.ports import DecisionLog, Snapshot, Stored, Timer
from camphoryard.state.directory import MISSING_GRACE_S, Directory
from camphoryard.state.ids import EndpointId, StoreEra, Version
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.store_eras import era_of
from camphoryard.state.traffic import TrafficRules

EXPIRY_PERIOD_S = 0.25


class DirectoryFeed:
    """Applies listings and changes to a directory and logs the differences.

    Entries that expired during a store outage, or that a restored store has lost, are
    written again soon after the store returns. Entries missing in a listing then stay
    in use for ``MISSING_GRACE_S``.
    An entry whose removal the watch reports is removed at once; if a restored store
    lists it again, it does not count before it is known to be there.
    """

    def __init__(
        self,
        directory: Directory,
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._directory = directory
        self._log = log
        self._clock = clock
        self._store_returned_s: float | None = None
        self._had_outage = False
        self._era: StoreEra | None = None
        self._older_rules_version: Version | None = None

    def record_availability(self, is_answering: bool) -> None:
        """Record that the store has started or stopped answering."""
        self._had_outage = not is_answering
        self._log("store_regained" if is_answering else "store_lost", of="endpoints")

    def apply_listing(self, snapshot: Snapshot[ServingEndpoint]) -> None:
        """Apply a listing of all endpoints."""
        era = era_of(snapshot.revision)
        is_restored = self._era is not None and era > self._era
        self._era = era
        if self._had_outage or is_restored:
            self._store_returned_s = self._clock()
        endpoints = [item.record for item in snapshot.items if item.record is not None]
        missing = self._directory.replace_all(
            endpoints, self._is_in_grace_period(), is_restored
        )
        self._log(
            "endpoints_listed",
            count=len(endpoints),
            missing=",".join(missing),
            held=",".join(self._directory.held()),
            revision=snapshot.revision,
            after_outage=self._is_in_grace_period(),
            restored=is_restored,
        )

    def apply_endpoint(self, stored: Stored[ServingEndpoint]) -> None:
        """Apply the creation, change or removal of one endpoint."""
        id = EndpointId(stored.key)
        endpoint = stored.record
        previous = self._directory.find(id)
        if endpoint is None:
            self._directory.remove(id)
            self._log("endpoint_removed", endpoint=id, revision=stored.version)
            return
        self._directory.observe(endpoint)
        if previous is None or previous.state is not endpoint.state:
            self._log(
                "endpoint_seen",
                endpoint=id,
                service=endpoint.service,
                state=endpoint.state.value,
                zone=endpoint.zone,
                revision=stored.version,
            )

    def apply_rules(self, stored: Stored[TrafficRules]) -> None:
        """Apply rules that are newer than the current ones.

        A restored store may show older ones until the operator has written the newest
        again. Each write of such is logged once.
        """
        rules = stored.record
        if rules is None:
            return
        if self._directory.adopt(rules):
            self._log(
                "configuration_adopted",
                version=rules.version,
                routes=len(rules.routes),
                revision=stored.version,
            )
            return
        current = self._directory.rules
        if current is None or rules.version == current.version:
            return
        if stored.version != self._older_rules_version:
            self._older_rules_version = stored.version
            self._log(
                "configuration_older",
                version=rules.version,
                in_force=current.version,
                revision=stored.version,
            )

    def run_expiry(self, timer: Timer) -> None:
        """Remove endpoints that stay missing, until the timer service closes."""
        for _ in timer.every(EXPIRY_PERIOD_S):
            for id in self._directory.expire():
                self._log("endpoint_expired", endpoint=id)

    def _is_in_grace_period(self) -> bool:
        if self._store_returned_s is None:
            return False
        return self._clock() - self._store_returned_s < MISSING_GRACE_S
