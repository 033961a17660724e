"""Parses the key=value log lines of entry nodes."""

import shlex

from camphoryard.state.ids import NodeId
from camphoryard.state.log_lines import LogLine

FIRST_KEY = "at="


def parse_log_line(text: str) -> LogLine | None:
    """Return the parsed line, or None if no entry node wrote it.

    A prefix that a log collector has added is skipped.

    Examples
    --------
    >>> parse_log_line('10.2 at=7.5 node=n1 event=started zone="lake a"').event
    'started'
    """
    start = text.find(FIRST_KEY)
    if start < 0:
        return None
    try:
        tokens = shlex.split(text[start:])
    except ValueError:
        return None
    fields = dict(token.split("=", 1) for token in tokens if "=" in token)
    try:
        at_s = float(fields.pop("at"))
        node, event = NodeId(fields.pop("node")), fields.pop("event")
    except (KeyError, ValueError):
        return None
    return LogLine(node, at_s, event, fields)
