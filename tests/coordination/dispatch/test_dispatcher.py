"""Tests of the dispatcher's questions, which wait in tasks of their own."""

import random
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from camphoryard.coordination.dispatch import dispatcher as module
from camphoryard.coordination.dispatch.dispatcher import (
    MAX_STEP_S,
    Dispatcher,
    DispatcherContext,
)
from camphoryard.state.dispatch import (
    Dispatched,
    NotDispatched,
    Queued,
    Rejected,
    RunEnded,
)
from tests.fakes.dispatching import BATCH, URGENT, Engines, make_request
from tests.fakes.engines import RecordedLog

WAIT_S = 10.0


class Site:
    """A dispatcher for one engine with one place."""

    def __init__(self):
        self.engines = Engines("e1", slots=1)
        self.clock, self.log = self.engines.clock, RecordedLog()
        self.leads, self.alive = True, {None, "n"}
        self.dispatcher = Dispatcher(
            DispatcherContext(
                self.engines.directory,
                lambda: self.alive,
                lambda: self.leads,
                lambda endpoint: 0.0,
                self.log,
                lambda *_: None,
                lambda _: None,
                self.clock,
                random.Random(1),
            )
        )
        self.tasks = ThreadPoolExecutor(8)

    def ask(self, *requests):
        """Ask in tasks of their own; return once all questions wait."""
        before = self.dispatcher.count_waiting(URGENT)
        before += self.dispatcher.count_waiting(BATCH)
        answers = [self.tasks.submit(self.dispatcher.ask, item) for item in requests]
        waiting = threading.Event()
        while not waiting.wait(0.001):
            ranks = (URGENT, BATCH)
            count = sum(map(self.dispatcher.count_waiting, ranks))
            if count == before + len(requests) or all(x.done() for x in answers):
                waiting.set()
        return answers

    def end(self, request):
        """Report the end of a run, some time later."""
        self.clock.advance(MAX_STEP_S)
        self.dispatcher.record(RunEnded(request.ticket, "e1"))


@pytest.fixture
def site():
    """Return a site whose tasks end with the test."""
    site = Site()
    yield site
    site.clock.advance(1000.0)
    site.tasks.shutdown()


class TestAsk:
    """Questions of nodes."""

    def test_a_free_place_is_given_at_once(self, site):
        """Nothing waits; the line of the turn names the endpoint and the queue."""
        request = make_request()
        assert site.dispatcher.ask(request) == Dispatched("e1")
        event, fields = site.log.lines[-1]
        assert (event, fields["endpoint"], fields["queued"]) == ("turn", "e1", 1)

    def test_batch_and_urgent_questions_wait_for_one_place(self, site):
        """The end of the run gives its place to the urgent one."""
        first, urgent = make_request(), make_request(URGENT)
        site.dispatcher.ask(first)
        batch_answer, urgent_answer = site.ask(make_request(BATCH), urgent)
        site.end(first)
        assert urgent_answer.result(WAIT_S) == Dispatched("e1")
        assert not batch_answer.done()
        site.end(urgent)
        assert batch_answer.result(WAIT_S) == Dispatched("e1")

    def test_a_question_is_answered_in_time(self, site):
        """The ticket keeps its place, and the node asks again."""
        site.dispatcher.ask(make_request())
        (answer,) = site.ask(make_request())
        site.clock.advance(module.MAX_ASK_S)
        assert answer.result(WAIT_S) == Queued(0.0)
        assert site.dispatcher.count_waiting(URGENT) == 1

    def test_a_lost_answer_is_given_again(self, site):
        """The run counts once."""
        request = make_request()
        answers = [site.dispatcher.ask(request) for _ in range(2)]
        assert answers == [Dispatched("e1")] * 2

    def test_the_client_leaves_while_its_request_waits(self, site):
        """The question ends at once; the place goes to another one."""
        first, left, other = make_request(), make_request(), make_request()
        site.dispatcher.ask(first)
        (answer,) = site.ask(left)
        site.dispatcher.withdraw(left.ticket)
        assert answer.result(WAIT_S) == NotDispatched()
        (answer,) = site.ask(other)
        site.end(first)
        assert answer.result(WAIT_S) == Dispatched("e1")

    def test_a_turn_that_is_withdrawn_frees_its_place(self, site):
        """The node did not get the answer in time, and chose for itself."""
        request, other = make_request(), make_request()
        site.dispatcher.ask(request)
        (answer,) = site.ask(other)
        site.clock.advance(MAX_STEP_S)
        site.dispatcher.withdraw(request.ticket)
        site.clock.advance(MAX_STEP_S)
        assert answer.result(WAIT_S) == Dispatched("e1")

    def test_a_node_dies_with_its_runs(self, site):
        """Nobody reports their ends; the engine drops them with their connections."""
        site.dispatcher.ask(make_request(node="n"))
        site.alive = {None}
        site.clock.advance(module.RETAIN_PERIOD_S)
        assert site.dispatcher.ask(make_request()) == Dispatched("e1")

    def test_another_node_becomes_leader(self, site):
        """Questions that wait are answered, so that their nodes ask that one."""
        site.dispatcher.ask(make_request())
        (answer,) = site.ask(make_request())
        site.leads = False
        site.clock.advance(MAX_STEP_S)
        assert answer.result(WAIT_S) == NotDispatched()
        assert site.dispatcher.ask(make_request()) == NotDispatched()

    def test_a_crowd_does_not_take_all_tasks(self, site, monkeypatch):
        """Beyond the limit, the last in order ask again later."""
        monkeypatch.setattr(module, "MAX_WAITING_ASKS", 1)
        first = make_request()
        site.dispatcher.ask(first)
        (batch_answer,) = site.ask(make_request(BATCH))
        (urgent_answer,) = site.ask(make_request(URGENT))
        assert batch_answer.result(WAIT_S) == Queued(module.CROWD_ASK_AGAIN_S)
        site.end(first)
        assert urgent_answer.result(WAIT_S) == Dispatched("e1")

    def test_a_refusal_is_logged(self, site):
        """Its line tells the wait that was expected and when to come back."""
        site.dispatcher.ask(make_request())
        site.clock.advance(MAX_STEP_S)
        answer = site.dispatcher.ask(make_request(leave_left_s=0.0))
        assert isinstance(answer, Rejected)
        assert site.log.events()[-1] == "turn_refused"
