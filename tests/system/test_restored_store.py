"""Tests of an object API that is restored from an older copy, over real processes."""

import time

import pytest

from camphoryard.state.verdict import Verdict
from standins.fleet import CALLER_TOKEN, Fleet, HttpError, request
from standins.history import check_actions, service_runs
from standins.recording import Action, send_action
from standins.site import SiteSpec, start_site

AWAY_S = 0.5
TIMEOUT_S = 60.0


class RestoredSite:
    """A site whose object API loses all that was written since ``take_copy``."""

    def __init__(self, site):
        self.site = site
        self.copied_s = time.monotonic()
        self.sends = []

    def take_copy(self):
        """Return to the present state at the next restore."""
        self.copied_s = time.monotonic()

    def restore(self):
        """Take the object API away, and bring it back as it was at the copy."""
        self.site.control(
            "object-api",
            restore_s=time.monotonic() - self.copied_s,
            away_s=AWAY_S,
        )

    def send(self, node, action):
        """Send an action through a node and return what its caller receives."""
        recorded = send_action(self.site.fleet.port(node), action)
        self.sends.append(recorded.send)
        return recorded

    def violations(self):
        """Return the contradictions between answers and executions."""
        bodies = {send.body for send in self.sends}
        executions = [
            item
            for item in service_runs(self.site.control("bookings-1"))
            if item.subject in bodies
        ]
        return check_actions(self.sends, executions)


@pytest.fixture
def restored():
    """Return a site whose object API can be restored."""
    with Fleet() as fleet:
        yield RestoredSite(start_site(fleet, SiteSpec(nodes=3)))


# Guards against CONFIG, LOST and actions that run twice after a restore of the store.
class TestRestoredStore:
    """What was acknowledged before a restore holds after it."""

    def test_answered_action_is_replayed(self, restored):
        """Through a node that did not run it."""
        action = Action("key-1", '{"space": 1}')
        restored.take_copy()
        first = restored.send("node-1", action)
        restored.restore()
        again = restored.send("node-2", action)
        assert again.send.verdict is Verdict.RAN
        assert (again.text, again.replayed) == (first.text, True)
        assert restored.violations() == ()

    def test_accepted_change_is_in_force_at_a_node_that_starts(self, restored):
        """The next change gets a later generation."""
        site = restored.site
        change = {"models": [{"id": "late", "memory_mb": 1000}]}
        restored.take_copy()
        generation = site.apply("node-1", change)
        site.wait_in_force(generation)
        restored.restore()
        site.fleet.process_by_name["node-3"].kill()
        site.fleet.restart("node-3")
        site.fleet.wait_ready(["node-3"], "/readyz")
        site.wait_in_force(generation)
        change = {"models": [{"id": "later", "memory_mb": 1000}]}
        assert site.apply("node-3", change) == generation + 1
        site.wait_in_force(generation + 1)

    def test_accepted_job_is_run(self, restored):
        """Its caller finds it under its id."""
        site = restored.site
        token = f"{CALLER_TOKEN}-overnight"
        completion = {"model": "meter-3b", "prompt": "p", "max_tokens": 4}
        port = site.fleet.port("node-1")
        restored.take_copy()
        job = request(port, "POST", "/v1/jobs", {"completion": completion}, token)["id"]
        restored.restore()
        path = f"/v1/jobs/{job}"

        def is_done():
            port = site.fleet.port("node-2")
            try:
                return request(port, "GET", path, token=token)["state"] == "done"
            except HttpError as error:
                assert error.body["error"]["code"] == "store_unavailable"
                return False

        site.fleet.wait_until(is_done, "the job", TIMEOUT_S)

    def test_models_load_after_records_were_lost(self, restored):
        """The records of the endpoints were first written in the lost span."""
        site = restored.site
        restored.copied_s = 0.0
        text = site.complete("node-1", "meter-3b", "p")
        restored.restore()
        assert site.complete("node-2", "meter-3b", "p") == text
        headers = {"Camphoryard-Deadline-Ms": "30000"}
        assert site.complete("node-3", "permit-8b", "p", headers=headers)
        for engine in site.engines:
            assert site.control(engine)["overcommits"] == 0
