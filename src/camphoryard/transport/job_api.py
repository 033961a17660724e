"""HTTP front end for jobs."""

from camphoryard.coordination.inference.request_gateway import RequestGateway
from camphoryard.coordination.jobs.jobs import JobContext, accept, find
from camphoryard.protocol.answers import VERDICT_HEADER
from camphoryard.protocol.caller import idempotency_key
from camphoryard.protocol.jobs import decode_work, encode_job
from camphoryard.state.ids import CallerId, JobId
from camphoryard.state.verdict import Verdict
from camphoryard.transport.http_server import HttpRequest, HttpResponse

ACCEPTED = 202
JOBS_PATH = "/v1/jobs"
JOBS_PREFIX = "/v1/jobs/"


def accept_job(
    door: RequestGateway, parts: JobContext, request: HttpRequest, caller: CallerId
) -> HttpResponse:
    """Answer a request to accept a job; raises RefusalError."""
    work = decode_work(request.body)
    key = idempotency_key(request.headers)
    with door.admitted():
        job = accept(parts, caller, work, key)
    headers = {
        VERDICT_HEADER: Verdict.MAY_HAVE_RUN.value,
        "Location": f"{JOBS_PREFIX}{job.id}",
    }
    return HttpResponse(ACCEPTED, encode_job(job), headers)


def show_job(parts: JobContext, caller: CallerId, job: str) -> HttpResponse:
    """Answer a request for a job's state and result; raises RefusalError."""
    return HttpResponse(200, encode_job(find(parts, caller, JobId(job))))
