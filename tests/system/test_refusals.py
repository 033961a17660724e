"""Tests of the counts of refusals over real processes."""

import pytest

from standins.fleet import HttpError, request
from standins.site import SiteSpec

REFUSALS = 20


def refuse(site, node):
    """Make one request that must be refused."""
    try:
        site.complete(node, "no-such-model", "hello")
    except HttpError as error:
        assert error.body["error"]["verdict"] == "not run"
        return
    raise AssertionError("not refused")


def count(site, node):
    """Return the count of such refusals over all nodes, as a node sees it."""
    items = request(site.fleet.port(node), "GET", "/admin/v1/refusals?hours=2")
    return sum(
        item["count"]
        for item in items
        if (item["reason"], item["label"], item["caller"])
        == ("unknown_model", "desk=public", "meter-app")
    )


class TestRefusalCounts:
    """Counts that outlive the node that refused."""

    def test_operators_mistakes_are_not_counted(self, start):
        """Only callers are turned away; the time line has the operator's."""
        site = start(SiteSpec(nodes=1, fence_ignoring_engines=0))
        port = site.fleet.port("node-1")
        with pytest.raises(HttpError):
            request(port, "GET", "/admin/v1/refusals?hours=99")
        assert request(port, "GET", "/admin/v1/refusals") == []
        events = request(port, "GET", "/admin/v1/timeline?event=operator_refused")
        assert [item["fields"]["field"] for item in events["events"]] == ["hours"]

    def test_counts_survive_a_kill_in_an_outage(self, start):
        """A peer holds what was refused before the kill and folds it later."""
        site = start(SiteSpec(nodes=3, fence_ignoring_engines=0))
        site.control("object-api", outage=True)
        for _ in range(REFUSALS):
            refuse(site, "node-1")
        site.fleet.process_by_name["node-1"].kill()
        site.control("object-api", outage=False)
        for node in ("node-2", "node-3"):
            site.fleet.wait_until(
                lambda node=node: count(site, node) >= REFUSALS, f"counts at {node}"
            )
            assert count(site, node) == REFUSALS

    @pytest.mark.parametrize("holder", ["node-2", "node-3"])
    def test_counts_survive_the_kill_of_a_holder(self, start, holder):
        """The node and one of its holders are killed, and the other one folds."""
        site = start(SiteSpec(nodes=3, fence_ignoring_engines=0))
        site.control("object-api", outage=True)
        for _ in range(REFUSALS):
            refuse(site, "node-1")
        for node in ("node-1", holder):
            site.fleet.process_by_name[node].kill()
        site.control("object-api", outage=False)
        (left,) = {"node-2", "node-3"} - {holder}
        site.fleet.wait_until(lambda: count(site, left) >= REFUSALS, "counts")
        assert count(site, left) == REFUSALS
