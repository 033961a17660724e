"""Tests of the account of what engines have in hand."""

from dataclasses import replace
from itertools import count

import pytest

from camphoryard.coordination.dispatch.engine_ledger import LAPSE_S, EngineLedger
from camphoryard.state.dispatch import (
    DispatchRequest,
    FirstEventSeen,
    PromptPart,
    RunEnded,
    Work,
)
from camphoryard.state.ids import AccountId, ModelId, PromptPartId, TicketId
from camphoryard.state.traffic import RequestedModel
from tests.fakes.engines import SERVICE, ZONE, Clock, make_endpoint, make_spec

TOKEN_S, FIXED_S = 1 / 20_000, 0.045
GAP_S = 0.3
ALICE, BOB = AccountId("alice"), AccountId("bob")
ENGINE = replace(make_spec({"m": 50}), slots=32, kv_tokens=78_578)
SHARED = PromptPart(PromptPartId("shared"), 350)


class Service:
    """A ledger whose engines have been read from at a known speed."""

    def __init__(self, *names, rounds=30):
        self.clock = Clock()
        self.ledger = EngineLedger(self.clock)
        self.numbers = count()
        self.endpoints = [
            make_endpoint(name, ["m"], slots=32) for name in names or ["e1"]
        ]
        for _ in range(rounds):
            for endpoint in self.endpoints:
                for tokens in (491, 1110, 3000):
                    self.read_alone(endpoint, tokens)

    def request(self, tokens=1110, parts=(), rank=0, account=ALICE):
        """Return a request with a prompt that no other one shares."""
        ticket = TicketId(str(next(self.numbers)))
        parts = (*parts, PromptPart(PromptPartId(ticket), tokens))
        work = Work(sum(part.tokens for part in parts), 172, parts)
        item = RequestedModel(ModelId("m"))
        limits = (0.5, 15.0, GAP_S)
        return DispatchRequest(
            ticket, SERVICE, item, work, rank, *limits, ZONE, account
        )

    def send(self, endpoint, **fields):
        """Dispatch a request now, and return it."""
        request = self.request(**fields)
        self.ledger.dispatched(endpoint, ENGINE, request)
        return request

    def see(self, endpoint, request, after_s):
        """Record the first event of a request."""
        self.ledger.record(FirstEventSeen(request.ticket, endpoint.id, after_s))

    def end(self, endpoint, request):
        """Record the end of a request."""
        self.ledger.record(RunEnded(request.ticket, endpoint.id))

    def read_alone(self, endpoint, tokens=1110, slowness=1.0):
        """Run a request to its end with nothing beside it."""
        request = self.send(endpoint, tokens=tokens)
        after_s = slowness * (FIXED_S + tokens * TOKEN_S)
        self.clock.advance(after_s)
        self.see(endpoint, request, after_s)
        self.end(endpoint, request)
        self.clock.advance(0.1)

    def stream(self, endpoint):
        """Have a stream run at an endpoint that reads nothing."""
        request = self.send(endpoint, tokens=10)
        self.clock.advance(0.1)
        self.see(endpoint, request, FIXED_S)
        self.clock.advance(0.1)
        return request

    def outlook(self, endpoint, **fields):
        """Return what a further request would meet."""
        return self.ledger.outlook(endpoint, ENGINE, self.request(**fields))


@pytest.fixture
def service():
    """Return a service with one engine."""
    return Service()


@pytest.fixture
def endpoint(service):
    """Return its engine."""
    return service.endpoints[0]


class TestFirstEvent:
    """The expected time to the first event."""

    def test_grows_by_what_waits_and_falls_as_it_is_read(self, service, endpoint):
        """Four prompts at once: the fifth waits for them, less so with time."""
        alone_s = service.outlook(endpoint).first_event_s
        assert alone_s == pytest.approx(FIXED_S + 1110 * TOKEN_S, rel=0.2)
        for _ in range(4):
            service.send(endpoint)
        busy_s = service.outlook(endpoint).first_event_s
        assert busy_s - alone_s == pytest.approx(4 * 1110 * TOKEN_S, rel=0.2)
        service.clock.advance(0.1)
        later_s = service.outlook(endpoint).first_event_s
        assert later_s == pytest.approx(busy_s - 0.1, rel=0.01)

    def test_hot_shared_part_is_read_once(self, service, endpoint):
        """All ask with one shared part: it counts once its first reader was read."""
        service.send(endpoint)
        first = service.send(endpoint, parts=[SHARED])
        assert service.outlook(endpoint, parts=[SHARED]).unread_tokens == 1460
        service.clock.advance(0.3)
        service.see(endpoint, first, 0.2)
        assert service.outlook(endpoint, parts=[SHARED]).unread_tokens == 1110

    def test_part_of_a_prompt_that_is_first_in_line_counts(self, service, endpoint):
        """The engine reads it before any other that shares the part."""
        service.send(endpoint, parts=[SHARED])
        assert service.outlook(endpoint, parts=[SHARED]).unread_tokens == 1110

    def test_engine_that_turns_slow_is_noticed_within_a_second(self):
        """Five first events in a second are four times as late."""
        service = Service("e1", "e2")
        slow, fast = service.endpoints
        for _ in range(5):
            service.read_alone(slow, slowness=4.0)
        slow_s = service.outlook(slow).first_event_s
        assert slow_s > 2.0 * service.outlook(fast).first_event_s

    def test_engine_that_stalls_is_noticed_without_first_events(
        self, service, endpoint
    ):
        """What an engine does not answer counts, until a later one is answered."""
        service.send(endpoint)
        service.clock.advance(0.2)
        assert service.outlook(endpoint).first_event_s < 0.2
        service.clock.advance(0.8)
        assert service.outlook(endpoint).first_event_s >= 1.0
        later = service.send(endpoint)
        service.clock.advance(0.1)
        service.see(endpoint, later, 0.1)
        assert service.outlook(endpoint).first_event_s < 0.2
        service.send(endpoint)
        service.clock.advance(1.0)
        assert service.outlook(endpoint).first_event_s >= 1.0

    def test_waits_that_the_ledger_explains_teach_nothing(self, service, endpoint):
        """Prompts that arrive while another is read make no engine slow."""
        before_s = service.outlook(endpoint).first_event_s
        for _ in range(10):
            requests = [service.send(endpoint) for _ in range(4)]
            service.clock.advance(0.3)
            for request in requests:
                service.see(endpoint, request, FIXED_S + 4 * 1110 * TOKEN_S)
                service.end(endpoint, request)
            service.clock.advance(0.1)
        after_s = service.outlook(endpoint).first_event_s
        assert after_s == pytest.approx(before_s, rel=0.15)

    def test_declined_request_is_not_waited_for(self, service, endpoint):
        """What an engine declines it does not read."""
        before_s = service.outlook(endpoint).first_event_s
        declined = service.send(endpoint)
        behind = service.send(endpoint)
        service.ledger.record(RunEnded(declined.ticket, endpoint.id, was_declined=True))
        service.end(endpoint, behind)
        assert service.outlook(endpoint).first_event_s == pytest.approx(before_s)


class TestPause:
    """The pause that a further prompt makes in running streams."""

    def test_idle_engine_has_no_streams_to_disturb(self, service, endpoint):
        """A prompt of any length may go to an engine that runs nothing."""
        assert service.outlook(endpoint, tokens=8_000).pause_s == 0.0

    def test_long_prompt_disturbs_running_streams(self, service, endpoint):
        """Beside streams a prompt of three pieces makes a late pause, a short none."""
        service.stream(endpoint)
        assert service.outlook(endpoint).pause_s < 0.5 * GAP_S
        assert service.outlook(endpoint, tokens=6_000).pause_s > GAP_S

    def test_prompts_add_up_within_one_event(self, service, endpoint):
        """Six prompts at once are read within one event of the running streams."""
        service.stream(endpoint)
        for _ in range(5):
            service.send(endpoint)
        assert service.outlook(endpoint).pause_s > GAP_S

    def test_prompts_of_successive_events_do_not_add_up(self, service, endpoint):
        """Prompts that arrive a tenth of a second apart disturb one event each."""
        service.stream(endpoint)
        for _ in range(6):
            request = service.send(endpoint)
            service.clock.advance(0.15)
            service.see(endpoint, request, 0.1)
        assert service.outlook(endpoint).pause_s < 0.5 * GAP_S

    def test_room_is_expected_when_the_next_prompt_is_read(self, service, endpoint):
        """The queue looks again when a prompt is read, and an event after the last."""
        assert service.ledger.earliest_change_s(endpoint.id) == 0.0
        for _ in range(3):
            service.send(endpoint)
        change_s = service.ledger.earliest_change_s(endpoint.id)
        assert change_s == pytest.approx(1110 * TOKEN_S, rel=0.2)
        service.clock.advance(3.5 * change_s)
        assert 0.0 < service.ledger.earliest_change_s(endpoint.id) < FIXED_S


class TestPlace:
    """Places in the batch, memory, and whose work takes them."""

    def test_wave_of_batch_fills_the_places(self, service, endpoint):
        """32 requests of one rank at once leave no place, until one ends."""
        wave = [service.send(endpoint, rank=5, account=BOB) for _ in range(32)]
        service.send(endpoint, rank=0)
        assert not service.outlook(endpoint).has_place
        assert service.outlook(endpoint).load > 1.0
        tokens = 1110 + 172
        assert service.ledger.in_hand() == {(5, BOB): 32 * tokens, (0, ALICE): tokens}
        for request in wave:
            service.end(endpoint, request)
        assert service.outlook(endpoint).has_place
        assert service.ledger.in_hand() == {(0, ALICE): tokens}

    def test_memory_is_not_filled_beyond_its_tokens(self, service, endpoint):
        """Long prompts fill the memory before the places."""
        for _ in range(7):
            service.send(endpoint, tokens=10_000)
        assert service.outlook(endpoint, tokens=7_000).has_place
        assert not service.outlook(endpoint, tokens=8_000).has_place

    def test_runs_that_nobody_ends_lapse(self, service, endpoint):
        """A node that dies leaves nothing behind."""
        for _ in range(32):
            service.send(endpoint)
        service.clock.advance(LAPSE_S + 32.0)
        assert service.outlook(endpoint).has_place
        assert service.ledger.in_hand() == {}

    def test_dispatching_again_replaces_a_run(self, service, endpoint):
        """A request is in hand once."""
        request = service.send(endpoint)
        service.ledger.dispatched(endpoint, ENGINE, request)
        assert sum(service.ledger.in_hand().values()) == 1110 + 172

    def test_progress_of_unknown_runs_is_ignored(self, service, endpoint):
        """Notes of runs that lapsed or were dispatched by another node."""
        stranger = service.request()
        service.see(endpoint, stranger, 0.1)
        service.end(endpoint, stranger)
        assert service.ledger.in_hand() == {}


class TestRetain:
    """Endpoints that are gone or have restarted."""

    def test_restarted_engine_has_nothing_in_hand(self, service, endpoint):
        """An engine restarts empty, keeps no prompts, and may be as fast as any."""
        service.send(endpoint, parts=[SHARED])
        restarted = replace(endpoint, started_ms=2)
        service.ledger.retain([restarted])
        assert service.ledger.in_hand() == {}
        assert service.outlook(restarted, parts=[SHARED]).unread_tokens == 1460

    def test_outlook_of_a_restarted_engine_forgets_by_itself(self, service, endpoint):
        """The directory may show a restart before ``retain`` is called."""
        service.send(endpoint)
        assert service.outlook(replace(endpoint, started_ms=2)).load == 0.0
        assert service.ledger.in_hand() == {}

    def test_unloaded_model_keeps_no_prompts(self, service, endpoint):
        """Unloading a model drops what was kept of its prompts."""
        service.send(endpoint, parts=[SHARED])
        service.ledger.retain([replace(endpoint, loaded_by_model={})])
        assert service.outlook(endpoint, parts=[SHARED]).unread_tokens == 1460
