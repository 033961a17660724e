"""The node that has the duty orders the engines.

All orders to one engine go through its book, which numbers them; one task for each
engine carries out the moves of models, as an engine does one at a time. Adapters
move beside them, in the task that asks for one.
"""

import threading
import time
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from concurrent.futures import Executor
from dataclasses import dataclass
from typing import TypeAlias

from camphoryard.coordination.duty.keeper import NO_TERM, DutyKeeper
from camphoryard.coordination.forwarding.parts import DecisionLog
from camphoryard.coordination.loading.book import EngineBook
from camphoryard.coordination.loading.coverage import (
    CoveragePolicy,
    EngineView,
    FleetView,
    LoadMove,
    best_load,
    plan_copies,
    plan_preload,
)
from camphoryard.coordination.loading.ports import (
    EngineOrder,
    EngineOrders,
    OrderAnswer,
)
from camphoryard.coordination.loading.store_rate import StoreRate
from camphoryard.coordination.ports import Timer
from camphoryard.state.demand import ItemDemand
from camphoryard.state.directory import Directory
from camphoryard.state.enums import OrderKind
from camphoryard.state.errors import BrokenCallError, NotSentError
from camphoryard.state.ids import EndpointId, ItemId, ModelId, NodeId, ServiceId
from camphoryard.state.serving_endpoints import EndpointState
from camphoryard.state.traffic import WantedModel

PLAN_PERIOD_S = 0.25
POLL_PERIOD_S = 0.2
UNLOAD_LIMIT_S = 20.0
"""An unload waits for the runs on its model, which last some seconds."""
LEAST_LOAD_SHARE = 0.8
"""Before this part of its stated time no load is over, and nothing is asked."""
LOAD_LIMIT_FACTOR = 4.0
"""Loads take longer than stated while many run at once."""
LOAD_LIMIT_EXTRA_S = 3.0
ADAPTER_ARRIVAL_S = 0.025
ADAPTER_REST_S = 1.5
"""An adapter that was asked for so short a time ago is not the one to make room."""
REPORT_LAG_S = 0.25
"""Reports are as of so long ago; one asked for sooner may lack the last order."""
UNLOAD_ESTIMATE_S = 1.5
"""Runs on a model that leaves take about as long to end."""
QUEUE_ESTIMATE_S = 2.0
"""Until an engine is free for another move, where all are moving."""
ADAPTER_ESTIMATE_S = 0.2
"""Until an adapter place falls free, where all are in use."""
ADAPTERS_ON_THEIR_WAY = 4
"""The most that an engine takes in at once."""
ORDER_TRIES = 3
STEADY_WEIGHT = 0.3
"""What the demand of the last half minute counts beside that of the last seconds: a
model that was asked for and is not now may be again."""
SILENCE_LIFE_S = 3.0
"""How long an engine that does not answer counts as gone; its entry lapses after
about as long."""
WANT_LIFE_S = 3.0
"""How long a model counts as wanted after the last request for it."""


@dataclass(frozen=True, slots=True)
class Held:
    """An item can be used at ``endpoint``."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class Coming:
    """An item will be held somewhere in about ``in_s`` seconds."""

    in_s: float


@dataclass(frozen=True, slots=True)
class NotProvided:
    """The node asked cannot have the item loaded."""


Provision: TypeAlias = Held | Coming | NotProvided


@dataclass(slots=True)
class _Want:
    """A model that requests wait for, until ``until_s``."""

    service: ServiceId
    until_s: float


@dataclass(frozen=True, slots=True)
class OrderingParts:
    """What the ordering tasks work with; ``demand`` is that of all nodes."""

    node: NodeId
    directory: Directory
    duty: DutyKeeper
    orders: EngineOrders
    demand: Callable[[], Mapping[ItemId, ItemDemand]]
    load: Callable[[EndpointId], float]
    executor: Executor
    timer: Timer
    log: DecisionLog
    count: Callable[[str], None]
    policy: CoveragePolicy = CoveragePolicy()
    clock: Callable[[], float] = time.monotonic


class Orderer:
    """Decides and carries out what engines hold, while this node has the duty."""

    def __init__(self, parts: OrderingParts) -> None:
        self._parts = parts
        self._lock = threading.Lock()
        self._book_by_id: dict[EndpointId, EngineBook] = {}
        self._moving: set[EndpointId] = set()
        self._silent_until_s: dict[EndpointId, float] = {}
        self._want_by_model: dict[ModelId, _Want] = {}
        self._changed = threading.Condition()
        self._rate = StoreRate(parts.clock)
        self._term = NO_TERM

    @property
    def has_duty(self) -> bool:
        """Whether this node may order engines now."""
        return self._parts.duty.term != NO_TERM

    def run(self, timer: Timer) -> None:
        """Plan moves until the timer service closes."""
        for _ in timer.every(PLAN_PERIOD_S):
            self._note_term()
            if self.has_duty:
                self.plan()

    def provide(
        self,
        service: ServiceId,
        wanted: WantedModel,
        avoid: Collection[EndpointId] = (),
    ) -> Provision:
        """Have ``wanted`` loaded somewhere, and return where or when it will be.

        An adapter is waited for, which takes some hundredths of a second. Engines
        in ``avoid`` could not be reached; those that do not answer here either
        count as gone for a while.
        """
        if not self.has_duty or not self._is_configured(service, wanted.model):
            return NotProvided()
        self._check_reached(avoid)
        books = self._holders(service, wanted.model)
        if books:
            found = self._provide_at(books, wanted)
            return Held(found) if found else Coming(self._adapter_estimate_s(books))
        self._want(service, wanted.model)
        return Coming(self._estimate_s(service, wanted.model))

    def plan(self) -> None:
        """Start the moves that are worth it: what is waited for, then copies."""
        self.look()
        now_s = self._parts.clock()
        with self._lock:
            self._want_by_model = {
                model: want
                for model, want in self._want_by_model.items()
                if want.until_s > now_s
            }
            wants = list(self._want_by_model.items())
        for model, want in wants:
            if not self._holders(want.service, model):
                self._start_wanted(want.service, model)
        for service in self._services():
            view = self._view(service)
            move = plan_copies(self._parts.policy, view)
            if move is not None:
                self._start(service, move, "demand")
                continue
            move = plan_preload(self._parts.policy, view)
            if move is not None:
                self._start(service, move, "room")
            self._fill_adapter_places(service)

    def _fill_adapter_places(self, service: ServiceId) -> None:
        """Load adapters held nowhere where places are free, one at each engine."""
        books = self._books(service)
        held = {
            WantedModel(model, adapter)
            for book in books
            for model in book.models
            for adapter in book.adapters(model)
        }
        for book in books:
            item = next(iter(missing_adapters(book, held)), None)
            if item is not None and book.takes_adapters and not book.arriving:
                held.add(item)
                self._parts.executor.submit(self._load_adapter, book, item)

    def look(self) -> None:
        """Bring what is known of the engines up to date."""
        self._refresh()
        self._ask_unknown()

    def _note_term(self) -> None:
        """Begin anew in a new term: what was ordered meanwhile is not known."""
        term = self._parts.duty.term
        if term == self._term:
            return
        self._term = term
        with self._lock:
            self._book_by_id.clear()
        self._rate.reset(0.0)

    def _refresh(self) -> None:
        """Bring the books up to the engines' entries."""
        rules = self._parts.directory.rules
        if rules is None:
            return
        seen = self._parts.directory.endpoints_by_id()
        with self._lock:
            for id in self._book_by_id.keys() - seen.keys():
                del self._book_by_id[id]
            for endpoint in seen.values():
                spec = rules.services_by_id.get(endpoint.service)
                if spec is None or spec.engine is None:
                    continue
                book = self._book_by_id.get(endpoint.id)
                if book is None:
                    self._book_by_id[endpoint.id] = EngineBook(
                        endpoint, spec.engine, self._parts.clock
                    )
                else:
                    book.spec = spec.engine
                    book.saw(endpoint)

    def _ask_unknown(self) -> None:
        """Ask the engines of which this term knows nothing, or a move of another.

        Each question is priced, so an engine is asked once in a while only.
        """
        with self._lock:
            books = [
                book
                for book in self._book_by_id.values()
                if (book.orders is None or book.is_engine_busy)
                and book.endpoint.id not in self._moving
                and not book.is_resting
            ]
        for book in books:
            self._ask(book)
            if book.orders is None or book.is_engine_busy:
                book.rest()

    def _check_reached(self, avoid: Collection[EndpointId]) -> None:
        """Note which of the engines that a node could not reach are silent."""
        now_s = self._parts.clock()
        for id in avoid:
            with self._lock:
                book = self._book_by_id.get(id)
                known = self._silent_until_s.get(id, 0.0) > now_s
            if book is None or known:
                continue
            try:
                self._parts.orders.report(book.endpoint)
            except (NotSentError, BrokenCallError) as error:
                with self._lock:
                    self._silent_until_s[id] = now_s + SILENCE_LIFE_S
                self._parts.log("engine_silent", endpoint=id, error=repr(error))

    def _is_silent(self, book: EngineBook) -> bool:
        until_s = self._silent_until_s.get(book.endpoint.id, 0.0)
        return self._parts.clock() < until_s

    def _books(self, service: ServiceId) -> list[EngineBook]:
        self._refresh()
        with self._lock:
            books = [x for x in self._book_by_id.values() if not self._is_silent(x)]
        return [
            book
            for book in books
            if book.endpoint.service == service
            and book.endpoint.state is EndpointState.READY
        ]

    def _holders(self, service: ServiceId, model: ModelId) -> list[EngineBook]:
        return [book for book in self._books(service) if model in book.models]

    def _services(self) -> Iterable[ServiceId]:
        rules = self._parts.directory.rules
        if rules is None:
            return ()
        return [
            id for id, spec in rules.services_by_id.items() if spec.engine is not None
        ]

    def _is_configured(self, service: ServiceId, model: ModelId) -> bool:
        rules = self._parts.directory.rules
        spec = rules.services_by_id.get(service) if rules else None
        return (
            spec is not None
            and spec.engine is not None
            and model in spec.engine.models_by_id
        )

    def _want(self, service: ServiceId, model: ModelId) -> None:
        """Note that requests wait for ``model``; start its load if it is new."""
        now_s = self._parts.clock()
        with self._lock:
            is_new = model not in self._want_by_model
            self._want_by_model[model] = _Want(service, now_s + WANT_LIFE_S)
        if is_new:
            self._start_wanted(service, model)

    def _estimate_s(self, service: ServiceId, model: ModelId) -> float:
        """Return about how long it is until some engine holds ``model``."""
        books = self._books(service)
        loading = [book for book in books if book.loading == model]
        if not loading:
            specs = [book.spec.models_by_id[model] for book in books[:1]]
            return QUEUE_ESTIMATE_S + sum(spec.disk_load_s for spec in specs)
        now_s = self._parts.clock()
        return min(self._move_estimate_s(book, model, now_s) for book in loading)

    def _adapter_estimate_s(self, books: list[EngineBook]) -> float:
        """Return about how long it is until some engine takes an adapter."""
        if any(book.takes_adapters for book in books):
            return ADAPTER_ESTIMATE_S
        now_s = self._parts.clock()
        return min(
            self._move_estimate_s(book, book.loading, now_s)
            if book.loading
            else QUEUE_ESTIMATE_S
            for book in books
        )

    def _move_estimate_s(self, book: EngineBook, model: ModelId, now_s: float) -> float:
        spec = book.spec.models_by_id.get(model)
        if spec is None:
            return QUEUE_ESTIMATE_S
        is_on_hand = model in book.endpoint.on_hand
        load_s = spec.disk_load_s if is_on_hand else spec.load_s
        left_s = load_s + UNLOAD_ESTIMATE_S - (now_s - book.move_began_s)
        return max(POLL_PERIOD_S, left_s)

    def _start_wanted(self, service: ServiceId, model: ModelId) -> None:
        view = self._view(service)
        if model in view.copies_by_model or model not in view.spec_by_model:
            return
        found = best_load(self._parts.policy, view, model)
        if found is not None:
            self._start(service, found[0], "wanted")

    def _view(self, service: ServiceId) -> FleetView:
        """Return the engines of a service and the demand for its models."""
        books = self._books(service)
        with self._lock:
            moving = frozenset(self._moving)
            wanted = frozenset(self._want_by_model)
        policy = self._parts.policy
        adapter_slots = self._adapter_slots(books)
        engines = tuple(
            EngineView(
                book.endpoint.id,
                book.free_mb,
                book.committed_mb_by_model,
                frozenset(
                    model
                    for model in book.models
                    if book.held_s(model) < policy.min_residency_s
                    or (model in wanted and book.held_s(model) < WANT_LIFE_S)
                ),
                book.endpoint.on_hand,
                book.endpoint.id in moving
                or book.orders is None
                or book.is_resting
                or book.is_engine_busy,
                sum(adapter_slots.get(model, 0.0) for model in book.models),
            )
            for book in books
        )
        specs = books[0].spec.models_by_id if books else {}
        return FleetView(engines, self._demand_by_model(specs), specs)

    def _adapter_slots(self, books: list[EngineBook]) -> dict[ModelId, float]:
        """Return the demand for a model's adapters that each of its copies has."""
        slots: dict[ModelId, float] = {}
        for item, demand in self._parts.demand().items():
            model, _, adapter = item.partition(":")
            if adapter:
                known = slots.get(ModelId(model), 0.0)
                slots[ModelId(model)] = known + demand.fast
        return {
            model: total / max(1, sum(model in book.models for book in books))
            for model, total in slots.items()
        }

    def _demand_by_model(self, models: Iterable[ModelId]) -> dict[ModelId, float]:
        known = frozenset(models)
        slots: dict[ModelId, float] = {}
        for item, demand in self._parts.demand().items():
            model = ModelId(item.partition(":")[0])
            if model in known:
                steady = STEADY_WEIGHT * demand.slow
                slots[model] = slots.get(model, 0.0) + max(demand.fast, steady)
        return slots

    def _start(self, service: ServiceId, move: LoadMove, cause: str) -> None:
        """Have the engine's task carry out a move, unless the rate forbids it."""
        rules = self._parts.directory.rules
        spec = rules.services_by_id[service].engine if rules else None
        with self._lock:
            book = self._book_by_id.get(move.engine)
            if spec is None or book is None or move.engine in self._moving:
                return
            if move.from_store and not self._rate.take(spec.loads_per_s):
                return
            self._moving.add(move.engine)
            book.begin(move.model)
        self._parts.log(
            "move_started",
            endpoint=move.engine,
            load=move.model,
            unload=",".join(move.evicted),
            from_store=move.from_store,
            cause=cause,
            term=self._parts.duty.term,
        )
        self._parts.executor.submit(self._carry_out, book, move)

    def _carry_out(self, book: EngineBook, move: LoadMove) -> None:
        """Unload what has to go, then load, waiting for the engine each time."""
        done = False
        began_s = self._parts.clock()
        try:
            done = all(self._unload(book, model) for model in move.evicted)
            done = done and self._load(book, move.model)
        except (NotSentError, BrokenCallError) as error:
            self._parts.log("move_broken", endpoint=move.engine, error=repr(error))
        finally:
            book.end()
            with self._lock:
                self._moving.discard(move.engine)
            with self._changed:
                self._changed.notify_all()
        self._parts.count("moves_done" if done else "moves_failed")
        self._parts.log(
            "move_ended",
            endpoint=move.engine,
            load=move.model,
            done=done,
            took_ms=round((self._parts.clock() - began_s) * 1000),
        )

    def _unload(self, book: EngineBook, model: ModelId) -> bool:
        book.unloading = model
        if not self._order(book, OrderKind.UNLOAD, WantedModel(model)):
            return False
        if not self._await(book, 0.0, UNLOAD_LIMIT_S, lambda held: model not in held):
            return False
        book.model_left(model)
        return True

    def _load(self, book: EngineBook, model: ModelId) -> bool:
        spec = book.spec.models_by_id.get(model)
        if spec is None:
            return False
        with book.calls:
            if not self._ask_until_current(book):
                return False
            answer = self._send(book, OrderKind.LOAD, WantedModel(model))
        if answer not in (OrderAnswer.ACCEPTED, OrderAnswer.DONE):
            return False
        limit_s = spec.load_s * LOAD_LIMIT_FACTOR + LOAD_LIMIT_EXTRA_S
        is_on_hand = model in book.endpoint.on_hand
        least_s = spec.disk_load_s if is_on_hand else spec.load_s
        ask_from_s = self._parts.clock() + least_s * LEAST_LOAD_SHARE
        if not self._await(book, ask_from_s, limit_s, lambda held: model in held):
            return False
        book.model_came(model)
        self._parts.directory.learned(book.endpoint.id, WantedModel(model))
        return True

    def _await(
        self,
        book: EngineBook,
        ask_from_s: float,
        limit_s: float,
        holds: Callable[[frozenset[ModelId]], bool],
    ) -> bool:
        """Block until the engine has carried out its order; ask it now and then."""
        until_s = self._parts.clock() + limit_s
        ordered = book.orders or 0
        started_ms = book.endpoint.started_ms
        for _ in self._parts.timer.every(POLL_PERIOD_S):
            if self._parts.clock() >= until_s:
                return False
            if self._parts.clock() < ask_from_s:
                continue
            current = self._parts.directory.find(book.endpoint.id)
            if current is None or current.started_ms != started_ms:
                return False
            try:
                report = self._parts.orders.report(book.endpoint)
            except (NotSentError, BrokenCallError):
                continue
            if report.orders_accepted < ordered:
                continue
            if holds(frozenset(report.held_by_model)):
                return True
            if not report.is_busy and not report.running:
                return False
        return False

    def _order(self, book: EngineBook, kind: OrderKind, item: WantedModel) -> bool:
        """Send an order; return whether the engine took it."""
        with book.calls:
            answer = self._send(book, kind, item)
        return answer in (OrderAnswer.ACCEPTED, OrderAnswer.DONE)

    def _send(
        self, book: EngineBook, kind: OrderKind, item: WantedModel
    ) -> OrderAnswer | None:
        """Send an order until it is answered; the caller holds ``book.calls``.

        Sent again with the same number, it can take effect only once.
        """
        for _ in range(ORDER_TRIES):
            term = self._parts.duty.term
            if term == NO_TERM:
                return None
            if book.orders is None and not self._ask(book):
                break
            if not _is_safe(book, kind, item):
                break
            assert book.orders is not None
            order = EngineOrder(kind, item, self._parts.node, term, book.orders)
            try:
                answer = self._parts.orders.order(book.endpoint, order)
            except (NotSentError, BrokenCallError) as error:
                self._log_order(book, order, None, repr(error))
                self._ask(book)
                continue
            self._log_order(book, order, answer, "")
            match answer:
                case OrderAnswer.ACCEPTED:
                    book.accepted()
                    return answer
                case OrderAnswer.DONE:
                    # Whether the engine counted it is not told.
                    self._ask_again(book)
                    return answer
                case OrderAnswer.FENCED:
                    self._parts.duty.fenced(term)
                    return answer
                case OrderAnswer.BUSY:
                    self._ask_again(book)
                case OrderAnswer.REFUSED:
                    book.rest()
                    return answer
        book.rest()
        return None

    def _ask_again(self, book: EngineBook) -> None:
        """Ask the engine once its reports include the last order."""
        self._await_report()
        self._ask(book)

    def _await_report(self) -> None:
        with self._changed:
            self._changed.wait(REPORT_LAG_S)

    def _ask(self, book: EngineBook) -> bool:
        """Ask the engine what it holds; return whether its report is current."""
        try:
            report = self._parts.orders.report(book.endpoint)
        except (NotSentError, BrokenCallError) as error:
            self._parts.log(
                "report_failed", endpoint=book.endpoint.id, error=repr(error)
            )
            return False
        return book.reported(report)

    def _ask_until_current(self, book: EngineBook) -> bool:
        """Ask until the engine's report includes the last order; False if none does."""
        for _ in range(ORDER_TRIES):
            if self._ask(book):
                return True
            self._await_report()
        return False

    def _log_order(
        self,
        book: EngineBook,
        order: EngineOrder,
        answer: OrderAnswer | None,
        error: str,
    ) -> None:
        self._parts.count(f"orders_{answer.value if answer else 'unanswered'}")
        self._parts.log(
            "order",
            endpoint=book.endpoint.id,
            kind=order.kind.value,
            model=order.item.model,
            adapter=order.item.adapter or "",
            expected=order.expected,
            term=order.term,
            answer=answer.value if answer else "",
            error=error,
        )

    def _provide_at(
        self, books: list[EngineBook], wanted: WantedModel
    ) -> EndpointId | None:
        """Return where ``wanted`` can be used, having its adapter loaded if need be."""
        holding = [book for book in books if book.holds(wanted)]
        if holding:
            book = min(holding, key=self._filling)
            book.used(wanted)
            return book.endpoint.id
        for book in sorted(books, key=self._adapter_order):
            if not book.takes_adapters:
                continue
            if self._load_adapter(book, wanted):
                book.used(wanted)
                self._parts.directory.learned(book.endpoint.id, wanted)
                return book.endpoint.id
        return None

    def _filling(self, book: EngineBook) -> float:
        return self._parts.load(book.endpoint.id)

    def _adapter_order(self, book: EngineBook) -> tuple[bool, float]:
        """Put engines with a free adapter place first, then the least loaded."""
        is_full = book.adapter_count >= book.spec.adapter_places
        return is_full, self._filling(book)

    def _load_adapter(self, book: EngineBook, wanted: WantedModel) -> bool:
        """Order an adapter, making room for it; return whether it is on its way."""
        with book.calls:
            if book.holds(wanted):
                return True
            if wanted.model not in book.models:
                return False
            if book.arriving >= ADAPTERS_ON_THEIR_WAY:
                return False
            if not self._make_adapter_room(book):
                return False
            answer = self._send(book, OrderKind.LOAD, wanted)
            if answer not in (OrderAnswer.ACCEPTED, OrderAnswer.DONE):
                return False
            book.adapter_ordered(wanted)
        if answer is OrderAnswer.ACCEPTED:
            self._await_adapter()
        return True

    def _make_adapter_room(self, book: EngineBook) -> bool:
        """Unload the adapter unused for longest if all places are taken."""
        if book.adapter_count < book.spec.adapter_places:
            return True
        held = [
            WantedModel(model, adapter)
            for model in book.models
            for adapter in book.adapters(model)
        ]
        victim = max(held, key=book.unused_s)
        if book.unused_s(victim) < ADAPTER_REST_S or book.is_arriving(victim):
            return False
        answer = self._send(book, OrderKind.UNLOAD, victim)
        if answer is OrderAnswer.DONE:
            book.adapter_left(victim)
            return True
        # It is in use and leaves later, or not at all: its place is not free.
        book.used(victim)
        return False

    def _await_adapter(self) -> None:
        """Block for as long as most adapters take to arrive."""
        with self._changed:
            self._changed.wait(ADAPTER_ARRIVAL_S)


def missing_adapters(
    book: EngineBook, held: Collection[WantedModel]
) -> Iterator[WantedModel]:
    """Yield adapters that a free place of an engine could hold, of its models."""
    if book.adapter_count >= book.spec.adapter_places:
        return
    for model in sorted(book.models):
        spec = book.spec.models_by_id.get(model)
        for adapter in spec.adapters if spec else ():
            item = WantedModel(model, adapter)
            if item not in held:
                yield item


def _is_safe(book: EngineBook, kind: OrderKind, item: WantedModel) -> bool:
    """Return whether an order cannot overfill the engine, by the newest report.

    An engine that is busy may be loading what another node ordered, of which
    nothing but its being busy is told.
    """
    if kind is OrderKind.UNLOAD:
        return True
    if item.adapter is None:
        return not book.is_engine_busy and book.has_room_for(item.model)
    return book.has_room_for_adapter(item.model)
