"""Accepting configuration changes and putting them in force."""

import threading
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import Any
from uuid import uuid4

from xxhash import xxh3_64_intdigest

from camphoryard.coordination.conditional_writes import write_resolved
from camphoryard.coordination.configuration.changes import (
    Change,
    ItemChange,
    apply_change,
    differences,
    item_tables,
)
from camphoryard.coordination.configuration.validation import (
    check_change,
    check_configuration,
    warnings,
)
from camphoryard.coordination.messages import ConfigurationOffer
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.ports import ContentStore, Records, Stored
from camphoryard.state.configuration import Configuration
from camphoryard.state.configuration_head import (
    MAX_ITEM_NAMES,
    MAX_RECENT_CHANGES,
    AcceptedChange,
    ConfigurationHead,
    changed_since,
    find_write,
)
from camphoryard.state.enums import Reason
from camphoryard.state.errors import (
    ConflictError,
    ObjectTooLargeError,
    RefusalError,
    StoreUnavailableError,
)
from camphoryard.state.ids import ABSENT, Generation, ObjectKey, Version
from camphoryard.state.tables import ConfigurationHolder
from camphoryard.state.verdict import Verdict

HEAD_KEY = "head"
PARTS = 64
SWEEP_PERIOD_GENERATIONS = 256
EMPTY = Configuration()


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """The generation of an accepted change, what it changed and warnings."""

    generation: Generation
    changes: tuple[ItemChange, ...]
    warnings: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _Base:
    """The head a change is written over, and the configuration it names."""

    head: ConfigurationHead | None
    version: Version
    whole: Configuration


class Configurator:
    """Reads, accepts and adopts configurations of this node.

    ``may_accept`` raises RefusalError while a change could not be put in
    force everywhere.
    """

    def __init__(
        self,
        heads: Records[ConfigurationHead],
        contents: ContentStore,
        holder: ConfigurationHolder,
        timeline: Timeline,
        may_accept: Callable[[], None] = lambda: None,
        adopted: Callable[[], None] = lambda: None,
    ) -> None:
        self._heads = heads
        self._contents = contents
        self._holder = holder
        self._timeline = timeline
        self._may_accept = may_accept
        self._adopted = adopted
        self._lock = threading.Lock()
        self._head: ConfigurationHead | None = None
        self._part_by_key: Mapping[ObjectKey, Configuration] = {}

    def apply_head(self, stored: Stored[ConfigurationHead]) -> None:
        """Put an accepted head in force, fetching its parts.

        Raises
        ------
        StoreUnavailableError
            If a part could not be read.
        """
        head = stored.record
        if head is None or head.generation <= self._holder.current.generation:
            return
        self._adopt(head, self._assemble(head))

    def known_keys(self) -> tuple[ObjectKey, ...]:
        """Return the keys of the parts that this node has."""
        with self._lock:
            return tuple(self._part_by_key)

    def offer(self, known: Collection[ObjectKey]) -> ConfigurationOffer | None:
        """Return the head in force and its parts that are not ``known``."""
        with self._lock:
            head = self._head
            part_by_key = self._part_by_key
        if head is None:
            return None
        wanted = set(head.key_by_part.values()) - set(known)
        return ConfigurationOffer(head, {key: part_by_key[key] for key in wanted})

    def apply_offer(self, offer: ConfigurationOffer) -> None:
        """Put in force what a peer has; raises as ``apply_head``."""
        with self._lock:
            self._part_by_key = {**self._part_by_key, **offer.part_by_key}
        head = offer.head
        if head.generation > self._holder.current.generation:
            self._adopt(head, self._assemble(head))

    def _adopt(self, head: ConfigurationHead, whole: Configuration) -> None:
        with self._lock:
            if self._head is not None and self._head.generation >= head.generation:
                return
            self._head = head
            self._part_by_key = self._parts_of(head, whole)
        if self._holder.adopt(whole):
            self._timeline.record("configuration", generation=whole.generation)
            self._adopted()

    def _parts_of(
        self, head: ConfigurationHead, whole: Configuration
    ) -> dict[ObjectKey, Configuration]:
        """Return the parts of the head in force, and drop those of older ones."""
        known = self._part_by_key
        if known.keys() >= set(head.key_by_part.values()):
            return {key: known[key] for key in head.key_by_part.values()}
        part_by_name = split(whole)
        return {key: part_by_name[name] for name, key in head.key_by_part.items()}

    def preview(self, change: Change) -> ChangeResult:
        """Return what ``accept`` would do now, changing nothing; raises as it."""
        base = self._read_base()
        return self._plan(base, change)[1]

    def accept(self, change: Change, despite_unheard: bool = False) -> ChangeResult:
        """Write ``change`` on top of the accepted configuration.

        ``despite_unheard`` is the operator's word that the nodes which cannot
        be heard are gone.

        Raises
        ------
        RefusalError
            If the change is wrong, another operator's came first, or the store
            is away.
        """
        base = self._read_base()
        done = find_write(base.head, change.write_id)
        if done is not None:
            return ChangeResult(done, (), ())
        whole, planned = self._plan(base, change)
        if not despite_unheard:
            self._require_heard()
        head = self._make_head(base, change, whole, planned.changes)
        try:
            write_resolved(self._heads, HEAD_KEY, head, base.version)
        except ConflictError as error:
            return self._resolve_conflict(base, change, planned, error)
        except StoreUnavailableError as error:
            raise RefusalError(
                Reason.STORE_UNAVAILABLE,
                "no answer to the write: send the same change again, with its"
                " write_id, to learn whether it was accepted",
                Verdict.MAY_HAVE_RUN,
            ) from error
        self._adopt(head, whole)
        self._timeline.record(
            "accepted", generation=whole.generation, items=_named(planned.changes)
        )
        self._collect(base.head, head)
        return planned

    def _require_heard(self) -> None:
        try:
            self._may_accept()
        except StoreUnavailableError as error:
            raise RefusalError(
                Reason.STORE_UNAVAILABLE,
                "the nodes' leases could not be read; nothing was changed: try again"
                " when the object API answers",
            ) from error

    def _read_base(self) -> _Base:
        try:
            stored = self._heads.get(HEAD_KEY)
            if stored is None or stored.record is None:
                return _Base(None, ABSENT, EMPTY)
            whole = self._assemble(stored.record)
        except StoreUnavailableError as error:
            raise RefusalError(
                Reason.STORE_UNAVAILABLE,
                "the accepted configuration could not be read; nothing was changed:"
                " try again when the object API answers",
            ) from error
        return _Base(stored.record, stored.version, whole)

    def _plan(self, base: _Base, change: Change) -> tuple[Configuration, ChangeResult]:
        if change.base is not None and change.base != base.whole.generation:
            raise _conflict(change.base, base.head)
        check_change(base.whole, change)
        whole = apply_change(base.whole, change)
        check_configuration(whole)
        changes = differences(base.whole, whole)
        return whole, ChangeResult(whole.generation, changes, warnings(whole))

    def _make_head(
        self,
        base: _Base,
        change: Change,
        whole: Configuration,
        changes: tuple[ItemChange, ...],
    ) -> ConfigurationHead:
        recent = base.head.recent if base.head else ()
        accepted = AcceptedChange(
            whole.generation, change.write_id, _names(changes)[:MAX_ITEM_NAMES]
        )
        keys = self._store_parts(base, whole)
        old = set(base.head.key_by_part.values()) if base.head else set()
        return ConfigurationHead(
            whole.generation,
            change.write_id,
            keys,
            (*recent, accepted)[-MAX_RECENT_CHANGES:],
            tuple(sorted(old - set(keys.values()))),
        )

    def _store_parts(self, base: _Base, whole: Configuration) -> dict[str, ObjectKey]:
        """Write the parts that differ from the base's, under keys of their own.

        A key names the version of the head that its writer replaces: once the
        head has moved on, a part that it does not name never will be named.
        """
        known = base.head.key_by_part if base.head else {}
        old_by_part = split(base.whole)
        attempt = uuid4().hex
        key_by_part: dict[str, ObjectKey] = {}
        try:
            for name, part in split(whole).items():
                if name in known and old_by_part.get(name) == part:
                    key_by_part[name] = known[name]
                    continue
                key = ObjectKey(f"{base.version}-{attempt}-{name}")
                self._contents.put(key, part)
                key_by_part[name] = key
        except StoreUnavailableError as error:
            raise RefusalError(
                Reason.STORE_UNAVAILABLE,
                "a part could not be written; nothing was changed: try again when"
                " the object API answers",
            ) from error
        except ObjectTooLargeError as error:
            raise RefusalError(
                Reason.BODY_TOO_LARGE,
                f"{error}; nothing was changed: shorten labels or remove items",
            ) from error
        return key_by_part

    def _resolve_conflict(
        self, base: _Base, change: Change, planned: ChangeResult, cause: ConflictError
    ) -> ChangeResult:
        """Tell our own write under later ones from a race that was lost."""
        try:
            stored = self._heads.get(HEAD_KEY)
        except StoreUnavailableError as error:
            raise RefusalError(
                Reason.STORE_UNAVAILABLE,
                "another change may have come first: send the same change again,"
                " with its write_id, to learn more",
                Verdict.MAY_HAVE_RUN,
            ) from error
        head = stored.record if stored else None
        if find_write(head, change.write_id) is not None:
            return planned
        raise _conflict(base.whole.generation, head) from cause

    def _assemble(self, head: ConfigurationHead) -> Configuration:
        with self._lock:
            known = self._part_by_key
        parts = {
            key: known.get(key) or self._contents.get(key)
            for key in head.key_by_part.values()
        }
        with self._lock:
            self._part_by_key = {**self._part_by_key, **parts}
        tables: dict[str, Any] = {
            name: {
                key: item
                for part in parts.values()
                for key, item in getattr(part, name).items()
            }
            for name in item_tables()
        }
        return Configuration(head.generation, **tables)

    def _collect(self, old: ConfigurationHead | None, new: ConfigurationHead) -> None:
        """Delete parts that no head will ever name again; a later try may come."""
        dead = old.retired if old else ()
        try:
            if new.generation % SWEEP_PERIOD_GENERATIONS == 0:
                dead = (*dead, *self._orphans())
            for key in dead:
                self._contents.delete(key)
        except StoreUnavailableError:
            return

    def _orphans(self) -> tuple[ObjectKey, ...]:
        """Return parts whose writers lost or died before the head was written."""
        keys = self._contents.keys()
        stored = self._heads.get(HEAD_KEY)
        if stored is None or stored.record is None:
            return ()
        named = {*stored.record.key_by_part.values(), *stored.record.retired}
        return tuple(
            key
            for key in keys
            if key not in named and int(key.partition("-")[0]) < stored.version
        )


def split(whole: Configuration) -> Mapping[str, Configuration]:
    """Split into parts by hash of the item's id, so a change touches few parts."""
    part_by_name: dict[str, Any] = {}
    for table in item_tables():
        for key, item in getattr(whole, table).items():
            name = str(xxh3_64_intdigest(key.encode()) % PARTS)
            tables = part_by_name.setdefault(name, {})
            tables.setdefault(table, {})[key] = item
    return {name: Configuration(**tables) for name, tables in part_by_name.items()}


def _names(changes: tuple[ItemChange, ...]) -> tuple[str, ...]:
    return tuple(item.name for item in changes)


def _named(changes: tuple[ItemChange, ...]) -> str:
    names = _names(changes)
    more = (
        f" and {len(names) - MAX_ITEM_NAMES} more"
        if len(names) > MAX_ITEM_NAMES
        else ""
    )
    return ",".join(names[:MAX_ITEM_NAMES]) + more


def _conflict(base: Generation, head: ConfigurationHead | None) -> RefusalError:
    generation = head.generation if head else Generation(0)
    changed = ", ".join(changed_since(head, base)) if head else ""
    return RefusalError(
        Reason.CONFLICT,
        f"the change was written over generation {base}, but generation"
        f" {generation} is accepted, which changed: {changed or 'unknown items'};"
        " nothing of yours is in force: get the configuration, check and apply again",
    )
