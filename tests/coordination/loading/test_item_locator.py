"""Tests of locating models, mainly after a crash of the only engine that had one."""

import threading
import time

import pytest

from camphoryard.coordination.loading.item_locator import (
    ItemLocator,
    ItemLocatorContext,
)
from camphoryard.coordination.loading.load_controller import Loaded, Loading
from camphoryard.state.directory import Directory
from camphoryard.state.errors import NotLoadedBeforeDeadlineError
from camphoryard.state.ids import EndpointId, ModelId, NodeId
from camphoryard.state.serving_endpoints import EndpointState
from camphoryard.state.traffic import RequestedModel
from tests.fakes.engines import (
    SERVICE,
    RecordedLog,
    make_endpoint,
    make_rules,
    make_spec,
)

ITEM = RequestedModel(ModelId("m1"))
LOADING_S = 0.1


class CountingController:
    """A controller that has a model loaded at ``e2`` once ``is_loaded`` is set."""

    def __init__(self):
        self.calls = 0
        self.is_loaded = False

    def ensure_loaded(self, service, item, avoid=()):
        """Return the endpoint once the model is loaded."""
        self.calls += 1
        return Loaded(EndpointId("e2")) if self.is_loaded else Loading(LOADING_S)


class Fleet:
    """A leader, and engines of which e1 has the model loaded."""

    def __init__(self):
        self.directory = Directory()
        self.directory.adopt(make_rules(make_spec({"m1": 60})))
        self.list_endpoints(e1=["m1"], e2=[])
        self.controller = CountingController()
        node = NodeId("n1")
        context = ItemLocatorContext(
            node,
            self.directory,
            self.controller,
            None,
            lambda: node,
            None,
            RecordedLog(),
        )
        self.locator = ItemLocator(context)

    def list_endpoints(self, **models_by_name):
        """Update the directory with the given engines."""
        items = [make_endpoint(name, models) for name, models in models_by_name.items()]
        self.directory.replace_all(items, False)

    def drain(self, name):
        """Have an engine leave."""
        state = EndpointState.DRAINING
        self.directory.observe(make_endpoint(name, ["m1"], state=state))

    def locate(self, within_s, avoid=(), **options):
        """Block until the model is loaded."""
        deadline_s = time.monotonic() + within_s
        return self.locator.locate(SERVICE, ITEM, deadline_s, avoid, **options)


@pytest.fixture
def fleet():
    """Return a fleet whose model has to be loaded."""
    return Fleet()


class TestItemLocator:
    """Waiting for a model."""

    @pytest.mark.parametrize("avoid", [(), ("e1",)])
    def test_locator_does_not_spin_while_a_crashed_engine_is_listed(self, fleet, avoid):
        """The controller is called no more often than its estimate requires."""
        with pytest.raises(NotLoadedBeforeDeadlineError):
            fleet.locate(LOADING_S * 5, avoid)
        assert fleet.controller.calls <= 6

    # Guards against DRAIN: the leader had not heard yet that the engine leaves.
    def test_engine_that_leaves_is_not_used_though_the_leader_names_it(self, fleet):
        """The request gets no endpoint that this node knows to be leaving."""
        fleet.drain("e2")
        fleet.controller.is_loaded = True
        with pytest.raises(NotLoadedBeforeDeadlineError):
            fleet.locate(within_s=0.2)

    # Guards against LOST: a stopping node broke off streams that waited for an engine.
    def test_stopping_node_waits_on_for_a_stream_that_has_begun(self, fleet):
        """Its client cannot go to another node in the middle of the answer."""
        fleet.locator.stop()
        with pytest.raises(NotLoadedBeforeDeadlineError):
            fleet.locate(within_s=5.0)
        fleet.controller.is_loaded = True
        assert fleet.locate(within_s=5.0, has_begun=True).id == "e2"

    def test_newly_loaded_engine_ends_the_wait(self, fleet):
        """The model was loaded there before the next call of the controller."""
        fleet.controller.is_loaded = False
        found = []
        waiter = threading.Thread(target=lambda: found.append(fleet.locate(2.0)))
        waiter.start()
        fleet.controller.is_loaded = True
        fleet.list_endpoints(e1=["m1"], e2=["m1"])
        waiter.join(1.0)
        assert [item.id for item in found] == ["e2"]
