"""Token frames of an engine's event stream."""

import msgspec
from waitress.receiver import ChunkedReceiver

from camphoryard.coordination.ports import FrameCallback
from camphoryard.protocol.endpoint import EVENT_PREFIX, decode_frame
from camphoryard.state.errors import BrokenCallError
from camphoryard.state.requests import TokenFrame
from camphoryard.transport.http_client import OpenAnswer
from camphoryard.transport.stream_reading import (
    READ_BYTES,
    Reading,
    StreamLimits,
    StreamReaders,
)

EVENT_END = b"\n\n"


class EventStream:
    """An open stream of an engine.

    What comes first is read by the waiting task, since to hand the stream over
    would delay it; all that follows is read in the task of the endpoint.
    """

    def __init__(
        self, answer: OpenAnswer, readers: StreamReaders, limits: StreamLimits
    ) -> None:
        self._answer = answer
        self._readers = readers
        self._limits = limits
        self._body = _make_body(answer)
        self._rest = b""

    def read_frames(self, take: FrameCallback) -> None:
        """Hand on frames until ``take`` wants no more; see the TokenStream port."""

        def take_data(data: bytes) -> bool:
            return not data or self._take(data, take)

        reading = Reading(self._answer.sock, take_data)
        early = self._answer.read_buffered()
        is_over = reading.take(early) if early else reading.read_first(self._limits)
        if is_over:
            reading.end()
        else:
            self._readers.start(self._answer.address, reading)
        reading.wait(self._limits)

    def close(self) -> None:
        """Let go of the stream; an unread rest breaks the connection."""
        self._answer.close(self._is_read())

    def _take(self, data: bytes, take: FrameCallback) -> bool:
        *events, self._rest = (self._rest + self._body.decode(data)).split(EVENT_END)
        for event in events:
            if event.startswith(EVENT_PREFIX + b"{") and take(_frame(event)):
                return True
        return self._body.is_over

    def _is_read(self) -> bool:
        """Return whether the body was read to its end, or its end has come by now."""
        if not self._body.is_over:
            try:
                self._body.decode(self._answer.sock.recv(READ_BYTES))
            except (OSError, BrokenCallError):
                return False
        return self._body.is_over


class _ChunkedBody:
    """A body in chunks."""

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self._receiver = ChunkedReceiver(self._pieces)

    @property
    def is_over(self) -> bool:
        return bool(self._receiver.completed)

    def decode(self, data: bytes) -> bytes:
        """Return the content in ``data``; raises BrokenCallError."""
        self._receiver.received(data)
        if self._receiver.error is not None:
            raise BrokenCallError(f"bad chunk: {self._receiver.error.body}")
        content = b"".join(self._pieces)
        self._pieces.clear()
        return content


class _PlainBody:
    """A body that ends with its connection."""

    is_over = False

    def decode(self, data: bytes) -> bytes:
        """Return the content in ``data``."""
        return data


def _make_body(answer: OpenAnswer) -> _ChunkedBody | _PlainBody:
    return _ChunkedBody() if answer.response.chunked else _PlainBody()


def _frame(event: bytes) -> TokenFrame:
    try:
        return decode_frame(event)
    except msgspec.MsgspecError as error:
        raise BrokenCallError(f"unreadable event: {error}") from error
