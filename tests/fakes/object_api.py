"""In-memory object API behind the ports, with fault injection."""

import itertools
from collections.abc import Callable
from urllib.parse import parse_qsl, unquote, urlsplit

from camphoryard.coordination.ports import Snapshot, Stored
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import ABSENT, ObjectKey, Revision, Version
from camphoryard.transport.http_client import Address, HttpAnswer
from camphoryard.transport.object_api import ObjectApi, ObjectRecords
from standins.web import Request


class InMemoryRecords:
    """Records of one kind, with injected faults.

    While ``outage`` is set, each call fails. The next ``lose_answers`` writes take
    effect but fail. ``before_put`` and ``after_put`` run once, around the next write.
    """

    def __init__(self) -> None:
        self.stored_by_key: dict[str, Stored] = {}
        self.outage = False
        self.lose_answers = 0
        self.before_put: Callable[[], None] = lambda: None
        self.after_put: Callable[[], None] = lambda: None
        self._revisions = itertools.count(1)

    def get(self, key):
        """Return the record, or None."""
        self._require_up()
        return self.stored_by_key.get(key)

    def put(self, key, record, version):
        """Write the record if its stored version is ``version``."""
        self._require_up()
        hook, self.before_put = self.before_put, lambda: None
        hook()
        found = self.stored_by_key.get(key)
        if (found.version if found else ABSENT) != version:
            raise ConflictError(key)
        made = Version(next(self._revisions))
        self.stored_by_key[key] = Stored(ObjectKey(key), made, record)
        lost, self.lose_answers = self.lose_answers > 0, max(0, self.lose_answers - 1)
        hook, self.after_put = self.after_put, lambda: None
        hook()
        if lost:
            raise StoreUnavailableError("write took effect, answer lost")
        return made

    def delete(self, key, version):
        """Delete the record if its stored version is ``version``."""
        self._require_up()
        found = self.stored_by_key.get(key)
        if (found.version if found else ABSENT) != version:
            raise ConflictError(key)
        self.stored_by_key.pop(key, None)

    def list(self, within=""):
        """Return all records whose key starts with ``within``."""
        self._require_up()
        items = [
            item for key, item in self.stored_by_key.items() if key.startswith(within)
        ]
        return Snapshot(Revision(0), tuple(items))

    def _require_up(self) -> None:
        if self.outage:
            raise StoreUnavailableError("object API outage")


class InMemoryContents:
    """Immutable parts of configurations by key."""

    def __init__(self) -> None:
        self.part_by_key: dict[str, object] = {}

    def put(self, key, part):
        """Store a part; its key must be new."""
        assert key not in self.part_by_key
        self.part_by_key[key] = part

    def get(self, key):
        """Return a part."""
        if key not in self.part_by_key:
            raise StoreUnavailableError(key)
        return self.part_by_key[key]

    def delete(self, key):
        """Delete a part."""
        self.part_by_key.pop(key, None)

    def keys(self):
        """Return the keys of all parts."""
        return tuple(self.part_by_key)


class StoreClient:
    """An HTTP client of a stand-in for the object API in this process.

    Answers lack the header ``dropped_header``; names are passed to ``edit_name``.
    """

    def __init__(self, store):
        self._store = store
        self.calls = []
        self.dropped_header = ""
        self.edit_name: Callable[[str], str] = str

    def call(self, address, call):
        """Return the stand-in's answer."""
        self.calls.append(call)
        parts = urlsplit(call.path)
        query = dict(parse_qsl(parts.query))
        response = self._store.handle(
            Request(call.method, unquote(parts.path), query, call.headers, call.body)
        )
        headers = dict(response.headers)
        headers.pop(self.dropped_header, None)
        headers = {self.edit_name(name): text for name, text in headers.items()}
        return HttpAnswer(response.status, headers, b"".join(response.body))


def make_object_records(store, prefix, codec, on_restored=lambda era: None):
    """Return records in a stand-in for the object API, as one node sees them."""
    api = ObjectApi(StoreClient(store), Address("h", 1), "token", on_restored)
    return ObjectRecords(api, prefix, codec)
