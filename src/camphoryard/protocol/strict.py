"""Conversion that rejects unknown fields and names each invalid field."""

from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from typing import Any, TypeVar, get_args, get_type_hints

import msgspec

from camphoryard.state.errors import CamphoryardError

FormT = TypeVar("FormT")


class FieldError(CamphoryardError):
    """A field is unknown, missing or of another type than expected.

    Parameters
    ----------
    field : str
        Path of the field, such as ``models[0].memory_mb``.
    detail : str
        Which value was expected.
    """

    def __init__(self, field: str, detail: str) -> None:
        super().__init__(f"{field or 'document'}: {detail}")
        self.field = field
        self.detail = detail


def convert_strict(raw: Any, kind: type[FormT]) -> FormT:
    """Return decoded data as an instance of the data class ``kind``.

    Raises
    ------
    FieldError
        If a field is unknown, missing or of another type; names its path.

    Examples
    --------
    >>> convert_strict({"mode": "a"}, Model)  # doctest: +SKIP
    Traceback (most recent call last):
    camphoryard.protocol.strict.FieldError: mode: unknown field; expected one of ...
    """
    _reject_unknown_fields(raw, kind, "")
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        detail, _, path = str(error).partition(" - at `")
        raise FieldError(path.rstrip("`").removeprefix("$").lstrip("."), detail) from (
            error
        )


def _reject_unknown_fields(raw: Any, kind: Any, path: str) -> None:
    if isinstance(raw, list):
        inner = get_args(kind)
        for index, item in enumerate(raw):
            if inner:
                _reject_unknown_fields(item, inner[0], f"{path}[{index}]")
        return
    if not isinstance(raw, Mapping) or not is_dataclass(kind):
        return
    hints = get_type_hints(kind)
    known = {item.name for item in fields(kind)}
    for name, value in raw.items():
        where = f"{path}.{name}" if path else name
        if name not in known:
            raise FieldError(
                where, f"unknown field; expected one of {', '.join(sorted(known))}"
            )
        _reject_unknown_fields(value, hints[name], where)
