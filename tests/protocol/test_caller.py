"""Tests of callers' requests over HTTP."""

import msgspec
import pytest

from camphoryard.protocol.caller import (
    KEY_HEADER,
    MAX_KEY_CHARACTERS,
    action_request,
    decode_completion,
)
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.verdict import Verdict


def decode(operation="book", key="k1"):
    """Return the action that a caller asks for."""
    headers = {KEY_HEADER: key}
    return action_request("bookings", operation, b"{}", headers, "front-desk", "r1")


class TestActionRequest:
    """Keys and operations."""

    @pytest.mark.parametrize("key", ["k", "order/7:a~", "k" * MAX_KEY_CHARACTERS])
    def test_visible_ascii_is_a_key(self, key):
        """Any visible ASCII characters make a key."""
        assert decode(key=key).key == key

    @pytest.mark.parametrize(
        "key", ["", "a b", "a\0b", "a\n", "é", "\x7f", "k" * (MAX_KEY_CHARACTERS + 1)]
    )
    def test_other_keys_are_refused(self, key):
        """Blanks, control and other characters, none or too many."""
        with pytest.raises(RefusalError) as caught:
            decode(key=key)
        refusal = caught.value
        assert (refusal.reason, refusal.field) == (Reason.BAD_HEADER, KEY_HEADER)
        assert refusal.verdict is Verdict.NOT_RUN

    @pytest.mark.parametrize("operation", ["", "..", "../control", "a/b", "a\0", "a?b"])
    def test_path_tricks_are_no_operations(self, operation):
        """An operation cannot reach another path of the service."""
        with pytest.raises(RefusalError) as caught:
            decode(operation)
        assert caught.value.field == "operation"


def completion(chat=False, **fields):
    """Return a decoded completion request."""
    body = msgspec.json.encode({"model": "m", "prompt": "p", **fields})
    return decode_completion(body, {}, "meter-app", chat, "r1")


class TestStreamOptions:
    """What a stream tells besides the answer."""

    def test_need_a_stream(self):
        """Options without a stream are refused by name."""
        with pytest.raises(RefusalError) as caught:
            completion(stream_options={"include_usage": True})
        assert caught.value.field == "stream_options"
