"""Tests of having models loaded; the pattern is a crash of the engine that held one."""

import threading
import time

import pytest

from camphoryard.coordination.loading.orderer import Coming, Held
from camphoryard.coordination.loading.seeking import Seeker, SeekingParts
from camphoryard.state.directory import Directory
from camphoryard.state.errors import NotLoadedBeforeDeadlineError
from camphoryard.state.ids import EndpointId, ModelId, NodeId
from camphoryard.state.traffic import RequestedModel
from tests.fakes.engines import SERVICE, KeptLines, make_endpoint, make_rules, make_spec

WANTED = RequestedModel(ModelId("m1"))
COMING_S = 0.1


class CountingOrderer:
    """An ordering node that has a model loaded at ``e2`` once told so."""

    def __init__(self):
        self.asked = 0
        self.is_loaded = False

    def provide(self, service, wanted, avoid=()):
        """Return the endpoint once it has the model."""
        self.asked += 1
        return Held(EndpointId("e2")) if self.is_loaded else Coming(COMING_S)


class Site:
    """A node that has the duty, and engines of which e1 holds the model."""

    def __init__(self):
        self.directory = Directory()
        self.directory.adopt(make_rules(make_spec({"m1": 60})))
        self.list_with(e1=["m1"], e2=[])
        self.orderer = CountingOrderer()
        node = NodeId("n1")
        parts = SeekingParts(
            node, self.directory, self.orderer, None, lambda: node, None, KeptLines()
        )
        self.seeker = Seeker(parts)

    def list_with(self, **models_by_name):
        """Take in the entries of engines."""
        items = [make_endpoint(name, models) for name, models in models_by_name.items()]
        self.directory.replace_all(items, False)

    def seek(self, within_s, avoid=()):
        """Block until the model is held."""
        return self.seeker.seek(SERVICE, WANTED, time.monotonic() + within_s, avoid)


@pytest.fixture
def site():
    """Return a site whose model has to be loaded."""
    return Site()


class TestSeeker:
    """Waiting for a model."""

    @pytest.mark.parametrize("avoid", [(), ("e1",)])
    def test_no_task_spins_while_a_crashed_engine_is_still_listed(self, site, avoid):
        """The ordering node is asked as often as its estimate says, no more."""
        with pytest.raises(NotLoadedBeforeDeadlineError):
            site.seek(COMING_S * 5, avoid)
        assert site.orderer.asked <= 6

    def test_one_more_engine_ends_the_wait(self, site):
        """The model came there before the ordering node was asked again."""
        site.orderer.is_loaded = False
        found = []
        waiting = threading.Thread(target=lambda: found.append(site.seek(2.0)))
        waiting.start()
        site.orderer.is_loaded = True
        site.list_with(e1=["m1"], e2=["m1"])
        waiting.join(1.0)
        assert [item.id for item in found] == ["e2"]
