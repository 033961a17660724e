"""Options shared by commands, exit codes and the printing of results."""

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
    """Output format."""

    TEXT = "text"
    JSON = "json"


ServerOption = Annotated[
    list[str],
    typer.Option(
        "--server",
        envvar="CAMPHORYARD_SERVER",
        help="Daemon, as http://IP:PORT. One is enough: it asks the other nodes."
        " With several, the next is tried when one does not answer.",
    ),
]
TokenOption = Annotated[
    str,
    typer.Option(
        envvar="CAMPHORYARD_TOKEN",
        help="Operator or caller token; prefer the environment variable.",
    ),
]
OutputOption = Annotated[Output, typer.Option(help="Output format.")]


def fail(message: str, code: int) -> NoReturn:
    """Print an error and exit with ``code``."""
    typer.echo(f"camphoryard: {message}", err=True)
    raise typer.Exit(code)


def print_json(value: Any) -> None:
    """Print a result as JSON."""
    typer.echo(msgspec.json.format(msgspec.json.encode(value)).decode())
