"""Labels, and the selectors that match them."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

Labels: TypeAlias = Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Equals:
    """Label ``key`` has exactly ``value``."""

    key: str
    value: str


@dataclass(frozen=True, slots=True)
class NotEquals:
    """Label ``key`` is absent or has another value."""

    key: str
    value: str


@dataclass(frozen=True, slots=True)
class OneOf:
    """Label ``key`` has one of ``values``."""

    key: str
    values: frozenset[str]


@dataclass(frozen=True, slots=True)
class NoneOf:
    """Label ``key`` is absent or has none of ``values``."""

    key: str
    values: frozenset[str]


@dataclass(frozen=True, slots=True)
class Present:
    """Label ``key`` is present, with any value."""

    key: str


@dataclass(frozen=True, slots=True)
class Missing:
    """Label ``key`` is absent."""

    key: str


Requirement: TypeAlias = Equals | NotEquals | OneOf | NoneOf | Present | Missing


@dataclass(frozen=True, slots=True)
class Selector:
    """Requirements that must all hold; without any it matches everything."""

    requirements: tuple[Requirement, ...] = ()


def selects(selector: Selector, labels: Labels) -> bool:
    """Return whether ``labels`` meet every requirement of ``selector``.

    Examples
    --------
    >>> selects(Selector((Equals("zone", "a"),)), {"zone": "a"})
    True
    """
    return all(_is_met(item, labels) for item in selector.requirements)


def _is_met(requirement: Requirement, labels: Labels) -> bool:
    match requirement:
        case Equals(key, value):
            return labels.get(key) == value
        case NotEquals(key, value):
            return labels.get(key) != value
        case OneOf(key, values):
            return labels.get(key) in values
        case NoneOf(key, values):
            return labels.get(key) not in values
        case Present(key):
            return key in labels
        case Missing(key):
            return key not in labels
