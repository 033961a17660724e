"""Tests of decoding the operator's configuration and endpoint entries."""

import json

import msgspec
import pytest

from camphoryard.platform.traffic import decode_endpoint, decode_rules
from camphoryard.state.accounts import Account, Quota, QuotaUnit, key_digest
from camphoryard.state.ids import AccountId
from camphoryard.state.serving_endpoints import EndpointState, HostPort
from camphoryard.state.traffic import Repeatability

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "path-prefix": "/a/",
            "kind": "streaming",
            "timeout-ms": 25000,
            "goal-ms": 6000,
            "priority": 1,
            "service": "s1",
            "max-attempts": 1,
            "sticky": True,
            "resumable": False,
            "gap-target-ms": 300,
        },
        {
            "name": "r2",
            "host": "h.example",
            "path-prefix": "/a/b/",
            "kind": "streaming",
            "timeout-ms": 15000,
            "goal-ms": 600,
            "priority": 2,
            "resumable": True,
            "traffic-split": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "max-attempts": 2,
        },
        {
            "name": "r3",
            "host": "h.example",
            "path-prefix": "/c/",
            "kind": "non_idempotent",
            "timeout-ms": 800,
            "service": "s2",
        },
    ],
    "services": [
        {
            "name": "s1",
            "health-path": "/health",
            "max-conns": 360,
            "new-field": 1,
            "engine": {
                "slots": 64,
                "kv-capacity": 143941,
                "mb": 200000.0,
                "adapter-slots": 8,
                "loads-per-s": 1.1,
                "models": [
                    {
                        "name": "m1",
                        "mb": 72700.0,
                        "load-s": 8.6,
                        "adapters": 2,
                        "adapter-mb": 66.0,
                        "warm-s": 1.3,
                        "disk-s": 1.7,
                    }
                ],
            },
        },
        {"name": "s2", "max-conns": 96},
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
}
ENTRY = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold-left-ms": 0,
    "seq": 4,
    "born": 17,
    "models": [{"name": "m1", "version": 1, "adapters": ["a2"]}],
    "at-hand": {"in-memory": ["m2"], "on-disk": ["m3"]},
}


def decode_entry(**changes):
    """Return the endpoint of an entry with changed fields."""
    return decode_endpoint("i-1", json.dumps({**ENTRY, **changes}).encode())


class TestDecodeRules:
    """Decoding one version of the configuration."""

    def test_longest_path_prefix_matches(self):
        """The route with the longest matching prefix is found."""
        rules = decode_rules("main", json.dumps(CONFIG).encode())
        assert rules.find("h.example", "/a/b/c").id == "r2"
        assert rules.find("h.example", "/a/c").id == "r1"
        assert rules.find("h.example", "/d/") is None

    def test_kind_determines_repeatability(self):
        """A resumable stream has another repeatability than a plain one."""
        rules = decode_rules("main", json.dumps(CONFIG).encode())
        assert [rule.repeatability for rule in rules.routes] == [
            Repeatability.STREAM,
            Repeatability.RESUMABLE_STREAM,
            Repeatability.ONCE,
        ]

    def test_unknown_kind_is_never_repeated(self):
        """An unknown kind gets the strictest repeatability."""
        routes = [{**CONFIG["routes"][2], "kind": "new"}]
        rules = decode_rules("main", json.dumps({**CONFIG, "routes": routes}).encode())
        assert rules.routes[0].repeatability is Repeatability.ONCE

    def test_times_are_seconds(self):
        """Milliseconds of the configuration are converted to seconds."""
        rule = decode_rules("main", json.dumps(CONFIG).encode()).routes[0]
        assert (rule.timeout_s, rule.objective_s, rule.longest_gap_s) == (25, 6, 0.3)

    def test_adapter_names_are_derived_from_their_count(self):
        """The configuration has only the number of adapters."""
        rules = decode_rules("main", json.dumps(CONFIG).encode())
        assert rules.services_by_id["s1"].engine.models_by_id["m1"].adapters == (
            "a1",
            "a2",
        )

    def test_configuration_without_routes_is_invalid(self):
        """It is not decoded, so the previous one stays active."""
        with pytest.raises(msgspec.ValidationError):
            decode_rules("main", b'{"version": 8}')

    def test_only_main_configuration_is_active(self):
        """A configuration under another name is not decoded."""
        with pytest.raises(ValueError, match="main"):
            decode_rules("draft", json.dumps(CONFIG).encode())


class TestAccounts:
    """Client accounts, their keys and quotas."""

    TENANT = {
        "name": "a",
        "api-keys": ["k1"],
        "priority": 3,
        "unit": "token_stream",
        "rate-per-s": 100,
        "burst": 500,
        "plain-tokens": 40,
    }

    @staticmethod
    def decode(*tenants, **changes):
        """Return the rules of a configuration with these tenants."""
        spec = {**CONFIG, "tenants": list(tenants), **changes}
        return decode_rules("main", json.dumps(spec).encode())

    def test_fields_are_read(self):
        """The account of a key has its rank and quota."""
        accounts = self.decode(self.TENANT).accounts
        assert accounts.find(key_digest(b"k1")) == Account(
            AccountId("a"), 3, Quota(QuotaUnit.TOKENS, 100.0, 500.0, 40.0)
        )

    def test_account_without_rate_is_not_limited(self):
        """A rate of 0, or none, is no limit."""
        accounts = self.decode({"name": "a", "rate-per-s": 0, "burst": 5}).accounts
        assert accounts.by_id[AccountId("a")] == Account(AccountId("a"))

    @pytest.mark.parametrize("tenants", [[], None])
    def test_without_accounts_no_key_is_needed(self, tenants):
        """Installations without accounts are served as before."""
        assert self.decode(tenants=tenants).accounts is None

    def test_account_may_have_lost_its_last_key(self):
        """Requests need a key although no account has one."""
        accounts = self.decode({"name": "a", "api-keys": None}).accounts
        assert accounts.find(key_digest(b"k1")) is None

    def test_routes_may_be_public(self):
        """Other routes are not."""
        routes = [{**CONFIG["routes"][0], "public": True}, CONFIG["routes"][2]]
        rules = self.decode(self.TENANT, routes=routes)
        assert [route.is_public for route in rules.routes] == [True, False]

    @pytest.mark.parametrize(
        "tenant",
        [
            {"name": "b", "api-keys": ["k1"]},
            {"name": "", "api-keys": ["secret"]},
            {"name": "b", "api-keys": ["secret" * 1000]},
            {"name": "b", "api-keys": ["secret", 7]},
            {"name": "b", "api-keys": "secret"},
            {"name": "b", "api-keys": ["secret"], "priority": -1},
            {"name": "b", "api-keys": ["secret"], "rate-per-s": -1},
            {"name": "b", "api-keys": ["secret"], "burst": "much"},
        ],
    )
    def test_invalid_configuration_is_refused_without_a_key(self, tenant):
        """The error that is logged shows no key."""
        with pytest.raises((msgspec.MsgspecError, ValueError)) as caught:
            self.decode(self.TENANT, tenant)
        assert "secret" not in str(caught.value)
        assert "k1" not in str(caught.value)


class TestDecodeEndpoint:
    """Decoding an endpoint's entry in the store."""

    def test_fields_are_read(self):
        """Address, loaded models, available models and start time are read."""
        endpoint = decode_entry()
        assert endpoint.address == HostPort("10.0.0.9", 8080)
        assert endpoint.loaded_by_model["m1"].adapters == {"a2"}
        assert endpoint.on_hand == {"m2", "m3"}
        assert endpoint.started_ms == 17

    def test_draining_state_is_read(self):
        """The state ``draining`` is decoded as DRAINING."""
        assert decode_entry(state="draining").state is EndpointState.DRAINING

    @pytest.mark.parametrize(
        "changes",
        [
            {"state": "odd"},
            {"service": None},
            {"address": "nowhere"},
            {"address": "10.0.0.9:port"},
            {"address": "10.0.0.9:99999"},
            {"address": "10.0.0.9:0"},
            {"address": "10.0.0.9:-1"},
            {"address": "10.0.0.9:٣"},
            {"address": "10.0.0\x00.9:80"},
            {"address": "elsewhere:80"},
            {"slots": "many"},
            {"slots": -5},
            {"slots": 0},
            {"slots": 10**30},
            {"born": 10**30},
            {"models": [{"name": "m1", "version": 10**30}]},
            {"models": [1]},
            {"born": 1.5},
        ],
    )
    def test_malformed_entry_is_rejected(self, changes):
        """A malformed entry raises an error and yields no endpoint."""
        with pytest.raises((msgspec.MsgspecError, ValueError)):
            decode_entry(**changes)

    def test_name_that_no_header_can_carry_is_rejected(self):
        """Requests name the endpoint that they are for in a header."""
        with pytest.raises(ValueError, match="name"):
            decode_endpoint("i-1\r\nX: y", json.dumps(ENTRY).encode())

    def test_entry_that_is_not_json_is_rejected(self):
        """The store may contain arbitrary bytes."""
        with pytest.raises(msgspec.MsgspecError):
            decode_endpoint("i-1", b"\xff\x00")
