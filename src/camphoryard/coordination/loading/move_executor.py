"""Execution of one engine's moves: models are unloaded, then one is loaded."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from camphoryard.coordination.loading.coverage import LoadMove
from camphoryard.coordination.loading.engine_client import (
    SUCCESSFUL_ANSWERS,
    EngineClient,
)
from camphoryard.coordination.loading.engine_state import EngineState
from camphoryard.coordination.loading.ports import OrderAnswer
from camphoryard.coordination.ports import DecisionLog, Timer
from camphoryard.state.directory import Directory
from camphoryard.state.enums import OrderKind
from camphoryard.state.errors import BrokenCallError, NotSentError
from camphoryard.state.ids import FencingNumber, ModelId
from camphoryard.state.traffic import ModelSpec, RequestedModel

POLL_PERIOD_S = 0.15
UNLOAD_TIMEOUT_S = 20.0
"""An unload waits for the requests on its model, which take some seconds."""
MIN_LOAD_TIME_SHARE = 0.8
"""Share of its specified time before which no load completes; polling starts then."""
LOAD_TIMEOUT_FACTOR = 4.0
"""Loads take longer than specified while many run concurrently."""
LOAD_TIMEOUT_EXTRA_S = 3.0


@dataclass(frozen=True, slots=True)
class MoveExecutor:
    """Executes moves; ``timer`` paces retries and polling."""

    client: EngineClient
    directory: Directory
    timer: Timer
    log: DecisionLog
    count: Callable[[str], None]
    clock: Callable[[], float] = time.monotonic

    def execute(self, engine: EngineState, move: LoadMove) -> bool:
        """Unload the evicted models, then load; return whether the model was loaded."""
        began_s = self.clock()
        term = self.client.leader_lease.term
        done = False
        try:
            done = self._unload(engine, move, term) and self._load(engine, move, term)
        finally:
            engine.end_move()
            if not done:
                # It is unknown which unloads took effect, and if the load was accepted.
                engine.invalidate()
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
        """Order the unloads after an up-to-date report of the engine.

        Orders have consecutive numbers from here on, so no other node's order can take
        effect between them and the load.
        """
        with engine.call_lock:
            if not self.client.query_until_current(engine) or engine.is_engine_busy:
                return False
        for model in move.evicted:
            engine.unloading = model
            if not self._send_with_retry(engine, OrderKind.UNLOAD, model, term):
                return False
            # The engine refuses the load while requests run on the unloaded model.
            engine.remove_model(model)
        return True

    def _load(self, engine: EngineState, move: LoadMove, term: FencingNumber) -> bool:
        model = move.model
        spec = engine.spec.models_by_id.get(model)
        if spec is None or not self._send_with_retry(
            engine, OrderKind.LOAD, model, term
        ):
            return False
        engine.load_began_s = self.clock()
        if not self._wait_until_loaded(engine, spec):
            return False
        engine.add_model(model)
        self.directory.record_loaded(engine.endpoint.id, RequestedModel(model))
        return True

    def _send_with_retry(
        self, engine: EngineState, kind: OrderKind, model: ModelId, term: FencingNumber
    ) -> bool:
        """Send an order; retry while the engine is busy or does not answer.

        A move ends with the term in which it began, because a new term starts with
        fresh engine states that do not record the move.
        """
        until_s = self.clock() + UNLOAD_TIMEOUT_S
        for _ in self.timer.every(POLL_PERIOD_S):
            if self.client.leader_lease.term != term:
                return False
            with engine.call_lock:
                answer = self.client.send_once(engine, kind, RequestedModel(model))
            match answer:
                case OrderAnswer.BUSY:
                    may_retry = self._has_only_known_orders(engine)
                case None:
                    # No answer: a retry has the same number, so it takes effect once.
                    may_retry = self.client.may_send(
                        engine, kind, RequestedModel(model)
                    )
                    may_retry = may_retry and self._has_only_known_orders(engine)
                case _:
                    return answer in SUCCESSFUL_ANSWERS
            if not may_retry or self.clock() >= until_s:
                return False
        return False

    def _has_only_known_orders(self, engine: EngineState) -> bool:
        """Return whether the engine has accepted only orders that this node counted."""
        accepted_orders = engine.accepted_orders
        with engine.call_lock:
            try:
                report = self.client.report(engine)
            except (NotSentError, BrokenCallError):
                return False
        return accepted_orders is not None and report.orders_accepted <= accepted_orders

    def _wait_until_loaded(self, engine: EngineState, spec: ModelSpec) -> bool:
        """Poll the engine's reports until a model is loaded; return whether it was."""
        is_local = spec.id in engine.endpoint.on_hand
        expected_s = spec.disk_load_s if is_local else spec.load_s
        poll_from_s = self.clock() + expected_s * MIN_LOAD_TIME_SHARE
        until_s = (
            self.clock() + spec.load_s * LOAD_TIMEOUT_FACTOR + LOAD_TIMEOUT_EXTRA_S
        )
        accepted_orders = engine.accepted_orders or 0
        started_ms = engine.endpoint.started_ms
        for _ in self.timer.every(POLL_PERIOD_S):
            now_s = self.clock()
            if now_s >= until_s:
                return False
            if now_s < poll_from_s:
                continue
            current = self.directory.find(engine.endpoint.id)
            if current is None or current.started_ms != started_ms:
                return False
            try:
                report = self.client.report(engine)
            except (NotSentError, BrokenCallError):
                continue
            if report.orders_accepted < accepted_orders:
                continue
            if spec.id in report.loaded_by_model:
                return True
            if not report.is_busy:
                return False
        return False
