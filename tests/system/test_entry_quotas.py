"""Tests of quotas over three entry daemon processes."""

from http.client import HTTPConnection

import pytest

from standins.entry_site import CONFIG, GRACE_S, SETTINGS, TIMEOUT_S, EntrySite
from standins.fleet import HOST, Fleet, request, reserve_port

WINDOW_S = 8.0
RATE, BURST = 0.5, 16.0
LIMIT = RATE * WINDOW_S + BURST
OTHERS = ("entry-2", "entry-3")
TENANTS = [
    {"name": "small", "api-keys": ["k1"], "rate-per-s": RATE, "burst": BURST},
    {"name": "free", "api-keys": ["k2"]},
]


class QuotaSite:
    """Three nodes whose configuration has an account with a quota."""

    def __init__(self, fleet):
        self.entry, self.requests = EntrySite(fleet), 0
        self.ports = [self.entry.client_port]
        ready_ports = [self.entry.ready_port]
        self.entry.put("config", "main", {**CONFIG, "version": 2, "tenants": TENANTS})
        for name in OTHERS:
            client_port, ready_port = reserve_port(), reserve_port()
            path = fleet.folder / f"{name}.toml"
            path.write_text(
                SETTINGS.format(
                    name=name,
                    host=HOST,
                    peer_port=reserve_port(),
                    client_port=client_port,
                    ready_port=ready_port,
                    grace_s=GRACE_S,
                    store_port=self.entry.store_port,
                )
            )
            fleet.start(name, ready_port, ["-m", "camphoryard.entry.daemon", str(path)])
            self.ports.append(client_port)
            ready_ports.append(ready_port)
        fleet.wait_ready(OTHERS, "/ready")
        fleet.wait_until(lambda: all(map(is_renewed, ready_ports)), "renewals")

    def send(self, port, key):
        """Send a request to a node; return its status and Retry-After."""
        self.requests += 1
        connection = HTTPConnection(HOST, port, timeout=TIMEOUT_S)
        headers = {"Authorization": f"Bearer {key}"}
        self.entry.send(connection, "/book/1", f"q{self.requests}", **headers)
        response = connection.getresponse()
        response.read()
        connection.close()
        return response.status, response.headers["Retry-After"]


def is_renewed(ready_port):
    """Return whether the leader has answered a report of a node."""
    text = request(ready_port, "GET", "/metrics")
    name = "camphoryard_quota_renewal_age_seconds "
    ages = [line for line in text.splitlines() if line.startswith(name)]
    return not ages[0].endswith("inf")


@pytest.fixture(scope="module")
def site():
    """Return a site that the tests of this module share."""
    with Fleet() as fleet:
        yield QuotaSite(fleet)


class TestQuota:
    """Requests of an account at all nodes, far more than its limit."""

    def test_all_nodes_together_admit_the_limit_and_refuse_the_rest(self, site):
        """What is refused has not run, and may come again when there is room."""
        answers = [site.send(port, "k1") for _ in range(20) for port in site.ports]
        served = [status for status, _ in answers if status == 200]
        refused = [answer for answer in answers if answer[0] == 429]
        assert len(served) + len(refused) == len(answers)
        assert BURST - 1 <= len(served) <= LIMIT
        assert all(float(after) > 0 for _, after in refused)
        assert len(site.entry.runs()) == len(served)

    def test_an_account_without_a_quota_is_served_on(self, site):
        """Whatever others send."""
        statuses = {site.send(port, "k2")[0] for _ in range(20) for port in site.ports}
        assert statuses == {200}
