"""Tests of jobs as JSON."""

import msgspec
import pytest

from camphoryard.protocol.jobs import MAX_JOB_BYTES, decode_work, encode_job
from camphoryard.state.enums import JobState, Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.jobs import CallWork, CompletionWork, Job, JobResult
from camphoryard.state.verdict import Verdict

JOB = Job("0" * 32, "overnight", JobState.DONE, 1.0, 2.0, "w")


def shown(result):
    """Return a finished job as its caller reads it."""
    job = Job(JOB.id, "overnight", JobState.DONE, 1.0, 2.0, "w", result=result)
    return msgspec.json.decode(encode_job(job))


class TestDecodeWork:
    """What callers send."""

    def test_completion_names_model_and_adapter(self):
        """The adapter follows the model's id."""
        body = b'{"completion": {"model": "m:a", "prompt": "p", "max_tokens": 4}}'
        assert decode_work(body) == CompletionWork("m", "a", "p", 4)

    def test_call_names_its_operation(self):
        """The body is passed on as it is."""
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
    def test_bad_work_is_refused_by_field(self, body, reason, field):
        """The caller hears which field is to blame, and that nothing ran."""
        with pytest.raises(RefusalError) as caught:
            decode_work(body)
        refusal = caught.value
        assert (refusal.reason, refusal.field) == (reason, field)
        assert refusal.verdict is Verdict.NOT_RUN


class TestEncodeJob:
    """What callers read."""

    def test_text_and_other_bytes(self):
        """An answer that is no text is given in base64."""
        assert shown(JobResult(b"text", 200))["text"] == "text"
        assert shown(JobResult(b"\xff", 200))["base64"] == "/w=="

    def test_failure_has_reason_and_verdict(self):
        """A failed job tells why and whether it may have run."""
        result = JobResult(reason=Reason.NO_GROUP, detail="none")
        error = shown(result)["error"]
        assert (error["code"], error["message"]) == ("no_group", "none")
