"""Tests of restores of the stand-in for the platform's object API."""

import json
import threading
import time

import pytest

from camphoryard.protocol.platform import (
    ERA_HEADER,
    EXPECTED_HEADER,
    VERSION_HEADER,
)
from standins.object_api import Store
from standins.web import DropConnectionError, Request


def call(store, method, path, body=b"", query=None, version=None):
    """Return the store's response to a call."""
    headers = {} if version is None else {EXPECTED_HEADER: str(version)}
    return store.handle(Request(method, path, query or {}, headers, body))


def put(store, value, version=None):
    """Write one object."""
    return call(store, "PUT", "/objects/leases/a", value, version=version)


def get(store):
    """Return status and body of one object."""
    response = call(store, "GET", "/objects/leases/a")
    return response.status, b"".join(response.body)


def watch(store, since, wait_s="0"):
    """Return the response to a watch."""
    return call(store, "GET", "/watch", query={"since": str(since), "wait_s": wait_s})


class TestStore:
    """Restores of the store from an older copy."""

    def test_restore_returns_objects_and_revision(self):
        """Replaced and deleted objects are as before, and created ones are gone."""
        store = Store()
        put(store, b"first")
        to_s, revision = time.monotonic(), store.revision
        put(store, b"second")
        call(store, "DELETE", "/objects/leases/a")
        call(store, "PUT", "/objects/leases/b", b"x")
        store.restore(to_s)
        assert get(store) == (200, b"first")
        assert call(store, "GET", "/objects/leases/b").status == 404
        assert store.revision == revision

    def test_revisions_are_given_out_again(self):
        """A conditional write at a version of the copy succeeds, at a lost one not."""
        store = Store()
        first = int(put(store, b"first").headers[VERSION_HEADER])
        to_s = time.monotonic()
        lost = int(put(store, b"second", first).headers[VERSION_HEADER])
        store.restore(to_s)
        assert put(store, b"third", lost).status == 412
        assert put(store, b"third", first).headers[VERSION_HEADER] == str(lost)

    def test_history_after_the_copy_is_gone(self):
        """A watch sees only what came after the restore; a later revision is gone."""
        store = Store()
        put(store, b"first")
        to_s, since = time.monotonic(), store.revision
        put(store, b"lost")
        store.restore(to_s)
        assert watch(store, since + 1).status == 410
        put(store, b"new")
        changes = json.loads(b"".join(watch(store, since).body))
        assert [item["version"] for item in changes["items"]] == [since + 1]

    def test_all_answers_tell_the_era(self):
        """Successes and refusals carry the header, before and after a restore."""
        store = Store()
        for era in ("1", "2"):
            responses = [
                put(store, b"first"),
                put(store, b"first", 10**6),
                call(store, "GET", "/objects/leases/a"),
                call(store, "GET", "/objects/leases/b"),
                call(store, "GET", "/objects", query={"prefix": ""}),
                watch(store, 0),
                watch(store, 1000),
                call(store, "DELETE", "/objects/leases/a"),
                call(store, "PUT", "/objects/big", bytes((1 << 20) + 1)),
                call(store, "POST", "/nowhere"),
            ]
            store.faults.outage = True
            responses.append(put(store, b"refused"))
            store.faults.outage = False
            statuses = [response.status for response in responses]
            assert statuses == [200, 412, 200, 404, 200, 200, 410, 200, 413, 404, 503]
            assert {item.headers[ERA_HEADER] for item in responses} == {era}
            store.restore(0.0)

    def test_store_that_is_away_refuses(self):
        """Calls get 503 until the restore."""
        store = Store()
        store.go_away()
        assert put(store, b"first").status == 503
        store.restore(time.monotonic())
        assert put(store, b"first").status == 200

    @pytest.mark.parametrize("end", [Store.go_away, lambda store: store.restore(0.0)])
    def test_waiting_watch_is_cut_off(self, end):
        """A watch that waits when the store goes away or is restored gets no answer."""
        store = Store()
        answers, waits = [], threading.Event()
        wait = store.changed.wait

        def wait_and_tell(timeout_s=None):
            waits.set()
            return wait(timeout_s)

        store.changed.wait = wait_and_tell
        thread = threading.Thread(
            target=lambda: answers.append(watch(store, 0, "10")), daemon=True
        )
        thread.start()
        assert waits.wait(10.0)
        end(store)
        thread.join(10.0)
        with pytest.raises(DropConnectionError):
            list(answers[0].body)

    def test_control_restores(self):
        """The call is answered when the store is back."""
        store = Store()
        put(store, b"first")
        restore = json.dumps({"restore_s": 60.0, "away_s": 0.01}).encode()
        control = call(store, "POST", "/control", restore)
        assert control.status == 200
        assert get(store)[0] == 404
        assert put(store, b"second").headers[ERA_HEADER] == "2"
