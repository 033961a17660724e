"""Tests of which orders wishes call for."""

import time

import pytest

from camphoryard.coordination.placement.residency_plan import (
    PlanningContext,
    ResidencyPlan,
)
from camphoryard.coordination.residency.eviction import LeastDemand, LeastRecentlyUsed
from camphoryard.coordination.residency.occupancy import Occupancy
from camphoryard.coordination.residency.residency_requests import (
    LoadRequest,
    NoRoomError,
    UnloadRequest,
)
from camphoryard.state.demand import ItemDemand
from camphoryard.state.endpoint_record import (
    EndpointRecord,
    Intent,
    UnconfirmedLoad,
    with_resident,
)
from camphoryard.state.enums import OrderKind
from camphoryard.state.tables import EndpointTable

SIZES_MB = {"small": 30, "half": 50, "most": 80, "all": 100, "m": 40, "m:x": 20}


def make_intent(record, kind, memory_mb):
    """Return an intent."""
    return Intent("o", kind, memory_mb, record.fence, "n", "i")


def make_plan(
    resident, *wishes, since_s=0.0, used=(), memory_mb=100, demand=None, **changes
):
    """Return the plan for a record with residents and these wishes."""
    record = EndpointRecord("e", memory_mb, "n", "i", 1, "w", **changes)
    for item in resident:
        record = with_resident(record, item, SIZES_MB[item])
    table = EndpointTable(lambda: since_s)
    table.observe(record, 1)
    occupancy = Occupancy(
        SIZES_MB.get,
        lambda item: time.monotonic() if item in used else 0.0,
        lambda: demand or {},
        table,
        10.0,
    )
    eviction = LeastRecentlyUsed() if demand is None else LeastDemand()
    around = PlanningContext(occupancy, eviction, make_intent)
    return ResidencyPlan(record, wishes, around)


def load(item):
    """Return a wish for a load."""
    return LoadRequest(item, 0.0)


def orders(plan):
    """Return the kinds of orders by item that a plan makes."""
    intents = plan.add_intents().intents_by_item
    return {item: intent.kind for item, intent in intents.items()}


class TestPlan:
    """Planning."""

    def test_loads_side_by_side(self):
        """What fits together is loaded at the same time."""
        plan = make_plan([], load("small"), load("half"))
        assert orders(plan) == dict.fromkeys(["small", "half"], OrderKind.LOAD)

    def test_idle_item_leaves_first(self):
        """An item in use stays while an idle one can make room."""
        plan = make_plan(["half", "m"], load("small"), used=["half"])
        assert orders(plan) == {"m": OrderKind.UNLOAD}

    def test_least_wanted_model_leaves(self):
        """A model counts with its adapters, an adapter without its base not."""
        demand = {"m": ItemDemand(0.0, 1.0), "m:x": ItemDemand(0.0, 2.0)}
        demand |= {"small": ItemDemand(2.0, 0.0), "half": ItemDemand(9.0, 0.0)}
        plan = make_plan(["m", "m:x", "small"], load("half"), demand=demand)
        assert orders(plan) == {"small": OrderKind.UNLOAD, "m:x": OrderKind.UNLOAD}
        plan = make_plan(["m:x", "small", "half"], load("m"), demand=demand)
        assert orders(plan) == {"small": OrderKind.UNLOAD, "m:x": OrderKind.UNLOAD}

    def test_young_item_stays(self):
        """Two models that do not fit together do not thrash."""
        young = make_plan(["half"], load("most"), since_s=time.monotonic())
        assert orders(young) == {}
        assert not young.completed
        assert orders(make_plan(["half"], load("most"))) == {"half": OrderKind.UNLOAD}

    def test_base_of_a_wished_adapter_stays(self):
        """A model does not make room for its own adapter."""
        plan = make_plan(["m", "half"], load("m:x"), used=["half"])
        assert orders(plan) == {"half": OrderKind.UNLOAD}

    def test_later_small_wish_does_not_take_the_room(self):
        """Memory on its way to a large item is not given to a later small one."""
        plan = make_plan(["half"], load("most"), load("small"))
        assert orders(plan) == {"half": OrderKind.UNLOAD}

    def test_item_in_doubt_is_no_victim(self):
        """Unloading an item of which a load is in doubt frees nothing."""
        doubt = {"d": UnconfirmedLoad("half", 50, 1, "x", "y")}
        plan = make_plan(
            ["half", "small"], load("m"), used=["small"], in_doubt_by_id=doubt
        )
        assert orders(plan) == {"small": OrderKind.UNLOAD}
        plan = make_plan(["half"], load("most"), in_doubt_by_id=doubt)
        assert orders(plan) == {}
        assert isinstance(plan.completed[0].error, NoRoomError)

    @pytest.mark.parametrize("item", ["unknown", "all"])
    def test_what_never_fits_is_told_at_once(self, item):
        """A wish that no unload can help fails without waiting."""
        plan = make_plan([], load(item), memory_mb=90)
        plan.add_intents()
        assert isinstance(plan.completed[0].error, NoRoomError)

    def test_shrinks(self):
        """Residents leave when the endpoint has less memory than they take."""
        plan = make_plan(["half", "small"], used=["half"], memory_mb=60)
        assert orders(plan) == {"small": OrderKind.UNLOAD}

    def test_unload(self):
        """An unload that is wished for is ordered, whatever the item's age."""
        wish = UnloadRequest("half", 0.0)
        plan = make_plan(["half"], wish, since_s=time.monotonic())
        assert orders(plan) == {"half": OrderKind.UNLOAD}
        assert make_plan([], wish).add_intents().intents_by_item == {}
