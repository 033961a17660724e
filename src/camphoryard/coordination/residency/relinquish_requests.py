"""Requests to previous owners of an endpoint to stop sending it orders."""

import time

from camphoryard.coordination.messages import RelinquishReply, RelinquishRequest
from camphoryard.coordination.residency.residency_context import ResidencyContext
from camphoryard.coordination.residency.unconfirmed_loads import UnconfirmedLoads
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.ids import EndpointId

REQUEST_PERIOD_S = 2.0
REQUEST_TIMEOUT_S = 0.5


class RelinquishRequester:
    """Periodically asks previous owners with unconfirmed loads to stop sending."""

    def __init__(
        self,
        endpoint_id: EndpointId,
        context: ResidencyContext,
        unconfirmed: UnconfirmedLoads,
    ) -> None:
        self._id = endpoint_id
        self._context = context
        self._unconfirmed = unconfirmed
        self._requested_s = 0.0

    def send(self, record: EndpointRecord) -> None:
        """Ask the live previous owners to send no more orders."""
        now_s = time.monotonic()
        possible_senders = self._unconfirmed.possible_senders(record)
        if not possible_senders or now_s - self._requested_s < REQUEST_PERIOD_S:
            return
        self._requested_s = now_s
        alive = {lease.node: lease.incarnation for lease in self._context.nodes.alive()}
        for node, incarnation in possible_senders.items():
            if alive.get(node) != incarnation:
                continue
            message = RelinquishRequest(self._id, incarnation, record.fence)
            try:
                reply = self._context.peers.request(node, message, REQUEST_TIMEOUT_S)
            except PeerUnreachableError:
                continue
            if isinstance(reply, RelinquishReply):
                self._unconfirmed.record_relinquished(
                    record, incarnation, reply.unanswered
                )
                self._context.timeline.record(
                    "given_up",
                    endpoint=self._id,
                    by=node,
                    unanswered=len(reply.unanswered),
                )
