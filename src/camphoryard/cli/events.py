"""Events of the time line, asked for and printed by several commands."""

from collections.abc import Sequence
from datetime import UTC, datetime

import typer

from camphoryard.cli.connection import TIMELINE_PATH, fetch
from camphoryard.coordination.configuration.timeline_merging import MergedTimeline
from camphoryard.protocol.operator import decode_timeline
from camphoryard.state.timeline import Event

MILLISECONDS_PER_SECOND = 1000


def fetch_events(
    servers: Sequence[str], token: str, wanted: dict[str, str]
) -> MergedTimeline:
    """Return the events that have all ``wanted`` fields; names silent nodes."""
    merged = decode_timeline(fetch(servers, token, TIMELINE_PATH, wanted))
    for node in merged.silent:
        typer.echo(f"{node} gave no answer: its events are missing", err=True)
    return merged


def event_line(event: Event) -> str:
    """Return an event as one line of pairs."""
    pairs = [f"{key}={_quoted(value)}" for key, value in event.fields.items()]
    return " ".join((event_time(event), event.node, event.name, *pairs))


def event_time(event: Event) -> str:
    """Return when an event was, in UTC to the millisecond."""
    wall_s = event.stamp.wall_ms / MILLISECONDS_PER_SECOND
    text = datetime.fromtimestamp(wall_s, UTC).isoformat(timespec="milliseconds")
    return text.removesuffix("+00:00") + "Z"


def _quoted(value: str) -> str:
    if value and not any(character in value for character in ' "='):
        return value
    return '"' + value.replace('"', '\\"') + '"'
