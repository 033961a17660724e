"""Changes to a configuration: applying one, and telling two apart."""

from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from typing import Any
from uuid import uuid4

from camphoryard.state.configuration import Configuration
from camphoryard.state.enums import ChangeKind
from camphoryard.state.ids import Generation, WriteId

TABLE_SUFFIX = "s_by_id"


@dataclass(frozen=True, slots=True)
class Change:
    """Items to add or replace, and names (``kind/id``) to remove.

    ``base`` is the generation the operator has seen; None takes any.
    """

    items: Configuration
    removed: frozenset[str] = frozenset()
    base: Generation | None = None
    write_id: WriteId = field(default_factory=lambda: WriteId(uuid4().hex))


@dataclass(frozen=True, slots=True)
class ItemChange:
    """What a change does to one item, named ``kind/id``."""

    name: str
    kind: ChangeKind
    before: Any
    after: Any


def item_tables() -> tuple[str, ...]:
    """Return the names of the tables of a configuration."""
    return tuple(
        item.name for item in fields(Configuration) if item.name != "generation"
    )


def item_kind(table: str) -> str:
    """Return the kind of the items in a table, such as ``model``."""
    return table.removesuffix(TABLE_SUFFIX)


def items_by_name(configuration: Configuration) -> dict[str, Any]:
    """Return all items by their names ``kind/id``."""
    return {
        f"{item_kind(table)}/{key}": item
        for table in item_tables()
        for key, item in getattr(configuration, table).items()
    }


def merged(whole: Configuration, part: Configuration) -> Configuration:
    """Return ``whole`` with the items of ``part`` added or replaced."""
    tables: dict[str, Any] = {
        name: {**getattr(whole, name), **getattr(part, name)} for name in item_tables()
    }
    return replace(whole, **tables)


def apply_change(current: Configuration, change: Change) -> Configuration:
    """Return ``current`` with the change, one generation on."""
    whole = merged(current, change.items)
    kept: dict[str, Any] = {
        table: _without(getattr(whole, table), item_kind(table), change.removed)
        for table in item_tables()
    }
    return replace(whole, generation=Generation(current.generation + 1), **kept)


def _without(
    items_by_id: Mapping[Any, Any], kind: str, removed: frozenset[str]
) -> Mapping[Any, Any]:
    return {
        key: item for key, item in items_by_id.items() if f"{kind}/{key}" not in removed
    }


def differences(old: Configuration, new: Configuration) -> tuple[ItemChange, ...]:
    """Return what makes ``new`` out of ``old``, sorted by name."""
    old_by_name = items_by_name(old)
    new_by_name = items_by_name(new)
    found = []
    for name in sorted(old_by_name.keys() | new_by_name.keys()):
        before = old_by_name.get(name)
        after = new_by_name.get(name)
        if before == after:
            continue
        if before is None:
            kind = ChangeKind.ADDED
        elif after is None:
            kind = ChangeKind.REMOVED
        else:
            kind = ChangeKind.CHANGED
        found.append(ItemChange(name, kind, before, after))
    return tuple(found)
