"""Asking earlier owners of an endpoint to send it nothing more."""

import time

from camphoryard.coordination.messages import RelinquishReply, RelinquishRequest
from camphoryard.coordination.residency.residency_context import ResidencyContext
from camphoryard.coordination.residency.unconfirmed_loads import Doubts
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.ids import EndpointId

GIVE_UP_PERIOD_S = 2.0
GIVE_UP_TIMEOUT_S = 0.5


class GiveUpAsker:
    """Asks earlier owners whose loads are in doubt, now and then."""

    def __init__(
        self, endpoint_id: EndpointId, parts: ResidencyContext, doubts: Doubts
    ) -> None:
        self._id = endpoint_id
        self._parts = parts
        self._doubts = doubts
        self._asked_s = 0.0

    def ask(self, record: EndpointRecord) -> None:
        """Ask earlier owners that are alive to send nothing more."""
        now_s = time.monotonic()
        unheard = self._doubts.unheard(record)
        if not unheard or now_s - self._asked_s < GIVE_UP_PERIOD_S:
            return
        self._asked_s = now_s
        alive = {lease.node: lease.incarnation for lease in self._parts.nodes.alive()}
        for node, incarnation in unheard.items():
            if alive.get(node) != incarnation:
                continue
            message = RelinquishRequest(self._id, incarnation, record.fence)
            try:
                reply = self._parts.peers.ask(node, message, GIVE_UP_TIMEOUT_S)
            except PeerUnreachableError:
                continue
            if isinstance(reply, RelinquishReply):
                self._doubts.given_up(record, incarnation, reply.unanswered)
                self._parts.timeline.record(
                    "given_up",
                    endpoint=self._id,
                    by=node,
                    unanswered=len(reply.unanswered),
                )
