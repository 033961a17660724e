"""Tests of client accounts at the entry daemon process."""

import pytest
from typer.testing import CliRunner

from camphoryard.cli import app
from standins.entry_site import CONFIG, EntrySite, make_route
from standins.fleet import Fleet, request

KEYS = tuple(f"key-of-no-log-{n}" for n in range(1, 5))
FIRST, SECOND, THIRD, UNKNOWN = KEYS
ROUTES = [*CONFIG["routes"], make_route("open", "idempotent", "desk", public=True)]


class AccountSite:
    """An entry daemon whose configuration has accounts."""

    def __init__(self, fleet):
        self.entry = EntrySite(fleet)
        self.version = CONFIG["version"]
        self.requests = 0

    @property
    def log(self):
        """The whole log of the daemon."""
        return self.entry.fleet.process_by_name["entry"].log.read_text()

    def configure(self, awaited="configuration_adopted version={}", **keys_by_account):
        """Write the next version with these accounts; wait for a line of the log."""
        self.version += 1
        tenants = [
            {"name": name, "api-keys": keys} for name, keys in keys_by_account.items()
        ]
        spec = {**CONFIG, "routes": ROUTES, "tenants": tenants}
        self.entry.put("config", "main", {**spec, "version": self.version})
        line = awaited.format(self.version)
        self.entry.fleet.wait_until(lambda: line in self.log, line)

    def send(self, key, path="/book/1", **headers):
        """Send a request; return its id and status."""
        self.requests += 1
        id = f"a{self.requests}"
        if key:
            headers["Authorization"] = f"Bearer {key}"
        return id, self.entry.call(path, id, **headers)[0].status

    def named(self):
        """Return what endpoints were told of accounts and keys, by request id."""
        return request(self.entry.store_port, "GET", "/named")


@pytest.fixture(scope="module")
def site():
    """Return a site that the tests of this module share, the last one its log."""
    with Fleet() as fleet:
        yield AccountSite(fleet)


class TestAccounts:
    """Requests with keys, from the client to the endpoint."""

    @pytest.mark.parametrize("key", [UNKNOWN, None])
    def test_unknown_key_is_refused_and_nothing_ran(self, site, key):
        """A route that is not public needs a known key."""
        site.configure(a=[FIRST], b=[SECOND])
        id, status = site.send(key, Tenant="a")
        assert (status, id in site.named()) == (401, False)

    def test_endpoint_is_told_the_account_whatever_the_client_sent(self, site):
        """The key does not reach it."""
        site.configure(a=[FIRST], b=[SECOND])
        id, status = site.send(FIRST, Tenant="b")
        assert (status, site.named()[id]) == (200, ["a", None])

    @pytest.mark.parametrize(
        ("key", "named"), [(None, None), (UNKNOWN, None), (FIRST, "a")]
    )
    def test_public_route_needs_no_key(self, site, key, named):
        """A known key names its account all the same."""
        site.configure(a=[FIRST])
        id, status = site.send(key, "/open/1", Tenant="b")
        assert (status, site.named()[id]) == (200, [named, None])

    def test_key_moves_to_another_account(self, site):
        """The next request is that of the account that holds the key now."""
        site.configure(a=[FIRST, THIRD], b=[SECOND])
        site.configure(a=[FIRST], b=[SECOND, THIRD])
        id, status = site.send(THIRD)
        assert (status, site.named()[id]) == (200, ["b", None])

    def test_account_loses_its_last_key(self, site):
        """Nobody gets in under its name, and others are served on."""
        site.configure(a=[FIRST], b=[SECOND])
        site.configure(a=[], b=[SECOND])
        assert [site.send(key)[1] for key in (FIRST, SECOND)] == [401, 200]

    def test_refused_configuration_leaves_the_one_before_in_force(self, site):
        """Two accounts with one key are named in the log."""
        site.configure(a=[FIRST], b=[SECOND])
        site.configure(
            "accounts 'x' and 'y' have the same key", x=[THIRD], y=[THIRD, SECOND]
        )
        id, status = site.send(FIRST)
        assert (status, site.named()[id]) == (200, ["a", None])
        assert site.send(THIRD)[1] == 401

    def test_no_key_is_shown(self, site):
        """Neither in the log and its traces nor in the metrics, by account either."""
        site.configure(a=[FIRST], b=[SECOND])
        ids = [site.send(key)[0] for key in (FIRST, UNKNOWN)]
        site.entry.fleet.wait_until(lambda: f"request={ids[1]}" in site.log, "the log")
        path = site.entry.fleet.process_by_name["entry"].log
        traces = [
            CliRunner().invoke(app, ["trace", id, str(path)]).output for id in ids
        ]
        metrics = request(site.entry.ready_port, "GET", "/metrics")
        shown = "".join([site.log, metrics, *traces])
        assert not [key for key in KEYS if key in shown]
        assert 'account_requests_answered_total{account="a"}' in metrics
        assert "camphoryard_requests_refused_unauthenticated_total" in metrics
        assert all(f"request={id}" in shown for id in ids)
