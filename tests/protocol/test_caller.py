"""Tests of callers' requests over HTTP."""

import msgspec
import pytest

from camphoryard.protocol.caller import (
    DEADLINE_HEADER,
    KEY_HEADER,
    MAX_KEY_CHARACTERS,
    TOTAL_DEADLINE_HEADER,
    action_request,
    decode_completion,
)
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.verdict import Verdict

RECEIVED_S = 100.0
"""Monotonic time at which the requests have been received."""


def decode(operation="book", key="k1"):
    """Return the decoded action request."""
    headers = {KEY_HEADER: key}
    return action_request(
        "bookings", operation, b"{}", headers, "front-desk", "r1", RECEIVED_S
    )


class TestDeadlines:
    """Deadlines of requests that have waited in a queue."""

    HEADERS = {DEADLINE_HEADER: "3000", TOTAL_DEADLINE_HEADER: "4000"}

    def test_deadlines_count_from_the_receipt(self):
        """The time that a caller waits for a task is a part of its time."""
        arguments = ("bookings", "book", b"{}", self.HEADERS, "c", "r1", RECEIVED_S)
        assert action_request(*arguments).deadline_s == RECEIVED_S + 3
        body = msgspec.json.encode({"model": "m", "prompt": "p"})
        decoded = decode_completion(body, self.HEADERS, "c", False, "r1", RECEIVED_S)
        assert decoded.request.deadline_s == RECEIVED_S + 3
        assert decoded.request.total_deadline_s == RECEIVED_S + 4


class TestActionRequest:
    """Idempotency keys and operation names."""

    @pytest.mark.parametrize("key", ["k", "order/7:a~", "k" * MAX_KEY_CHARACTERS])
    def test_visible_ascii_key_is_accepted(self, key):
        """A key has 1 to MAX_KEY_CHARACTERS visible ASCII characters."""
        assert decode(key=key).key == key

    @pytest.mark.parametrize(
        "key", ["", "a b", "a\0b", "a\n", "é", "\x7f", "k" * (MAX_KEY_CHARACTERS + 1)]
    )
    def test_other_keys_are_refused(self, key):
        """Spaces, control and non-ASCII characters, and bad lengths are refused."""
        with pytest.raises(RefusalError) as caught:
            decode(key=key)
        refusal = caught.value
        assert (refusal.reason, refusal.field) == (Reason.BAD_HEADER, KEY_HEADER)
        assert refusal.verdict is Verdict.NOT_RUN

    @pytest.mark.parametrize("operation", ["", "..", "../control", "a/b", "a\0", "a?b"])
    def test_path_traversal_in_operation_is_refused(self, operation):
        """An operation cannot reach another path of the service."""
        with pytest.raises(RefusalError) as caught:
            decode(operation)
        assert caught.value.field == "operation"


def completion(chat=False, **fields):
    """Return a decoded completion request."""
    body = msgspec.json.encode({"model": "m", "prompt": "p", **fields})
    return decode_completion(body, {}, "meter-app", chat, "r1", RECEIVED_S)


class TestStreamOptions:
    """Options of streams."""

    def test_options_require_stream(self):
        """Options without a stream are refused; the refusal names the field."""
        with pytest.raises(RefusalError) as caught:
            completion(stream_options={"include_usage": True})
        assert caught.value.field == "stream_options"
