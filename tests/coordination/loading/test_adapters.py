"""Tests of the demand for adapters when a model with adapters is in high demand."""

import pytest

from camphoryard.coordination.loading.adapters import adapter_demand_by_model
from camphoryard.coordination.loading.engine_state import EngineState
from camphoryard.state.demand import ItemDemand
from camphoryard.state.ids import ItemId, ModelId
from tests.fakes.engines import make_endpoint, make_spec

M1 = ModelId("m1")
SPEC = make_spec({"m1": 60, "m2": 30})
DEMAND = {
    ItemId("m1:a1"): ItemDemand(6.0, 1.0),
    ItemId("m1:a2"): ItemDemand(3.0, 1.0),
    ItemId("m1"): ItemDemand(50.0, 50.0),
}


@pytest.fixture
def engines():
    """Return three engines that have the same model loaded."""
    return [
        EngineState(make_endpoint(name, ["m1"]), SPEC, accepted_orders=0)
        for name in ("e1", "e2", "e3")
    ]


class TestAdapterDemandByModel:
    """The demand for adapters per copy of a model."""

    def test_copies_share_the_demand(self, engines):
        """Requests without an adapter do not count."""
        assert adapter_demand_by_model(engines, DEMAND) == {M1: 3.0}

    def test_engines_with_a_move_take_no_share(self, engines):
        """So a further move costs most at the last engine that accepts adapters."""
        engines[0].begin_move(ModelId("m2"))
        engines[1].begin_move(ModelId("m2"))
        assert adapter_demand_by_model(engines, DEMAND) == {M1: 9.0}

    def test_model_without_a_copy_has_the_whole_demand(self):
        """Its first copy will have to serve all of it."""
        assert adapter_demand_by_model([], DEMAND) == {M1: 9.0}
