"""The command that follows one request through the logs of entry nodes."""

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import typer

from camphoryard.cli.options import (
    EXIT_REFUSED,
    EXIT_USAGE,
    Output,
    OutputOption,
    fail,
    print_json,
)
from camphoryard.coordination.observing.request_trace import trace_request
from camphoryard.protocol.log_lines import parse_log_line
from camphoryard.state.ids import RequestId
from camphoryard.state.log_lines import LogLine

OWN_MARK = ">"


def trace(
    request: Annotated[str, typer.Argument(help="Id in the client's report.")],
    logs: Annotated[
        list[Path], typer.Argument(help="Logs of entry nodes, one file or more.")
    ],
    output: OutputOption = Output.TEXT,
) -> None:
    """Show what became of a request of an entry node, and what went on around it.

    Times are each node's own clock. Lines marked > name the request.
    """
    found = trace_request(_read(logs), RequestId(request))
    if output is Output.JSON:
        print_json(found)
    for node in found.nodes if output is Output.TEXT else ():
        typer.echo(f"{node.node}:")
        for line in sorted([*node.own, *node.around], key=lambda item: item.at_s):
            mark = OWN_MARK if line in node.own else " "
            typer.echo(f"{mark} {line.at_s:.3f} {line.event} {_fields(line)}")
    if output is Output.TEXT and found.duty:
        typer.echo("the duty of ordering engines, at nodes that do not name it:")
        for line in found.duty:
            typer.echo(f"  {line.node} {line.at_s:.3f} {line.event} {_fields(line)}")
    if not found.nodes:
        fail(
            f"no log names request {request}: no node has read it; see what the node"
            " that it was sent to did at that time (stopping, stood_still)",
            EXIT_REFUSED,
        )


def _read(paths: list[Path]) -> Iterator[LogLine]:
    for path in paths:
        try:
            with path.open(errors="replace") as file:
                for text in file:
                    line = parse_log_line(text)
                    if line is not None:
                        yield line
        except OSError as error:
            fail(f"{path}: {error.strerror}", EXIT_USAGE)


def _fields(line: LogLine) -> str:
    return " ".join(f"{key}={value}" for key, value in line.fields.items() if value)
