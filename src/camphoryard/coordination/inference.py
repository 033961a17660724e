"""One inference request from routing to its last token."""

import time
from collections.abc import Generator
from contextlib import closing
from dataclasses import dataclass

from camphoryard.coordination.ports import Engines
from camphoryard.coordination.residency_client import ResidencyClient
from camphoryard.coordination.routing import Router, route
from camphoryard.coordination.timeline import Timeline
from camphoryard.state.configuration import Configuration, items_of
from camphoryard.state.enums import EndpointKind, Reason
from camphoryard.state.errors import (
    BrokenCallError,
    EndpointRefusedError,
    NotSentError,
    RefusalError,
)
from camphoryard.state.ids import EndpointId
from camphoryard.state.requests import InferenceRequest, Route, TokenFrame
from camphoryard.state.tables import ConfigurationHolder, EndpointTable, InFlightTable
from camphoryard.state.verdict import Verdict

MAX_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class InferenceParts:
    """What an inference task works with."""

    configuration: ConfigurationHolder
    table: EndpointTable
    in_flight: InFlightTable
    router: Router
    residency: ResidencyClient
    engines: Engines
    timeline: Timeline


def infer(
    parts: InferenceParts, request: InferenceRequest
) -> Generator[TokenFrame, None, None]:
    """Yield the whole answer in order, resuming elsewhere if an endpoint breaks.

    Raises
    ------
    RefusalError
        If the answer cannot be had or finished.
    """
    where = _route(parts.configuration.current, request)
    offset = 0
    tried: set[EndpointId] = set()
    for _ in range(MAX_ATTEMPTS):
        endpoint_id = _choose(parts, request, where, tried, offset)
        try:
            with closing(_frames(parts, request, endpoint_id, offset)) as frames:
                for frame in frames:
                    yield frame
                    if frame.finished:
                        return
                    offset += 1
        except (NotSentError, BrokenCallError, EndpointRefusedError) as error:
            tried.add(endpoint_id)
            parts.timeline.record(
                "attempt_failed",
                request=request.id,
                endpoint=endpoint_id,
                offset=offset,
                error=type(error).__name__,
            )
    raise RefusalError(
        Reason.ENDPOINT_FAILED,
        f"no endpoint finished the answer in {MAX_ATTEMPTS} attempts",
        Verdict.MAY_HAVE_RUN,
    )


def _route(configuration: Configuration, request: InferenceRequest) -> Route:
    model = configuration.models_by_id.get(request.model)
    if model is None:
        raise RefusalError(
            Reason.UNKNOWN_MODEL, f"no model {request.model!r}", field="model"
        )
    labels = model.labels
    if request.adapter is not None:
        adapter = configuration.adapters_by_id.get(request.adapter)
        if adapter is None or adapter.base != model.id:
            raise RefusalError(
                Reason.UNKNOWN_MODEL, f"no adapter {request.adapter!r}", field="model"
            )
        labels = {**labels, **adapter.labels}
    return route(
        configuration,
        request.caller,
        labels,
        EndpointKind.ENGINE,
        request.priority,
    )


def _choose(
    parts: InferenceParts,
    request: InferenceRequest,
    where: Route,
    tried: set[EndpointId],
    offset: int,
) -> EndpointId:
    """Return an endpoint where the model is resident, having it loaded if need be."""
    candidates = [item for item in where.candidates if item not in tried]
    verdict = Verdict.MAY_HAVE_RUN if tried else Verdict.NOT_RUN
    if not candidates:
        raise RefusalError(
            Reason.ENDPOINT_FAILED, "every endpoint of the group failed", verdict
        )

    items = items_of(request.model, request.adapter)

    def resident() -> list[EndpointId]:
        return [item for item in candidates if parts.table.are_resident(item, items)]

    if not resident():
        parts.residency.want(items, candidates)
        in_time = parts.table.wait_until(lambda: bool(resident()), request.deadline_s)
        if not in_time:
            raise RefusalError(
                Reason.DEADLINE, f"{request.model} was not loaded in time", verdict
            )
    if time.monotonic() >= request.deadline_s and offset == 0:
        raise RefusalError(Reason.DEADLINE, "the deadline passed", verdict)
    return parts.router.choose(resident())


def _frames(
    parts: InferenceParts,
    request: InferenceRequest,
    endpoint_id: EndpointId,
    offset: int,
) -> Generator[TokenFrame, None, None]:
    """Yield frames of this request only, each offset once and in order.

    Raises
    ------
    BrokenCallError
        If a frame is missing or the stream ends early.
    """
    endpoint = parts.configuration.current.endpoints_by_id[endpoint_id]
    parts.residency.used(items_of(request.model, request.adapter))
    parts.in_flight.begin(endpoint_id)
    stream = None
    try:
        stream = parts.engines.generate(endpoint, request, offset)
        for frame in stream:
            if frame.request_id != request.id or frame.offset < offset:
                continue
            if frame.offset > offset:
                raise BrokenCallError(f"token {offset} is missing")
            yield frame
            offset += 1
            if frame.finished:
                return
        raise BrokenCallError("the stream ended early")
    finally:
        parts.in_flight.end(endpoint_id)
        if stream is not None:
            stream.close()
