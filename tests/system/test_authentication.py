"""Tests of authentication and of secrets in logs over real processes."""

import pytest

from standins.fleet import CALLER_TOKEN, OPERATOR_TOKEN, HttpError, request
from standins.site import SiteSpec

OPERATOR_REQUESTS = (
    ("GET", "/admin/v1/configuration", None),
    ("POST", "/admin/v1/configuration", {"models": [{"id": "x", "memory_mb": 1}]}),
    ("GET", "/admin/v1/status", None),
    ("GET", "/admin/v1/timeline", None),
    ("GET", "/admin/v1/explain?caller=meter-app&target=meter-3b", None),
    ("POST", "/admin/v1/drain", None),
)


class TestAuthentication:
    """Operator paths, caller paths and secrets."""

    def test_operator_paths_require_operator_token(self, start):
        """Requests without an operator token return nothing and change nothing."""
        site = start(SiteSpec(nodes=1))
        port = site.fleet.port("node-1")
        before = site.status("node-1")["generation"]
        for token in ("", "wrong", f"{CALLER_TOKEN}-meter-app", "schl\xfcssel"):
            for method, path, body in OPERATOR_REQUESTS:
                with pytest.raises(HttpError) as caught:
                    request(port, method, path, body, token)
                assert caught.value.status == 401
                assert set(caught.value.body) == {"error"}
        status = site.status("node-1")
        assert status["generation"] == before
        assert status["state"] == "serving"

    def test_caller_paths_require_caller_token(self, start):
        """A request with an operator or unknown token is not run."""
        site = start(SiteSpec(nodes=1))
        executions = site.control("bookings-1")
        for token in ("", "wrong", OPERATOR_TOKEN):
            with pytest.raises(HttpError) as caught:
                request(
                    site.fleet.port("node-1"),
                    "POST",
                    "/v1/services/bookings/book",
                    {"space": 1},
                    token,
                    {"Idempotency-Key": "k"},
                )
            assert caught.value.status == 401
            assert caught.value.body["error"]["verdict"] == "not run"
        assert site.control("bookings-1") == executions

    def test_secrets_are_not_logged(self, start):
        """No log line has a token, valid or not, or a secret key."""
        site = start(SiteSpec(nodes=2))
        site.complete("node-1", "meter-3b", "hi")
        with pytest.raises(HttpError):
            request(
                site.fleet.port("node-1"), "GET", "/admin/v1/status", None, "w-r-o-ng"
            )
        site.fleet.process_by_name["node-1"].popen.terminate()
        site.fleet.process_by_name["node-1"].popen.wait()
        secrets = (
            OPERATOR_TOKEN,
            CALLER_TOKEN,
            "w-r-o-ng",
            site.fleet.keys[1].decode(),
        )
        for node in site.nodes:
            log = site.fleet.process_by_name[node].log.read_text()
            assert "refused" in log or node != "node-1"
            assert not [secret for secret in secrets if secret in log]
