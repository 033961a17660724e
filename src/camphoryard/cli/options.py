"""Options that commands share, exit codes and how results are printed."""

import enum
from typing import Annotated, Any, NoReturn

import msgspec
import typer

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_NOT_IN_FORCE = 4
EXIT_AT_RISK = 5


class Output(enum.Enum):
    """How results are printed."""

    TEXT = "text"
    JSON = "json"


ServerOption = Annotated[
    list[str],
    typer.Option(
        "--server",
        envvar="CAMPHORYARD_SERVER",
        help="Daemon, as http://IP:PORT. One is enough: it asks the other nodes."
        " Give more to have the next tried when one does not answer.",
    ),
]
TokenOption = Annotated[
    str,
    typer.Option(
        envvar="CAMPHORYARD_TOKEN",
        help="Operator or caller token; better in the environment than here.",
    ),
]
OutputOption = Annotated[Output, typer.Option(help="Form of the output.")]


def fail(message: str, code: int) -> NoReturn:
    """Print an error and end with an exit code."""
    typer.echo(f"camphoryard: {message}", err=True)
    raise typer.Exit(code)


def print_json(value: Any) -> None:
    """Print a result as JSON."""
    typer.echo(msgspec.json.format(msgspec.json.encode(value)).decode())
