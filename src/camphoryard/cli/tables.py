"""Tables of text for the terminal."""

from collections.abc import Iterable, Sequence

import typer

COLUMN_GAP = "  "


def print_table(headers: Sequence[str], rows: Iterable[Sequence[str]]) -> None:
    """Print rows below headers, each column as wide as its longest text.

    Examples
    --------
    >>> print_table(("NODE", "STATE"), [("node-1", "serving")])
    NODE    STATE
    node-1  serving
    """
    lines = [headers, *rows]
    widths = [max(len(line[index]) for line in lines) for index in range(len(headers))]
    for line in lines:
        cells = [text.ljust(width) for text, width in zip(line, widths, strict=True)]
        typer.echo(COLUMN_GAP.join(cells).rstrip())
