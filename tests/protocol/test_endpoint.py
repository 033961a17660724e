"""Tests of messages to and from engines."""

import msgspec
import pytest

from camphoryard.coordination.ports import Order
from camphoryard.protocol.endpoint import (
    decode_frame,
    decode_inventory,
    encode_generate,
    encode_order,
)
from camphoryard.state.enums import OrderKind, Priority
from camphoryard.state.requests import InferenceRequest, TokenFrame, Usage


def generated(priority):
    """Return the body that asks for tokens from the third on."""
    asked = InferenceRequest("r", "c", "m", "a", "p", 9, 1.0, priority)
    return msgspec.json.decode(encode_generate(asked, 3))


class TestEncodeGenerate:
    """Asking for tokens."""

    def test_resumes_at_the_offset(self):
        """The engine learns where to go on, and never the deadline."""
        assert generated(Priority.URGENT) == {
            "request_id": "r",
            "model": "m",
            "adapter": "a",
            "prompt": "p",
            "max_tokens": 9,
            "priority": Priority.URGENT.rank,
            "resume_from": 3,
        }

    def test_no_priority_is_standard(self):
        """A request without a class runs as a standard one."""
        assert generated(None)["priority"] == Priority.STANDARD.rank


class TestDecodeFrame:
    """Tokens and the end of an answer."""

    @pytest.mark.parametrize(
        ("line", "frame"),
        [
            (b'{"request_id":"r","offset":1,"text":"t"}', TokenFrame("r", 1, "t")),
            (
                b'{"request_id":"r","offset":2,"finished":true}',
                TokenFrame("r", 2, finished=True),
            ),
            (
                b'{"request_id":"r","offset":2,"finished":true,'
                b'"usage":{"prompt_tokens":3,"completion_tokens":2}}',
                TokenFrame("r", 2, finished=True, usage=Usage(3, 2)),
            ),
        ],
    )
    def test_frames(self, line, frame):
        """Usage may stand at the end and may be missing."""
        assert decode_frame(b"data: " + line) == frame

    def test_garbage_is_told(self):
        """What is no frame is an error of the codec."""
        with pytest.raises(msgspec.MsgspecError):
            decode_frame(b'data: {"offset":"x"}')


class TestOrders:
    """Orders and inventories."""

    def test_order_carries_its_fencing_number(self):
        """Engines that check numbers need it."""
        body = msgspec.json.decode(encode_order(Order("o", OrderKind.LOAD, "m", 5, 7)))
        assert (body["kind"], body["fence"], body["memory_mb"]) == ("load", 7, 5)

    def test_inventory_of_an_engine_that_tells_little(self):
        """Fields that an engine leaves out are empty, never made up."""
        found = decode_inventory(b'{"resident":["m"]}')
        assert found.resident == {"m"}
        assert (found.fence, found.slots, found.leaving) == (0, 0, False)
