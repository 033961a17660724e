"""Accepting configuration changes and putting them in force."""

from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from typing import Any
from uuid import uuid4

from xxhash import xxh3_64_intdigest

from camphoryard.coordination.ports import ContentStore, Records, Stored
from camphoryard.coordination.timeline import Timeline
from camphoryard.coordination.writing import write_resolved
from camphoryard.state.configuration import Configuration
from camphoryard.state.configuration_head import KEPT_WRITES, ConfigurationHead
from camphoryard.state.enums import Reason
from camphoryard.state.errors import (
    ConflictError,
    RefusalError,
    StoreUnavailableError,
)
from camphoryard.state.ids import ABSENT, Generation, WriteId
from camphoryard.state.tables import ConfigurationHolder
from camphoryard.state.verdict import Verdict

HEAD_KEY = "head"
PARTS = 16


@dataclass(frozen=True, slots=True)
class Change:
    """Items to add or replace, and names (``kind/id``) to remove."""

    items: Configuration
    removed: frozenset[str] = frozenset()
    base: Generation | None = None
    write_id: WriteId = field(default_factory=lambda: WriteId(uuid4().hex))


class Configurator:
    """Reads, accepts and adopts configurations of this node."""

    def __init__(
        self,
        heads: Records[ConfigurationHead],
        contents: ContentStore,
        holder: ConfigurationHolder,
        timeline: Timeline,
    ) -> None:
        self._heads = heads
        self._contents = contents
        self._holder = holder
        self._timeline = timeline

    def take_head(self, stored: Stored[ConfigurationHead]) -> None:
        """Put an accepted head in force, fetching its parts.

        Raises
        ------
        StoreUnavailableError
            If a part could not be read.
        """
        head = stored.record
        if head is None or head.generation <= self._holder.current.generation:
            return
        if self._holder.adopt(self._assemble(head)):
            self._timeline.record("configuration", generation=head.generation)

    def accept(self, change: Change) -> Configuration:
        """Write ``change`` on top of the accepted configuration.

        Raises
        ------
        RefusalError
            If another operator's change came first, or the store is away.
        """
        try:
            stored = self._heads.get(HEAD_KEY)
            current = (
                self._assemble(stored.record)
                if stored and stored.record
                else (Configuration())
            )
        except StoreUnavailableError as error:
            raise RefusalError(
                Reason.STORE_UNAVAILABLE, "the configuration could not be read"
            ) from error
        if stored and stored.record and change.write_id in stored.record.recent_writes:
            return current
        if change.base is not None and change.base != current.generation:
            raise _conflict(change.base, current.generation)
        changed = apply_change(current, change)
        recent = stored.record.recent_writes if stored and stored.record else ()
        head = ConfigurationHead(
            changed.generation,
            change.write_id,
            self._store_parts(changed),
            (*recent, change.write_id)[-KEPT_WRITES:],
        )
        version = stored.version if stored else ABSENT
        try:
            write_resolved(self._heads, HEAD_KEY, head, version)
        except ConflictError as error:
            raise _conflict(current.generation, None) from error
        except StoreUnavailableError as error:
            raise RefusalError(
                Reason.STORE_UNAVAILABLE,
                "no answer to the write: send the same change again to learn more",
                Verdict.MAY_HAVE_RUN,
            ) from error
        self._holder.adopt(changed)
        self._timeline.record("accepted", generation=changed.generation)
        return changed

    def _assemble(self, head: ConfigurationHead) -> Configuration:
        whole = Configuration(head.generation)
        for content_id in head.content_by_part.values():
            whole = _merged(whole, self._contents.get(content_id))
        return whole

    def _store_parts(self, whole: Configuration) -> Mapping[str, str]:
        try:
            return {
                name: self._contents.put(part) for name, part in split(whole).items()
            }
        except StoreUnavailableError as error:
            raise RefusalError(
                Reason.STORE_UNAVAILABLE, "a part could not be written"
            ) from error


def apply_change(current: Configuration, change: Change) -> Configuration:
    """Return ``current`` with the change, one generation on."""
    merged = _merged(current, change.items)
    kept = {
        name: {
            key: item
            for key, item in getattr(merged, name).items()
            if f"{name.removesuffix('s_by_id')}/{key}" not in change.removed
        }
        for name in _tables()
    }
    return replace(merged, generation=Generation(current.generation + 1), **kept)


def split(whole: Configuration) -> Mapping[str, Configuration]:
    """Split into parts by hash of the item's id, so a change touches few parts."""
    part_by_name: dict[str, Any] = {}
    for table in _tables():
        for key, item in getattr(whole, table).items():
            name = str(xxh3_64_intdigest(key.encode()) % PARTS)
            tables = part_by_name.setdefault(name, {})
            tables.setdefault(table, {})[key] = item
    return {name: Configuration(**tables) for name, tables in part_by_name.items()}


def _tables() -> tuple[str, ...]:
    return tuple(
        item.name for item in fields(Configuration) if item.name != "generation"
    )


def _merged(whole: Configuration, part: Configuration) -> Configuration:
    merged: dict[str, Any] = {
        name: {**getattr(whole, name), **getattr(part, name)} for name in _tables()
    }
    return replace(whole, **merged)


def _conflict(base: Generation, current: Generation | None) -> RefusalError:
    now = f"generation {current}" if current is not None else "a newer generation"
    return RefusalError(
        Reason.CONFLICT,
        f"the change was written over generation {base}, but {now} is accepted;"
        " read it again, check what changed and apply again",
    )
