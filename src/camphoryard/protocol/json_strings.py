"""Replacement of JSON strings that no decoder here can read.

A decoder checks the escapes and bytes of strings in values that it skips, too, and
gives up the whole document for one of them.
"""

import re

import msgspec

UNREADABLE = b'"(unreadable string)"'
"""Stands in a document for each string that cannot be read."""

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)
_SUSPECT = re.compile(rb"[\x00-\x1f\x80-\xff]|\\[^\"\\/bfnrt]")
"""What a string must have to be unreadable: control or non-ASCII bytes, or an escape
other than those of one character."""


def without_unreadable_strings(document: bytes) -> bytes:
    r"""Return a JSON document with `UNREADABLE` in place of unreadable strings.

    Examples
    --------
    >>> without_unreadable_strings(b'{"a": "\\ud800", "b": "\\u00e9"}')
    b'{"a": "(unreadable string)", "b": "\\u00e9"}'
    """
    return _STRING.sub(lambda found: _readable(found[0]), document)


def _readable(string: bytes) -> bytes:
    if not _SUSPECT.search(string):
        return string
    try:
        msgspec.json.decode(string, type=str)
    except msgspec.DecodeError:
        return UNREADABLE
    return string
