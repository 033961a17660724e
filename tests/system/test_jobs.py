"""Tests of deferrable jobs over real processes."""

import pytest

from standins.engine import expected_answer
from standins.fleet import CALLER_TOKEN, Fleet, HttpError, request
from standins.site import SiteSpec, start_site

CALLER = "overnight"
LONG_TOKENS = 600


@pytest.fixture(scope="module")
def site():
    """Return one site for all tests of this module."""
    with Fleet() as fleet:
        yield start_site(fleet, SiteSpec(nodes=3, fence_ignoring_engines=0))


def post(site, node, prompt, tokens=16, caller=CALLER, key="", model="meter-3b"):
    """Have a job accepted and return its id."""
    work = {"model": model, "prompt": prompt, "max_tokens": tokens}
    headers = {"Idempotency-Key": key} if key else None
    answer = request(
        site.fleet.port(node),
        "POST",
        "/v1/jobs",
        {"completion": work},
        f"{CALLER_TOKEN}-{caller}",
        headers,
    )
    return answer["id"]


def read(site, node, job):
    """Return a job as its caller reads it."""
    token = f"{CALLER_TOKEN}-{CALLER}"
    return request(site.fleet.port(node), "GET", f"/v1/jobs/{job}", token=token)


def wait_for(site, node, job, state):
    """Block until a job has come to a state; return it."""
    site.fleet.wait_until(
        lambda: read(site, node, job)["state"] == state, f"job {state}", 60.0
    )
    return read(site, node, job)


def holders(site, job):
    """Return the nodes whose time line says that they took a job."""
    path = "/admin/v1/timeline"
    events = request(site.fleet.port("node-1"), "GET", path)["events"]
    return {
        item["node"]
        for item in events
        if item["name"] == "job_taken" and item["fields"]["job"] == job
    }


def restart(site, node):
    """Start a killed node again."""
    site.fleet.restart(node)
    site.fleet.wait_ready([node], "/readyz")


class TestJobs:
    """Accepted work is done."""

    def test_job_is_done_through_any_node(self, site):
        """The result is whole and the same for a resend with the key."""
        job = post(site, "node-1", "summarise", key="k1")
        assert post(site, "node-2", "summarise", key="k1") == job
        done = wait_for(site, "node-3", job, "done")
        assert done["text"] == expected_answer("summarise", 16)

    def test_outage_is_refused_as_not_run(self, site):
        """What cannot be recorded is not accepted."""
        site.control("object-api", outage=True)
        with pytest.raises(HttpError) as caught:
            post(site, "node-1", "in an outage")
        site.control("object-api", outage=False)
        error = caught.value.body["error"]
        assert (error["code"], error["verdict"]) == ("store_unavailable", "not run")

    def test_urgent_caller_is_refused(self, site):
        """Only callers of a deferrable group may have work deferred."""
        with pytest.raises(HttpError) as caught:
            post(site, "node-1", "now", caller="meter-app")
        assert caught.value.body["error"]["code"] == "forbidden"

    def test_kill_of_the_accepting_node(self, site):
        """An accepted job is in the object API before the answer."""
        job = post(site, "node-1", "accepted", LONG_TOKENS)
        site.fleet.process_by_name["node-1"].kill()
        done = wait_for(site, "node-2", job, "done")
        assert done["text"] == expected_answer("accepted", LONG_TOKENS)
        restart(site, "node-1")

    def test_kill_of_the_running_node(self, site):
        """Another node takes the job over once the lease has lapsed."""
        job = post(site, "node-1", "taken over", LONG_TOKENS)
        site.fleet.wait_until(lambda: holders(site, job), "a holder")
        (holder,) = holders(site, job)
        site.fleet.process_by_name[holder].kill()
        other = next(node for node in site.nodes if node != holder)
        done = wait_for(site, other, job, "done")
        assert done["text"] == expected_answer("taken over", LONG_TOKENS)
        restart(site, holder)
