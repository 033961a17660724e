"""Tests of orders whose term ends while they are being sent."""

from camphoryard.coordination.leadership.leader_lease import NO_TERM
from camphoryard.coordination.loading.engine_client import EngineClient
from camphoryard.coordination.loading.engine_state import EngineState
from camphoryard.state.enums import OrderKind
from camphoryard.state.ids import FencingNumber, ModelId, NodeId
from camphoryard.state.traffic import RequestedModel
from tests.fakes.engines import (
    FakeEngine,
    FakeEngines,
    RecordedLog,
    make_endpoint,
    make_spec,
)

MODEL = RequestedModel(ModelId("m1"))


class Lease:
    """A lease whose term the test ends."""

    term = FencingNumber(1)


class TestPermission:
    """A process that is suspended while it connects to an engine."""

    def test_order_is_not_sent_after_the_term_ended(self):
        """The next leader may have given another order meanwhile."""
        spec = make_spec({"m1": 60})
        engine, lease = FakeEngine(spec), Lease()
        engines = FakeEngines(e1=engine)

        def end_term():
            lease.term = NO_TERM

        engines.on_connect = end_term
        client = EngineClient(
            NodeId("n1"), lease, engines, RecordedLog(), lambda _: None
        )
        state = EngineState(make_endpoint("e1"), spec)
        assert client.query(state)
        assert client.send_once(state, OrderKind.LOAD, MODEL) is None
        assert engine.accepted_orders == []
        lease.term, engines.on_connect = FencingNumber(2), lambda: None
        assert client.send_once(state, OrderKind.LOAD, MODEL) is not None
