"""Typed records stored in the platform's object API."""

from collections.abc import Callable, Sequence
from typing import Generic, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from camphoryard.coordination.ports import Snapshot, Stored
from camphoryard.protocol.platform import (
    ERA_HEADER,
    EXPECTED_HEADER,
    VERSION_HEADER,
    Codec,
    ObjectListing,
    decode_listing,
)
from camphoryard.state.configuration import Configuration
from camphoryard.state.errors import (
    BrokenCallError,
    ConflictError,
    NotSentError,
    ObjectTooLargeError,
    StoreUnavailableError,
)
from camphoryard.state.ids import ObjectKey, Revision, StoreEra, Version
from camphoryard.state.store_eras import (
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

CALL_TIMEOUT_S = 1.0
WATCH_GRACE_S = 2.0
MAX_VALUE_BYTES = 1 << 20
OK, CREATED, NOT_FOUND, GONE, CONFLICT = 200, 201, 404, 410, 412


def _ignore(era: StoreEra) -> None:
    """Do nothing."""


class ObjectApi:
    """Client of the object API at one address.

    Parameters
    ----------
    client : HttpClient
        Makes the calls.
    address : Address
        Address of the object API.
    token : str
        Bearer token of each call.
    on_restored : callable
        Called with each later era of the store, before the answer that reported it is
        returned; it must not call the object API.
    """

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        token: str,
        on_restored: Callable[[StoreEra], None] = _ignore,
    ) -> None:
        self._client = client
        self._address = address
        self._headers = {"Authorization": f"Bearer {token}"}
        self._on_restored = on_restored
        self._newest = NewestEra()

    def call(
        self,
        method: str,
        path: str,
        accepted: Sequence[int],
        body: bytes = b"",
        expected: Version | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> HttpAnswer:
        """Make one call.

        Raises
        ------
        ConflictError
            If ``expected`` is not the current version, or from before a restore.
        StoreUnavailableError
            If no answer is received, its status is not in ``accepted``, or another
            era than that of ``expected`` answered.
        """
        headers = dict(self._headers)
        era = self._newest.current
        if expected is not None:
            era = self._newest.of_write(expected)
            self.check_newest(era)
            headers[EXPECTED_HEADER] = str(stored_revision(expected))
        # A write needs a new connection: a stale one would leave its outcome unknown,
        # and a repeated conditional update could conflict with its own first attempt.
        request = HttpCall(
            method,
            path,
            body,
            headers,
            timeout_s,
            new_connection=method != "GET",
            is_answered_once=True,
        )
        try:
            answer = self._client.call(self._address, request)
        except (NotSentError, BrokenCallError) as error:
            raise StoreUnavailableError(str(error)) from error
        answered_era = era_in(answer)
        if self._newest.observe(answered_era):
            self._on_restored(answered_era)
        if answer.status in (CONFLICT, GONE):
            raise ConflictError(f"{path}: version conflict")
        if answer.status not in accepted:
            raise StoreUnavailableError(f"{path}: status {answer.status}")
        if expected is not None and answered_era != era:
            raise StoreUnavailableError(
                f"{path}: era {answered_era} answered a write to era {era}"
            )
        if method == "GET" and answered_era < self._newest.current:
            raise StoreUnavailableError(f"{path}: answer from before a restore")
        return answer

    def check_newest(self, era: StoreEra) -> None:
        """Raise ConflictError if the store has been restored since ``era``."""
        if era < self._newest.current:
            raise ConflictError(
                f"era {era} of the store ended; it is in era {self._newest.current}"
            )


def era_in(answer: HttpAnswer) -> StoreEra:
    """Return the era that an answer reports; raises StoreUnavailableError."""
    try:
        return read_era(answer.header(ERA_HEADER))
    except ValueError as error:
        raise StoreUnavailableError(str(error)) from error


def version_of(answer: HttpAnswer) -> Version:
    """Return the version of the object in an answer; raises as ``era_in``."""
    text = answer.header(VERSION_HEADER) or ""
    try:
        return version_in(era_in(answer), int(text))
    except ValueError as error:
        raise StoreUnavailableError(str(error)) from error


def listing_in(answer: HttpAnswer) -> ObjectListing:
    """Return the listing in an answer; raises StoreUnavailableError."""
    try:
        return decode_listing(answer.body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise StoreUnavailableError(f"unreadable listing: {error}") from error


class ObjectRecords(Generic[RecordT]):
    """Records of one kind under one key prefix."""

    def __init__(self, api: ObjectApi, prefix: str, codec: Codec[RecordT]) -> None:
        self._api = api
        self._prefix = prefix
        self._codec = codec

    def get(self, key: str) -> Stored[RecordT] | None:
        """Return the record, or None; raises StoreUnavailableError."""
        answer = self._api.call("GET", self._path(key), (OK, NOT_FOUND))
        if answer.status == NOT_FOUND:
            return None
        return Stored(ObjectKey(key), version_of(answer), self._decode(answer.body))

    def put(self, key: str, record: RecordT, version: Version) -> Version:
        """Write if the version is still ``version``; see the Records port."""
        body = self._codec.encode(record)
        answer = self._api.call(
            "PUT", self._path(key), (OK, CREATED), body, expected=version
        )
        return version_of(answer)

    def delete(self, key: str, version: Version) -> None:
        """Delete if the version is still ``version``."""
        self._api.call("DELETE", self._path(key), (OK, NOT_FOUND), expected=version)

    def list(self, within: str = "") -> Snapshot[RecordT]:
        """Return the records under the prefix whose key starts with ``within``."""
        query = urlencode({"prefix": self._prefix + within})
        return self._snapshot(self._api.call("GET", f"/objects?{query}", (OK,)))

    def watch(self, since: Revision, wait_s: float) -> Snapshot[RecordT]:
        """Block up to ``wait_s`` for changes after ``since``."""
        era = era_of(since)
        self._api.check_newest(era)
        query = urlencode(
            {
                "prefix": self._prefix,
                "since": stored_revision(since),
                "wait_s": wait_s,
            }
        )
        answer = self._api.call(
            "GET", f"/watch?{query}", (OK,), timeout_s=wait_s + WATCH_GRACE_S
        )
        if era_in(answer) != era:
            raise ConflictError(f"{self._prefix}: restored during the watch")
        return self._snapshot(answer)

    def _path(self, key: str) -> str:
        return f"/objects/{quote(self._prefix + key)}"

    def _decode(self, value: bytes) -> RecordT:
        try:
            return self._codec.decode(value)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise StoreUnavailableError(f"{self._prefix}: {error}") from error

    def _snapshot(self, answer: HttpAnswer) -> Snapshot[RecordT]:
        era = era_in(answer)
        listing = listing_in(answer)
        try:
            revision = revision_in(era, listing.revision)
            versions = [version_in(era, item.version) for item in listing.items]
        except ValueError as error:
            raise StoreUnavailableError(str(error)) from error
        items = tuple(
            Stored(
                ObjectKey(item.key.removeprefix(self._prefix)),
                version,
                None if item.value is None else self._decode(item.value),
            )
            for item, version in zip(listing.items, versions, strict=True)
        )
        return Snapshot(revision, items)


class ObjectContents:
    """Parts of configurations, each under a key that is written only once."""

    def __init__(
        self, api: ObjectApi, prefix: str, codec: Codec[Configuration]
    ) -> None:
        self._api = api
        self._prefix = prefix
        self._codec = codec

    def put(self, key: ObjectKey, part: Configuration) -> None:
        """Write a part; see the ContentStore port."""
        body = self._codec.encode(part)
        if len(body) > MAX_VALUE_BYTES:
            raise ObjectTooLargeError(
                f"configuration part of {len(body)} bytes exceeds {MAX_VALUE_BYTES}"
            )
        self._api.call("PUT", self._path(key), (OK, CREATED), body)

    def get(self, key: ObjectKey) -> Configuration:
        """Return a part."""
        body = self._api.call("GET", self._path(key), (OK,)).body
        try:
            return self._codec.decode(body)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise StoreUnavailableError(f"{key}: {error}") from error

    def delete(self, key: ObjectKey) -> None:
        """Delete a part."""
        self._api.call("DELETE", self._path(key), (OK, NOT_FOUND))

    def keys(self) -> tuple[ObjectKey, ...]:
        """Return the keys of all parts."""
        query = urlencode({"prefix": self._prefix})
        listing = listing_in(self._api.call("GET", f"/objects?{query}", (OK,)))
        return tuple(
            ObjectKey(item.key.removeprefix(self._prefix)) for item in listing.items
        )

    def _path(self, key: ObjectKey) -> str:
        return f"/objects/{quote(self._prefix + key)}"
