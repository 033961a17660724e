"""Strict reading of HTTP answers, by RFC 9110 and 9112.

http.client reads heads with a parser for mail. It ends a head at a line that is no
field, ignores a length that it cannot read, and takes whatever Python's ``int`` does
for a number. It looks neither at what follows a chunk nor at trailers. A proxy that
forwards such an answer makes up its body.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass
from http.client import (
    HTTPException,
    HTTPMessage,
    HTTPResponse,
    IncompleteRead,
    LineTooLong,
    RemoteDisconnected,
)
from typing import TypeAlias

from waitress.rfc7230 import TOKEN

LINE_END = b"\r\n"
MAX_LINE_BYTES = 1 << 16
"""Maximum size of one line, as in http.client."""
MAX_FIELDS = 100
"""Maximum number of fields of a head, as in http.client."""
MAX_LENGTH_DIGITS = 18
"""Maximum number of significant digits of a length, which then fits into 64 bits."""
MAX_SIZE_DIGITS = 15
"""Maximum number of significant hexadecimal digits of the size of a chunk."""
MAX_QUOTED_CHARACTERS = 80
"""Maximum number of characters of a malformed answer that an error quotes."""
SWITCHING_PROTOCOLS = 101
INTERIM_STATUSES = range(100, 200)
NO_CONTENT = 204
NOT_MODIFIED = 304
CHUNKED = "chunked"
CLOSE = "close"
KEEP_ALIVE = "keep-alive"
"""Name of an option of the connection, and of a field."""
WHITESPACE = " \t"
STANDARD_SINGLE_FIELDS = frozenset(
    {
        "age",
        "content-location",
        "content-range",
        "content-type",
        "date",
        "etag",
        "expires",
        "last-modified",
        "location",
        "retry-after",
        "server",
    }
)
"""Fields of answers that are no lists in RFC 9110 and 9111, in lower case."""
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: (%b))?" % _TEXT)
_FIELD_NAME = re.compile(TOKEN.encode("ascii"))
_FIELD_VALUE = re.compile(_TEXT)
_CHUNK_SIZE = re.compile(
    rb"0*([0-9a-fA-F]{1,%d})(?:[ \t]*;%b)?" % (MAX_SIZE_DIGITS, _TEXT)
)
_LENGTH = re.compile(rf"0*([0-9]{{1,{MAX_LENGTH_DIGITS}}})")


class InvalidAnswerError(HTTPException):
    """What a server sent is no answer in HTTP."""


@dataclass(frozen=True, slots=True)
class NoBody:
    """The answer ends with its head."""


@dataclass(frozen=True, slots=True)
class SizedBody:
    """The body has ``length`` bytes."""

    length: int


@dataclass(frozen=True, slots=True)
class ChunkedBody:
    """The body ends with a chunk of size 0."""


@dataclass(frozen=True, slots=True)
class UndelimitedBody:
    """The body ends with the connection."""


Framing: TypeAlias = NoBody | SizedBody | ChunkedBody | UndelimitedBody


@dataclass(frozen=True, slots=True)
class StatusLine:
    """First line of an answer, in version 1.``minor`` of HTTP."""

    minor: int
    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class Field:
    """A field of a head; ``name`` is as it was sent."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class _Head:
    start: StatusLine
    fields: list[Field]
    framing: Framing


def parse_status_line(line: bytes) -> StatusLine:
    """Return the first line of an answer, from its bytes without the line end.

    Raises
    ------
    InvalidAnswerError
        If it is no status line of HTTP/1, or its status is not from 100 to 599.
    """
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        raise _invalid("status line", line)
    minor, status, reason = found.groups(default=b"")
    return StatusLine(int(minor), int(status), reason.decode("latin-1"))


def parse_field(line: bytes) -> Field:
    """Return a field from the bytes of its line without the line end.

    Raises
    ------
    InvalidAnswerError
        If the line is no field, or a folded one, which RFC 9112, section 5.2, has
        proxies refuse or rewrite.
    """
    name, colon, value = line.partition(b":")
    is_name = colon and _FIELD_NAME.fullmatch(name)
    if not is_name or not _FIELD_VALUE.fullmatch(value):
        raise _invalid("field", line)
    return Field(name.decode("ascii"), value.decode("latin-1").strip(WHITESPACE))


def parse_chunk_size(line: bytes) -> int:
    """Return the size in the first line of a chunk, which may have extensions.

    Raises
    ------
    InvalidAnswerError
        If the line has no size, or one of more than 60 bits.
    """
    found = _CHUNK_SIZE.fullmatch(line)
    if found is None:
        raise _invalid("chunk size", line)
    return int(found[1], 16)


def body_framing(start: StatusLine, fields: list[Field], method: str | None) -> Framing:
    """Return how the body of the answer to a call with ``method`` is delimited.

    Raises
    ------
    InvalidAnswerError
        If the head does not tell: it has several lengths, a length beside a coding, or
        a length or coding that is not known (RFC 9112, sections 6.1 to 6.3); or it has
        neither, on a connection that is said to be kept (section 9.3); or it tells of a
        body that its status excludes (section 6.1 and RFC 9110, section 8.6).
    """
    codings = _list_items(fields, "transfer-encoding")
    lengths = _list_items(fields, "content-length")
    is_chunked = bool(codings)
    if is_chunked and (lengths or not start.minor or codings != [CHUNKED]):
        raise _invalid("transfer coding", (codings, lengths))
    length = _parse_length(lengths) if lengths else None
    if start.status in INTERIM_STATUSES or start.status == NO_CONTENT:
        if is_chunked or length:
            raise InvalidAnswerError(f"a body of an answer with status {start.status}")
        return NoBody()
    if method == "HEAD" or start.status == NOT_MODIFIED:
        return NoBody()
    if is_chunked:
        return ChunkedBody()
    if length is not None:
        return SizedBody(length)
    if _keeps_connection(fields):
        raise InvalidAnswerError("a body without a length on a connection that is kept")
    return UndelimitedBody()


def _keeps_connection(fields: list[Field]) -> bool:
    """Return whether a head says that its connection stays open.

    HTTP/1.1 implies it where nothing is said, but a body may still end with such a
    connection (RFC 9112, section 6.3).
    """
    options = _list_items(fields, "connection")
    if CLOSE in options:
        return False
    is_timed = any(field.name.lower() == KEEP_ALIVE for field in fields)
    return is_timed or KEEP_ALIVE in options


def check_single_fields(fields: list[Field], names: frozenset[str]) -> None:
    """Check that each of ``names``, in lower case, has one value.

    Raises
    ------
    InvalidAnswerError
        If a field has unlike values, of which none is known to be the sender's
        (RFC 9110, section 5.3).
    """
    value_by_name: dict[str, str] = {}
    for field in fields:
        name = field.name.lower()
        if name in names and value_by_name.setdefault(name, field.value) != field.value:
            raise _invalid("repeated field", (name, value_by_name[name], field.value))


def _list_items(fields: list[Field], name: str) -> list[str]:
    """Return the items, in lower case, of all lists in the fields with a name."""
    return [
        item.strip(WHITESPACE).lower()
        for field in fields
        if field.name.lower() == name
        for item in field.value.split(",")
    ]


def _parse_length(items: list[str]) -> int:
    """Return the length that all items state; raises InvalidAnswerError."""
    found = [_LENGTH.fullmatch(item) for item in items]
    lengths = {int(match[1]) for match in found if match}
    if None in found or len(lengths) != 1:
        raise _invalid("length", items)
    return lengths.pop()


def _invalid(what: str, text: object) -> InvalidAnswerError:
    return InvalidAnswerError(f"invalid {what}: {text!r:.{MAX_QUOTED_CHARACTERS}}")


class StrictResponse(HTTPResponse):
    """An answer of which only what is well-formed is read.

    Reading the body raises an HTTPException where it is malformed or ends early.

    Attributes
    ----------
    single_fields : frozenset of str
        Fields that may not have unlike values, in lower case.
    """

    single_fields = STANDARD_SINGLE_FIELDS

    # What http.client has and typeshed does not declare.
    _check_close: Callable[[], bool]
    _close_conn: Callable[[], None]
    _method: str | None
    _safe_read: Callable[[int], bytes]

    def begin(self) -> None:
        """Read the head of the answer, and any interim ones before it.

        Raises
        ------
        HTTPException
            If it is malformed, or the connection ends within it.
        """
        head = self._read_head()
        while head.start.status in INTERIM_STATUSES:
            if head.start.status == SWITCHING_PROTOCOLS:
                raise InvalidAnswerError("status 101 without a request to upgrade")
            head = self._read_head()
        self.status = head.start.status
        self.reason = head.start.reason
        self.version = 11 if head.start.minor else 10
        self.headers = self.msg = HTTPMessage()
        for field in head.fields:
            self.headers[field.name] = field.value
        self.will_close = self._check_close()
        self.chunked, self.chunk_left, self.length = False, None, None
        match head.framing:
            case NoBody():
                self.length = 0
            case SizedBody(length):
                self.length = length
            case ChunkedBody():
                self.chunked = True
            case UndelimitedBody():
                self.will_close = True

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left of a chunk, None after the last; see http.client."""
        if self.chunk_left:
            return self.chunk_left
        if self.chunk_left is not None:
            chunk_end = self._safe_read(len(LINE_END))
            if chunk_end != LINE_END:
                raise _invalid("end of a chunk", chunk_end)
        self.chunk_left = parse_chunk_size(self._read_line()) or None
        if self.chunk_left is None:
            self._read_fields()
            self._close_conn()
        return self.chunk_left

    def _read_head(self) -> _Head:
        start = parse_status_line(self._read_first_line())
        fields = self._read_fields()
        if len(fields) > MAX_FIELDS:
            raise HTTPException(f"received more than {MAX_FIELDS} fields")
        check_single_fields(fields, self.single_fields)
        return _Head(start, fields, body_framing(start, fields, self._method))

    def _read_fields(self) -> list[Field]:
        """Return the fields up to an empty line, those of a head or trailers."""
        return [parse_field(line) for line in iter(self._read_line, b"")]

    def _read_first_line(self) -> bytes:
        try:
            return self._read_line()
        except IncompleteRead as error:
            if error.partial:
                raise
            raise RemoteDisconnected(
                "the connection ended without an answer"
            ) from error

    def _read_line(self) -> bytes:
        """Return the next line without its end."""
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        if len(line) > MAX_LINE_BYTES:
            raise LineTooLong("answer")
        if not line.endswith(b"\n"):
            raise IncompleteRead(line)
        if not line.endswith(LINE_END):
            raise _invalid("line end", line)
        return line.removesuffix(LINE_END)
