"""Tests of the orders planned for open residency requests."""

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
    resident,
    *requests,
    resident_since_s=0.0,
    used=(),
    memory_mb=100,
    demand=None,
    **changes,
):
    """Return the plan for a record with resident items and open requests."""
    record = EndpointRecord("e", memory_mb, "n", "i", 1, "w", **changes)
    for item in resident:
        record = with_resident(record, item, SIZES_MB[item])
    table = EndpointTable(lambda: resident_since_s)
    table.observe(record, 1)
    occupancy = Occupancy(
        SIZES_MB.get,
        lambda item: time.monotonic() if item in used else 0.0,
        lambda: demand or {},
        table,
        10.0,
    )
    eviction = LeastRecentlyUsed() if demand is None else LeastDemand()
    context = PlanningContext(occupancy, eviction, make_intent)
    return ResidencyPlan(record, requests, context)


def load(item):
    """Return a request to load ``item``."""
    return LoadRequest(item, 0.0)


def orders(plan):
    """Return the kinds of the planned orders by item."""
    intents = plan.add_intents().intents_by_item
    return {item: intent.kind for item, intent in intents.items()}


class TestPlan:
    """Planning orders for one endpoint."""

    def test_loads_in_parallel(self):
        """Items that fit into memory together are loaded at the same time."""
        plan = make_plan([], load("small"), load("half"))
        assert orders(plan) == dict.fromkeys(["small", "half"], OrderKind.LOAD)

    def test_idle_item_is_evicted_first(self):
        """An item in use is not evicted while an idle one can free the memory."""
        plan = make_plan(["half", "m"], load("small"), used=["half"])
        assert orders(plan) == {"m": OrderKind.UNLOAD}

    def test_model_with_least_demand_is_evicted(self):
        """A model's demand includes its adapters'; without the base they have none."""
        demand = {"m": ItemDemand(0.0, 1.0), "m:x": ItemDemand(0.0, 2.0)}
        demand |= {"small": ItemDemand(2.0, 0.0), "half": ItemDemand(9.0, 0.0)}
        plan = make_plan(["m", "m:x", "small"], load("half"), demand=demand)
        assert orders(plan) == {"small": OrderKind.UNLOAD, "m:x": OrderKind.UNLOAD}
        plan = make_plan(["m:x", "small", "half"], load("m"), demand=demand)
        assert orders(plan) == {"small": OrderKind.UNLOAD, "m:x": OrderKind.UNLOAD}

    def test_recently_loaded_item_is_not_evicted(self):
        """Two models that do not fit together do not evict each other repeatedly."""
        plan_for_recent = make_plan(
            ["half"], load("most"), resident_since_s=time.monotonic()
        )
        assert orders(plan_for_recent) == {}
        assert not plan_for_recent.completed
        assert orders(make_plan(["half"], load("most"))) == {"half": OrderKind.UNLOAD}

    def test_base_of_a_requested_adapter_is_not_evicted(self):
        """A model is not evicted to load its own adapter."""
        plan = make_plan(["m", "half"], load("m:x"), used=["half"])
        assert orders(plan) == {"half": OrderKind.UNLOAD}

    def test_later_small_request_does_not_take_freed_memory(self):
        """Memory being freed for a large item is not given to a later small one."""
        plan = make_plan(["half"], load("most"), load("small"))
        assert orders(plan) == {"half": OrderKind.UNLOAD}

    def test_item_with_unconfirmed_load_is_not_evicted(self):
        """Unloading an item with an unconfirmed load would free no memory."""
        unconfirmed = {"d": UnconfirmedLoad("half", 50, 1, "x", "y")}
        plan = make_plan(
            ["half", "small"], load("m"), used=["small"], in_doubt_by_id=unconfirmed
        )
        assert orders(plan) == {"small": OrderKind.UNLOAD}
        plan = make_plan(["half"], load("most"), in_doubt_by_id=unconfirmed)
        assert orders(plan) == {}
        assert isinstance(plan.completed[0].error, NoRoomError)

    @pytest.mark.parametrize("item", ["unknown", "all"])
    def test_item_that_can_never_fit_fails_at_once(self, item):
        """A request that no eviction can satisfy fails without waiting."""
        plan = make_plan([], load(item), memory_mb=90)
        plan.add_intents()
        assert isinstance(plan.completed[0].error, NoRoomError)

    def test_evicts_after_memory_was_reduced(self):
        """Items are evicted when the endpoint has less memory than they need."""
        plan = make_plan(["half", "small"], used=["half"], memory_mb=60)
        assert orders(plan) == {"small": OrderKind.UNLOAD}

    def test_requested_unload_is_ordered(self):
        """A requested unload is ordered even if the item was just loaded."""
        request = UnloadRequest("half", 0.0)
        plan = make_plan(["half"], request, resident_since_s=time.monotonic())
        assert orders(plan) == {"half": OrderKind.UNLOAD}
        assert make_plan([], request).add_intents().intents_by_item == {}
