"""Tests of the budget of the memory that is held for clients."""

import pytest

from camphoryard.coordination.admission.client_memory import (
    MAX_SMALL_REQUEST_BYTES,
    MAX_WAIT_S,
    STALL_S,
    Cause,
    ClientMemory,
    CloseConnection,
    RefuseRequest,
    make_client_memory,
)

LARGE = 10 * MAX_SMALL_REQUEST_BYTES
BUDGET = 4 * LARGE
"""Room for three large requests, and for small ones beside them."""


@pytest.fixture
def memory():
    """Return an empty budget."""
    return ClientMemory(BUDGET)


def receive(memory, count, size, now_s=0.0):
    """Return the ids of new connections that receive a request of ``size``."""
    ids = [memory.add_connection(now_s) for _ in range(count)]
    for id in ids:
        memory.receive(id, size, now_s)
    return ids


class TestReceive:
    """Which requests are read on."""

    def test_body_of_any_size_is_admitted_in_calm(self, memory):
        """Also one that is larger than the whole budget."""
        assert memory.receive(memory.add_connection(0.0), 2 * BUDGET, 0.0)

    def test_crowd_of_large_bodies_waits_and_leaves_room_for_small(self, memory):
        """The load: many large uploads at once beside ordinary requests."""
        *_, last = receive(memory, 4, LARGE)
        small = memory.add_connection(0.0)
        assert memory.has_waiting
        assert memory.receive(small, MAX_SMALL_REQUEST_BYTES, 0.0)
        assert not memory.receive(last, LARGE, 0.0)
        assert memory.held_bytes <= BUDGET

    def test_longest_waiting_goes_first(self, memory):
        """The load: uploads that never stop arriving."""
        first, _, _, waiting, later = receive(memory, 5, LARGE)
        memory.settle(first, 0)
        assert not memory.receive(later, LARGE, 0.0)
        assert memory.receive(waiting, LARGE, 0.0)

    def test_closed_connection_releases_all(self, memory):
        """Whatever it held or waited for."""
        for id in receive(memory, 5, LARGE):
            memory.hold_unread(id, 1, 0.0)
            memory.remove_connection(id)
        assert (memory.held_bytes, memory.has_waiting) == (0, False)


class TestRelieve:
    """Who gives way while requests wait."""

    def test_nobody_gives_way_in_calm(self, memory):
        """A body without progress is no trouble while nobody waits."""
        receive(memory, 3, LARGE)
        assert memory.relieve(1000.0) == ()

    def test_stalled_gives_way_as_far_as_needed(self, memory):
        """The load: bodies that stop just short of their end and stay open."""
        first, second, _, waiting = receive(memory, 4, LARGE)
        memory.receive(second, LARGE, STALL_S / 2)
        assert memory.relieve(STALL_S) == (RefuseRequest(first, Cause.STALLED, LARGE),)
        memory.settle(first, 0)
        assert memory.receive(waiting, LARGE, STALL_S)

    def test_request_that_may_run_never_gives_way(self, memory):
        """Its refusal would be untrue; the one that waits is refused in time."""
        *handled, waiting = receive(memory, 4, LARGE)
        for id in handled:
            memory.settle(id, LARGE)
        assert memory.relieve(MAX_WAIT_S / 2) == ()
        assert memory.relieve(MAX_WAIT_S) == (
            RefuseRequest(waiting, Cause.NO_MEMORY, 0),
        )

    def test_crowd_does_not_wait_for_turns(self, memory):
        """The load: more stalled bodies than room; those without a turn are refused."""
        *first, next_, late = receive(memory, 5, LARGE)
        stalled = [RefuseRequest(id, Cause.STALLED, LARGE) for id in first[:2]]
        for id in first[2:]:
            memory.settle(id, 2 * LARGE)
        assert set(memory.relieve(MAX_WAIT_S)) == {*stalled}
        memory.settle(first[1], LARGE)
        refused = RefuseRequest(late, Cause.NO_MEMORY, 0)
        assert set(memory.relieve(MAX_WAIT_S)) == {stalled[0], refused}
        assert next_ not in {item.connection for item in memory.relieve(MAX_WAIT_S)}


class TestUnread:
    """Answers that clients do not read."""

    def test_longest_unread_is_closed_beyond_the_budget(self, memory):
        """The load: many clients that read slowly or not at all."""
        slow, quick = memory.add_connection(0.0), memory.add_connection(0.0)
        assert memory.hold_unread(slow, BUDGET // 2, 0.0) is None
        closed = memory.hold_unread(quick, BUDGET // 2 + 1, 1.0)
        assert closed == CloseConnection(slow, Cause.UNREAD_ANSWER, BUDGET // 2)
        assert memory.hold_unread(quick, BUDGET // 2 + 2, 1.0) is None


class TestMakeClientMemory:
    """The budget of a VM."""

    @pytest.mark.parametrize(("memory_mb", "max_bytes"), [(200, 50e6), (0, 75e6)])
    def test_is_a_quarter_of_the_memory(self, memory_mb, max_bytes):
        """Of 300 MB if the settings name none."""
        assert make_client_memory(memory_mb).max_bytes == max_bytes
