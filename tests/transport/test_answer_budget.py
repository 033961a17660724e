"""Tests of the budget of the memory that whole answers take."""

import threading
import time

import pytest

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.transport.answer_budget import AnswerBudget

WAIT_S = 0.05
END_S = 10.0


@pytest.fixture
def budget():
    """Return a budget of ten bytes, six of them for one server."""
    return AnswerBudget(10, 6)


def reserve(budget, server, count, wait_s=WAIT_S, cancellation=None):
    """Reserve bytes, waiting for a short time."""
    budget.reserve(server, count, time.monotonic() + wait_s, cancellation)


class TestAnswerBudget:
    """Who gets memory, and who waits."""

    def test_no_server_has_more_than_its_share(self, budget):
        """The others go on beside one whose answers do not end."""
        reserve(budget, "faulty", 6)
        with pytest.raises(TimeoutError):
            reserve(budget, "faulty", 1)
        reserve(budget, "sound", 4)
        assert budget.reserved_bytes == 10

    def test_all_together_have_no_more_than_the_budget(self, budget):
        """However many servers are faulty."""
        reserve(budget, "one", 6)
        reserve(budget, "two", 4)
        with pytest.raises(TimeoutError):
            reserve(budget, "three", 1)

    def test_released_bytes_are_reserved_again(self, budget):
        """Nothing of a server is left once its answers are closed."""
        for _ in range(3):
            reserve(budget, "one", 6)
            budget.release("one", 6)
        assert budget.reserved_bytes == 0

    def test_answer_larger_than_the_budget_waits_until_it_is_alone(self, budget):
        """It would never be read otherwise."""
        reserve(budget, "one", 1)
        with pytest.raises(TimeoutError):
            reserve(budget, "two", 11)
        budget.release("one", 1)
        reserve(budget, "two", 11)

    def test_waiting_answer_goes_on_when_there_is_room(self, budget):
        """Its server waits as well, as nobody reads what it sends."""
        reserve(budget, "one", 6)
        waiting = threading.Thread(target=reserve, args=(budget, "one", 6, END_S))
        waiting.start()
        budget.release("one", 6)
        waiting.join(END_S)
        assert budget.reserved_bytes == 6

    def test_waiting_answer_ends_with_its_call(self, budget):
        """The client has left."""
        reserve(budget, "one", 6)
        cancellation = Cancellation()
        threading.Timer(WAIT_S, cancellation.cancel).start()
        with pytest.raises(ConnectionAbortedError):
            reserve(budget, "one", 6, END_S, cancellation)
        assert budget.reserved_bytes == 6
