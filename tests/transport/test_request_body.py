"""Tests of bodies of requests while they are received."""

import pytest

from camphoryard.transport.request_body import (
    MAX_SIZE_LINE_BYTES,
    MAX_SMALL_BODY_BYTES,
    ChunkedBody,
    FixedBody,
)

MAX_BYTES = 4 * MAX_SMALL_BODY_BYTES
MAX_SPARE_BYTES = 4096
NEXT = b"GET / HTTP/1.1\r\n"


def receive(data, step):
    """Return a chunked body and how many bytes belong to it, ``step`` at a time."""
    body = ChunkedBody(MAX_BYTES, MAX_SPARE_BYTES)
    consumed = 0
    while consumed < len(data) and not body.completed and not body.error:
        consumed += body.received(data[consumed : consumed + step])
    return body, consumed


class TestFixedBody:
    """Bodies with a length."""

    @pytest.mark.parametrize("size", [1, MAX_SMALL_BODY_BYTES, MAX_BYTES])
    def test_takes_its_length_and_no_more(self, size):
        """What follows belongs to the next request."""
        body, content = FixedBody(size), bytes(size)
        assert body.received(content[:-1]) == size - 1
        assert not body.completed
        assert body.received(content[-1:] + NEXT) == 1
        assert (body.completed, body.getbuf().take()) == (True, content)


class TestChunkedBody:
    """Bodies in chunks."""

    @pytest.mark.parametrize("step", [1, 2, 3, 7, 1 << 20])
    @pytest.mark.parametrize(
        "end", [b"0\r\n\r\n", b"000;x=y\r\n\r\n", b"0\r\nA: b\r\nC: d\r\n\r\n"]
    )
    def test_content_does_not_depend_on_how_it_arrives(self, step, end):
        """Extensions and trailers are left out."""
        data = b'5;a="b"\r\nhello\r\n1\r\n \r\n00A\r\n0123456789\r\n' + end
        body, consumed = receive(data + NEXT, step)
        assert (body.error, consumed) == (None, len(data))
        assert body.getbuf().take() == b"hello 0123456789"

    # Guards against a refusal of a legal body because of what frames its chunks.
    def test_body_of_legal_size_may_have_chunks_of_one_byte(self):
        """The limit applies to the content."""
        body, _ = receive(b"1\r\nx\r\n" * MAX_BYTES + b"0\r\n\r\n", 8192)
        assert body.getbuf().take() == b"x" * MAX_BYTES

    @pytest.mark.parametrize(
        "data",
        [
            b"g\r\n",
            b"-1\r\n",
            b" 1\r\n",
            b"0x1\r\n",
            b"\r\n",
            b"1\nx\r\n",
            b"1;\x00\r\nx\r\n",
            b"1\r\nxy\r\n",
            b"1\r\nx\n",
            b"0" * MAX_SIZE_LINE_BYTES,
            (b"0" * 1000 + b"1\r\nx\r\n") * 5,
            b"0\r\n" + b"A: b\r\n" * MAX_SPARE_BYTES,
        ],
    )
    @pytest.mark.parametrize("step", [1, 1 << 20])
    def test_invalid_or_inflated_chunks_are_refused(self, data, step):
        """The load: what another parser might read differently, or costs memory."""
        body, _ = receive(data, step)
        assert body.error.code == 400
        assert not body.completed

    def test_announced_chunk_over_the_limit_is_refused_at_once(self):
        """Before any of its content is held."""
        body, _ = receive(b"%x\r\n" % (MAX_BYTES + 1), 1 << 20)
        assert (body.error.code, len(body)) == (413, 0)
