"""Accepts deferrable work as jobs and looks jobs up.

A job is accepted by one conditional create. Open and finished jobs are stored
separately, so that polling for open jobs does not read results.
"""

import re
import time
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from uuid import uuid4

from camphoryard.coordination.conditional_writes import write_resolved
from camphoryard.coordination.jobs.job_limits import OpenJobCounter
from camphoryard.coordination.jobs.recent_jobs import RecentJobs
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.ports import Records
from camphoryard.coordination.routing.routing import route
from camphoryard.coordination.store_restores import StoreRestores
from camphoryard.state.configuration import Configuration
from camphoryard.state.enums import EndpointKind, JobState, Priority, Reason
from camphoryard.state.errors import (
    ConflictError,
    RefusalError,
    StoreUnavailableError,
)
from camphoryard.state.ids import ABSENT, CallerId, IdempotencyKey, JobId, WriteId
from camphoryard.state.jobs import CallWork, CompletionWork, Job, Work, record_key
from camphoryard.state.labels import Labels
from camphoryard.state.tables import ConfigurationHolder
from camphoryard.state.verdict import Verdict

JOB_LIFETIME_S = 7 * 24 * 3600.0
ID_BYTES = 16
_ID_PATTERN = re.compile(rf"[0-9a-f]{{{2 * ID_BYTES}}}")


@dataclass(frozen=True, slots=True)
class JobContext:
    """The collaborators of accepting and finding jobs."""

    configuration: ConfigurationHolder
    open_jobs: Records[Job]
    finished_jobs: Records[Job]
    counter: OpenJobCounter
    recent: RecentJobs
    timeline: Timeline
    restores: StoreRestores = field(default_factory=StoreRestores)


def accept(
    context: JobContext, caller: CallerId, work: Work, key: IdempotencyKey | None
) -> Job:
    """Record a job and return it, or the one already recorded for the key.

    Raises
    ------
    RefusalError
        If the job is not accepted; the verdict is MAY_HAVE_RUN only if the job
        may have been recorded nevertheless.
    """
    _require_deferrable(context.configuration.current, caller, work)
    job = _make_job(caller, work, key)
    try:
        # Reading first detects an outage before anything is written.
        known = _find_record(context, job.id)
        if known is not None:
            return _require_same_work(known, job)
        context.counter.reserve(caller)
    except StoreUnavailableError as error:
        raise RefusalError(
            Reason.STORE_UNAVAILABLE, "the job could not be recorded"
        ) from error
    try:
        write_resolved(context.open_jobs, record_key(job.id), job, ABSENT)
    except ConflictError:
        context.counter.release(caller)
        return _require_same_work(find(context, caller, job.id), job)
    except StoreUnavailableError as error:
        raise RefusalError(
            Reason.STORE_UNAVAILABLE,
            f"the job may have been accepted as {job.id}; look it up under this id",
            Verdict.MAY_HAVE_RUN,
        ) from error
    context.recent.remember(job)
    context.timeline.record("job_accepted", job=job.id, caller=caller)
    return job


def find(context: JobContext, caller: CallerId, job: JobId) -> Job:
    """Return a job of the caller.

    Raises
    ------
    RefusalError
        If the caller has no job of this id, the object API does not answer, or it was
        just restored and may have lost the job.
    """
    if not _ID_PATTERN.fullmatch(job):
        raise RefusalError(Reason.NOT_FOUND, f"no job {job!r}")
    try:
        known = _find_record(context, job)
    except StoreUnavailableError as error:
        raise RefusalError(
            Reason.STORE_UNAVAILABLE, "the job could not be read; try again"
        ) from error
    if known is None and not context.restores.is_settled():
        raise RefusalError(
            Reason.STORE_UNAVAILABLE,
            "the object API was restored from an older copy; the job may not be"
            " recorded again yet",
            retry_after_s=context.restores.settling_left_s(),
        )
    if known is None or known.caller != caller:
        raise RefusalError(Reason.NOT_FOUND, f"no job {job!r}; it may have expired")
    return known


def _find_record(context: JobContext, job: JobId) -> Job | None:
    """Return the job, finished or open, or None.

    The open record is read first: the finished one is created before the open one
    is deleted, so a job that finishes between the two reads is still found.
    """
    key = record_key(job)
    open_job = context.open_jobs.get(key)
    finished_job = context.finished_jobs.get(key)
    for stored in (finished_job, open_job):
        if stored is not None and stored.record is not None:
            return stored.record
    return None


def _make_job(caller: CallerId, work: Work, key: IdempotencyKey | None) -> Job:
    now_s = time.time()
    job = Job(
        _job_id(caller, key),
        caller,
        JobState.QUEUED,
        now_s,
        now_s + JOB_LIFETIME_S,
        WriteId(uuid4().hex),
    )
    match work:
        case CompletionWork():
            return replace(job, completion=work)
        case CallWork():
            return replace(job, call=work)


def _job_id(caller: CallerId, key: IdempotencyKey | None) -> JobId:
    if key is None:
        return JobId(uuid4().hex)
    scope = f"{len(caller)}:{caller}{key}".encode()
    return JobId(blake2b(scope, digest_size=ID_BYTES).hexdigest())


def _require_same_work(known: Job, new: Job) -> Job:
    if known.work != new.work:
        raise RefusalError(
            Reason.KEY_REUSED,
            "this key was used for another job; use a new key",
            field="Idempotency-Key",
        )
    return known


def _require_deferrable(
    configuration: Configuration, caller: CallerId, work: Work
) -> None:
    match work:
        case CompletionWork():
            labels = _model_labels(configuration, work)
            kind = EndpointKind.ENGINE
        case CallWork():
            labels = _service_labels(configuration, work)
            kind = EndpointKind.SERVICE
    chosen_route = route(configuration, caller, labels, kind, None)
    if chosen_route.priority is not Priority.DEFERRABLE:
        raise RefusalError(
            Reason.FORBIDDEN,
            f"group {chosen_route.group} is {chosen_route.priority.value},"
            " not deferrable; send it as a normal request",
        )


def _model_labels(configuration: Configuration, work: CompletionWork) -> Labels:
    model = configuration.models_by_id.get(work.model)
    if model is None:
        raise RefusalError(
            Reason.UNKNOWN_MODEL, f"no model {work.model!r}", field="model"
        )
    if work.adapter is None:
        return model.labels
    adapter = configuration.adapters_by_id.get(work.adapter)
    if adapter is None or adapter.base != model.id:
        raise RefusalError(
            Reason.UNKNOWN_MODEL, f"no adapter {work.adapter!r}", field="model"
        )
    return {**model.labels, **adapter.labels}


def _service_labels(configuration: Configuration, work: CallWork) -> Labels:
    service = configuration.services_by_id.get(work.service)
    if service is None:
        raise RefusalError(
            Reason.UNKNOWN_SERVICE, f"no service {work.service!r}", field="service"
        )
    if work.operation not in service.idempotent:
        raise RefusalError(
            Reason.BAD_FIELD,
            "a job may run again, so its operation must be idempotent",
            field="operation",
        )
    return service.labels
