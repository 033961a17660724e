"""Removal of deeply nested values from JSON, which no decoder here can read."""

import re

MAX_DEPTH = 64
"""Maximum number of arrays and objects around a value; records have a few."""

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def without_deep_values(document: bytes) -> bytes:
    """Return a JSON document with each value nested too deeply replaced by null.

    The decoder gives up the whole document for one such value.

    Examples
    --------
    >>> without_deep_values(b'{"a":1,"b":' + b"[" * 80 + b"]" * 80 + b"}").count(b"[")
    63
    """
    kept: list[bytes] = []
    depth = kept_until = 0
    for token in _TOKEN.finditer(document):
        match token[0]:
            case b"[" | b"{":
                depth += 1
                if depth == MAX_DEPTH + 1:
                    kept += (document[kept_until : token.start()], b"null")
            case b"]" | b"}":
                if depth == MAX_DEPTH + 1:
                    kept_until = token.end()
                depth -= 1
            case _:
                pass
    kept.append(document[kept_until:])
    return b"".join(kept)
