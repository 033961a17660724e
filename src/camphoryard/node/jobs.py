"""Deferrable work, and records that expire."""

from camphoryard.coordination.actions.actions import act
from camphoryard.coordination.actions.expiry import ExpiryContext
from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.inference.inference import infer
from camphoryard.coordination.jobs.job_limits import JobLimits, OpenJobCounter
from camphoryard.coordination.jobs.job_runner import (
    MAX_RESULT_BYTES,
    JobRunner,
    JobRunnerContext,
)
from camphoryard.coordination.jobs.jobs import JobContext
from camphoryard.coordination.membership.stale_leases import is_stale
from camphoryard.coordination.observing.answer_collector import AnswerCollector
from camphoryard.node.platform import Platform
from camphoryard.node.serving import Serving
from camphoryard.node.shared import Shared
from camphoryard.state.enums import NodeState
from camphoryard.state.nodes import NodeLease
from camphoryard.state.requests import ActionAnswer, ActionRequest, InferenceRequest


def make_job_parts(shared: Shared, platform: Platform) -> JobContext:
    """Return what jobs are accepted and found with."""
    settings = shared.settings.jobs
    return JobContext(
        shared.configuration,
        platform.open_jobs,
        platform.finished_jobs,
        OpenJobCounter(
            platform.open_jobs,
            JobLimits(settings.max_open, settings.max_open_per_caller),
        ),
        shared.timeline,
    )


def make_job_runner(shared: Shared, jobs: JobContext, serving: Serving) -> JobRunner:
    """Return the part that runs jobs, as requests that are not a caller's own."""

    def run_inference(request: InferenceRequest) -> str:
        with serving.door.admitted():
            collector = AnswerCollector(MAX_RESULT_BYTES)
            infer(serving.inference, request, Cancellation(), collector.add)
            return collector.answer().text

    def run_action(request: ActionRequest) -> ActionAnswer:
        with serving.door.admitted():
            return act(serving.actions, request)

    return JobRunner(
        JobRunnerContext(
            shared.identity,
            shared.nodes,
            jobs,
            shared.timer,
            shared.executors.jobs,
            lambda: serving.door.state is NodeState.SERVING,
            run_inference,
            run_action,
        )
    )


def make_expiry(shared: Shared, platform: Platform) -> ExpiryContext:
    """Return what expires and who sees to it."""

    def is_stale_now(lease: NodeLease) -> bool:
        return is_stale(lease, shared.nodes, shared.vms, shared.table.by_id())

    return ExpiryContext(
        shared.identity.node,
        shared.nodes,
        platform.claims,
        platform.finished_jobs,
        platform.refusals,
        platform.leases,
        is_stale_now,
    )
