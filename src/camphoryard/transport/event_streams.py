"""Decoding of token frames from an engine's event stream."""

import msgspec
from waitress.receiver import ChunkedReceiver

from camphoryard.coordination.ports import FrameCallback
from camphoryard.protocol.endpoint import EVENT_PREFIX, decode_frame
from camphoryard.state.errors import BrokenCallError
from camphoryard.state.requests import TokenFrame
from camphoryard.transport.http_client import OpenAnswer
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
        return self._body.is_over

    def _is_read_to_end(self) -> bool:
        """Return whether the body is read to its end, which may be in the socket."""
        if not self._body.is_over:
            try:
                self._body.decode(self._answer.sock.recv(READ_BYTES))
            except (OSError, BrokenCallError):
                return False
        return self._body.is_over


class _ChunkedBody:
    """A body in chunked transfer encoding."""

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._receiver = ChunkedReceiver(self._chunks)

    @property
    def is_over(self) -> bool:
        return bool(self._receiver.completed)

    def decode(self, data: bytes) -> bytes:
        """Return the content in ``data``; raises BrokenCallError."""
        self._receiver.received(data)
        if self._receiver.error is not None:
            raise BrokenCallError(f"invalid chunk: {self._receiver.error.body}")
        content = b"".join(self._chunks)
        self._chunks.clear()
        return content


class _UnframedBody:
    """A body delimited by the end of the connection."""

    is_over = False

    def decode(self, data: bytes) -> bytes:
        """Return the content in ``data``."""
        return data


def _make_body(answer: OpenAnswer) -> _ChunkedBody | _UnframedBody:
    return _ChunkedBody() if answer.response.chunked else _UnframedBody()


def _decode_event(event: bytes) -> TokenFrame:
    try:
        return decode_frame(event)
    except msgspec.MsgspecError as error:
        raise BrokenCallError(f"unreadable event: {error}") from error
