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


def encoded_generate(priority):
    """Return the decoded body of a request that resumes at offset 3."""
    request = InferenceRequest("r", "c", "m", "a", "p", 9, 1.0, priority)
    return msgspec.json.decode(encode_generate(request, 3))


class TestEncodeGenerate:
    """Bodies of completion requests to engines."""

    def test_resumes_at_the_offset(self):
        """The body has the offset to resume from, and no deadline."""
        assert encoded_generate(Priority.URGENT) == {
            "request_id": "r",
            "model": "m",
            "adapter": "a",
            "prompt": "p",
            "max_tokens": 9,
            "priority": Priority.URGENT.rank,
            "resume_from": 3,
        }

    def test_missing_priority_is_standard(self):
        """A request without a priority gets the standard rank."""
        assert encoded_generate(None)["priority"] == Priority.STANDARD.rank


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
        """The usage in the last frame is optional."""
        assert decode_frame(b"data: " + line) == frame

    def test_invalid_frame_raises(self):
        """An invalid frame raises the codec's error."""
        with pytest.raises(msgspec.MsgspecError):
            decode_frame(b'data: {"offset":"x"}')


class TestOrders:
    """Orders to engines and their inventories."""

    def test_order_has_its_fencing_number(self):
        """Engines use the fencing number to reject outdated orders."""
        body = msgspec.json.decode(encode_order(Order("o", OrderKind.LOAD, "m", 5, 7)))
        assert (body["kind"], body["fence"], body["memory_mb"]) == ("load", 7, 5)

    def test_inventory_with_missing_fields(self):
        """Fields missing from an inventory get empty defaults."""
        inventory = decode_inventory(b'{"resident":["m"]}')
        assert inventory.resident == {"m"}
        assert (inventory.fence, inventory.slots, inventory.leaving) == (0, 0, False)
