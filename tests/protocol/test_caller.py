"""Tests of callers' requests over HTTP."""

import msgspec
import pytest

from camphoryard.protocol.caller import (
    KEY_HEADER,
    MAX_KEY_CHARACTERS,
    EventEncoder,
    action_request,
    decode_completion,
    encode_answer,
)
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.requests import CompletionAnswer, TokenFrame, Usage
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


class TestUsage:
    """Counts of tokens, as the engine told them."""

    LAST = TokenFrame("r1", 2, finished=True, usage=Usage(3, 2))
    FORM = {"prompt_tokens": 3, "completion_tokens": 2, "total_tokens": 5}

    @pytest.mark.parametrize("chat", [False, True])
    def test_whole_answer_has_it(self, chat):
        """Both kinds of completion tell the usage, or null without counts."""
        for usage, form in ((Usage(3, 2), self.FORM), (None, None)):
            body = encode_answer(completion(chat), CompletionAnswer("t", 2, usage))
            assert msgspec.json.decode(body)["usage"] == form

    def test_last_event_has_it_if_asked_for(self):
        """An event without choices follows the end of the answer."""
        asked = completion(stream=True, stream_options={"include_usage": True})
        events = EventEncoder(asked).encode(self.LAST).split(b"\n\n")
        last = msgspec.json.decode(events[1].removeprefix(b"data: "))
        assert (last["choices"], last["usage"]) == ([], self.FORM)

    def test_stream_is_silent_about_it_otherwise(self):
        """No event has the usage unless the caller asks."""
        assert b"usage" not in EventEncoder(completion(stream=True)).encode(self.LAST)
