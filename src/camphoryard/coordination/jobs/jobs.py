"""Accepts deferrable work and finds what came of it.

A job is accepted by one conditional create. Open jobs and finished ones lie
apart, so that looking for work does not read results.
"""

import re
import time
from dataclasses import dataclass, replace
from hashlib import blake2b
from uuid import uuid4

from camphoryard.coordination.conditional_writes import write_resolved
from camphoryard.coordination.jobs.job_limits import OpenJobCounter
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.ports import Records
from camphoryard.coordination.routing.routing import route
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

JOB_LIFE_S = 7 * 24 * 3600.0
ID_BYTES = 16
_ID = re.compile(rf"[0-9a-f]{{{2 * ID_BYTES}}}")


@dataclass(frozen=True, slots=True)
class JobContext:
    """What jobs are accepted and found with."""

    configuration: ConfigurationHolder
    open_jobs: Records[Job]
    finished_jobs: Records[Job]
    counter: OpenJobCounter
    timeline: Timeline


def accept(
    parts: JobContext, caller: CallerId, work: Work, key: IdempotencyKey | None
) -> Job:
    """Record a job and return it, or the one recorded earlier for the key.

    Raises
    ------
    RefusalError
        If the job is not accepted; the verdict is MAY_HAVE_RUN only if it may
        have been recorded all the same.
    """
    _require_deferrable(parts.configuration.current, caller, work)
    job = _make_job(caller, work, key)
    try:
        # Reading first shows an outage before anything is written.
        known = _find(parts, job.id)
        if known is not None:
            return _same_work(known, job)
        parts.counter.take(caller)
    except StoreUnavailableError as error:
        raise RefusalError(
            Reason.STORE_UNAVAILABLE, "the job could not be recorded"
        ) from error
    try:
        write_resolved(parts.open_jobs, record_key(job.id), job, ABSENT)
    except ConflictError:
        parts.counter.give_back(caller)
        return _same_work(find(parts, caller, job.id), job)
    except StoreUnavailableError as error:
        raise RefusalError(
            Reason.STORE_UNAVAILABLE,
            f"the job may have been accepted as {job.id}; ask for it",
            Verdict.MAY_HAVE_RUN,
        ) from error
    parts.timeline.record("job_accepted", job=job.id, caller=caller)
    return job


def find(parts: JobContext, caller: CallerId, job: JobId) -> Job:
    """Return a job of the caller's.

    Raises
    ------
    RefusalError
        If it has none of this id, or the object API does not answer.
    """
    if not _ID.fullmatch(job):
        raise RefusalError(Reason.NOT_FOUND, f"no job {job!r}")
    try:
        known = _find(parts, job)
    except StoreUnavailableError as error:
        raise RefusalError(
            Reason.STORE_UNAVAILABLE, "the job could not be read; ask again"
        ) from error
    if known is None or known.caller != caller:
        raise RefusalError(Reason.NOT_FOUND, f"no job {job!r}; it may have expired")
    return known


def _find(parts: JobContext, job: JobId) -> Job | None:
    """Look among open jobs first: a job is finished before it is closed."""
    key = record_key(job)
    opened = parts.open_jobs.get(key)
    finished = parts.finished_jobs.get(key)
    for stored in (finished, opened):
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
        now_s + JOB_LIFE_S,
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


def _same_work(known: Job, wanted: Job) -> Job:
    if known.work != wanted.work:
        raise RefusalError(
            Reason.KEY_REUSED,
            "this key was used for another job; take a new key",
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
    where = route(configuration, caller, labels, kind, None)
    if where.priority is not Priority.DEFERRABLE:
        raise RefusalError(
            Reason.FORBIDDEN,
            f"group {where.group} is {where.priority.value}, not deferrable;"
            " send the request itself",
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
