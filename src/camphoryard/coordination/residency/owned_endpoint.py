"""The task of one owned endpoint: the only task that writes its record.

The steps always have this order: write the intent, send the order, read the
engine's inventory until it confirms the order, write the confirmation. If a step
fails, the memory stays reserved. All record changes of a step share one write, and
the engine may run several loads at once.
"""

import time
from concurrent.futures import Future
from dataclasses import replace
from itertools import islice

from camphoryard.coordination.membership.missed_rounds import MissedRounds
from camphoryard.coordination.placement.residency_plan import (
    PlanningContext,
    ResidencyPlan,
)
from camphoryard.coordination.ports import Inventory, Ticks, Timer
from camphoryard.coordination.residency.order_sending import (
    OrderSender,
    with_raised_fence,
)
from camphoryard.coordination.residency.orders import (
    EndpointOrders,
    OrderAbortedError,
    OrderStatus,
)
from camphoryard.coordination.residency.owned_record import OwnedRecord
from camphoryard.coordination.residency.reconciliation import Evidence, reconcile
from camphoryard.coordination.residency.relinquish_requests import RelinquishRequester
from camphoryard.coordination.residency.residency_context import ResidencyContext
from camphoryard.coordination.residency.residency_requests import (
    EngineUnresponsiveError,
    LoadFailedError,
    LoadRequest,
    PendingRequests,
    ResidencyRequest,
)
from camphoryard.coordination.residency.unconfirmed_loads import UnconfirmedLoads
from camphoryard.state.configuration import Endpoint, item_memory_mb
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import OrderKind
from camphoryard.state.errors import (
    BrokenCallError,
    ConflictError,
    NotSentError,
    StoreUnavailableError,
)
from camphoryard.state.ids import EndpointId, ItemId, OrderId

CHECK_PERIOD_S = 0.5
CONFIRM_PERIOD_S = 0.02
FAST_STEPS = 50
SLOW_CONFIRM_PERIOD_S = 0.1
PROCESS_PAUSE_S = 2.0


class OwnedEndpoint:
    """Runs one endpoint while it is assigned to this node."""

    def __init__(
        self, endpoint_id: EndpointId, context: ResidencyContext, orders: EndpointOrders
    ) -> None:
        self._id = endpoint_id
        self._context = context
        self._orders = orders
        self._owned_record = OwnedRecord(endpoint_id, context)
        self._sender = OrderSender(
            endpoint_id, context.identity, orders, context.timeline
        )
        self._silence = MissedRounds(orders.status)
        self._unconfirmed = UnconfirmedLoads(
            context.identity.incarnation,
            orders,
            self._owned_record.has_ended,
            context.order_lifetime_s,
            context.orders_may_be_copied,
        )
        self._requester = RelinquishRequester(endpoint_id, context, self._unconfirmed)
        self._requests = PendingRequests()
        self._ticks: Ticks | None = None

    def submit(self, request: ResidencyRequest) -> "Future[None]":
        """Submit a request and return the future of its completion."""
        completion = self._requests.add(request)
        if self._ticks is not None:
            self._ticks.wake()
        return completion

    def run(self, timer: Timer) -> None:
        """Run until the endpoint is assigned to another node."""
        self._ticks = timer.every(CHECK_PERIOD_S)
        ticked_s = time.monotonic()
        try:
            for _ in self._ticks:
                if not self._owned_record.is_assigned_here():
                    return
                now_s = time.monotonic()
                if now_s - ticked_s >= PROCESS_PAUSE_S:
                    self._owned_record.restart_takeover_delay()
                self._run_steps(timer)
                ticked_s = time.monotonic()
        finally:
            self._requests.fail_all(ConflictError(f"{self._id} has another owner"))

    def _run_steps(self, timer: Timer) -> None:
        """Run steps while orders are open; less often after ``FAST_STEPS`` steps."""
        try:
            for _ in islice(timer.every(CONFIRM_PERIOD_S), FAST_STEPS):
                if not self._owned_record.is_assigned_here() or not self._step():
                    return
            for _ in timer.every(SLOW_CONFIRM_PERIOD_S):
                if not self._owned_record.is_assigned_here() or not self._step():
                    return
        except EngineUnresponsiveError as error:
            self._requests.fail_all(error)
        except (StoreUnavailableError, ConflictError, OrderAbortedError) as error:
            self._requests.fail_all(error)
            self._owned_record.refresh()

    def _step(self) -> bool:
        """Reconcile, plan and send once; return whether orders are open."""
        endpoint = self._owned_record.endpoint()
        if endpoint is None:
            return False
        record = self._owned_record.acquire(endpoint)
        if record is None:
            return False
        undeliverable = self._unconfirmed.undeliverable(record)
        inventory = self._fetch_inventory(endpoint, record)
        record = self._advance(endpoint, record, inventory, undeliverable)
        self._sender.send_all(endpoint, record)
        self._sender.send_fence(endpoint, record, inventory)
        self._requester.send(record)
        return bool(record.intents_by_item)

    def _advance(
        self,
        endpoint: Endpoint,
        before: EndpointRecord,
        inventory: Inventory,
        undeliverable: frozenset[OrderId],
    ) -> EndpointRecord:
        """Write the reconciled record with the next intents, and return it."""
        reconciled = self._reconcile(endpoint, before, inventory, undeliverable)
        plan = self._plan(reconciled, inventory)
        record = plan.add_intents()
        if record != before:
            record = self._owned_record.write(record)
            self._record_changes(before, reconciled, record)
        self._fail_unsuccessful_loads(before, reconciled)
        for completed in plan.completed:
            self._requests.complete(completed)
        self._sender.forget_stale(record)
        return record

    def _fetch_inventory(self, endpoint: Endpoint, record: EndpointRecord) -> Inventory:
        try:
            inventory = self._context.engines.inventory(endpoint)
        except (NotSentError, BrokenCallError) as error:
            after = self._silence.count_round(record)
            if after != record:
                self._owned_record.write(after)
            raise EngineUnresponsiveError(f"{self._id} did not answer") from error
        self._silence.reset()
        return inventory

    def _reconcile(
        self,
        endpoint: Endpoint,
        before: EndpointRecord,
        inventory: Inventory,
        undeliverable: frozenset[OrderId],
    ) -> EndpointRecord:
        evidence = Evidence(
            inventory,
            endpoint.checks_fencing,
            self._orders.status,
            undeliverable,
            self._unrecorded_size_mb,
            self._context.orders_may_be_copied and not endpoint.checks_fencing,
        )
        return replace(reconcile(before, evidence), is_silent=False)

    def _unrecorded_size_mb(self, item: ItemId) -> int:
        """Return an item's configured size in MB, else the endpoint's whole memory."""
        configured_mb = item_memory_mb(self._context.configuration.current, item)
        endpoint = self._owned_record.endpoint()
        whole_mb = endpoint.memory_mb if endpoint is not None else 0
        return configured_mb if configured_mb is not None else whole_mb

    def _record_changes(
        self, before: EndpointRecord, reconciled: EndpointRecord, after: EndpointRecord
    ) -> None:
        loaded = (
            reconciled.resident_mb_by_item.keys() - before.resident_mb_by_item.keys()
        )
        unloaded = (
            before.resident_mb_by_item.keys() - reconciled.resident_mb_by_item.keys()
        )
        for item in sorted(loaded):
            self._record_event("resident", item=item)
        for item in sorted(unloaded):
            self._record_event("unloaded", item=item)
        for item, intent in after.intents_by_item.items():
            if intent != before.intents_by_item.get(item):
                self._record_event("intent", item=item, kind=intent.kind.value)

    def _fail_unsuccessful_loads(
        self, before: EndpointRecord, after: EndpointRecord
    ) -> None:
        for request in self._requests.unexpired():
            intent = before.intents_by_item.get(request.item)
            if intent is None or request.item in after.intents_by_item:
                continue
            if intent.kind is not OrderKind.LOAD or not isinstance(
                request, LoadRequest
            ):
                continue
            if request.item in after.resident_mb_by_item:
                continue
            status = self._orders.status(intent.order_id)
            if status is not OrderStatus.FENCED:
                error = LoadFailedError(f"{request.item} at {self._id}: {status.value}")
                self._requests.fail(request, error)

    def _plan(self, reconciled: EndpointRecord, inventory: Inventory) -> ResidencyPlan:
        requests = self._requests.unexpired()
        record = self._sender.resend_loads(
            with_raised_fence(reconciled, inventory),
            {request.item for request in requests},
        )
        surroundings = PlanningContext(
            self._context.occupancy, self._context.eviction, self._sender.intent
        )
        return ResidencyPlan(record, requests, surroundings)

    def _record_event(self, name: str, **fields: object) -> None:
        self._context.timeline.record(name, endpoint=self._id, **fields)
