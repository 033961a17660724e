"""Tests of the encoded form of relayed changes."""

import msgspec

from camphoryard.protocol.relay_form import RelayForm, read_relay, relay_form
from camphoryard.state.endpoint_relay import EndpointRelay, RelayedEndpoint
from tests.fakes.engines import make_endpoint


class TestRelayForm:
    """Round trips."""

    def test_round_trip(self):
        """Changed and removed endpoints, with models and adapters."""
        endpoint = make_endpoint("e1", ("m1",))
        changes = (RelayedEndpoint("e2", None), RelayedEndpoint("e1", endpoint))
        relay = EndpointRelay(1 << 41, (1 << 41) + 5, changes, "i1", 7)
        data = msgspec.msgpack.encode(relay_form(relay))
        assert read_relay(msgspec.msgpack.decode(data, type=RelayForm)) == relay

    def test_most_digests_have_none(self):
        """Only those of the leader of a large fleet do."""
        assert relay_form(None) is None
        assert read_relay(None) is None
