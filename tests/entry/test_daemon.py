"""Tests of stopping; the pattern is a stop while the store does not answer."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from camphoryard.entry import daemon
from camphoryard.entry.daemon import ADMIT_SHARE, drain
from camphoryard.transport.front import AdmissionSwitch
from camphoryard.transport.timer import TimerService

GRACE_S = 2.0


@pytest.fixture
def store_answers():
    """Return an event for which calls of the store wait."""
    event = threading.Event()
    yield event
    event.set()


@pytest.fixture
def entry(store_answers, monkeypatch):
    """Return the parts of a daemon that stopping works with."""
    monkeypatch.setattr(daemon, "close", Mock())
    timer = TimerService()
    with ThreadPoolExecutor() as executor:
        yield SimpleNamespace(
            settings=SimpleNamespace(bounds=SimpleNamespace(grace_s=GRACE_S)),
            log=Mock(),
            readiness=Mock(),
            duty=Mock(resign=store_answers.wait),
            presence=Mock(),
            executors=SimpleNamespace(node=executor),
            timer=timer,
            app=SimpleNamespace(admission=AdmissionSwitch()),
            seeker=Mock(),
        )
        store_answers.set()
        timer.close()


class TestDrain:
    """A stop by plan."""

    def test_the_intake_closes_in_time_though_the_store_is_silent(self, entry):
        """Requests taken later could not be finished within the grace time."""
        front = Mock(active_channels={})
        front.wait_flushed.return_value = True
        began_s = time.monotonic()
        drain(entry, front)
        assert not entry.app.admission.is_open
        assert time.monotonic() - began_s < GRACE_S * ADMIT_SHARE + 1.0

    def test_the_duty_is_given_up_once_the_store_answers(self, entry, store_answers):
        """Its next holder need not wait for the lease to end."""
        front = Mock(active_channels={})
        front.wait_flushed.return_value = True
        drain(entry, front)
        assert not entry.presence.leave.called
        store_answers.set()
        entry.executors.node.shutdown(wait=True)
        assert entry.presence.leave.called
