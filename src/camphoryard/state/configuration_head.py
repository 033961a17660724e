"""Which configuration is accepted: the head that names its parts."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from camphoryard.state.ids import Generation, ObjectKey, WriteId

MAX_RECENT_CHANGES = 64
MAX_ITEM_NAMES = 50


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """One accepted change; ``items`` holds at most MAX_ITEM_NAMES item names."""

    generation: Generation
    write_id: WriteId
    items: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationHead:
    """The accepted generation and the key of each of its parts.

    ``recent`` tells an operator whose answer was lost that the change was
    accepted although later changes came on top, and one who lost a race what
    the others changed. ``retired`` holds the keys of parts that this
    generation replaced; the next change deletes them.
    """

    generation: Generation
    write_id: WriteId
    key_by_part: Mapping[str, ObjectKey] = field(default_factory=dict)
    recent: tuple[AcceptedChange, ...] = ()
    retired: tuple[ObjectKey, ...] = ()


def find_write(head: ConfigurationHead | None, write_id: WriteId) -> Generation | None:
    """Return the generation that ``write_id`` made, if it was accepted lately."""
    if head is None:
        return None
    for change in head.recent:
        if change.write_id == write_id:
            return change.generation
    return None


def changed_since(head: ConfigurationHead, base: Generation) -> tuple[str, ...]:
    """Return the names of items that changes after ``base`` touched."""
    names = {
        name
        for change in head.recent
        if change.generation > base
        for name in change.items
    }
    return tuple(sorted(names))
