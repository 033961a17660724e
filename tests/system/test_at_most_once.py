"""Tests that an action runs at most once, over real processes.

The history checker compares what callers received with the executions that the
service logged.
"""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from itertools import count
from types import SimpleNamespace

import pytest

from camphoryard.coordination.actions.claiming import claim_key
from camphoryard.state.verdict import Verdict
from standins.fleet import Fleet
from standins.history import check_actions, service_runs
from standins.recording import Action, send_action
from standins.site import SiteSpec, start_site

NUMBERS = count(1)
SERVICE = "bookings"
MAX_CONCURRENT_SENDS = 8


class RecordingCaller:
    """A caller that records all actions it sends to a site."""

    def __init__(self, site):
        self.site = site
        self.recorded = []
        self.started = set()
        self.executor = ThreadPoolExecutor(MAX_CONCURRENT_SENDS)

    def action(self, **fields):
        """Return a new action with a unique body and key."""
        number = next(NUMBERS)
        return Action(f"key-{number}", f'{{"space": {number}}}', **fields)

    def send(self, node, action):
        """Send through a node; record and return the result."""
        recorded = send_action(self.site.fleet.port(node), action)
        self.recorded.append(recorded)
        return recorded

    def start(self, node, action):
        """Send in the background; return a future of the result."""
        self.started.add(action.body)
        return self.executor.submit(self.send, node, action)

    def executions(self):
        """Return the logged executions of the actions that this caller sent."""
        bodies = {item.send.body for item in self.recorded} | self.started
        executions = service_runs(self.site.control("bookings-1"))
        return [item for item in executions if item.subject in bodies]

    def wait_for_execution(self):
        """Block until the service has executed an action of this caller."""
        self.site.fleet.wait_until(self.executions, "an execution")

    def wait_for_withheld_claim(self, action):
        """Block until the answer to the write of this action's claim is withheld.

        Answers about claims of earlier tests may be withheld as well.
        """
        claimed = SimpleNamespace(caller=action.caller, service=SERVICE, key=action.key)
        write = f"PUT claims/{claim_key(claimed)}"
        self.site.fleet.wait_until(
            lambda: write in self.site.control("object-api")["held"],
            "a withheld answer",
        )

    def kill(self, node):
        """Kill a node."""
        self.site.fleet.process_by_name[node].kill()

    def restart(self, node):
        """Restart a killed node."""
        self.site.fleet.restart(node)
        self.site.fleet.wait_ready([node], "/readyz")
        self.site.wait_in_force(1)

    def violations(self):
        """Return the contradictions between recorded answers and logged executions."""
        return check_actions([item.send for item in self.recorded], self.executions())


@pytest.fixture(scope="module")
def site():
    """Return a site that the tests of this module share."""
    with Fleet() as fleet:
        yield start_site(fleet, SiteSpec(nodes=3, fence_ignoring_engines=0))


@pytest.fixture
def caller(site):
    """Return a caller and check its history after the test."""
    caller = RecordingCaller(site)
    yield caller
    site.control("object-api", outage=False, lose_answers=0, hold_prefix="")
    site.control("bookings-1", lose_answers=0, hold=False, status=200, answer_bytes=0)
    caller.executor.shutdown()
    assert caller.violations() == ()


class TestResend:
    """Resends of an action with its idempotency key."""

    def test_resend_via_another_node_returns_the_recorded_answer(self, caller):
        """Status and body are those of the first answer, marked as replayed."""
        action = caller.action()
        first = caller.send("node-1", action)
        again = caller.send("node-2", action)
        assert (again.send.status, again.text) == (first.send.status, first.text)
        assert (first.replayed, again.replayed) == (False, True)

    def test_concurrent_resend_waits_for_the_answer(self, caller):
        """Concurrent sends through two nodes get the same answer."""
        action = caller.action()
        caller.site.control("bookings-1", hold=True)
        first = caller.start("node-1", action)
        caller.wait_for_execution()
        again = caller.start("node-2", action)
        caller.site.control("bookings-1", hold=False)
        assert again.result().text == first.result().text
        assert again.result().replayed

    def test_key_reused_for_another_action_is_refused(self, caller):
        """The same key with another body is not run."""
        first = caller.action()
        other = replace(caller.action(), key=first.key)
        assert caller.send("node-1", first).send.verdict is Verdict.RAN
        refused = caller.send("node-2", other).send
        assert (refused.status, refused.verdict) == (422, Verdict.NOT_RUN)

    def test_keys_are_scoped_by_caller(self, caller):
        """Two callers can use the same key for different actions."""
        first = caller.action()
        other = replace(caller.action(), key=first.key, caller="meter-app")
        assert caller.send("node-1", first).send.verdict is Verdict.RAN
        assert caller.send("node-2", other).send.verdict is Verdict.RAN

    def test_answer_survives_restart_of_all_nodes(self, caller):
        """A resend gets the recorded answer after all nodes were restarted."""
        action = caller.action()
        first = caller.send("node-1", action)
        for node in caller.site.nodes:
            caller.kill(node)
        for node in caller.site.nodes:
            caller.restart(node)
        again = caller.send("node-2", action)
        assert (again.text, again.replayed) == (first.text, True)

    def test_server_error_is_recorded(self, caller):
        """An action that failed at the service is not executed again."""
        action = caller.action()
        caller.site.control("bookings-1", status=500)
        first = caller.send("node-1", action)
        again = caller.send("node-2", action)
        assert (first.send.verdict, first.send.status) == (Verdict.MAY_HAVE_RUN, 500)
        assert (again.text, again.replayed) == (first.text, True)

    def test_too_large_answer_is_not_stored(self, caller):
        """A resend gets the verdict that the action ran, without its answer."""
        action = caller.action()
        caller.site.control("bookings-1", answer_bytes=300_000)
        first = caller.send("node-1", action)
        again = caller.send("node-2", action)
        assert (first.send.verdict, first.send.status) == (Verdict.RAN, 200)
        assert (again.send.verdict, again.send.status) == (Verdict.RAN, 410)


class TestService:
    """Faults of the service."""

    def test_action_with_broken_answer_is_not_retried(self, caller):
        """The connection broke after execution: each send gets "may have run"."""
        action = caller.action()
        caller.site.control("bookings-1", lose_answers=1)
        first = caller.send("node-1", action).send
        again = caller.send("node-2", action).send
        assert (first.status, again.status) == (502, 409)
        assert {first.verdict, again.verdict} == {Verdict.MAY_HAVE_RUN}


class TestObjectApi:
    """Faults of the object API."""

    def test_claim_with_lost_answer_is_resolved(self, caller):
        """The claim was written but its answer was lost: the action runs once."""
        action = caller.action()
        caller.site.control("object-api", lose_answers=1, lose_prefix="claims/")
        assert caller.send("node-1", action).send.verdict is Verdict.RAN
        assert caller.send("node-2", action).replayed

    def test_outage_is_refused_as_not_run(self, caller):
        """Nothing is dispatched, and a resend after the outage runs."""
        action = caller.action()
        caller.site.control("object-api", outage=True)
        refused = caller.send("node-1", action).send
        assert (refused.status, refused.verdict) == (503, Verdict.NOT_RUN)
        assert caller.executions() == []
        caller.site.control("object-api", outage=False)
        assert caller.send("node-2", action).send.verdict is Verdict.RAN

    def test_claim_with_unknown_outcome_is_released(self, caller):
        """A claim written after its request was refused does not block the key."""
        action = caller.action()
        caller.site.control("object-api", hold_prefix="claims/")
        refused = caller.send("node-1", action).send
        assert (refused.status, refused.verdict) == (503, Verdict.NOT_RUN)
        caller.site.control("object-api", hold_prefix="")
        assert caller.send("node-2", action).send.verdict is Verdict.RAN

    def test_outcome_is_recorded_after_an_outage(self, caller):
        """The caller gets the answer at once, a resend gets it after the outage."""
        action = caller.action()
        caller.site.control("bookings-1", hold=True)
        first = caller.start("node-1", action)
        caller.wait_for_execution()
        caller.site.control("object-api", outage=True)
        caller.site.control("bookings-1", hold=False)
        assert first.result().send.verdict is Verdict.RAN
        caller.site.control("object-api", outage=False)
        assert caller.send("node-2", action).replayed


class TestNode:
    """Nodes that are killed or paused."""

    def test_kill_between_claim_and_dispatch(self, caller):
        """The claim stays, nothing ran, and no other node runs the action."""
        action = caller.action()
        caller.site.control("object-api", hold_prefix="claims/")
        first = caller.start("node-1", action)
        caller.wait_for_withheld_claim(action)
        caller.kill("node-1")
        caller.site.control("object-api", hold_prefix="")
        again = caller.send("node-2", action).send
        caller.restart("node-1")
        assert first.result().send.verdict is None
        assert (again.status, again.verdict) == (409, Verdict.MAY_HAVE_RUN)
        assert caller.executions() == []

    def test_kill_between_dispatch_and_answer(self, caller):
        """The action is not run again, before or after the node restarts."""
        action = caller.action()
        caller.site.control("bookings-1", hold=True)
        caller.start("node-1", action)
        caller.wait_for_execution()
        caller.kill("node-1")
        caller.site.control("bookings-1", hold=False)
        again = caller.send("node-2", action).send
        caller.restart("node-1")
        last = caller.send("node-1", action).send
        assert {again.verdict, last.verdict} == {Verdict.MAY_HAVE_RUN}

    def test_kill_before_the_outcome_is_recorded(self, caller):
        """The caller has its answer; a resend gets "may have run"."""
        action = caller.action()
        caller.site.control("bookings-1", hold=True)
        first = caller.start("node-1", action)
        caller.wait_for_execution()
        caller.site.control("object-api", outage=True)
        caller.site.control("bookings-1", hold=False)
        assert first.result().send.verdict is Verdict.RAN
        caller.kill("node-1")
        caller.site.control("object-api", outage=False)
        again = caller.send("node-2", action).send
        caller.restart("node-1")
        assert (again.status, again.verdict) == (409, Verdict.MAY_HAVE_RUN)

    def test_paused_claimant_alone_runs_the_action(self, caller):
        """A resend does not run the action, which the paused node runs on resuming."""
        action = caller.action()
        caller.site.control("object-api", hold_prefix="claims/")
        first = caller.start("node-1", action)
        caller.wait_for_withheld_claim(action)
        node = caller.site.fleet.process_by_name["node-1"]
        node.pause()
        caller.site.control("object-api", hold_prefix="")
        again = caller.send("node-2", action).send
        node.resume()
        assert (again.status, again.verdict) == (409, Verdict.MAY_HAVE_RUN)
        assert first.result().send.verdict is Verdict.RAN
        assert caller.send("node-2", action).replayed
