"""Decoding of token frames from an engine's event stream."""

from enum import Enum

import msgspec

from camphoryard.coordination.ports import FrameCallback
from camphoryard.protocol.endpoint import EVENT_PREFIX, decode_frame
from camphoryard.state.errors import BrokenCallError
from camphoryard.state.requests import TokenFrame
from camphoryard.transport.http_answers import (
    LINE_END,
    MAX_LINE_BYTES,
    InvalidAnswerError,
    parse_chunk_size,
    parse_field,
)
from camphoryard.transport.http_client import OpenAnswer, broken_call_error
from camphoryard.transport.stream_reading import (
    READ_BYTES,
    OpenStream,
    StreamLimits,
    StreamReaders,
)

EVENT_END = b"\n\n"
MAX_BYTES_WITHOUT_FRAME = 1 << 20
"""Maximum number of bytes received without a frame; parts of it are buffered."""


class EventStream:
    """An open event stream of an engine.

    The waiting task reads the first data itself, since handing the stream over to
    another task would delay it; the task of the endpoint reads all later data.
    """

    def __init__(
        self, answer: OpenAnswer, readers: StreamReaders, limits: StreamLimits
    ) -> None:
        self._answer = answer
        self._readers = readers
        self._limits = limits
        self._body = _make_body(answer)
        self._partial_event = b""
        self._is_complete = False
        self._frames = 0
        self._bytes_without_frame = 0

    def read_frames(self, take: FrameCallback) -> None:
        """Pass frames to ``take`` until it returns True; see the TokenStream port."""
        if self._body.is_over:
            return

        def consume_data(data: bytes) -> bool:
            return not data or self._consume(data, take)

        stream = OpenStream(self._answer.sock, consume_data, lambda: self._frames)
        buffered = self._answer.read_buffered()
        is_over = (
            stream.consume(buffered) if buffered else stream.read_first(self._limits)
        )
        if is_over:
            stream.end()
        else:
            self._readers.start(self._answer.address, stream)
        stream.wait(self._limits)

    def close(self) -> None:
        """Close the stream; aborts the connection unless the answer was complete.

        The end of the body does not tell, as it may be that of an earlier answer.
        """
        self._answer.close(self._is_complete and self._is_read_to_end())

    def _consume(self, data: bytes, take: FrameCallback) -> bool:
        *events, self._partial_event = (
            self._partial_event + self._body.decode(data)
        ).split(EVENT_END)
        self._bytes_without_frame += len(data)
        if self._bytes_without_frame > MAX_BYTES_WITHOUT_FRAME:
            raise BrokenCallError("the stream sends bytes but no frames")
        for event in events:
            if event.startswith(EVENT_PREFIX + b"{"):
                self._frames += 1
                self._bytes_without_frame = 0
                if take(_decode_event(event)):
                    self._is_complete = True
                    return True
        if self._body.error is not None:
            raise broken_call_error(self._body.error)
        return self._body.is_over

    def _is_read_to_end(self) -> bool:
        """Return whether the body is read to its end, which may be in the socket."""
        if not self._body.is_over:
            try:
                self._body.decode(self._answer.sock.recv(READ_BYTES))
            except OSError:
                return False
        return self._body.is_over and not self._body.has_surplus


class _ChunkPart(Enum):
    """What comes next in a body in chunks."""

    SIZE = "size"
    DATA = "data"
    DATA_END = "end of the data"
    TRAILERS = "trailers"
    END = "end"


class _ChunkedBody:
    """A body in chunked transfer encoding."""

    def __init__(self) -> None:
        self.error: InvalidAnswerError | None = None
        self._next = _ChunkPart.SIZE
        self._bytes_left = 0
        self._received = b""

    @property
    def is_over(self) -> bool:
        """Whether the body has ended."""
        return self._next is _ChunkPart.END

    @property
    def has_surplus(self) -> bool:
        """Whether bytes were received that are no part of the body."""
        return self.is_over and bool(self._received)

    def decode(self, data: bytes) -> bytes:
        """Return the content in ``data``, up to what makes ``error``."""
        self._received += data
        content: list[bytes] = []
        try:
            while self.error is None and self._take_part(content):
                pass
        except InvalidAnswerError as error:
            self.error = error
        return b"".join(content)

    def _take_part(self, content: list[bytes]) -> bool:
        """Take the next part, or some of a chunk; return False if none is received."""
        if self.is_over or not self._received:
            return False
        if self._next is _ChunkPart.DATA:
            content.append(self._received[: self._bytes_left])
            self._received = self._received[self._bytes_left :]
            self._bytes_left -= len(content[-1])
            if not self._bytes_left:
                self._next = _ChunkPart.DATA_END
            return True
        line, end, rest = self._received.partition(LINE_END)
        if len(line) > MAX_LINE_BYTES:
            raise InvalidAnswerError("a line between chunks is too long")
        if not end:
            return False
        self._received = rest
        self._next = self._part_after(line)
        return True

    def _part_after(self, line: bytes) -> _ChunkPart:
        match self._next:
            case _ChunkPart.SIZE:
                self._bytes_left = parse_chunk_size(line)
                return _ChunkPart.DATA if self._bytes_left else _ChunkPart.TRAILERS
            case _ChunkPart.DATA_END if not line:
                return _ChunkPart.SIZE
            case _ChunkPart.TRAILERS if line:
                parse_field(line)
                return _ChunkPart.TRAILERS
            case _ChunkPart.TRAILERS:
                return _ChunkPart.END
            case part:
                raise InvalidAnswerError(f"invalid {part.value} of a chunk")


class _SizedBody:
    """A body of known length."""

    error = None

    def __init__(self, length: int) -> None:
        self._bytes_left = length
        self.has_surplus = False

    @property
    def is_over(self) -> bool:
        """Whether the body has ended."""
        return not self._bytes_left

    def decode(self, data: bytes) -> bytes:
        """Return the content in ``data``."""
        content = data[: self._bytes_left]
        self._bytes_left -= len(content)
        self.has_surplus = len(content) < len(data)
        return content


class _UnframedBody:
    """A body delimited by the end of the connection."""

    is_over = False
    has_surplus = False
    error = None

    def decode(self, data: bytes) -> bytes:
        """Return the content in ``data``."""
        return data


def _make_body(answer: OpenAnswer) -> _ChunkedBody | _SizedBody | _UnframedBody:
    response = answer.response
    if response.chunked:
        return _ChunkedBody()
    if response.length is not None:
        return _SizedBody(response.length)
    return _UnframedBody()


def _decode_event(event: bytes) -> TokenFrame:
    try:
        return decode_frame(event)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise BrokenCallError(f"unreadable event: {error}") from error
