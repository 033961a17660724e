"""What the store says of rules and endpoints, taken into the directory."""

import time
from collections.abc import Callable

from camphoryard.coordination.forwarding.parts import DecisionLog
from camphoryard.coordination.ports import Snapshot, Stored, Timer
from camphoryard.state.directory import MISSING_GRACE_S, Directory
from camphoryard.state.ids import EndpointId
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.traffic import TrafficRules

EXPIRY_PERIOD_S = 0.25


class DirectoryFeed:
    """Takes listings and changes into a directory, logging what they change.

    Entries that lapsed while the store was out come back soon after its return,
    so those missing in a listing then still count for ``MISSING_GRACE_S``. One
    that is removed while it is watched has left.
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
        self._returned_s: float | None = None
        self._was_out = False

    def answering(self, answers: bool) -> None:
        """Note that the store has begun or ceased to answer."""
        self._was_out = not answers
        self._log("store_regained" if answers else "store_lost", of="endpoints")

    def list_endpoints(self, snapshot: Snapshot[ServingEndpoint]) -> None:
        """Take in a listing of all endpoints."""
        if self._was_out:
            self._returned_s = self._clock()
        endpoints = [item.record for item in snapshot.items if item.record is not None]
        gone = self._directory.replace_all(endpoints, self._is_returning())
        self._log(
            "endpoints_listed",
            count=len(endpoints),
            missing=",".join(gone),
            revision=snapshot.revision,
            after_outage=self._is_returning(),
        )

    def take_endpoint(self, stored: Stored[ServingEndpoint]) -> None:
        """Take in one endpoint that has come, changed or gone."""
        id = EndpointId(stored.key)
        endpoint = stored.record
        before = self._directory.find(id)
        if endpoint is None:
            self._directory.remove(id)
            self._log("endpoint_removed", endpoint=id, revision=stored.version)
            return
        self._directory.observe(endpoint)
        if before is None or before.state is not endpoint.state:
            self._log(
                "endpoint_seen",
                endpoint=id,
                service=endpoint.service,
                state=endpoint.state.value,
                zone=endpoint.zone,
                revision=stored.version,
            )

    def take_rules(self, stored: Stored[TrafficRules]) -> None:
        """Put newer rules in force."""
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

    def run_expiry(self, timer: Timer) -> None:
        """Forget endpoints that stay missing, until the timer service closes."""
        for _ in timer.every(EXPIRY_PERIOD_S):
            for id in self._directory.expire():
                self._log("endpoint_expired", endpoint=id)

    def _is_returning(self) -> bool:
        if self._returned_s is None:
            return False
        return self._clock() - self._returned_s < MISSING_GRACE_S
