"""Bodies of requests while they are received, with a length or in chunks.

Both classes have the interface of the receivers of waitress.
"""

import mmap
import re
from enum import Enum

from waitress import utilities as waitress_errors
from waitress.rfc7230 import CHUNK_EXT_RE

MAX_SMALL_BODY_BYTES = 64 << 10
"""Size up to which a body is held in the heap."""
MAX_SMALL_CHUNK_BYTES = 64
"""Size up to which chunks of one size are parsed together."""
MAX_SIZE_LINE_BYTES = 1024
"""Maximum length of the line that begins a chunk, with its extension."""
SIZE_PATTERN = re.compile(rb"[0-9a-fA-F]+")
LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"


class BodyBuffer:
    """Content of a body.

    Parameters
    ----------
    max_bytes : int
        Maximum size of the body.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size = 0
        self._small = bytearray()
        self._large: mmap.mmap | None = None

    def __len__(self) -> int:
        """Return the number of bytes received."""
        return self._size

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self._size += len(data)
        if self._large is None and self._size > MAX_SMALL_BODY_BYTES:
            # Returned to the system as soon as it is closed, unlike freed memory of
            # the heap; only the pages that are written take memory.
            self._large = mmap.mmap(-1, self._max_bytes)
            self._large.write(self._small)
            self._small = bytearray()
        if self._large is None:
            self._small += data
        else:
            self._large.write(data)

    def take(self) -> bytes:
        """Return the content, which the buffer no longer holds."""
        if self._large is None:
            content = bytes(self._small)
        else:
            content = self._large[: self._size]
        self.close()
        return content

    def close(self) -> None:
        """Release the content."""
        self._small = bytearray()
        if self._large is not None:
            self._large.close()
            self._large = None


class FixedBody:
    """A body of the length in its head."""

    error: waitress_errors.BadRequest | None = None
    chunks = 0

    def __init__(self, length: int) -> None:
        self.buffer = BodyBuffer(length)
        self.completed = False
        self._left = length

    def __len__(self) -> int:
        """Return the number of bytes received."""
        return len(self.buffer)

    def received(self, data: bytes) -> int:
        """Add received bytes; return how many belong to the body."""
        taken = data[: self._left]
        self.buffer.append(taken)
        self._left -= len(taken)
        self.completed = not self._left
        return len(taken)

    def getbuf(self) -> BodyBuffer:
        """Return the content."""
        return self.buffer


class _Part(Enum):
    """Part of a chunked body that is received next."""

    SIZE_LINE = "size_line"
    CONTENT = "content"
    CONTENT_END = "content_end"
    TRAILER = "trailer"


class ChunkedBody:
    """A body in chunks, each byte of which is looked at once.

    Parameters
    ----------
    max_bytes : int
        Maximum size of the content.
    max_spare_bytes : int
        Maximum size of extensions, leading zeros and trailers together.
    """

    def __init__(self, max_bytes: int, max_spare_bytes: int) -> None:
        self.buffer = BodyBuffer(max_bytes)
        self.error: waitress_errors.BadRequest | None = None
        self.completed = False
        self.chunks = 0
        self.max_bytes = max_bytes
        self._spare_left = max_spare_bytes
        self._part = _Part.SIZE_LINE
        self._chunk_left = 0
        self._size = 0
        self._pending = b""
        self._pieces: list[bytes] = []

    def __len__(self) -> int:
        """Return the number of bytes of content received."""
        return len(self.buffer)

    def getbuf(self) -> BodyBuffer:
        """Return the content."""
        return self.buffer

    def received(self, data: bytes) -> int:
        """Add received bytes; return how many belong to the body."""
        if self.completed or self.error:
            return 0
        known = len(self._pending)
        data = self._pending + data
        try:
            at = self._parse(data)
        except _InvalidChunkError as error:
            self.error = error.answer
            self._pending = b""
            return len(data) - known
        self.buffer.append(b"".join(self._pieces))
        self._pieces.clear()
        if self.completed:
            return at - known
        self._pending = data[at:]
        return len(data) - known

    def _parse(self, data: bytes) -> int:
        """Parse what is complete in ``data``; return where the rest begins."""
        at = 0
        while not self.completed:
            match self._part:
                case _Part.SIZE_LINE:
                    next_at = self._parse_size(data, at)
                case _Part.CONTENT:
                    next_at = self._parse_content(data, at)
                case _Part.CONTENT_END:
                    next_at = self._parse_content_end(data, at)
                case _Part.TRAILER:
                    next_at = self._parse_trailer(data, at)
            if next_at < 0:
                break
            at = next_at
        return at

    def _parse_size(self, data: bytes, at: int) -> int:
        end = data.find(LINE_END, at, at + MAX_SIZE_LINE_BYTES)
        if end < 0:
            if len(data) - at >= MAX_SIZE_LINE_BYTES:
                raise _bad("Chunk size line too long")
            return -1
        line = data[at:end]
        digits, separator, _ = line.partition(b";")
        if separator and not CHUNK_EXT_RE.match(line[len(digits) :]):
            raise _bad("Invalid chunk extension")
        if not SIZE_PATTERN.fullmatch(digits):
            raise _bad("Invalid chunk size")
        size = int(digits, 16)
        if len(line) > 1:
            self._use_spare(len(line) - len(b"%x" % size))
        self._count_chunks(1, size)
        begin = end + len(LINE_END)
        if 0 < size <= MAX_SMALL_CHUNK_BYTES and line == b"%x" % size:
            run_end = self._take_run(data, at, size)
            if run_end > at:
                return run_end
        self._chunk_left = size
        self._part = _Part.CONTENT if size else _Part.TRAILER
        return begin

    def _take_run(self, data: bytes, at: int, size: int) -> int:
        """Take the whole chunks of ``size`` from ``at`` on; return where they end."""
        chunk = rb"%x\r\n(.{%d})\r\n" % (size, size)
        run = re.compile(rb"(?:%b)+" % chunk, re.DOTALL).match(data, at)
        if run is None:
            return at
        contents = re.compile(chunk, re.DOTALL).findall(data, at, run.end())
        self._count_chunks(len(contents) - 1, size)
        self._pieces.extend(contents)
        return run.end()

    def _count_chunks(self, count: int, size: int) -> None:
        self.chunks += count
        self._size += count * size
        if self._size > self.max_bytes:
            raise _InvalidChunkError(
                waitress_errors.RequestEntityTooLarge(
                    f"exceeds max_body of {self.max_bytes}"
                )
            )

    def _parse_content(self, data: bytes, at: int) -> int:
        piece = data[at : at + self._chunk_left]
        if not piece:
            return -1
        self._pieces.append(piece)
        self._chunk_left -= len(piece)
        if not self._chunk_left:
            self._part = _Part.CONTENT_END
        return at + len(piece)

    def _parse_content_end(self, data: bytes, at: int) -> int:
        end = data[at : at + len(LINE_END)]
        if not LINE_END.startswith(end):
            raise _bad("Chunk not properly terminated")
        if end != LINE_END:
            return -1
        self._part = _Part.SIZE_LINE
        return at + len(LINE_END)

    def _parse_trailer(self, data: bytes, at: int) -> int:
        if data.startswith(LINE_END, at):
            self.completed = True
            return at + len(LINE_END)
        end = data.find(HEAD_END, at)
        if end < 0:
            if len(data) - at > self._spare_left:
                raise _bad("Trailer too long")
            return -1
        self._use_spare(end - at)
        self.completed = True
        return end + len(HEAD_END)

    def _use_spare(self, count: int) -> None:
        self._spare_left -= count
        if self._spare_left < 0:
            raise _bad("Chunk extensions or trailers too long")


class _InvalidChunkError(Exception):
    """A chunked body that cannot be accepted."""

    def __init__(self, answer: waitress_errors.BadRequest) -> None:
        super().__init__()
        self.answer = answer


def _bad(text: str) -> _InvalidChunkError:
    return _InvalidChunkError(waitress_errors.BadRequest(text))
