"""Tests of draining while the store does not answer."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from camphoryard.entry import daemon
from camphoryard.entry.daemon import ADMISSION_GRACE_FRACTION, drain
from camphoryard.transport.front import AdmissionSwitch
from camphoryard.transport.timer import TimerService

GRACE_S = 2.0


@pytest.fixture
def store_answers():
    """Return an event that store calls block on."""
    event = threading.Event()
    yield event
    event.set()


@pytest.fixture
def entry(store_answers, monkeypatch):
    """Return the components of a daemon that draining uses."""
    monkeypatch.setattr(daemon, "close", Mock())
    timer = TimerService()
    with ThreadPoolExecutor() as executor:
        yield SimpleNamespace(
            settings=SimpleNamespace(bounds=SimpleNamespace(grace_s=GRACE_S)),
            log=Mock(),
            readiness=Mock(),
            leader_lease=Mock(resign=store_answers.wait),
            registration=Mock(),
            executors=SimpleNamespace(node=executor),
            timer=timer,
            app=SimpleNamespace(admission=AdmissionSwitch()),
            item_locator=Mock(),
        )
        store_answers.set()
        timer.close()


class TestDrain:
    """Graceful shutdown."""

    def test_intake_closes_on_time_while_store_is_unresponsive(self, entry):
        """Requests accepted later could not finish within the grace period."""
        front = Mock(active_channels={})
        front.wait_flushed.return_value = True
        began_s = time.monotonic()
        drain(entry, front)
        assert not entry.app.admission.is_open
        assert time.monotonic() - began_s < GRACE_S * ADMISSION_GRACE_FRACTION + 1.0

    def test_leadership_is_resigned_once_the_store_answers(self, entry, store_answers):
        """The next leader need not wait for the lease to expire."""
        front = Mock(active_channels={})
        front.wait_flushed.return_value = True
        drain(entry, front)
        assert not entry.registration.leave.called
        store_answers.set()
        entry.executors.node.shutdown(wait=True)
        assert entry.registration.leave.called

    def test_requests_accepted_last_are_answered(self, entry):
        """The server accepts no more and sends what is left before the daemon ends."""
        front = Mock(active_channels={})
        front.wait_flushed.return_value = True
        daemon.close.side_effect = lambda _: front.closed()
        drain(entry, front)
        calls = [call[0] for call in front.method_calls]
        assert calls[-3:] == ["stop_accepting", "wait_flushed", "closed"]
