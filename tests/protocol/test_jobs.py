"""Tests of jobs as JSON."""

import msgspec
import pytest

from camphoryard.protocol.jobs import MAX_JOB_BYTES, decode_work, encode_job
from camphoryard.state.enums import JobState, Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.jobs import CallWork, CompletionWork, Job, JobResult
from camphoryard.state.verdict import Verdict

JOB = Job("0" * 32, "overnight", JobState.DONE, 1.0, 2.0, "w")


def encoded_job(result):
    """Return the decoded JSON form of a finished job."""
    job = Job(JOB.id, "overnight", JobState.DONE, 1.0, 2.0, "w", result=result)
    return msgspec.json.decode(encode_job(job))


class TestDecodeWork:
    """Work that callers submit."""

    def test_completion_names_model_and_adapter(self):
        """The model field has the model's id, followed by the adapter's."""
        body = b'{"completion": {"model": "m:a", "prompt": "p", "max_tokens": 4}}'
        assert decode_work(body) == CompletionWork("m", "a", "p", 4)

    def test_call_names_its_operation(self):
        """The body of the call is unchanged."""
        body = b'{"call": {"service": "s", "operation": "o", "body": "{}"}}'
        assert decode_work(body) == CallWork("s", "o", b"{}")

    @pytest.mark.parametrize(
        ("body", "reason", "field"),
        [
            (b"{", Reason.BAD_JSON, ""),
            (b"{}", Reason.BAD_FIELD, "completion"),
            (b'{"calls": {}}', Reason.BAD_FIELD, "calls"),
            (b'{"completion": {"model": "m"}}', Reason.BAD_FIELD, "completion"),
            (
                b'{"completion": {"model": "m", "prompt": "p", "max_tokens": 0}}',
                Reason.BAD_FIELD,
                "completion.max_tokens",
            ),
            (b" " * (MAX_JOB_BYTES + 1), Reason.BODY_TOO_LARGE, ""),
        ],
    )
    def test_invalid_work_is_refused(self, body, reason, field):
        """The refusal names the invalid field and has the verdict NOT_RUN."""
        with pytest.raises(RefusalError) as caught:
            decode_work(body)
        refusal = caught.value
        assert (refusal.reason, refusal.field) == (reason, field)
        assert refusal.verdict is Verdict.NOT_RUN


class TestEncodeJob:
    """Job states that callers read."""

    def test_text_and_binary_answers(self):
        """An answer that is not UTF-8 text is encoded as base64."""
        assert encoded_job(JobResult(b"text", 200))["text"] == "text"
        assert encoded_job(JobResult(b"\xff", 200))["base64"] == "/w=="

    def test_failure_has_code_and_message(self):
        """A failed job has the code and message of its error."""
        result = JobResult(reason=Reason.NO_GROUP, detail="none")
        error = encoded_job(result)["error"]
        assert (error["code"], error["message"]) == ("no_group", "none")
