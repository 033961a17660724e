"""The operators' and callers' command-line tool."""

import typer

from camphoryard.cli.calling import call, drain, keys
from camphoryard.cli.configuring import apply, diff, get
from camphoryard.cli.observing import explain, timeline
from camphoryard.cli.refusals import refusals
from camphoryard.cli.status import status
from camphoryard.cli.tracing import trace

app = typer.Typer(
    help="Operate and call camphoryard. Exit codes: 0 done, 1 refused,"
    " 2 bad usage or input, 3 no daemon answered, 4 not in force in time,"
    " 5 a promise is at risk (status --check).",
    no_args_is_help=True,
)
for command in (
    apply,
    diff,
    get,
    status,
    refusals,
    timeline,
    explain,
    trace,
    call,
    drain,
    keys,
):
    app.command()(command)


def main() -> None:
    """Entry point of ``camphoryard``."""
    app()
