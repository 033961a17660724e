"""Updates of the directory from traffic rules and endpoints in the store."""

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import replace

from camphoryard.coordination.ports import DecisionLog, Snapshot, Stored, Timer
from camphoryard.state.directory import MISSING_GRACE_S, Directory
from camphoryard.state.endpoint_relay import EndpointRelay, RelayedEndpoint
from camphoryard.state.ids import EndpointId, ObjectKey, Revision, StoreEra, Version
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

    Changes come from the store and, in a large fleet, from the leader. Neither takes
    the view back to an older revision.
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
        self._lock = threading.Lock()
        self._position = Revision(0)
        self._watched = Revision(0)
        self._rules_version = Version(0)

    @property
    def position(self) -> Revision:
        """Revision of the view; 0 before the first listing."""
        return self._position

    @property
    def rules_version(self) -> Version:
        """Version of the newest configuration object that was read, also unreadable."""
        return self._rules_version

    def record_availability(self, is_answering: bool) -> None:
        """Record that the store has started or stopped answering."""
        self._had_outage = not is_answering
        self._log("store_regained" if is_answering else "store_lost", of="endpoints")

    def apply_listing(self, snapshot: Snapshot[ServingEndpoint]) -> None:
        """Apply a listing of all endpoints, unless the view is newer."""
        with self._lock:
            self._watched = snapshot.revision
            if snapshot.revision < self._position:
                return
            self._replace_all(snapshot)
            self._position = snapshot.revision

    def apply_changes(self, snapshot: Snapshot[ServingEndpoint]) -> None:
        """Apply the changes since the last listing or changes from the store."""
        with self._lock:
            items = snapshot.items
            if self._position > self._watched:
                items = _last_of_each(items)
            self._watched = snapshot.revision
            if snapshot.revision < self._position:
                return
            for item in items:
                self.apply_endpoint(item)
            self._position = snapshot.revision

    def apply_relay(self, relay: EndpointRelay) -> bool:
        """Apply changes from the leader; return whether the view now contains them.

        It does not if there is no view, or changes between it and the relay are
        missing.
        """
        with self._lock:
            if not self._position or relay.since > self._position:
                return False
            if relay.until > self._position:
                for change in relay.changes:
                    self._apply_relayed(change, relay.until)
                self._position = relay.until
            return True

    def _apply_relayed(self, change: RelayedEndpoint, revision: Revision) -> None:
        endpoint = change.endpoint
        if endpoint is not None:
            known = self._directory.find(change.id)
            if known is not None:
                endpoint = replace(endpoint, on_hand=known.on_hand)
        elif self._directory.find(change.id) is None:
            return
        self.apply_endpoint(Stored(ObjectKey(change.id), Version(revision), endpoint))

    def _replace_all(self, snapshot: Snapshot[ServingEndpoint]) -> None:
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
        self._rules_version = max(self._rules_version, stored.version)
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


def _last_of_each(
    items: Iterable[Stored[ServingEndpoint]],
) -> tuple[Stored[ServingEndpoint], ...]:
    """Return the last change of each endpoint, as the view may contain the others."""
    return tuple({item.key: item for item in items}.values())
