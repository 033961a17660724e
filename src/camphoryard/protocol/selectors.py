"""The text form of selectors.

Requirements are joined by commas: ``tier=gold``, ``tier!=gold``,
``zone in (a, b)``, ``zone notin (a, b)``, ``tier``, ``!tier``.
"""

import re

from camphoryard.state.errors import CamphoryardError
from camphoryard.state.labels import (
    Equals,
    Missing,
    NoneOf,
    NotEquals,
    OneOf,
    Present,
    Requirement,
    Selector,
)

_NAME = r"[A-Za-z0-9]([A-Za-z0-9._/-]*[A-Za-z0-9])?"
_REQUIREMENT = re.compile(
    rf"(?P<missing>!)?\s*(?P<key>{_NAME})"
    rf"(?:\s*(?P<sign>!=|==|=)\s*(?P<value>{_NAME})"
    r"|\s+(?P<word>in|notin)\s*\((?P<values>[^()]*)\))?"
)
_COMMA_OUTSIDE = re.compile(r",(?![^(]*\))")


class SelectorSyntaxError(CamphoryardError):
    """The text is not a valid selector."""


def parse_selector(text: str) -> Selector:
    """Return the selector in ``text``; an empty text selects everything.

    Raises
    ------
    SelectorSyntaxError
        If a requirement is invalid; the message names it.

    Examples
    --------
    >>> parse_selector("zone in (a), !leaving").requirements[1]
    Missing(key='leaving')
    """
    if not text.strip():
        return Selector()
    pieces = _COMMA_OUTSIDE.split(text)
    return Selector(tuple(_requirement(piece.strip()) for piece in pieces))


def _requirement(text: str) -> Requirement:
    parsed = _REQUIREMENT.fullmatch(text)
    if parsed is None:
        raise SelectorSyntaxError(f"cannot read selector requirement {text!r}")
    key = parsed["key"]
    if parsed["missing"]:
        if parsed["sign"] or parsed["word"]:
            raise SelectorSyntaxError(f"cannot read selector requirement {text!r}")
        return Missing(key)
    if parsed["sign"]:
        if parsed["sign"] == "!=":
            return NotEquals(key, parsed["value"])
        return Equals(key, parsed["value"])
    if parsed["word"]:
        values = frozenset(item.strip() for item in parsed["values"].split(","))
        if not all(re.fullmatch(_NAME, value) for value in values):
            raise SelectorSyntaxError(
                f"invalid values in selector requirement {text!r}"
            )
        return OneOf(key, values) if parsed["word"] == "in" else NoneOf(key, values)
    return Present(key)


def format_selector(selector: Selector) -> str:
    """Return the text form, which parse_selector parses to an equal selector."""
    return ", ".join(_text(item) for item in selector.requirements)


def _text(requirement: Requirement) -> str:
    match requirement:
        case Equals(key, value):
            return f"{key}={value}"
        case NotEquals(key, value):
            return f"{key}!={value}"
        case OneOf(key, values):
            return f"{key} in ({', '.join(sorted(values))})"
        case NoneOf(key, values):
            return f"{key} notin ({', '.join(sorted(values))})"
        case Present(key):
            return key
        case Missing(key):
            return f"!{key}"
