"""Tests of draining while the store does not answer."""

import math
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from camphoryard.coordination.cancellation import Cancellation, CancellationCause
from camphoryard.coordination.forwarding.context import (
    ForwardedRequest,
    RequestInProgress,
)
from camphoryard.coordination.forwarding.in_progress import InProgress
from camphoryard.coordination.forwarding.ports import ClientRequest
from camphoryard.entry import daemon
from camphoryard.entry.daemon import (
    ADMISSION_GRACE_FRACTION,
    SHUTDOWN_MARGIN_S,
    drain,
)
from camphoryard.state.ids import EndpointId, RequestId, Version
from camphoryard.state.traffic import Repeatability
from camphoryard.transport.front import AdmissionSwitch
from camphoryard.transport.timer import TimerService
from tests.fakes.engines import SERVICE, make_rule

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
            retry_recorder=Mock(),
            executors=SimpleNamespace(node=executor),
            timer=timer,
            app=SimpleNamespace(
                admission=AdmissionSwitch(),
                context=SimpleNamespace(in_progress=InProgress()),
            ),
            item_locator=Mock(),
        )
        store_answers.set()
        timer.close()


def make_forwarded(id, arrived_s):
    """Return a request that may not be repeated."""
    request = ClientRequest(
        RequestId(id), "POST", "site.example", "/a/b", {}, b"", arrived_s, math.inf
    )
    rule = make_rule(Repeatability.ONCE)
    return ForwardedRequest(request, rule, Version(1), SERVICE, math.inf, math.inf)


def wait_until(until_s):
    """Block until a monotonic time and report that an answer is not sent."""
    time.sleep(max(0.0, until_s - time.monotonic()))
    return False


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

    def test_each_unfinished_request_is_logged(self, entry):
        """The line tells when it was taken, whether it was sent, and what it got."""
        front = Mock(active_channels={})
        front.wait_flushed.return_value = True
        forwarded = make_forwarded("q1", time.monotonic() + 0.3)
        forwarded.sends, forwarded.endpoint = 1, EndpointId("e1")
        tracked = entry.app.context.in_progress.tracked
        reply = SimpleNamespace(status=None, has_begun=False)
        with tracked(RequestInProgress(forwarded, Cancellation(), reply)):
            drain(entry, front)
        (line,) = [
            call.kwargs
            for call in entry.log.call_args_list
            if call.args == ("request_unfinished",)
        ]
        assert 0.2 <= line.pop("taken_s") <= 0.3
        assert line == {
            "request": "q1",
            "route": "r1",
            "repeatability": "once",
            "sends": 1,
            "endpoint": "e1",
            "events": 0,
            "status": 0,
        }

    # Guards against LOST: requests left at the end of the grace got no answer.
    def test_requests_left_are_ended_while_they_can_still_be_answered(self, entry):
        """Streams that have begun get all the time there is."""
        front = Mock(active_channels={})
        front.wait_flushed.side_effect = lambda until_s: wait_until(until_s)
        began_s = time.monotonic()
        waiting, begun = Cancellation(), Cancellation()
        ended_s = {}
        waiting.subscribe(lambda: ended_s.update(waiting=time.monotonic()))
        begun.subscribe(lambda: ended_s.update(begun=time.monotonic()))
        tracked = entry.app.context.in_progress.tracked
        items = [
            RequestInProgress(
                make_forwarded("q1", began_s),
                cancellation,
                SimpleNamespace(status=status, has_begun=status is not None),
            )
            for cancellation, status in ((waiting, None), (begun, 200))
        ]
        with tracked(items[0]), tracked(items[1]):
            drain(entry, front)
        assert waiting.cause is begun.cause is CancellationCause.STOPPING
        end_s = began_s + GRACE_S - SHUTDOWN_MARGIN_S
        assert ended_s["waiting"] < end_s <= ended_s["begun"]
