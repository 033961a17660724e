"""Tests of the operator's configuration and the endpoints' entries."""

import json

import msgspec
import pytest

from camphoryard.platform.traffic import decode_endpoint, decode_rules
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
    """Return the endpoint of an entry with some fields changed."""
    return decode_endpoint("i-1", json.dumps({**ENTRY, **changes}).encode())


class TestDecodeRules:
    """One version of the configuration."""

    def test_the_longest_prefix_wins(self):
        """Routes of a host are searched from the longest prefix on."""
        rules = decode_rules("main", json.dumps(CONFIG).encode())
        assert rules.find("h.example", "/a/b/c").id == "r2"
        assert rules.find("h.example", "/a/c").id == "r1"
        assert rules.find("h.example", "/d/") is None

    def test_kinds_say_what_may_be_repeated(self):
        """A stream that may be resumed is another kind than one that may not."""
        rules = decode_rules("main", json.dumps(CONFIG).encode())
        assert [rule.repeatability for rule in rules.routes] == [
            Repeatability.STREAM,
            Repeatability.RESUMABLE_STREAM,
            Repeatability.ONCE,
        ]

    def test_an_unknown_kind_is_never_repeated(self):
        """What is not understood is treated as the most delicate."""
        routes = [{**CONFIG["routes"][2], "kind": "new"}]
        rules = decode_rules("main", json.dumps({**CONFIG, "routes": routes}).encode())
        assert rules.routes[0].repeatability is Repeatability.ONCE

    def test_times_are_seconds(self):
        """Milliseconds end at the adapter."""
        rule = decode_rules("main", json.dumps(CONFIG).encode()).routes[0]
        assert (rule.timeout_s, rule.objective_s, rule.longest_gap_s) == (25, 6, 0.3)

    def test_adapters_are_named_by_their_number(self):
        """The configuration gives their count only."""
        rules = decode_rules("main", json.dumps(CONFIG).encode())
        assert rules.services_by_id["s1"].engine.models_by_id["m1"].adapters == (
            "a1",
            "a2",
        )

    def test_a_configuration_without_routes_is_refused(self):
        """It is left out and the older one stays."""
        with pytest.raises(msgspec.ValidationError):
            decode_rules("main", b'{"version": 8}')

    def test_only_the_main_configuration_is_in_force(self):
        """What lies beside it under another name routes nothing."""
        with pytest.raises(ValueError, match="main"):
            decode_rules("draft", json.dumps(CONFIG).encode())


class TestDecodeEndpoint:
    """An entry of the store."""

    def test_fields_are_read(self):
        """An entry names the endpoint, what it holds and what it has at hand."""
        endpoint = decode_entry()
        assert endpoint.address == HostPort("10.0.0.9", 8080)
        assert endpoint.loaded_by_model["m1"].adapters == {"a2"}
        assert endpoint.on_hand == {"m2", "m3"}
        assert endpoint.started_ms == 17

    def test_a_leaving_endpoint_is_draining(self):
        """It takes no new work."""
        assert decode_entry(state="draining").state is EndpointState.DRAINING

    @pytest.mark.parametrize(
        "changes",
        [
            {"state": "odd"},
            {"service": None},
            {"address": "nowhere"},
            {"address": "10.0.0.9:port"},
            {"slots": "many"},
            {"models": [1]},
            {"born": 1.5},
        ],
    )
    def test_what_cannot_be_read_names_no_endpoint(self, changes):
        """An entry of another writer is left out; others are not touched."""
        with pytest.raises((msgspec.MsgspecError, ValueError)):
            decode_entry(**changes)

    def test_bytes_that_are_no_json_name_no_endpoint(self):
        """Any bytes may stand in the store."""
        with pytest.raises(msgspec.MsgspecError):
            decode_endpoint("i-1", b"\xff\x00")
