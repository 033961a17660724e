"""Tests of the account of what engines have in hand."""

from dataclasses import replace

import pytest

from camphoryard.coordination.dispatch.engine_ledger import LAPSE_S
from tests.fakes.dispatch import (
    ALICE,
    BOB,
    ENGINE,
    FIXED_S,
    OUTPUT_TOKENS,
    OWN_TOKENS,
    SHARED,
    TOKEN_S,
    DispatchedService,
)

TOKENS = OWN_TOKENS + OUTPUT_TOKENS


@pytest.fixture
def service():
    """Return a service with one engine."""
    return DispatchedService()


class TestOutlook:
    """What a request would meet, as first events teach it."""

    def test_hot_shared_part_is_read_once(self, service):
        """All ask with one shared part: it counts once its first reader was read."""
        service.send()
        first = service.send(parts=[SHARED])
        assert service.outlook(parts=[SHARED]).unread_tokens == 1460
        service.clock.advance(0.3)
        service.see(first, 0.2)
        assert service.outlook(parts=[SHARED]).unread_tokens == 1110

    def test_part_of_a_prompt_that_is_first_in_line_counts(self, service):
        """The engine reads it before any other that shares the part."""
        service.send(parts=[SHARED])
        assert service.outlook(parts=[SHARED]).unread_tokens == 1110

    def test_engine_that_turns_slow_is_noticed_within_a_second(self):
        """Five first events in a second are four times as late."""
        service = DispatchedService("e1", "e2")
        slow, fast = service.endpoints
        for _ in range(5):
            service.read_alone(slow, slowness=4.0)
        slow_s = service.outlook(slow).first_event_s
        assert slow_s > 2.0 * service.outlook(fast).first_event_s

    def test_waits_that_the_ledger_explains_teach_nothing(self, service):
        """Prompts that arrive while another is read make no engine slow."""
        before_s = service.outlook().first_event_s
        for _ in range(10):
            requests = [service.send() for _ in range(4)]
            service.clock.advance(0.3)
            for request in requests:
                service.see(request, FIXED_S + 4 * OWN_TOKENS * TOKEN_S)
                service.end(request)
            service.clock.advance(0.1)
        after_s = service.outlook().first_event_s
        assert after_s == pytest.approx(before_s, rel=0.15)

    def test_memory_is_not_filled_beyond_its_tokens(self, service):
        """Long prompts fill the memory before the places."""
        for _ in range(7):
            service.send(tokens=10_000)
        assert service.outlook(tokens=7_000).has_place
        assert not service.outlook(tokens=8_000).has_place


class TestInHand:
    """Whose work takes the places, and how it ends."""

    def test_wave_of_batch_fills_the_places(self, service):
        """32 requests of one rank at once leave no place, until they end."""
        wave = [service.send(rank=5, account=BOB) for _ in range(32)]
        service.send()
        assert not service.outlook().has_place
        assert service.outlook().load > 1.0
        assert service.ledger.in_hand() == {(5, BOB): 32 * TOKENS, (0, ALICE): TOKENS}
        for request in wave:
            service.end(request)
        assert service.outlook().has_place
        assert service.ledger.in_hand() == {(0, ALICE): TOKENS}

    def test_runs_that_nobody_ends_lapse(self, service):
        """A node that dies leaves nothing behind."""
        for _ in range(32):
            service.send()
        service.clock.advance(LAPSE_S + 32.0)
        assert service.outlook().has_place
        assert service.ledger.in_hand() == {}

    def test_request_is_in_hand_once(self, service):
        """One dispatched again replaces its run; unknown runs are ignored."""
        request = service.send()
        service.ledger.dispatched(service.endpoints[0], ENGINE, request)
        service.see(service.request(), 0.1)
        service.end(service.request())
        assert service.ledger.in_hand() == {(0, ALICE): TOKENS}


class TestRetain:
    """Endpoints that have restarted or unloaded."""

    @pytest.mark.parametrize("is_told", [True, False])
    def test_restarted_engine_has_nothing_in_hand(self, service, is_told):
        """It restarts empty; an outlook may see that before ``retain`` is called."""
        service.send(parts=[SHARED])
        restarted = replace(service.endpoints[0], started_ms=2)
        if is_told:
            service.ledger.retain([restarted])
            assert service.ledger.in_hand() == {}
        outlook = service.outlook(restarted, parts=[SHARED])
        assert (outlook.unread_tokens, outlook.load) == (1460, 0.0)
        assert service.ledger.in_hand() == {}

    def test_unloaded_model_keeps_no_prompts(self, service):
        """Unloading a model drops what was kept of its prompts."""
        service.send(parts=[SHARED])
        service.ledger.retain([replace(service.endpoints[0], loaded_by_model={})])
        assert service.outlook(parts=[SHARED]).unread_tokens == 1460
