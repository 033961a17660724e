"""Tests of the stand-in for the users' platform: its store and its restores."""

import json
import threading
import time

import pytest

from standins.entry_platform import ERA_HEADER, OPERATOR, Platform, Store
from standins.web import DropConnectionError, Request


def decoded(response):
    """Return the JSON of a response."""
    return json.loads(b"".join(response.body))


def spec_of(store, kind, name):
    """Return the spec of an object, or None if there is none."""
    response = store.read(kind, name)
    return decoded(response)["spec"] if response.status == 200 else None


def start_watch(store, kind, since):
    """Start a watch; return its thread, its answers and an event set once it waits."""
    answers = []
    waits = threading.Event()
    condition = store.changed
    wait = condition.wait

    def wait_and_tell(timeout_s=None):
        waits.set()
        return wait(timeout_s)

    condition.wait = wait_and_tell
    thread = threading.Thread(
        target=lambda: answers.append(store.watch(kind, since, 10.0)), daemon=True
    )
    thread.start()
    return thread, answers, waits


class TestWrites:
    """Writes as the users' store makes them."""

    def test_write_that_changes_nothing_has_no_revision(self):
        """A conditional write that names the revision before still succeeds."""
        store = Store()
        first = decoded(store.write("k", "n", {"a": 1}, 0))
        again = decoded(store.write("k", "n", {"a": 1}, None))
        assert again == first
        assert store.write("k", "n", {"a": 2}, 2).status == 200


class TestStore:
    """Restores of the store from an older copy."""

    def test_restore_returns_objects_and_revision(self):
        """Created, replaced and removed objects are as before; revisions go back."""
        store = Store()
        store.write("leases", "leader", "a", None)
        store.write("nodes", "n-1", "here", None)
        to_s = time.monotonic()
        revision = store.revision
        store.write("leases", "leader", "b", None)
        store.write("nodes", "n-2", "here", None)
        store.remove("nodes", "n-1")
        store.restore(to_s)
        assert spec_of(store, "leases", "leader") == "a"
        assert spec_of(store, "nodes", "n-1") == "here"
        assert spec_of(store, "nodes", "n-2") is None
        assert store.revision == revision

    def test_revisions_are_given_out_again(self):
        """A conditional write at a revision of the copy succeeds, at a lost one not."""
        store = Store()
        store.write("leases", "leader", "a", None)
        to_s = time.monotonic()
        first = store.revision
        store.write("leases", "leader", "b", first)
        lost = store.revision
        store.restore(to_s)
        assert store.write("leases", "leader", "c", lost).status == 409
        written = store.write("leases", "leader", "c", first)
        assert decoded(written)["metadata"]["revision"] == lost

    def test_restore_again_goes_further_back(self):
        """A second restore returns to a time before the first copy."""
        store = Store()
        store.write("leases", "leader", "a", None)
        earlier_s = time.monotonic()
        store.write("leases", "leader", "b", None)
        later_s = time.monotonic()
        store.write("leases", "leader", "c", None)
        store.restore(later_s)
        store.restore(earlier_s)
        assert spec_of(store, "leases", "leader") == "a"
        assert store.era == 3

    def test_history_after_the_copy_is_gone(self):
        """A watch from a revision of the copy sees only what came after the restore."""
        store = Store()
        to_s, since = time.monotonic(), store.revision
        store.write("leases", "leader", "lost", None)
        store.restore(to_s)
        store.write("leases", "leader", "new", None)
        events = decoded(store.watch("leases", since, 0.0))["events"]
        assert [event["object"]["spec"] for event in events] == ["new"]

    def test_watch_above_the_revision_is_gone(self):
        """A watch from a revision that the store does not have gets 410."""
        store = Store()
        to_s = time.monotonic()
        store.write("leases", "leader", "a", None)
        since = store.revision
        assert store.watch("leases", since, 0.0).status == 200
        store.restore(to_s)
        gone = store.watch("leases", since, 0.0)
        assert gone.status == 410
        assert gone.headers[ERA_HEADER] == "2"

    @pytest.mark.parametrize("end", [Store.go_away, lambda store: store.restore(0.0)])
    def test_waiting_watch_is_cut_off(self, end):
        """A watch that waits when the store goes away or is restored gets no answer."""
        store = Store()
        thread, answers, waits = start_watch(store, "leases", store.revision)
        assert waits.wait(10.0)
        end(store)
        thread.join(10.0)
        with pytest.raises(DropConnectionError):
            list(answers[0].body)

    def test_operator_and_replicas_write_again(self):
        """Their last lost changes come back under new revisions; those of nodes not."""
        store = Store()
        store.write("servers", "r-1", "ready", None)
        to_s = time.monotonic()
        store.write("config", "main", 1, None)
        store.write("config", "main", 2, None)
        store.write("notes", "n", "operator", None, is_operator=True)
        store.write("leases", "leader", "node", None)
        store.remove("servers", "r-1")
        store.restore(to_s)
        assert spec_of(store, "config", "main") is None
        revision = store.revision
        store.write_again()
        assert spec_of(store, "config", "main") == 2
        assert spec_of(store, "notes", "n") == "operator"
        assert spec_of(store, "leases", "leader") is None
        assert spec_of(store, "servers", "r-1") is None
        assert store.revision == revision + 3

    def test_later_change_is_not_written_over(self):
        """What the operator writes after the restore stays."""
        store = Store()
        to_s = time.monotonic()
        store.write("config", "main", 1, None)
        store.restore(to_s)
        store.write("config", "main", 2, None)
        store.write_again()
        assert spec_of(store, "config", "main") == 2

    def test_lost_again_is_written_again(self):
        """A change that was lost, written again and lost again is not forgotten."""
        store = Store()
        to_s = time.monotonic()
        store.write("notes", "n", "operator", None, is_operator=True)
        for _ in range(2):
            store.restore(to_s)
            store.write_again()
        assert spec_of(store, "notes", "n") == "operator"


def call(platform, method, path, body=None, query=None, headers=None):
    """Return the platform's response to a call."""
    data = b"" if body is None else json.dumps(body).encode()
    return platform.handle(Request(method, path, query or {}, headers or {}, data))


def put(platform, spec, revision=None, headers=None):
    """Write the lease of the leader."""
    metadata = {"name": "leader", "revision": revision}
    body = {"metadata": metadata, "spec": spec}
    return call(platform, "PUT", "/objects/leases/leader", body, headers=headers)


class TestPlatform:
    """The store as its callers see it."""

    def test_all_answers_of_the_store_tell_the_era(self):
        """Successes and refusals carry the header, before and after a restore."""
        platform = Platform()
        for era in ("1", "2"):
            responses = [
                put(platform, "a"),
                put(platform, "a", revision=10**6),
                call(platform, "GET", "/objects/leases"),
                call(platform, "GET", "/objects/leases/leader"),
                call(platform, "GET", "/objects/leases/none"),
                call(platform, "GET", "/objects/leases", query={"watch": "1"}),
                call(platform, "GET", "/objects/leases", query={"watch": "1000"}),
                call(platform, "DELETE", "/objects/leases/leader"),
                call(platform, "DELETE", "/objects/leases/leader"),
            ]
            platform.faults["silent_store"] = 1
            responses.append(call(platform, "GET", "/objects/leases"))
            platform.faults["silent_store"] = 0
            statuses = [response.status for response in responses]
            assert statuses == [201, 409, 200, 200, 404, 200, 410, 200, 404, 503]
            assert {item.headers[ERA_HEADER] for item in responses} == {era}
            platform.store.restore(0.0)

    def test_control_restores(self):
        """The call is answered when the store is back and written to again."""
        platform = Platform()
        put(platform, "node")
        body = {"metadata": {"name": "n"}, "spec": "operator"}
        call(platform, "PUT", "/objects/notes/n", body, headers=OPERATOR)
        restore = {"restore_s": 60.0, "away_s": 0.01}
        assert call(platform, "POST", "/control", restore).status == 200
        assert platform.store.era == 2
        assert spec_of(platform.store, "leases", "leader") is None
        assert spec_of(platform.store, "notes", "n") == "operator"

    def test_store_that_is_away_refuses(self):
        """Calls of nodes get 503 until the restore, those of the operator do not."""
        platform = Platform()
        platform.store.go_away()
        assert put(platform, "node").status == 503
        assert put(platform, "operator", headers=OPERATOR).status == 201
        platform.store.restore(time.monotonic())
        assert put(platform, "node").status == 200

    def test_removal_may_expect_a_revision(self):
        """Only the expected revision of an object is deleted."""
        platform = Platform()
        revision = decoded(put(platform, "a"))["metadata"]["revision"]
        path = "/objects/leases/leader"
        other = call(platform, "DELETE", path, query={"revision": str(revision - 1)})
        assert other.status == 409
        assert spec_of(platform.store, "leases", "leader") == "a"
        same = call(platform, "DELETE", path, query={"revision": str(revision)})
        assert same.status == 200
        assert spec_of(platform.store, "leases", "leader") is None

    def test_watch_that_waits_is_never_answered_after_a_silence(self):
        """It is held also if the silence ends before the watch has noticed it."""
        platform = Platform()
        wait, held = platform.store.changed.wait, threading.Event()

        class HeldKinds(list):
            def append(self, kind):
                super().append(kind)
                held.set()

        def be_silent_then_wait(timeout_s=None):
            platform.store.changed.wait = wait
            for mute_store in (1, 0):
                call(platform, "POST", "/control", {"mute_store": mute_store})
            put(platform, "a")

        platform.muted_kinds = HeldKinds()
        platform.store.changed.wait = be_silent_then_wait
        query = {"watch": str(platform.store.revision), "wait-ms": "10000"}
        arguments = (platform, "GET", "/objects/leases", None, query)
        threading.Thread(target=call, args=arguments, daemon=True).start()
        assert held.wait(5.0)
