"""Construction of the job runner and of the removal of expired records."""

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
from camphoryard.coordination.jobs.recent_jobs import RecentJobs
from camphoryard.coordination.membership.stale_leases import is_stale
from camphoryard.coordination.observing.answer_collector import AnswerCollector
from camphoryard.node.platform import Platform
from camphoryard.node.serving import Serving
from camphoryard.node.shared import SharedContext
from camphoryard.state.enums import NodeState
from camphoryard.state.nodes import NodeLease
from camphoryard.state.requests import ActionAnswer, ActionRequest, InferenceRequest


def make_job_context(shared: SharedContext, platform: Platform) -> JobContext:
    """Return the collaborators that accept and look up jobs."""
    settings = shared.settings.jobs
    return JobContext(
        shared.configuration,
        platform.open_jobs,
        platform.finished_jobs,
        OpenJobCounter(
            platform.open_jobs,
            JobLimits(settings.max_open, settings.max_open_per_caller),
        ),
        RecentJobs(platform.open_jobs, platform.finished_jobs, shared.timeline),
        shared.timeline,
        shared.restores,
    )


def make_job_runner(
    shared: SharedContext, jobs: JobContext, serving: Serving
) -> JobRunner:
    """Return the runner that executes jobs as in-flight requests of this node."""

    def run_inference(request: InferenceRequest) -> str:
        with serving.gateway.admitted():
            collector = AnswerCollector(MAX_RESULT_BYTES)
            infer(serving.inference, request, Cancellation(), collector.add)
            return collector.answer().text

    def run_action(request: ActionRequest) -> ActionAnswer:
        with serving.gateway.admitted():
            return act(serving.actions, request)

    return JobRunner(
        JobRunnerContext(
            shared.identity,
            shared.nodes,
            jobs,
            shared.timer,
            shared.executors.jobs,
            lambda: serving.gateway.state is NodeState.SERVING,
            run_inference,
            run_action,
        )
    )


def make_expiry_context(shared: SharedContext, platform: Platform) -> ExpiryContext:
    """Return the collaborators that remove expired records."""

    def is_stale_now(lease: NodeLease) -> bool:
        return is_stale(lease, shared.nodes, shared.vms, shared.endpoint_table.by_id())

    return ExpiryContext(
        shared.identity.node,
        shared.nodes,
        platform.claims,
        platform.finished_jobs,
        platform.refusals,
        platform.leases,
        is_stale_now,
    )
