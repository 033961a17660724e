"""Secrets that the settings read from separate files."""

import tomllib
from pathlib import Path
from typing import Any

from camphoryard.protocol.strict import FieldError

SUFFIX = "_file"


def read_secret_files(raw: dict[str, Any], folder: Path) -> None:
    """Replace the names of secret files in ``raw`` by their contents.

    The files of ``peers.secret_key_file`` and ``platform.object_api_token_file``
    contain one value each. ``access.file`` is a TOML file with the fields of
    ``[access]``. Paths are relative to ``folder``.

    Raises
    ------
    FieldError
        If a file cannot be read, or a value is set twice.
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
        raise FieldError(path, f"set either this or {table}.{name}, not both")
    values[name] = _read(folder, file, path).strip()


def _read_access(raw: dict[str, Any], folder: Path) -> None:
    access = raw.get("access")
    if not isinstance(access, dict) or "file" not in access:
        return
    file = access.pop("file")
    try:
        fields = tomllib.loads(_read(folder, file, "access.file"))
    except tomllib.TOMLDecodeError as error:
        raise FieldError("access.file", f"{file}: not TOML") from error
    duplicates = sorted(access.keys() & fields.keys())
    if duplicates:
        raise FieldError("access.file", f"{duplicates[0]} is also set in [access]")
    access.update(fields)


def _read(folder: Path, file: Any, path: str) -> str:
    if not isinstance(file, str):
        raise FieldError(path, "expected a file path")
    try:
        return (folder / file).read_text()
    except OSError as error:
        raise FieldError(path, f"{file}: cannot be read ({error.strerror})") from error
    except UnicodeDecodeError as error:
        raise FieldError(path, f"{file}: not UTF-8 text") from error
