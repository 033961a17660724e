"""Tests of the queue before the engines, with the ledger and without tasks."""

from camphoryard.coordination.dispatch.dispatch_queue import (
    TAKEOVER_S,
    TICKET_LIFETIME_S,
)
from camphoryard.state.dispatch import NotDispatched
from camphoryard.state.serving_endpoints import EndpointState
from tests.fakes.dispatching import BATCH, URGENT, Engines, make_request
from tests.fakes.engines import make_endpoint


class TestTooLittleRoom:
    """More requests than the engines have places for."""

    def test_nothing_waits_while_places_are_free(self):
        """Requests of all ranks go at once, to the engine with least in hand."""
        engines = Engines("e1", "e2")
        engines.ask(make_request(URGENT), make_request(BATCH))
        assert {endpoint for _, endpoint in engines.runs} == {"e1", "e2"}

    def test_a_service_that_tells_no_memory(self):
        """Only the places of its engines are counted."""
        assert Engines("e1", slots=3, kv_tokens=0).fill() == 3

    def test_urgent_goes_before_batch(self):
        """Of a batch request and a later urgent one, the urgent one gets the place."""
        engines = Engines("e1")
        engines.fill(BATCH)
        batch, urgent = make_request(BATCH), make_request(URGENT)
        assert not engines.ask(batch, urgent)
        engines.end_one()
        assert engines.gone(engines.ask()) == [urgent.ticket]

    def test_a_large_request_finds_room_beside_small_ones(self):
        """Small ones behind it do not take the memory that it waits for."""
        engines = Engines("e1", slots=4, kv_tokens=4_000)
        engines.fill(tokens=900)
        large = make_request(tokens=2_500, objective_left_s=0.4)
        small = make_request(tokens=800)
        engines.ask(large, small)
        engines.end_one()
        assert not engines.ask()
        while not (gone := engines.gone(engines.ask())):
            engines.end_one()
        assert gone[0] == large.ticket

    def test_an_account_at_seven_times_its_usual(self):
        """The others are served like before while it waits."""
        engines = Engines("e1", slots=8)
        for n in range(80):
            queued = engines.queue.enter(make_request(account=f"usual-{n % 4}"))
            engines.queue.withdraw(queued.request.ticket)
        engines.fill(account="crowd")
        crowd = [make_request(account="crowd", objective_left_s=0.3) for _ in range(6)]
        other = make_request(account="usual-1")
        engines.ask(*crowd, other)
        engines.end_one()
        assert engines.gone(engines.ask()) == [other.ticket]

    def test_a_ticket_that_nobody_asks_for_lapses(self):
        """The tickets of a node that died take no place."""
        engines = Engines("e1")
        engines.fill()
        queued = engines.queue.enter(make_request(leave_left_s=60.0))
        engines.queue.stop_asking(queued)
        engines.end_one()
        assert not engines.ask()
        engines.clock.advance(TICKET_LIFETIME_S)
        engines.ask()
        assert len(engines.queue) == 0


class TestRefusals:
    """Requests that cannot begin before their clients leave."""

    def test_a_burst_is_refused_at_once_and_comes_back_spread(self):
        """Twenty times what the engine can begin in time; some wait, most do not."""
        engines = Engines("e1")
        engines.fill()
        decisions = engines.ask(*(make_request() for _ in range(200)))
        refused = engines.refused(decisions)
        assert not engines.gone(decisions)
        assert len(refused) > 150
        assert len({round(answer.retry_after_s, 1) for answer in refused}) > 10
        assert 0 < len(engines.queue) < 50

    def test_none_is_refused_while_places_are_free(self):
        """Requests that wait for a gap in the reading are not refused for it."""
        engines = Engines("e1", slots=40)
        engines.ask(*(make_request(tokens=4_000) for _ in range(8)))
        engines.clock.advance(0.3)
        decisions = engines.ask(*(make_request(tokens=4_000) for _ in range(8)))
        assert not engines.refused(decisions)

    def test_a_request_that_was_refused_before_waits_longer(self):
        """A second refusal costs its client more than a wait."""
        first, returned = Engines("e1", slots=16), Engines("e1", slots=16)
        first.fill()
        returned.fill()
        first.ask(*(make_request() for _ in range(200)))
        returned.ask(*(make_request(has_returned=True) for _ in range(200)))
        assert len(returned.queue) > len(first.queue)

    def test_an_answer_that_has_begun_is_never_refused(self):
        """Its client cannot come back; it waits until the client leaves."""
        engines = Engines("e1")
        engines.fill()
        engines.ask(*(make_request() for _ in range(200)))
        begun = make_request(has_begun=True)
        assert not engines.refused(engines.ask(begun))
        engines.end_one()
        assert engines.gone(engines.ask()) == [begun.ticket]

    def test_a_client_that_leaves_unserved(self):
        """Its request does not wait on."""
        engines = Engines("e1")
        engines.fill()
        engines.ask(make_request(leave_left_s=0.3))
        engines.clock.advance(0.31)
        assert engines.refused(engines.ask())


class TestEndpoints:
    """Which endpoints a request may go to."""

    def test_leaving_and_excluded_endpoints_get_nothing(self):
        """One leaves by the dispatcher's view, one is excluded by the node."""
        engines = Engines("e1", "e2", "e3")
        leaving = make_endpoint("e1", ["m"], EndpointState.DRAINING)
        engines.list(leaving, *(make_endpoint(name, ["m"]) for name in ("e2", "e3")))
        for _ in range(4):
            engines.ask(make_request(excluded=("e2",)))
        assert {endpoint for _, endpoint in engines.runs} == {"e3"}

    def test_a_node_that_knows_a_new_copy_may_go_there(self):
        """The candidates of the node count, as it may have seen a load first."""
        engines = Engines("e1")
        engines.list(make_endpoint("e1", ["m"]), make_endpoint("e2"))
        engines.ask(make_request(candidates=("e2", "unknown")))
        assert engines.runs[0][1] == "e2"

    def test_no_endpoint_is_known(self):
        """The node chooses for itself."""
        engines = Engines("e1")
        decision = engines.ask(make_request(candidates=("unknown",)))[0]
        assert decision.answer == NotDispatched()

    def test_a_new_dispatcher_counts_what_nodes_have_in_flight(self):
        """Its ledger is empty; after some time it has all runs itself."""
        engines = Engines("e1", "e2")
        engines.in_flight["e1"] = 2.0
        engines.ask(make_request(), make_request())
        assert {endpoint for _, endpoint in engines.runs} == {"e2"}
        request = make_request(leave_left_s=60.0)
        engines.ask(request)
        engines.clock.advance(TAKEOVER_S)
        assert engines.gone(engines.ask()) == [request.ticket]
