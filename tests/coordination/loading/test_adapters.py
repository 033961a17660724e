"""Tests of the demand for adapters; the pattern is a crowd that needs adapters."""

import pytest

from camphoryard.coordination.loading.adapters import adapter_slots_by_model
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
    """Return three engines that hold the same model."""
    return [
        EngineState(make_endpoint(name, ["m1"]), SPEC, orders=0)
        for name in ("e1", "e2", "e3")
    ]


class TestAdapterSlotsByModel:
    """The demand for adapters that each copy has to take."""

    def test_copies_share_it(self, engines):
        """Requests without an adapter do not count."""
        assert adapter_slots_by_model(engines, DEMAND) == {M1: 3.0}

    def test_an_engine_where_models_move_takes_none(self, engines):
        """So moves at the last engine that does are dearest."""
        engines[0].begin(ModelId("m2"))
        engines[1].begin(ModelId("m2"))
        assert adapter_slots_by_model(engines, DEMAND) == {M1: 9.0}

    def test_a_model_held_nowhere_has_all_of_it(self):
        """Its first copy will have to take it."""
        assert adapter_slots_by_model([], DEMAND) == {M1: 9.0}
