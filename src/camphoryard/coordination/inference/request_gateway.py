"""The gateway that every request passes, regardless of its front end."""

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
    """The collaborators of the request gateway."""

    inference: InferenceContext
    actions: ActionContext
    configuration: ConfigurationHolder
    refusals: RefusalCounter
    timeline: Timeline
    observe: Callable[[str, float], None]
    max_answer_bytes: int


class RequestGateway:
    """Admits requests, counts refusals and tracks the requests in flight."""

    def __init__(self, context: ServingContext) -> None:
        self._context = context
        self._state = NodeState.STARTING
        self._changed = threading.Condition()
        self._in_flight = 0

    @property
    def state(self) -> NodeState:
        """Lifecycle state of this node."""
        return self._state

    @property
    def is_ready(self) -> bool:
        """Whether callers are served; this needs a current configuration."""
        configuration = self._context.configuration
        is_configured = (
            configuration.current.generation > 0 and configuration.is_current()
        )
        return is_configured and self._state is NodeState.SERVING

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return self._in_flight

    def enter(self, state: NodeState) -> None:
        """Change the lifecycle state of this node."""
        with self._changed:
            self._state = state
            self._changed.notify_all()
        self._context.timeline.record("node_state", state=state.value)

    def wait_idle(self, deadline_s: float) -> bool:
        """Block until no request is in flight; return False if the deadline passes."""
        with self._changed:
            while self._in_flight:
                left_s = deadline_s - time.monotonic()
                if left_s <= 0:
                    return False
                self._changed.wait(left_s)
        return True

    @contextmanager
    def admitted(self) -> Iterator[None]:
        """Track one request in flight; raises RefusalError, which is not counted."""
        self._increment_in_flight()
        try:
            self._check_admissible()
            yield
        finally:
            self._decrement_in_flight()

    def infer(
        self, request: InferenceRequest, cancellation: Cancellation, deliver: Deliver
    ) -> None:
        """Deliver the answer's tokens; raises RefusalError, which is counted."""
        started_s = time.monotonic()

        def observe_and_deliver(frame: TokenFrame) -> None:
            if frame.offset == 0:
                self._context.observe("first_token", time.monotonic() - started_s)
            deliver(frame)

        with self._tracked(request, "inference"):
            infer(self._context.inference, request, cancellation, observe_and_deliver)

    def complete(
        self, request: InferenceRequest, cancellation: Cancellation
    ) -> CompletionAnswer:
        """Return the whole answer; raises RefusalError, which is counted."""
        collector = AnswerCollector(self._context.max_answer_bytes)
        self.infer(request, cancellation, collector.add)
        return collector.answer()

    def act(self, request: ActionRequest) -> ActionAnswer:
        """Return the action's answer; raises RefusalError, which is counted."""
        with self._tracked(request, "action"):
            return act(self._context.actions, request)

    def record_refusal(
        self, refusal: RefusalError, caller: CallerId | None, request: RequestId | None
    ) -> None:
        """Count a refusal once and record it in the time line."""
        if refusal.counted:
            return
        refusal.counted = True
        configured_caller = self._context.configuration.current.callers_by_id.get(
            CallerId(caller or "")
        )
        label = label_text(configured_caller.labels) if configured_caller else ""
        self._context.refusals.count(refusal.reason, label, caller or "")
        self._context.timeline.record(
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
        """Record the refusal of an operator's request in the time line."""
        self._context.timeline.record(
            "operator_refused",
            request=request,
            reason=refusal.reason.value,
            field=refusal.field,
            detail=refusal.detail,
        )

    @contextmanager
    def _tracked(
        self, request: InferenceRequest | ActionRequest, metric: str
    ) -> Iterator[None]:
        """Track a caller's request, count its refusal and observe its duration.

        The refusal is counted while the request is still in flight, so that a
        node which stops after its last request has counted every refusal.
        """
        started_s = time.monotonic()
        self._increment_in_flight()
        try:
            self._check_admissible()
            yield
        except RefusalError as refusal:
            self.record_refusal(refusal, request.caller, request.id)
            raise
        finally:
            self._decrement_in_flight()
            self._context.observe(metric, time.monotonic() - started_s)

    def _check_admissible(self) -> None:
        if self._state is NodeState.STOPPING:
            raise RefusalError(
                Reason.DRAINING,
                "this node is stopping; send the request to another node",
                retry_after_s=STOPPING_RETRY_AFTER_S,
            )
        if not self._context.configuration.current.generation:
            raise RefusalError(
                Reason.STALE_CONFIGURATION,
                "this node has no configuration yet; send the request to another node",
            )
        if not self._context.configuration.is_current():
            raise RefusalError(
                Reason.STALE_CONFIGURATION,
                "this node cannot confirm that its configuration is current;"
                " send the request to another node",
            )

    def _increment_in_flight(self) -> None:
        with self._changed:
            self._in_flight += 1

    def _decrement_in_flight(self) -> None:
        with self._changed:
            self._in_flight -= 1
            self._changed.notify_all()
