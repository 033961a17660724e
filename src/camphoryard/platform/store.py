"""Records in the platform's store."""

from collections.abc import Callable, Iterable, Sequence
from typing import Annotated, Generic, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from camphoryard.coordination.ports import DecisionLog, Snapshot, Stored
from camphoryard.protocol.json_nesting import without_deep_values
from camphoryard.protocol.json_strings import UNREADABLE, without_unreadable_strings
from camphoryard.state.errors import (
    BrokenCallError,
    ConflictError,
    NotSentError,
    StoreUnavailableError,
)
from camphoryard.state.ids import ABSENT, ObjectKey, Revision, StoreEra, Version
from camphoryard.state.store_eras import (
    FIRST_ERA,
    MAX_REVISION,
    NewestEra,
    era_of,
    read_era,
    revision_in,
    stored_revision,
    version_in,
)
from camphoryard.transport.http_client import (
    Address,
    HttpAnswer,
    HttpCall,
    HttpClient,
)

RecordT = TypeVar("RecordT")

CALL_TIMEOUT_S = 1.5
"""The store answers in milliseconds; when slow, in some hundred."""
WATCH_GRACE_S = 1.0
"""Time after the wait of a watch in which its answer must arrive."""
MAX_WAIT_S = 30.0
"""Longest wait of a watch that the platform allows."""
OK, CREATED, NO_CONTENT, NOT_FOUND, CONFLICT, GONE = 200, 201, 204, 404, 409, 410
ERA_HEADER = "store-era"
"""Header, in lower case, of a number that rises when the store is restored."""
MILLISECONDS_PER_SECOND = 1000


_StoredRevision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


class _Metadata(msgspec.Struct, frozen=True):
    name: str
    revision: _StoredRevision = 0


class _Object(msgspec.Struct, frozen=True):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Listing(msgspec.Struct, frozen=True, rename="kebab"):
    store_revision: _StoredRevision
    # Decoded one by one, so that one odd object does not make the others unreadable.
    items: list[msgspec.Raw] = []
    has_more: bool = False


class _Event(msgspec.Struct, frozen=True):
    object: _Object
    removed: bool = False


class _Changes(msgspec.Struct, frozen=True, rename="kebab"):
    store_revision: _StoredRevision
    events: list[msgspec.Raw] = []


class _Written(msgspec.Struct, frozen=True):
    metadata: _Metadata


_OBJECT = msgspec.json.Decoder(_Object)
_LISTING = msgspec.json.Decoder(_Listing)
_CHANGES = msgspec.json.Decoder(_Changes)
_EVENT = msgspec.json.Decoder(_Event)
_WRITTEN = msgspec.json.Decoder(_Written)

DecodedT = TypeVar("DecodedT")


class StoreRecords(Generic[RecordT]):
    """Records of one kind; see the Records port.

    Versions and revisions contain the era of the store. After a restore the store gives
    revisions out again, so those of an earlier era name nothing any more: a write or
    watch with one of them conflicts.

    Parameters
    ----------
    decode : callable
        Returns the record of a name and its JSON; an unreadable one counts as absent.
    encode : callable
        Returns a record as JSON.
    newest_era : NewestEra
        The newest era of the store, shared by all records of it.
    """

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        kind: str,
        decode: Callable[[str, bytes], RecordT],
        encode: Callable[[RecordT], bytes],
        log: DecisionLog,
        newest_era: NewestEra,
    ) -> None:
        self._client = client
        self._address = address
        self._kind = kind
        self._path = f"/objects/{quote(kind)}"
        self._decode = decode
        self._encode = encode
        self._log = log
        self._newest_era = newest_era

    def get(self, key: str) -> Stored[RecordT] | None:
        """Return the record, or None; raises StoreUnavailableError."""
        answer = self._call("GET", self._object_path(key), (OK, NOT_FOUND))
        if answer.status == NOT_FOUND:
            return None
        return self._stored(_read(_OBJECT, answer), _era(answer))

    def put(self, key: str, record: RecordT, version: Version) -> Version:
        """Write if the version is still ``version``; see the Records port."""
        era = self._check_era(version)
        metadata: dict[str, object] = {"name": key}
        if version != ABSENT:
            metadata["revision"] = stored_revision(version)
        document = {"metadata": metadata, "spec": msgspec.Raw(self._encode(record))}
        body = msgspec.json.encode(document)
        if version == ABSENT:
            answer = self._call("POST", self._path, (OK, CREATED), body)
        else:
            answer = self._call("PUT", self._object_path(key), (OK, CREATED), body)
        _check_same_era(answer, era)
        return version_in(era, _read(_WRITTEN, answer).metadata.revision)

    def delete(self, key: str, version: Version) -> None:
        """Delete if the version is still ``version``."""
        era = self._check_era(version)
        query = urlencode({"revision": stored_revision(version)})
        path = f"{self._object_path(key)}?{query}"
        answer = self._call("DELETE", path, (OK, NO_CONTENT, NOT_FOUND))
        _check_same_era(answer, era)

    def list(self, within: str = "") -> Snapshot[RecordT]:
        """Return all records whose name begins with ``within``.

        The revision is that of the first page, so that a watch from it returns the
        changes made while later pages were read.
        """
        items: list[Stored[RecordT]] = []
        revision: Revision | None = None
        era = FIRST_ERA
        after = ""
        while True:
            query = f"?{urlencode({'after': after})}" if after else ""
            answer = self._call("GET", f"{self._path}{query}", (OK,))
            listing = _read(_LISTING, answer)
            if revision is None:
                era = _era(answer)
                revision = revision_in(era, listing.store_revision)
            elif _era(answer) != era:
                raise ConflictError(f"{self._path}: restored between two pages")
            page = self._readable(_OBJECT, listing.items)
            items.extend(
                self._stored(item, era)
                for item in page
                if item.metadata.name.startswith(within)
            )
            if not listing.has_more or not page:
                return Snapshot(revision, tuple(items))
            after = page[-1].metadata.name

    def watch(self, since: Revision, wait_s: float) -> Snapshot[RecordT]:
        """Block up to ``wait_s`` for changes after ``since``."""
        wait_s = min(wait_s, MAX_WAIT_S)
        wait_ms = int(wait_s * MILLISECONDS_PER_SECOND)
        era = era_of(since)
        if era < self._newest_era.current:
            raise ConflictError(f"{self._path}: restored since revision {since}")
        query = urlencode({"watch": stored_revision(since), "wait-ms": wait_ms})
        answer = self._call(
            "GET", f"{self._path}?{query}", (OK,), timeout_s=wait_s + WATCH_GRACE_S
        )
        if _era(answer) != era:
            # What the store gives out again up to ``since`` is not among the changes.
            raise ConflictError(f"{self._path}: restored during a watch")
        changes = _read(_CHANGES, answer)
        items = tuple(
            _removed(event.object, era)
            if event.removed
            else self._stored(event.object, era)
            for event in self._readable(_EVENT, changes.events)
        )
        return Snapshot(revision_in(era, changes.store_revision), items)

    def _readable(
        self, decoder: "msgspec.json.Decoder[DecodedT]", items: Iterable[msgspec.Raw]
    ) -> Sequence[DecodedT]:
        """Return the items of a listing or watch that can be decoded."""
        decoded = []
        for item in items:
            try:
                decoded.append(decoder.decode(_checked(item)))
            except (msgspec.MsgspecError, ValueError, RecursionError) as error:
                self._log("entry_unreadable", kind=self._kind, error=str(error))
        return decoded

    def _object_path(self, key: str) -> str:
        return f"{self._path}/{quote(key, safe='')}"

    def _check_era(self, version: Version) -> StoreEra:
        """Return the era that a write expects; raises ConflictError if it is over."""
        era = self._newest_era.of_write(version)
        if era < self._newest_era.current:
            raise ConflictError(f"{self._path}: restored since version {version}")
        return era

    def _stored(self, item: _Object, era: StoreEra) -> Stored[RecordT]:
        name, version = item.metadata.name, version_in(era, item.metadata.revision)
        try:
            record = self._decode(name, bytes(_checked(item.spec)))
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            self._log(
                "entry_unreadable",
                kind=self._kind,
                name=name,
                version=version,
                error=str(error),
            )
            return Stored(ObjectKey(name), version, None)
        return Stored(ObjectKey(name), version, record)

    def _call(
        self,
        method: str,
        path: str,
        accepted: Sequence[int],
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> HttpAnswer:
        # A write on a stale connection would leave its outcome unknown.
        call = HttpCall(
            method,
            path,
            body,
            {"Content-Type": "application/json"} if body else {},
            timeout_s,
            new_connection=method != "GET",
            is_answered_once=True,
        )
        try:
            answer = self._client.call(self._address, call)
        except (NotSentError, BrokenCallError) as error:
            raise StoreUnavailableError(f"{method} {path}: {error}") from error
        self._observe_era(answer)
        if answer.status in (CONFLICT, GONE):
            raise ConflictError(f"{method} {path}: status {answer.status}")
        if answer.status not in accepted:
            raise StoreUnavailableError(f"{method} {path}: status {answer.status}")
        if method == "GET" and _era(answer) < self._newest_era.current:
            raise StoreUnavailableError(
                f"{method} {path}: answer from before a restore"
            )
        return answer

    def _observe_era(self, answer: HttpAnswer) -> None:
        known = self._newest_era.current
        era = _era(answer)
        if self._newest_era.observe(era):
            self._log("store_era", known=known, era=era, kind=self._kind)


def _checked(document: msgspec.Raw) -> msgspec.Raw:
    """Return a document; raises ValueError if a string of it could not be read."""
    if UNREADABLE in bytes(document):
        raise ValueError("a string with an invalid escape or invalid bytes")
    return document


def _removed(item: _Object, era: StoreEra) -> Stored[RecordT]:
    version = version_in(era, item.metadata.revision)
    return Stored(ObjectKey(item.metadata.name), version, None)


def _check_same_era(answer: HttpAnswer, era: StoreEra) -> None:
    """Raise StoreUnavailableError if a write took effect in another era.

    The revision that it named may then be that of another object than the one read.
    """
    if _era(answer) != era:
        raise StoreUnavailableError("the store was restored during a write")


def _era(answer: HttpAnswer) -> StoreEra:
    """Return the era that an answer reports; raises StoreUnavailableError."""
    try:
        return read_era(answer.header(ERA_HEADER))
    except ValueError as error:
        raise StoreUnavailableError(str(error)) from error


def _read(decoder: "msgspec.json.Decoder[DecodedT]", answer: HttpAnswer) -> DecodedT:
    """Return the decoded body, at first as it is, then without what nobody can read."""
    try:
        return decoder.decode(answer.body)
    except (msgspec.MsgspecError, RecursionError):
        pass
    try:
        readable = without_unreadable_strings(answer.body)
        return decoder.decode(without_deep_values(readable))
    except msgspec.MsgspecError as error:
        raise StoreUnavailableError(f"unreadable answer: {error}") from error
