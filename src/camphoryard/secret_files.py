"""Secrets that settings keep in files of their own."""

import tomllib
from pathlib import Path
from typing import Any

from camphoryard.protocol.strict import FieldError

SUFFIX = "_file"


def read_secret_files(raw: dict[str, Any], folder: Path) -> None:
    """Put the contents of the files that ``raw`` names in place of their names.

    ``peers.secret_key_file`` and ``platform.object_api_token_file`` hold one
    value each, ``access.file`` a TOML file with the fields of ``[access]``.

    Raises
    ------
    FieldError
        If a file cannot be read, or a value is given twice.
    """
    _read_value(raw, folder, "peers", "secret_key")
    _read_value(raw, folder, "platform", "object_api_token")
    _read_access(raw, folder)


def _read_value(raw: dict[str, Any], folder: Path, table: str, name: str) -> None:
    values = raw.get(table)
    if not isinstance(values, dict) or name + SUFFIX not in values:
        return
    path = f"{table}.{name}{SUFFIX}"
    file = values.pop(name + SUFFIX)
    if name in values:
        raise FieldError(path, f"give either this or {table}.{name}")
    values[name] = _read(folder, file, path).strip()


def _read_access(raw: dict[str, Any], folder: Path) -> None:
    access = raw.get("access")
    if not isinstance(access, dict) or "file" not in access:
        return
    file = access.pop("file")
    try:
        found = tomllib.loads(_read(folder, file, "access.file"))
    except tomllib.TOMLDecodeError as error:
        raise FieldError("access.file", f"{file}: not TOML") from error
    doubled = sorted(access.keys() & found.keys())
    if doubled:
        raise FieldError("access.file", f"it gives {doubled[0]} a second time")
    access.update(found)


def _read(folder: Path, file: Any, path: str) -> str:
    if not isinstance(file, str):
        raise FieldError(path, "expected the path of a file")
    try:
        return (folder / file).read_text()
    except OSError as error:
        raise FieldError(path, f"{file}: cannot be read ({error.strerror})") from error
    except UnicodeDecodeError as error:
        raise FieldError(path, f"{file}: is no text") from error
