"""Tests that an action runs at most once, over real processes.

The plain service's own log of executions is the judge, by the history checker.
"""

import signal
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from itertools import count

import pytest

from camphoryard.state.verdict import Verdict
from standins.fleet import Fleet
from standins.history import check_actions, service_runs
from standins.recording import Action, send_action
from standins.site import SiteSpec, start_site

NUMBERS = count(1)
SENDERS = 8


class Desk:
    """A caller that remembers all it sent, at one site."""

    def __init__(self, site):
        self.site = site
        self.recorded = []
        self.started = set()
        self.executor = ThreadPoolExecutor(SENDERS)

    def action(self, **fields):
        """Return a new action with a body and a key of its own."""
        number = next(NUMBERS)
        return Action(f"key-{number}", f'{{"space": {number}}}', **fields)

    def send(self, node, action):
        """Send through a node, keep the record and return it."""
        recorded = send_action(self.site.fleet.port(node), action)
        self.recorded.append(recorded)
        return recorded

    def start(self, node, action):
        """Send in the background; return a future of the record."""
        self.started.add(action.body)
        return self.executor.submit(self.send, node, action)

    def runs(self):
        """Return the logged executions of the actions that this caller sent."""
        bodies = {item.send.body for item in self.recorded} | self.started
        runs = service_runs(self.site.control("bookings-1"))
        return [item for item in runs if item.subject in bodies]

    def wait_for_run(self):
        """Block until the service has executed an action of this caller."""
        self.site.fleet.wait_until(self.runs, "a run")

    def wait_for_held(self, before):
        """Block until the object API withholds one more answer."""
        self.site.fleet.wait_until(lambda: self.held() > before, "a held answer")

    def held(self):
        """Return how many answers the object API has withheld so far."""
        return self.site.control("object-api")["counts"]["held"]

    def kill(self, node):
        """Kill a node."""
        self.site.fleet.process_by_name[node].kill()

    def restart(self, node):
        """Start a killed node again, with empty memory."""
        self.site.fleet.restart(node)
        self.site.fleet.wait_ready([node], "/readyz")
        self.site.wait_in_force(1)

    def violations(self):
        """Return what the logs contradict of all that was recorded."""
        return check_actions([item.send for item in self.recorded], self.runs())


@pytest.fixture(scope="module")
def site():
    """Return one site for all tests of this module."""
    with Fleet() as fleet:
        yield start_site(fleet, SiteSpec(nodes=3, fence_ignoring_engines=0))


@pytest.fixture
def desk(site):
    """Return a caller; its whole history must be free of violations."""
    desk = Desk(site)
    yield desk
    site.control("object-api", outage=False, lose_answers=0, hold_prefix="")
    site.control("bookings-1", lose_answers=0, hold=False, status=200, answer_bytes=0)
    desk.executor.shutdown()
    assert desk.violations() == ()


class TestResend:
    """Sending an action again."""

    def test_resend_elsewhere_gets_the_recorded_answer(self, desk):
        """Status and body are the first ones, marked as replayed."""
        action = desk.action()
        first = desk.send("node-1", action)
        again = desk.send("node-2", action)
        assert (again.send.status, again.text) == (first.send.status, first.text)
        assert (first.replayed, again.replayed) == (False, True)

    def test_concurrent_resend_waits_for_the_answer(self, desk):
        """Two sends at once through two nodes get the one answer."""
        action = desk.action()
        desk.site.control("bookings-1", hold=True)
        first = desk.start("node-1", action)
        desk.wait_for_run()
        again = desk.start("node-2", action)
        desk.site.control("bookings-1", hold=False)
        assert again.result().text == first.result().text
        assert again.result().replayed

    def test_key_of_another_action_is_refused(self, desk):
        """The same key with another body is not run."""
        first = desk.action()
        other = replace(desk.action(), key=first.key)
        assert desk.send("node-1", first).send.verdict is Verdict.RAN
        refused = desk.send("node-2", other).send
        assert (refused.status, refused.verdict) == (422, Verdict.NOT_RUN)

    def test_keys_are_scoped_by_caller(self, desk):
        """Another caller's same key is another action."""
        first = desk.action()
        other = replace(desk.action(), key=first.key, caller="meter-app")
        assert desk.send("node-1", first).send.verdict is Verdict.RAN
        assert desk.send("node-2", other).send.verdict is Verdict.RAN

    def test_answer_outlives_every_node(self, desk):
        """After all nodes were replaced a resend still gets the answer."""
        action = desk.action()
        first = desk.send("node-1", action)
        for node in desk.site.nodes:
            desk.kill(node)
        for node in desk.site.nodes:
            desk.restart(node)
        again = desk.send("node-2", action)
        assert (again.text, again.replayed) == (first.text, True)

    def test_server_error_is_recorded(self, desk):
        """An action that failed at the service is not sent again."""
        action = desk.action()
        desk.site.control("bookings-1", status=500)
        first = desk.send("node-1", action)
        again = desk.send("node-2", action)
        assert (first.send.verdict, first.send.status) == (Verdict.MAY_HAVE_RUN, 500)
        assert (again.text, again.replayed) == (first.text, True)

    def test_large_answer_is_not_kept(self, desk):
        """A resend is told that the action ran though its answer was not kept."""
        action = desk.action()
        desk.site.control("bookings-1", answer_bytes=300_000)
        first = desk.send("node-1", action)
        again = desk.send("node-2", action)
        assert (first.send.verdict, first.send.status) == (Verdict.RAN, 200)
        assert (again.send.verdict, again.send.status) == (Verdict.RAN, 410)


class TestService:
    """Faults of the service."""

    def test_broken_answer_is_never_sent_again(self, desk):
        """The connection broke after the run: every send says "may have run"."""
        action = desk.action()
        desk.site.control("bookings-1", lose_answers=1)
        first = desk.send("node-1", action).send
        again = desk.send("node-2", action).send
        assert (first.status, again.status) == (502, 409)
        assert {first.verdict, again.verdict} == {Verdict.MAY_HAVE_RUN}


class TestObjectApi:
    """Faults of the object API."""

    def test_lost_answer_of_the_claim_is_resolved(self, desk):
        """The claim took effect and its answer was lost: the action runs once."""
        action = desk.action()
        desk.site.control("object-api", lose_answers=1, lose_prefix="claims/")
        assert desk.send("node-1", action).send.verdict is Verdict.RAN
        assert desk.send("node-2", action).replayed

    def test_outage_is_refused_as_not_run(self, desk):
        """Nothing is dispatched, and a resend after the outage runs."""
        action = desk.action()
        desk.site.control("object-api", outage=True)
        refused = desk.send("node-1", action).send
        assert (refused.status, refused.verdict) == (503, Verdict.NOT_RUN)
        assert desk.runs() == []
        desk.site.control("object-api", outage=False)
        assert desk.send("node-2", action).send.verdict is Verdict.RAN

    def test_claim_of_unknown_fate_is_released(self, desk):
        """A refused claim that took effect all the same does not bar the key."""
        action = desk.action()
        desk.site.control("object-api", hold_prefix="claims/")
        refused = desk.send("node-1", action).send
        assert (refused.status, refused.verdict) == (503, Verdict.NOT_RUN)
        desk.site.control("object-api", hold_prefix="")
        assert desk.send("node-2", action).send.verdict is Verdict.RAN

    def test_outcome_is_recorded_after_an_outage(self, desk):
        """The caller gets the answer at once, a resend gets it later."""
        action = desk.action()
        desk.site.control("bookings-1", hold=True)
        first = desk.start("node-1", action)
        desk.wait_for_run()
        desk.site.control("object-api", outage=True)
        desk.site.control("bookings-1", hold=False)
        assert first.result().send.verdict is Verdict.RAN
        desk.site.control("object-api", outage=False)
        assert desk.send("node-2", action).replayed


class TestNode:
    """Nodes that are killed or frozen."""

    def test_kill_between_claim_and_dispatch(self, desk):
        """The claim stays, nothing ran, and nobody dares to run it."""
        action = desk.action()
        before = desk.held()
        desk.site.control("object-api", hold_prefix="claims/")
        first = desk.start("node-1", action)
        desk.wait_for_held(before)
        desk.kill("node-1")
        desk.site.control("object-api", hold_prefix="")
        again = desk.send("node-2", action).send
        desk.restart("node-1")
        assert first.result().send.verdict is None
        assert (again.status, again.verdict) == (409, Verdict.MAY_HAVE_RUN)
        assert desk.runs() == []

    def test_kill_between_dispatch_and_answer(self, desk):
        """The action is not run again, before or after the node is back."""
        action = desk.action()
        desk.site.control("bookings-1", hold=True)
        desk.start("node-1", action)
        desk.wait_for_run()
        desk.kill("node-1")
        desk.site.control("bookings-1", hold=False)
        again = desk.send("node-2", action).send
        desk.restart("node-1")
        last = desk.send("node-1", action).send
        assert {again.verdict, last.verdict} == {Verdict.MAY_HAVE_RUN}

    def test_kill_before_the_outcome_is_recorded(self, desk):
        """The caller has its answer; a resend hears "may have run"."""
        action = desk.action()
        desk.site.control("bookings-1", hold=True)
        first = desk.start("node-1", action)
        desk.wait_for_run()
        desk.site.control("object-api", outage=True)
        desk.site.control("bookings-1", hold=False)
        assert first.result().send.verdict is Verdict.RAN
        desk.kill("node-1")
        desk.site.control("object-api", outage=False)
        again = desk.send("node-2", action).send
        desk.restart("node-1")
        assert (again.status, again.verdict) == (409, Verdict.MAY_HAVE_RUN)

    def test_frozen_claimant_runs_it_alone(self, desk):
        """A resend elsewhere does not run what the frozen node runs when it wakes."""
        action = desk.action()
        before = desk.held()
        desk.site.control("object-api", hold_prefix="claims/")
        first = desk.start("node-1", action)
        desk.wait_for_held(before)
        node = desk.site.fleet.process_by_name["node-1"]
        node.signal(signal.SIGSTOP)
        desk.site.control("object-api", hold_prefix="")
        again = desk.send("node-2", action).send
        node.signal(signal.SIGCONT)
        assert (again.status, again.verdict) == (409, Verdict.MAY_HAVE_RUN)
        assert first.result().send.verdict is Verdict.RAN
        assert desk.send("node-2", action).replayed
