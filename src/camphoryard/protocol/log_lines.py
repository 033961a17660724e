"""Reads the key=value lines that entry nodes write."""

import shlex

from camphoryard.state.ids import NodeId
from camphoryard.state.log_lines import LogLine

FIRST_KEY = "at="


def parse_log_line(text: str) -> LogLine | None:
    """Return a line, or None if it is no line of an entry node.

    What a collector of logs has put before it is passed over.

    Examples
    --------
    >>> parse_log_line('10.2 at=7.5 node=n1 event=started zone="lake a"').event
    'started'
    """
    start = text.find(FIRST_KEY)
    if start < 0:
        return None
    try:
        words = shlex.split(text[start:])
    except ValueError:
        return None
    fields = dict(word.split("=", 1) for word in words if "=" in word)
    try:
        at_s = float(fields.pop("at"))
        node, event = NodeId(fields.pop("node")), fields.pop("event")
    except (KeyError, ValueError):
        return None
    return LogLine(node, at_s, event, fields)
