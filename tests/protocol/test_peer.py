"""Tests of messages between nodes as frames."""

from dataclasses import replace

import msgspec
import pytest

from camphoryard.coordination.messages import (
    Declined,
    DigestWithAge,
    Done,
    EventsReply,
    EventsRequest,
    Gossip,
    LoadItemsRequest,
    MoveItemsRequest,
    QuotaGrant,
    QuotaRequest,
    QuotaTake,
    RefusalCountsCopy,
    RelinquishReply,
    RelinquishRequest,
    TrialEnded,
)
from camphoryard.protocol.peer import (
    Envelope,
    PeerMessageError,
    decode_envelope,
    encode_envelope,
)
from camphoryard.state.dispatch import (
    Dispatched,
    DispatchRequest,
    FirstEventSeen,
    NotDispatched,
    PromptPart,
    Queued,
    Rejected,
    RunEnded,
    Withdrawn,
    Work,
)
from camphoryard.state.endpoint_limits import EndpointLimit
from camphoryard.state.endpoint_relay import EndpointRelay, RelayedEndpoint
from camphoryard.state.enums import NodeState, Reason
from camphoryard.state.nodes import NodeDigest
from camphoryard.state.quotas import QuotaKind, QuotaRenewal, QuotaReport
from camphoryard.state.refusals import RefusalCount, RefusalCounts, RefusalKey
from camphoryard.state.timeline import Event, Stamp
from camphoryard.state.traffic import RequestedModel

REFUSAL_COUNTS = RefusalCounts(
    "i", (RefusalCount(RefusalKey(Reason.DEADLINE, "a=b", 3, "c"), 2),)
)

LEADER_DIGEST = NodeDigest(
    "n",
    "i",
    NodeState.SERVING,
    0,
    {"e": 2},
    beat=7,
    duty_term=4,
    unloads_by_endpoint={"e": ("m1", "m2")},
    quarantine_s_by_parts={frozenset({"p", "q"}): 12.5, frozenset({"r"}): 1.0},
    quarantine_s_by_request={"f": 20.5},
    leaving_by_endpoint={"e": 1_700_000_000_000},
    quota_report_by_kind={
        QuotaKind.ACCOUNT: QuotaReport(4, 2, {"a": 5}),
        QuotaKind.ENDPOINT: QuotaReport(4, 3, {"e/17": 6}),
    },
    quota_renewal_by_kind={QuotaKind.ACCOUNT: QuotaRenewal(6, ("a",), ("n1", "n2"))},
)

RELAYING_DIGEST = replace(
    LEADER_DIGEST,
    endpoints_revision=12,
    rules_version=9,
    limit_by_endpoint={
        "e": EndpointLimit(17, 2, 1.8),
        "f": EndpointLimit(18, 3, None),
    },
    relay=EndpointRelay(11, 12, (RelayedEndpoint("e", None),), "i", 6),
)

TURN_WANTED = DispatchRequest(
    "t",
    "s",
    RequestedModel("m", "a1"),
    Work(460, 80, (PromptPart("p", 350), PromptPart("q", 110))),
    2,
    -0.25,
    1.5,
    0.3,
    "zone-a",
    "account",
    has_begun=True,
    excluded=("x",),
    candidates=("e", "f"),
    has_returned=True,
    node="n",
)


class TestEnvelope:
    """Round trips of messages and replies."""

    @pytest.mark.parametrize(
        "content",
        [
            LoadItemsRequest("e", ("m", "m:a"), 1.5),
            MoveItemsRequest("e", ("m",), ("x",)),
            RelinquishRequest("e", "i", 7),
            RelinquishReply(("o1", "o2")),
            TrialEnded("f", "n", True),
            EventsRequest({"request": "r"}),
            EventsReply((Event(Stamp(5, 1), "n", "loaded", {"item": "m"}),)),
            RefusalCountsCopy(REFUSAL_COUNTS),
            QuotaRequest("n", "i", 4, 3, {"a": 5}, True),
            QuotaGrant(4, {"a": 5}),
            QuotaTake("a", 1.5),
            QuotaRequest("n", "i", 4, 3, {"e/17": 5}, kind=QuotaKind.ENDPOINT),
            Declined("busy"),
            Done(),
            Gossip(3, (DigestWithAge(LEADER_DIGEST, 0.25),)),
            Gossip(3, (DigestWithAge(RELAYING_DIGEST, 0.25),)),
            TURN_WANTED,
            FirstEventSeen("t", "e", 0.25),
            RunEnded("t", "e", True),
            Withdrawn("t"),
            Dispatched("e"),
            Queued(0.5),
            Rejected(1.5, "full"),
            NotDispatched(),
        ],
        ids=lambda content: type(content).__name__,
    )
    def test_round_trip(self, content):
        """The decoded message equals the encoded one, with the same type."""
        envelope = Envelope("q", content)
        assert decode_envelope(encode_envelope(envelope)) == envelope

    @pytest.mark.parametrize("data", [b"", b"\x00", b"garbage", b"\x93\x01\x02\x03"])
    def test_invalid_bytes_raise(self, data):
        """Bytes that are not a message raise PeerMessageError."""
        with pytest.raises(PeerMessageError):
            decode_envelope(data)


class TestMixedVersions:
    """Digests between nodes of this version and of the one without named limits."""

    REPORT_FIELD, LIMITS_FIELD = 13, 18

    # Guards against nodes that are cut off from each other during an update.
    def test_a_digest_without_limits_is_read(self):
        """Its report and renewal are those of accounts alone, or null."""
        digest = NodeDigest("n", "i", NodeState.SERVING, 0, beat=1)
        data = encode_envelope(Envelope("q", Gossip(3, (DigestWithAge(digest, 0.0),))))
        frame = msgspec.msgpack.decode(data)
        body = frame["body"] if isinstance(frame, dict) else frame[-1]
        (fields,) = body[1]
        fields[self.REPORT_FIELD : self.REPORT_FIELD + 2] = [None, None]
        del fields[self.LIMITS_FIELD :]
        decoded = decode_envelope(msgspec.msgpack.encode(frame))
        assert decoded.content.digests[0].digest == digest

    def test_a_digest_of_a_node_without_limits_stays_as_it_was(self):
        """Nodes of the other version expect null where there is no report."""
        digest = NodeDigest("n", "i", NodeState.SERVING, 0, beat=1)
        data = encode_envelope(Envelope("q", Gossip(3, (DigestWithAge(digest, 0.0),))))
        frame = msgspec.msgpack.decode(data)
        body = frame["body"] if isinstance(frame, dict) else frame[-1]
        (fields,) = body[1]
        assert fields[self.REPORT_FIELD : self.REPORT_FIELD + 2] == [None, None]

    # Guards against a node that gets no parts from a leader of the other version.
    def test_a_request_for_parts_has_the_names_of_before(self):
        """Message fields have names on the wire, which the other version reads."""
        request = QuotaRequest("n", "i", 1, 2, {"a": 3})
        frame = msgspec.msgpack.decode(encode_envelope(Envelope("q", request)))
        assert frame["body"]["parts_by_account"] == {"a": 3}
