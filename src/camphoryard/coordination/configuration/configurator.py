"""Acceptance of configuration changes, and adoption of accepted ones.

The accepted configuration is stored as a head, which names one object for each
of its parts. A change writes the parts that it affects and then replaces the head
by a conditional write.
"""

import math
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
    find_warnings,
)
from camphoryard.coordination.messages import ConfigurationOffer
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.ports import ContentStore, Records, Stored
from camphoryard.coordination.store_restores import StoreRestores
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
PART_COUNT = 64
SWEEP_PERIOD_GENERATIONS = 256
EMPTY_CONFIGURATION = Configuration()


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """The generation that a change results in, the changed items and warnings."""

    generation: Generation
    changes: tuple[ItemChange, ...]
    warnings: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _Base:
    """The head that a change replaces, and the configuration that it names."""

    head: ConfigurationHead | None
    version: Version
    configuration: Configuration


class Configurator:
    """Accepts changes, and puts accepted configurations in force at this node.

    Parameters
    ----------
    heads : Records
        The record of the accepted head.
    contents : ContentStore
        The parts of configurations.
    holder : ConfigurationHolder
        The configuration in force at this node.
    timeline : Timeline
        Records accepted and adopted configurations.
    check_may_accept : callable
        Raises RefusalError while an accepted change might not reach all nodes,
        and StoreUnavailableError if it cannot tell.
    on_adopted : callable
        Called after each change of the configuration in force.
    restores : StoreRestores or None
        Restores of the store; None if it is never restored.
    """

    def __init__(
        self,
        heads: Records[ConfigurationHead],
        contents: ContentStore,
        holder: ConfigurationHolder,
        timeline: Timeline,
        check_may_accept: Callable[[], None] = lambda: None,
        on_adopted: Callable[[], None] = lambda: None,
        restores: StoreRestores | None = None,
    ) -> None:
        self._heads = heads
        self._contents = contents
        self._holder = holder
        self._timeline = timeline
        self._check_may_accept = check_may_accept
        self._on_adopted = on_adopted
        self._restores = restores or StoreRestores()
        self._lock = threading.Lock()
        self._head: ConfigurationHead | None = None
        self._part_by_key: Mapping[ObjectKey, Configuration] = {}

    def apply_head(self, stored: Stored[ConfigurationHead]) -> None:
        """Fetch the parts of an accepted head and put it in force, if it is newer.

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
        """Return the head in force and its parts except those with ``known`` keys."""
        with self._lock:
            head = self._head
            part_by_key = self._part_by_key
        if head is None:
            return None
        missing = set(head.key_by_part.values()) - set(known)
        return ConfigurationOffer(head, {key: part_by_key[key] for key in missing})

    def apply_offer(self, offer: ConfigurationOffer) -> None:
        """Put a peer's configuration in force, if newer; raises as ``apply_head``."""
        with self._lock:
            self._part_by_key = {**self._part_by_key, **offer.part_by_key}
        head = offer.head
        if head.generation > self._holder.current.generation:
            self._adopt(head, self._assemble(head))

    def write_again(self) -> None:
        """Write the head in force and its parts again if the store has lost them.

        Only a restore of the store from an older copy takes an accepted head away: a
        conditional write shows that the older head is the one in the store.

        Raises
        ------
        ConflictError
            If another head was written first.
        StoreUnavailableError
            If the object API does not answer.
        """
        with self._lock:
            head = self._head
            part_by_key = self._part_by_key
        if head is None:
            return
        stored = self._heads.get(HEAD_KEY)
        found = stored.record if stored is not None else None
        if found is not None and found.generation >= head.generation:
            return
        for key in set(head.key_by_part.values()) - set(self._contents.keys()):
            self._contents.put(key, part_by_key[key])
        version = stored.version if stored is not None else ABSENT
        write_resolved(self._heads, HEAD_KEY, head, version)
        self._timeline.record(
            "configuration_restored",
            generation=head.generation,
            lost_from=found.generation if found is not None else 0,
        )

    def _adopt(self, head: ConfigurationHead, configuration: Configuration) -> None:
        with self._lock:
            if self._head is not None and self._head.generation >= head.generation:
                return
            self._head = head
            self._part_by_key = self._parts_by_key(head, configuration)
        if self._holder.adopt(configuration):
            self._timeline.record("configuration", generation=configuration.generation)
            self._on_adopted()

    def _parts_by_key(
        self, head: ConfigurationHead, configuration: Configuration
    ) -> dict[ObjectKey, Configuration]:
        """Return the parts that ``head`` names, without those of older heads."""
        known = self._part_by_key
        if known.keys() >= set(head.key_by_part.values()):
            return {key: known[key] for key in head.key_by_part.values()}
        part_by_name = split_into_parts(configuration)
        return {key: part_by_name[name] for name, key in head.key_by_part.items()}

    def preview(self, change: Change) -> ChangeResult:
        """Return what ``accept`` would return now, writing nothing; raises as it."""
        base = self._read_base()
        return self._plan(base, change)[1]

    def accept(self, change: Change, despite_unheard: bool = False) -> ChangeResult:
        """Apply ``change`` to the accepted configuration and write the result.

        A change that was accepted before, by its write id, is not applied again.

        Parameters
        ----------
        change : Change
            The items to add, replace and remove.
        despite_unheard : bool
            Whether the operator confirms that unreachable nodes are gone; the
            check that a majority of nodes is reachable is then skipped.

        Raises
        ------
        RefusalError
            If the change is invalid, conflicts with another operator's change,
            or the object API does not answer.
        """
        base = self._read_newest_base()
        accepted_generation = find_write(base.head, change.write_id)
        if accepted_generation is not None:
            return ChangeResult(accepted_generation, (), ())
        configuration, planned = self._plan(base, change)
        if not despite_unheard:
            self._check_majority()
        head = self._make_head(base, change, configuration, planned.changes)
        try:
            write_resolved(self._heads, HEAD_KEY, head, base.version)
        except ConflictError as error:
            return self._resolve_conflict(base, change, planned, error)
        except StoreUnavailableError as error:
            raise RefusalError(
                Reason.STORE_UNAVAILABLE,
                "the object API did not answer the write: send the same change"
                " again, with its write_id, to find out whether it was accepted",
                Verdict.MAY_HAVE_RUN,
            ) from error
        self._adopt(head, configuration)
        self._timeline.record(
            "accepted",
            generation=configuration.generation,
            items=_format_names(planned.changes),
        )
        self._delete_unused_parts(base.head, head)
        return planned

    def _check_majority(self) -> None:
        try:
            self._check_may_accept()
        except StoreUnavailableError as error:
            raise RefusalError(
                Reason.STORE_UNAVAILABLE,
                "the leases of the nodes could not be read; nothing was changed: try"
                " again when the object API answers",
            ) from error

    def _read_newest_base(self) -> _Base:
        """Return the accepted head, at least the one in force at this node.

        After a restore of the store the nodes have time to write theirs again: a
        change of an older one would take a generation that others know already.
        """
        base = self._read_base()
        while not self._restores.is_settled():
            self._restores.wait_settled(math.inf)
            base = self._read_base()
        if base.configuration.generation >= self._holder.current.generation:
            return base
        try:
            self.write_again()
        except (ConflictError, StoreUnavailableError) as error:
            raise RefusalError(
                Reason.STORE_UNAVAILABLE,
                "the object API has lost an accepted change, which could not be written"
                " again; nothing was changed: try again",
            ) from error
        return self._read_base()

    def _read_base(self) -> _Base:
        try:
            stored = self._heads.get(HEAD_KEY)
            if stored is None or stored.record is None:
                return _Base(None, ABSENT, EMPTY_CONFIGURATION)
            configuration = self._assemble(stored.record)
        except StoreUnavailableError as error:
            raise RefusalError(
                Reason.STORE_UNAVAILABLE,
                "the accepted configuration could not be read; nothing was changed:"
                " try again when the object API answers",
            ) from error
        return _Base(stored.record, stored.version, configuration)

    def _plan(self, base: _Base, change: Change) -> tuple[Configuration, ChangeResult]:
        if change.base is not None and change.base != base.configuration.generation:
            raise _conflict_error(change.base, base.head)
        check_change(base.configuration, change)
        configuration = apply_change(base.configuration, change)
        check_configuration(configuration)
        changes = differences(base.configuration, configuration)
        return configuration, ChangeResult(
            configuration.generation, changes, find_warnings(configuration)
        )

    def _make_head(
        self,
        base: _Base,
        change: Change,
        configuration: Configuration,
        changes: tuple[ItemChange, ...],
    ) -> ConfigurationHead:
        recent = base.head.recent if base.head else ()
        accepted = AcceptedChange(
            configuration.generation,
            change.write_id,
            _item_names(changes)[:MAX_ITEM_NAMES],
        )
        keys = self._store_parts(base, configuration)
        old = set(base.head.key_by_part.values()) if base.head else set()
        return ConfigurationHead(
            configuration.generation,
            change.write_id,
            keys,
            (*recent, accepted)[-MAX_RECENT_CHANGES:],
            tuple(sorted(old - set(keys.values()))),
        )

    def _store_parts(
        self, base: _Base, configuration: Configuration
    ) -> dict[str, ObjectKey]:
        """Write the parts that differ from the base's, under new unique keys.

        A key contains the version of the head that its writer means to replace:
        once the head has a later version that does not name the part, no head
        ever will, and the part can be deleted.
        """
        known = base.head.key_by_part if base.head else {}
        old_by_part = split_into_parts(base.configuration)
        attempt = uuid4().hex
        key_by_part: dict[str, ObjectKey] = {}
        try:
            for name, part in split_into_parts(configuration).items():
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
        """Return ``planned`` if our write succeeded before later ones, else raise."""
        try:
            stored = self._heads.get(HEAD_KEY)
        except StoreUnavailableError as error:
            raise RefusalError(
                Reason.STORE_UNAVAILABLE,
                "another change may have been accepted first: send the same change"
                " again, with its write_id, to find out",
                Verdict.MAY_HAVE_RUN,
            ) from error
        head = stored.record if stored else None
        if find_write(head, change.write_id) is not None:
            return planned
        raise _conflict_error(base.configuration.generation, head) from cause

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

    def _delete_unused_parts(
        self, old: ConfigurationHead | None, new: ConfigurationHead
    ) -> None:
        """Delete parts that no head will name again.

        If the object API does not answer, a later sweep deletes them.
        """
        unused = old.retired if old else ()
        try:
            if new.generation % SWEEP_PERIOD_GENERATIONS == 0:
                unused = (*unused, *self._orphaned_keys())
            for key in unused:
                self._contents.delete(key)
        except StoreUnavailableError:
            return

    def _orphaned_keys(self) -> tuple[ObjectKey, ...]:
        """Return keys of parts whose writer lost a race or died before the head."""
        keys = self._contents.keys()
        stored = self._heads.get(HEAD_KEY)
        if stored is None or stored.record is None:
            return ()
        named_keys = {*stored.record.key_by_part.values(), *stored.record.retired}
        return tuple(
            key
            for key in keys
            if key not in named_keys and int(key.partition("-")[0]) < stored.version
        )


def split_into_parts(configuration: Configuration) -> Mapping[str, Configuration]:
    """Return the parts by name; an item's part is chosen by a hash of its id.

    A change thus affects few parts.
    """
    part_by_name: dict[str, Any] = {}
    for table in item_tables():
        for key, item in getattr(configuration, table).items():
            name = str(xxh3_64_intdigest(key.encode()) % PART_COUNT)
            tables = part_by_name.setdefault(name, {})
            tables.setdefault(table, {})[key] = item
    return {name: Configuration(**tables) for name, tables in part_by_name.items()}


def _item_names(changes: tuple[ItemChange, ...]) -> tuple[str, ...]:
    return tuple(item.name for item in changes)


def _format_names(changes: tuple[ItemChange, ...]) -> str:
    names = _item_names(changes)
    suffix = (
        f" and {len(names) - MAX_ITEM_NAMES} more"
        if len(names) > MAX_ITEM_NAMES
        else ""
    )
    return ",".join(names[:MAX_ITEM_NAMES]) + suffix


def _conflict_error(base: Generation, head: ConfigurationHead | None) -> RefusalError:
    generation = head.generation if head else Generation(0)
    changed = ", ".join(changed_since(head, base)) if head else ""
    return RefusalError(
        Reason.CONFLICT,
        f"the change is based on generation {base}, but generation {generation}"
        f" has been accepted, with changes to: {changed or 'unknown items'};"
        " your change was not applied: get the configuration, check and apply again",
    )
