"""Tests of refusal counts over real processes."""

import pytest

from standins.fleet import HttpError, request
from standins.site import SiteSpec

REFUSALS = 20


def send_refused_request(site, node):
    """Send a request that must be refused."""
    try:
        site.complete(node, "no-such-model", "hello")
    except HttpError as error:
        assert error.body["error"]["verdict"] == "not run"
        return
    raise AssertionError("not refused")


def count_refusals(site, node):
    """Return the fleet-wide count of these refusals, as reported by ``node``."""
    items = request(site.fleet.port(node), "GET", "/admin/v1/refusals?hours=2")
    return sum(
        item["count"]
        for item in items
        if (item["reason"], item["label"], item["caller"])
        == ("unknown_model", "desk=public", "meter-app")
    )


class TestRefusalCounts:
    """Refusal counts that survive the loss of nodes."""

    def test_operator_errors_are_not_counted(self, start):
        """Refused operator requests are in the time line only."""
        site = start(SiteSpec(nodes=1, fence_ignoring_engines=0))
        port = site.fleet.port("node-1")
        with pytest.raises(HttpError):
            request(port, "GET", "/admin/v1/refusals?hours=99")
        assert request(port, "GET", "/admin/v1/refusals") == []
        events = request(port, "GET", "/admin/v1/timeline?event=operator_refused")
        assert [item["fields"]["field"] for item in events["events"]] == ["hours"]

    def test_counts_survive_killed_node_in_an_outage(self, start):
        """A replica persists the counts of the killed node after the outage."""
        site = start(SiteSpec(nodes=3, fence_ignoring_engines=0))
        site.control("object-api", outage=True)
        for _ in range(REFUSALS):
            send_refused_request(site, "node-1")
        site.fleet.process_by_name["node-1"].kill()
        site.control("object-api", outage=False)
        for node in ("node-2", "node-3"):
            site.fleet.wait_until(
                lambda node=node: count_refusals(site, node) >= REFUSALS,
                f"counts at {node}",
            )
            assert count_refusals(site, node) == REFUSALS

    @pytest.mark.parametrize("replica", ["node-2", "node-3"])
    def test_counts_survive_killed_replica(self, start, replica):
        """The surviving replica persists the counts when the other is killed too."""
        site = start(SiteSpec(nodes=3, fence_ignoring_engines=0))
        site.control("object-api", outage=True)
        for _ in range(REFUSALS):
            send_refused_request(site, "node-1")
        for node in ("node-1", replica):
            site.fleet.process_by_name[node].kill()
        site.control("object-api", outage=False)
        (survivor,) = {"node-2", "node-3"} - {replica}
        site.fleet.wait_until(
            lambda: count_refusals(site, survivor) >= REFUSALS, "counts"
        )
        assert count_refusals(site, survivor) == REFUSALS
