"""One engine's moves: models unloaded and loaded, one after the other."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from camphoryard.coordination.forwarding.parts import DecisionLog
from camphoryard.coordination.loading.calls import TOOK, EngineCalls
from camphoryard.coordination.loading.coverage import LoadMove
from camphoryard.coordination.loading.engine_state import EngineState
from camphoryard.coordination.loading.ports import OrderAnswer
from camphoryard.coordination.ports import Timer
from camphoryard.state.directory import Directory
from camphoryard.state.enums import OrderKind
from camphoryard.state.errors import BrokenCallError, NotSentError
from camphoryard.state.ids import FencingNumber, ModelId
from camphoryard.state.traffic import ModelSpec, RequestedModel

POLL_PERIOD_S = 0.15
UNLOAD_LIMIT_S = 20.0
"""An unload waits for the runs on its model, which last some seconds."""
LEAST_LOAD_SHARE = 0.8
"""Before this part of its stated time no load is over, and nothing is asked."""
LOAD_LIMIT_FACTOR = 4.0
"""Loads take longer than stated while many run at once."""
LOAD_LIMIT_EXTRA_S = 3.0


@dataclass(frozen=True, slots=True)
class Mover:
    """Carries moves out; ``timer`` paces its questions."""

    calls: EngineCalls
    directory: Directory
    timer: Timer
    log: DecisionLog
    count: Callable[[str], None]
    clock: Callable[[], float] = time.monotonic

    def carry_out(self, engine: EngineState, move: LoadMove) -> bool:
        """Unload what has to go, then load; return whether the model came."""
        began_s = self.clock()
        term = self.calls.duty.term
        done = False
        try:
            done = self._unload(engine, move, term) and self._load(engine, move, term)
        finally:
            engine.end()
            if not done:
                # What was unloaded, and whether the load was taken, is not known.
                engine.doubt()
        self.count("moves_done" if done else "moves_failed")
        self.log(
            "move_ended",
            endpoint=move.engine,
            load=move.model,
            done=done,
            took_ms=round((self.clock() - began_s) * 1000),
        )
        return done

    def _unload(self, engine: EngineState, move: LoadMove, term: FencingNumber) -> bool:
        """Order the unloads, having learned what the engine holds.

        Orders bear consecutive numbers from here on, so no other node's order can
        come between them and the load.
        """
        with engine.calls:
            if not self.calls.ask_until_current(engine) or engine.is_engine_busy:
                return False
        for model in move.evicted:
            engine.unloading = model
            if not self._order(engine, OrderKind.UNLOAD, model, term):
                return False
            # The load is refused as long as runs on the model go on.
            engine.model_left(model)
        return True

    def _load(self, engine: EngineState, move: LoadMove, term: FencingNumber) -> bool:
        model = move.model
        spec = engine.spec.models_by_id.get(model)
        if spec is None or not self._order(engine, OrderKind.LOAD, model, term):
            return False
        engine.load_began_s = self.clock()
        if not self._await(engine, spec):
            return False
        engine.model_came(model)
        self.directory.record_loaded(engine.endpoint.id, RequestedModel(model))
        return True

    def _order(
        self, engine: EngineState, kind: OrderKind, model: ModelId, term: FencingNumber
    ) -> bool:
        """Send an order as long as the engine is busy with the one before.

        A move ends with the term in which it began: in a later one the engine's
        state is learned anew, and nothing there tells of this move.
        """
        until_s = self.clock() + UNLOAD_LIMIT_S
        for _ in self.timer.every(POLL_PERIOD_S):
            if self.calls.duty.term != term:
                return False
            with engine.calls:
                answer = self.calls.send_once(engine, kind, RequestedModel(model))
            match answer:
                case OrderAnswer.BUSY:
                    may_go = self._is_still_its_turn(engine)
                case None:
                    # Not answered: the same number takes effect only once.
                    may_go = self.calls.may_send(engine, kind, RequestedModel(model))
                    may_go = may_go and self._is_still_its_turn(engine)
                case _:
                    return answer in TOOK
            if not may_go or self.clock() >= until_s:
                return False
        return False

    def _is_still_its_turn(self, engine: EngineState) -> bool:
        """Return whether the engine has accepted no order but those known here."""
        ordered = engine.orders
        with engine.calls:
            try:
                report = self.calls.orders.report(engine.endpoint)
            except (NotSentError, BrokenCallError):
                return False
        return ordered is not None and report.orders_accepted <= ordered

    def _await(self, engine: EngineState, spec: ModelSpec) -> bool:
        """Block until the engine holds a model; ask it now and then."""
        is_on_hand = spec.id in engine.endpoint.on_hand
        least_s = spec.disk_load_s if is_on_hand else spec.load_s
        ask_from_s = self.clock() + least_s * LEAST_LOAD_SHARE
        until_s = self.clock() + spec.load_s * LOAD_LIMIT_FACTOR + LOAD_LIMIT_EXTRA_S
        ordered = engine.orders or 0
        started_ms = engine.endpoint.started_ms
        for _ in self.timer.every(POLL_PERIOD_S):
            now_s = self.clock()
            if now_s >= until_s:
                return False
            if now_s < ask_from_s:
                continue
            current = self.directory.find(engine.endpoint.id)
            if current is None or current.started_ms != started_ms:
                return False
            try:
                report = self.calls.orders.report(engine.endpoint)
            except (NotSentError, BrokenCallError):
                continue
            if report.orders_accepted < ordered:
                continue
            if spec.id in report.loaded_by_model:
                return True
            if not report.is_busy:
                return False
        return False
