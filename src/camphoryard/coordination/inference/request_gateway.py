"""The front door: every request passes here, whatever front end it came by."""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from camphoryard.coordination.actions.actions import ActionContext, act
from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.inference.inference import infer
from camphoryard.coordination.inference.inference_context import (
    Deliver,
    InferenceContext,
)
from camphoryard.coordination.observing.answer_collector import AnswerCollector
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.refusals.refusals import RefusalCounter
from camphoryard.state.enums import NodeState, Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import CallerId, RequestId
from camphoryard.state.refusals import label_text
from camphoryard.state.requests import (
    ActionAnswer,
    ActionRequest,
    CompletionAnswer,
    InferenceRequest,
    TokenFrame,
)
from camphoryard.state.tables import ConfigurationHolder

STOPPING_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class ServingContext:
    """What the front door works with."""

    inference: InferenceContext
    actions: ActionContext
    configuration: ConfigurationHolder
    refusals: RefusalCounter
    timeline: Timeline
    observe: Callable[[str, float], None]
    max_answer_bytes: int


class RequestGateway:
    """Admits requests, counts refusals and knows when the last one is done."""

    def __init__(self, parts: ServingContext) -> None:
        self._parts = parts
        self._state = NodeState.STARTING
        self._changed = threading.Condition()
        self._in_flight = 0

    @property
    def state(self) -> NodeState:
        """What this node is doing."""
        return self._state

    @property
    def is_ready(self) -> bool:
        """Whether callers are served: only under a current configuration."""
        configuration = self._parts.configuration
        known = configuration.current.generation > 0 and configuration.is_current()
        return known and self._state is NodeState.SERVING

    @property
    def in_flight(self) -> int:
        """Requests under way."""
        return self._in_flight

    def enter(self, state: NodeState) -> None:
        """Change what this node is doing."""
        with self._changed:
            self._state = state
            self._changed.notify_all()
        self._parts.timeline.record("node_state", state=state.value)

    def wait_idle(self, deadline_s: float) -> bool:
        """Block until no request is under way; return whether that came."""
        with self._changed:
            while self._in_flight:
                left_s = deadline_s - time.monotonic()
                if left_s <= 0:
                    return False
                self._changed.wait(left_s)
        return True

    @contextmanager
    def admitted(self) -> Iterator[None]:
        """Have one request in flight; raises RefusalError, which is not counted."""
        self._begin()
        try:
            self._admit()
            yield
        finally:
            self._end()

    def infer(
        self, request: InferenceRequest, cancellation: Cancellation, deliver: Deliver
    ) -> None:
        """Deliver the answer's tokens; raises RefusalError, which is counted."""
        started_s = time.monotonic()

        def observed(frame: TokenFrame) -> None:
            if frame.offset == 0:
                self._parts.observe("first_token", time.monotonic() - started_s)
            deliver(frame)

        with self._served(request, "inference"):
            infer(self._parts.inference, request, cancellation, observed)

    def complete(
        self, request: InferenceRequest, cancellation: Cancellation
    ) -> CompletionAnswer:
        """Return the whole answer; raises RefusalError, which is counted."""
        collector = AnswerCollector(self._parts.max_answer_bytes)
        self.infer(request, cancellation, collector.add)
        return collector.answer()

    def act(self, request: ActionRequest) -> ActionAnswer:
        """Return the action's answer; raises RefusalError, which is counted."""
        with self._served(request, "action"):
            return act(self._parts.actions, request)

    def record_refusal(
        self, refusal: RefusalError, caller: CallerId | None, request: RequestId | None
    ) -> None:
        """Count a refusal, once, and put it into the time line."""
        if refusal.counted:
            return
        refusal.counted = True
        known = self._parts.configuration.current.callers_by_id.get(
            CallerId(caller or "")
        )
        label = label_text(known.labels) if known else ""
        self._parts.refusals.count(refusal.reason, label, caller or "")
        self._parts.timeline.record(
            "refused",
            request=request or "",
            caller=caller or "",
            reason=refusal.reason.value,
            verdict=refusal.verdict.value,
            detail=refusal.detail,
        )

    def record_operator_refusal(
        self, refusal: RefusalError, request: RequestId
    ) -> None:
        """Put the refusal of an operator's request into the time line."""
        self._parts.timeline.record(
            "operator_refused",
            request=request,
            reason=refusal.reason.value,
            field=refusal.field,
            detail=refusal.detail,
        )

    @contextmanager
    def _served(
        self, request: InferenceRequest | ActionRequest, measure: str
    ) -> Iterator[None]:
        """Have a caller's request in flight, its refusal counted, its time taken.

        The refusal is counted while the request is in flight still, so that a stop
        which waits for the last request finds it counted.
        """
        started_s = time.monotonic()
        self._begin()
        try:
            self._admit()
            yield
        except RefusalError as refusal:
            self.record_refusal(refusal, request.caller, request.id)
            raise
        finally:
            self._end()
            self._parts.observe(measure, time.monotonic() - started_s)

    def _admit(self) -> None:
        if self._state is NodeState.STOPPING:
            raise RefusalError(
                Reason.DRAINING,
                "this node is stopping; ask another",
                retry_after_s=STOPPING_RETRY_AFTER_S,
            )
        if not self._parts.configuration.current.generation:
            raise RefusalError(
                Reason.STALE_CONFIGURATION,
                "this node has no configuration yet; ask another",
            )
        if not self._parts.configuration.is_current():
            raise RefusalError(
                Reason.STALE_CONFIGURATION,
                "this node cannot tell whether its configuration is still the"
                " accepted one; ask another",
            )

    def _begin(self) -> None:
        with self._changed:
            self._in_flight += 1

    def _end(self) -> None:
        with self._changed:
            self._in_flight -= 1
            self._changed.notify_all()
