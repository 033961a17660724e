"""Tests of answers to callers."""

import msgspec
import pytest

from camphoryard.protocol.answers import (
    STATUS_BY_REASON,
    EventEncoder,
    encode_answer,
    encode_error,
)
from camphoryard.protocol.caller import decode_completion
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.requests import CompletionAnswer, TokenFrame, Usage


def completion(chat=False, **fields):
    """Return a decoded completion request."""
    body = msgspec.json.encode({"model": "m", "prompt": "p", **fields})
    return decode_completion(body, {}, "meter-app", chat, "r1", 0.0)


class TestEncodeError:
    """Errors as HTTP."""

    def test_every_reason_has_a_status(self):
        """No refusal reason lacks an HTTP status."""
        assert STATUS_BY_REASON.keys() == set(Reason)

    def test_retry_after_is_whole_seconds(self):
        """The delay is rounded up, so that callers do not retry too early."""
        refusal = RefusalError(Reason.OVERLOADED, "busy", retry_after_s=1.2)
        assert encode_error(refusal).retry_after_s == 2


class TestUsage:
    """Token counts as the engine reports them."""

    LAST = TokenFrame("r1", 2, finished=True, usage=Usage(3, 2))
    FORM = {"prompt_tokens": 3, "completion_tokens": 2, "total_tokens": 5}

    @pytest.mark.parametrize("chat", [False, True])
    def test_whole_answer_has_usage(self, chat):
        """Both kinds of completion have the usage, or null without counts."""
        for usage, form in ((Usage(3, 2), self.FORM), (None, None)):
            body = encode_answer(completion(chat), CompletionAnswer("t", 2, usage))
            assert msgspec.json.decode(body)["usage"] == form

    def test_last_event_has_requested_usage(self):
        """An event with usage but no choices follows the end of the answer."""
        requested = completion(stream=True, stream_options={"include_usage": True})
        events = EventEncoder(requested).encode(self.LAST).split(b"\n\n")
        last = msgspec.json.decode(events[1].removeprefix(b"data: "))
        assert (last["choices"], last["usage"]) == ([], self.FORM)

    def test_stream_omits_usage_by_default(self):
        """No event has the usage unless the caller requests it."""
        assert b"usage" not in EventEncoder(completion(stream=True)).encode(self.LAST)
