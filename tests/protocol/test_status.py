"""Tests of status and refusals as JSON."""

from camphoryard.coordination.observing.risks import NodeView, Risk
from camphoryard.coordination.observing.status import Status
from camphoryard.protocol.status import (
    count_by_key,
    decode_refusals,
    decode_status,
    encode_refusals,
    encode_status,
)
from camphoryard.state.endpoint_record import EndpointRecord, UnconfirmedLoad
from camphoryard.state.enums import NodeState, Reason, RiskKind
from camphoryard.state.refusals import RefusalKey

LATE = RefusalKey(Reason.DEADLINE, "desk=public", 9, "c")
EARLY = RefusalKey(Reason.OVERLOADED, "", 8, "d")


class TestStatus:
    """A status and back."""

    def test_tells_what_may_still_arrive(self):
        """Memory counts loads in doubt, and they are named."""
        record = EndpointRecord(
            "e",
            100,
            "n1",
            "i",
            2,
            "w",
            {"m": 60},
            {},
            {"o": UnconfirmedLoad("x", 30, 1, "n", "i")},
        )
        node = NodeView("n1", NodeState.SERVING, 4, True, False, 0.0)
        risk = Risk(RiskKind.NO_OWNER, "e", "why", "what to do")
        status = Status(
            "n1",
            NodeState.SERVING,
            4,
            1,
            None,
            0.5,
            (node,),
            {"e": record},
            {},
            (risk,),
        )
        form = decode_status(encode_status(status))
        (endpoint,) = form.endpoints
        assert (endpoint.committed_mb, endpoint.in_doubt) == (90, ["x"])
        assert form.risks[0].advice == "what to do"
        assert (form.nodes[0].generation, form.confirmed_age_s) == (4, None)


class TestRefusals:
    """Counts of refusals and back."""

    def test_keys_survive(self):
        """Nothing of a key is lost, and minutes are in order."""
        forms = decode_refusals(encode_refusals({LATE: 2, EARLY: 1}))
        assert [form.minute for form in forms] == [8, 9]
        assert count_by_key(forms) == {LATE: 2, EARLY: 1}
