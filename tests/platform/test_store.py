"""Tests of the records in the platform's store."""

import contextlib
import json
import socket
import threading

import pytest

from camphoryard.coordination.ports import Stored
from camphoryard.platform.store import StoreRecords
from camphoryard.platform.traffic import decode_endpoint
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import ABSENT
from camphoryard.state.store_eras import NewestEra
from camphoryard.transport.http_client import Address, HttpAnswer, HttpClient
from tests.fakes.engines import RecordedLog

DEEP = b"[" * 1500 + b"]" * 1500
SPEC = {"service": "s", "address": "10.0.0.9:80", "zone": "z", "state": "ready"}


class Client:
    """An HTTP client that gets the given bodies one after the other."""

    def __init__(self, *bodies):
        self.bodies, self.paths = list(bodies), []
        self.calls = []
        self.headers = {}

    def call(self, address, call):
        """Return the next answer."""
        self.paths.append(call.path)
        self.calls.append(call)
        return HttpAnswer(200, self.headers, self.bodies.pop(0))

    def tell_era(self, era):
        """Tell an era in the answers from now on."""
        self.headers = {"Store-Era": str(era)}


def item(name, spec, revision=1):
    """Return an object of the store as JSON."""
    metadata = json.dumps({"name": name, "revision": revision}).encode()
    if not isinstance(spec, bytes):
        spec = json.dumps(spec).encode()
    return b'{"metadata":' + metadata + b',"spec":' + spec + b"}"


def listing(*items, has_more=False):
    """Return the body of a listing."""
    more = json.dumps(has_more).encode()
    head = b'{"store-revision":9,"has-more":' + more + b',"items":['
    return head + b",".join(items) + b"]}"


def changes(*items):
    """Return the body of an answered watch."""
    events = (b'{"object":' + item + b"}" for item in items)
    return b'{"store-revision":9,"events":[' + b",".join(events) + b"]}"


def make_records(*bodies):
    """Return the records of endpoints, with their log."""
    log = RecordedLog()
    records = StoreRecords(
        Client(*bodies),
        Address("h", 1),
        "servers",
        decode_endpoint,
        None,
        log,
        NewestEra(),
    )
    return records, log


# Guards against LOST: one odd entry of another writer made the whole list unreadable.
@pytest.mark.parametrize("read", ["list", "watch"])
class TestOddEntries:
    """Entries of another writer beside sound ones."""

    @pytest.mark.parametrize(
        "odd",
        [
            item("odd", DEEP),
            item("odd", b'{"service":' + DEEP + b"}"),
            item("odd", {**SPEC, "address": "10.0.0.9:99999"}),
            item("odd", {**SPEC, "slots": 10**30}),
            item("odd", {**SPEC, "state": None}),
            item("odd", [1, 2]),
            item("odd", {**SPEC, "zone": "\ud800"}),
            item("odd", json.dumps({**SPEC, "\udfff": 1}).encode()),
            item("odd", b'{"service":"\xff"}'),
            item("odd", b'{"service":"\\x"}'),
            b'{"metadata":{"name":"odd","revision":"x"},"spec":{}}',
            b'{"metadata":null,"spec":{}}',
            b"7",
        ],
    )
    def test_sound_entries_are_read_beside_an_odd_one(self, read, odd):
        """The odd entry names no endpoint, and the log says so."""
        sound = [item("a", SPEC), item("b", SPEC)]
        entries = (sound[0], odd, sound[1])
        records, log = make_records(
            listing(*entries) if read == "list" else changes(*entries)
        )
        snapshot = records.list() if read == "list" else records.watch(1, 1.0)
        found = [stored.key for stored in snapshot.items if stored.record is not None]
        assert (found, snapshot.revision) == (["a", "b"], 9)
        assert log.events() == ["entry_unreadable"]


class TestListing:
    """Listings of several pages."""

    def test_pages_are_joined(self):
        """The next page begins after the last readable name."""
        records, _ = make_records(
            listing(item("a", SPEC), b"7", has_more=True), listing(item("b", SPEC))
        )
        keys = [stored.key for stored in records.list().items]
        assert keys == ["a", "b"]
        assert records._client.paths[1].endswith("after=a")

    def test_removal_is_a_record_of_none(self):
        """A watch reports removed objects."""
        event = b'{"object":' + item("a", SPEC, 4) + b',"removed":true}'
        records, _ = make_records(
            b'{"store-revision":9,"events":[' + event + b"]}",
        )
        assert records.watch(1, 1.0).items == (Stored("a", 4, None),)


class TestEra:
    """The era that the store tells in each answer."""

    def test_a_new_era_is_logged_once(self):
        """Those on call see when the store was restored."""
        records, log = make_records(*[listing()] * 4)
        for era in ("1", "1", "2", "2"):
            records._client.tell_era(era)
            records.list()
        assert log.events() == ["store_era", "store_era"]

    @pytest.mark.parametrize("era", ["", "x", "-1", "9" * 7, "1" * 5000, "²"])
    def test_answer_with_an_odd_era_is_none(self, era):
        """Its versions could not be told from those of another era."""
        records, log = make_records(listing(item("a", SPEC)))
        records._client.tell_era(era)
        with pytest.raises(StoreUnavailableError):
            records.list()
        assert log.events() == []

    @pytest.mark.parametrize("headers", [{}, {"Store-Era": "1"}])
    def test_answer_of_an_earlier_era_is_none(self, headers):
        """It was on its way while the store was restored."""
        records, _ = make_records(listing(), listing(item("a", SPEC)))
        records._client.tell_era(2)
        records.list()
        records._client.headers = headers
        with pytest.raises(StoreUnavailableError):
            records.list()


# Guards against CONFIG and ONE: the store gives revisions out again after a restore.
class TestRestoredStore:
    """Versions and revisions from before a restore of the store."""

    def make_restored(self, *bodies):
        """Return records that have listed one object before a restore."""
        records, _ = make_records(listing(item("a", SPEC, 4)), *bodies)
        records._client.tell_era(1)
        snapshot = records.list()
        records._client.tell_era(2)
        return records, snapshot

    def test_a_watch_from_before_a_restore_conflicts(self):
        """Its events are not all that happened since the listing."""
        records, before = self.make_restored(changes(item("b", SPEC, 10)))
        with pytest.raises(ConflictError):
            records.watch(before.revision, 1.0)

    def test_a_known_restore_is_not_watched_across(self):
        """No call is made for a revision that names nothing any more."""
        records, before = self.make_restored(listing())
        records.list()
        calls = len(records._client.calls)
        with pytest.raises(ConflictError):
            records.watch(before.revision, 1.0)
        assert len(records._client.calls) == calls

    @pytest.mark.parametrize("write", ["put", "delete"])
    def test_a_known_restore_is_not_written_across(self, write):
        """The version could be that of another object by now."""
        records, before = self.make_restored(listing(), item("a", SPEC))
        records.list()
        version = before.items[0].version
        with pytest.raises(ConflictError):
            if write == "put":
                records.put("a", None, version)
            else:
                records.delete("a", version)

    @pytest.mark.parametrize("write", ["put", "create", "delete"])
    def test_a_write_beside_a_restore_has_no_known_outcome(self, write):
        """It may have replaced another object than the one that was read."""
        records, before = self.make_restored(item("a", SPEC, 5))
        records._encode = lambda record: b"null"
        with pytest.raises(StoreUnavailableError):
            match write:
                case "put":
                    records.put("a", None, before.items[0].version)
                case "create":
                    records.put("a", None, ABSENT)
                case "delete":
                    records.delete("a", before.items[0].version)

    def test_versions_from_after_a_restore_are_newer(self):
        """Also if the store counts them lower."""
        records, before = self.make_restored(listing(item("a", SPEC, 2)))
        assert records.list().items[0].version > before.items[0].version

    def test_a_listing_across_a_restore_conflicts(self):
        """Its pages are not of one state."""
        records, _ = make_records(listing(item("a", SPEC), has_more=True), listing())
        client = records._client
        client.tell_era(1)
        call = client.call

        def restore_after(address, http_call):
            answer = call(address, http_call)
            client.tell_era(2)
            return answer

        client.call = restore_after
        with pytest.raises(ConflictError):
            records.list()

    def test_the_store_is_asked_with_its_own_revisions(self):
        """Eras are not part of the revisions on the wire."""
        records, _ = make_records(
            listing(item("a", SPEC, 4)), changes(), item("a", SPEC)
        )
        records._encode = lambda record: b"null"
        records._client.tell_era(3)
        snapshot = records.list()
        records.watch(snapshot.revision, 1.0)
        records.put("a", None, snapshot.items[0].version)
        assert "watch=9&" in records._client.paths[1]
        body = json.loads(records._client.calls[2].body)
        assert body["metadata"]["revision"] == 4

    def test_an_odd_revision_makes_an_entry_odd(self):
        """It could not be told from one of a later era."""
        odd, sound = item("odd", SPEC, 1 << 50), item("a", SPEC)
        records, log = make_records(listing(odd, sound))
        assert [stored.key for stored in records.list().items] == ["a"]
        assert log.events() == ["entry_unreadable"]


# Guards against needless connections: the store answered that there was no such object,
# and the next call had to connect again.
class TestConnections:
    """Connections to the store, which sends no answer twice."""

    def test_connection_is_kept_after_an_object_was_not_found(self):
        """The answer is as good as any other."""
        accepted = []

        def answer_calls(listener):
            with contextlib.suppress(OSError):
                while True:
                    connection, _ = listener.accept()
                    accepted.append(connection)
                    while connection.recv(4096):
                        connection.sendall(
                            b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
                        )

        with socket.create_server(("127.0.0.1", 0)) as listener:
            threading.Thread(target=answer_calls, args=(listener,), daemon=True).start()
            client = HttpClient()
            records = StoreRecords(
                client,
                Address("127.0.0.1", listener.getsockname()[1]),
                "servers",
                decode_endpoint,
                None,
                RecordedLog(),
                NewestEra(),
            )
            assert [records.get("a") for _ in range(3)] == [None] * 3
            assert len(accepted) == 1
            client.close()
            for connection in accepted:
                connection.close()
