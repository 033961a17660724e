"""Tests of what one engine has in hand: its line, pauses and stalls."""

import pytest

from tests.fakes.dispatch import (
    FIXED_S,
    GAP_S,
    OWN_TOKENS,
    TOKEN_S,
    DispatchedService,
)


@pytest.fixture
def service():
    """Return a service with one engine."""
    return DispatchedService()


class TestLine:
    """The expected time to the first event."""

    def test_grows_by_what_waits_and_falls_as_it_is_read(self, service):
        """Four prompts at once: the fifth waits for them, less so with time."""
        alone_s = service.outlook().first_event_s
        assert alone_s == pytest.approx(FIXED_S + OWN_TOKENS * TOKEN_S, rel=0.2)
        for _ in range(4):
            service.send()
        busy_s = service.outlook().first_event_s
        assert busy_s - alone_s == pytest.approx(4 * OWN_TOKENS * TOKEN_S, rel=0.2)
        service.clock.advance(0.1)
        later_s = service.outlook().first_event_s
        assert later_s == pytest.approx(busy_s - 0.1, rel=0.01)

    def test_declined_request_is_not_waited_for(self, service):
        """What an engine declines it does not read."""
        before_s = service.outlook().first_event_s
        declined, behind = service.send(), service.send()
        service.end(declined, was_declined=True)
        service.end(behind)
        assert service.outlook().first_event_s == pytest.approx(before_s)

    def test_room_is_expected_when_the_next_prompt_is_read(self, service):
        """The queue looks again when a prompt is read, and an event after the last."""
        first_endpoint = service.endpoints[0].id
        assert service.ledger.earliest_change_s(first_endpoint) == 0.0
        for _ in range(3):
            service.send()
        change_s = service.ledger.earliest_change_s(first_endpoint)
        assert change_s == pytest.approx(OWN_TOKENS * TOKEN_S, rel=0.2)
        service.clock.advance(3.5 * change_s)
        assert 0.0 < service.ledger.earliest_change_s(first_endpoint) < FIXED_S

    def test_engine_that_stalls_is_noticed_without_first_events(self, service):
        """What an engine does not answer counts, until a later one is answered."""
        service.send()
        service.clock.advance(0.2)
        assert service.outlook().first_event_s < 0.2
        service.clock.advance(0.8)
        assert service.outlook().first_event_s >= 1.0
        later = service.send()
        service.clock.advance(0.1)
        service.see(later, 0.1)
        assert service.outlook().first_event_s < 0.2
        service.send()
        service.clock.advance(1.0)
        assert service.outlook().first_event_s >= 1.0


class TestReadingInEvent:
    """The pause that a further prompt makes in running streams."""

    def test_idle_engine_has_no_streams_to_disturb(self, service):
        """A prompt of any length may go to an engine that runs nothing."""
        assert service.outlook(tokens=8_000).pause_s == 0.0

    def test_long_prompt_disturbs_running_streams(self, service):
        """Beside streams a prompt of three pieces makes a late pause, a short none."""
        service.stream()
        assert service.outlook().pause_s < 0.5 * GAP_S
        assert service.outlook(tokens=6_000).pause_s > GAP_S

    def test_prompts_add_up_within_one_event(self, service):
        """Six prompts at once are read within one event of the running streams."""
        service.stream()
        for _ in range(5):
            service.send()
        assert service.outlook().pause_s > GAP_S

    def test_prompts_of_successive_events_do_not_add_up(self, service):
        """Prompts that arrive apart disturb one event each."""
        service.stream()
        for _ in range(6):
            request = service.send()
            service.clock.advance(0.15)
            service.see(request, 0.1)
        assert service.outlook().pause_s < 0.5 * GAP_S
