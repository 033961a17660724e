"""Tests of accepted changes that a restored store has lost."""

import time

import pytest

from camphoryard.coordination.configuration.changes import Change
from camphoryard.coordination.configuration.configurator import Configurator
from camphoryard.coordination.lost_records import LostRecordWriter
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.store_restores import StoreRestores
from camphoryard.protocol.platform import HEAD_CODEC, PART_CODEC
from camphoryard.state.configuration import Configuration, Model
from camphoryard.state.tables import ConfigurationHolder
from camphoryard.state.timeline import HybridClock
from camphoryard.transport.http_client import Address
from camphoryard.transport.object_api import ObjectApi, ObjectContents, ObjectRecords
from standins.object_api import Store
from tests.fakes.object_api import StoreClient

SETTLING_S = 1.0


def model_change(name):
    """Return a change that adds one model."""
    return Change(Configuration(models_by_id={name: Model(name, 100)}))


class Node:
    """A node's configurator and its view of the store."""

    def __init__(self, store, now_s):
        self.restores = StoreRestores(SETTLING_S, now_s)
        api = ObjectApi(StoreClient(store), Address("h", 1), "", self.restores.observe)
        self.heads = ObjectRecords(api, "heads/", HEAD_CODEC)
        contents = ObjectContents(api, "parts/", PART_CODEC)
        self.holder = ConfigurationHolder()
        self.configurator = Configurator(
            self.heads,
            contents,
            self.holder,
            Timeline("node", HybridClock(), lambda event: None),
            restores=self.restores,
        )
        self.lost_changes = LostRecordWriter(
            self.configurator.write_again, self.restores
        )

    def accept(self, name):
        """Accept a change that adds a model."""
        return self.configurator.accept(model_change(name))

    def watch(self):
        """Adopt what is in the store."""
        for item in self.heads.list().items:
            self.configurator.apply_head(item)

    @property
    def models(self):
        """The models in force."""
        return set(self.holder.current.models_by_id)


class Site:
    """Two nodes, and a store that is restored to before the second change."""

    def __init__(self):
        self.store = Store()
        self.now_s = 0.0
        self.one, self.two = self.node(), self.node()
        self.one.accept("a")
        self.two.watch()
        self.copied_s = time.monotonic()
        self.one.accept("b")

    def node(self):
        """Return a new node, at which the present era has settled."""
        node = Node(self.store, lambda: self.now_s)
        node.heads.list()
        self.settle()
        return node

    def settle(self):
        """Let the time pass in which the nodes write again."""
        self.now_s += SETTLING_S

    def restore(self):
        """Restore the store to the copy."""
        self.store.restore(self.copied_s)


@pytest.fixture
def site():
    """Return two nodes, of which one has accepted a change that will be lost."""
    return Site()


# Guards against CONFIG: a restored store had lost an accepted change. A node that
# started got the older configuration, and the next change took the lost generation.
class TestLostChanges:
    """Accepted changes that are written again."""

    def test_lost_change_is_written_again(self, site):
        """A node that starts later adopts it, with its parts."""
        site.restore()
        site.one.heads.list()
        site.one.lost_changes.check()
        started = site.node()
        started.watch()
        assert started.models == {"a", "b"}
        assert started.holder.current == site.one.holder.current

    def test_first_change_is_written_again(self, site):
        """The store has no head at all."""
        site.copied_s = 0.0
        site.restore()
        site.one.heads.list()
        site.one.lost_changes.check()
        started = site.node()
        started.watch()
        assert started.models == {"a", "b"}

    def test_change_heard_of_later_is_written_again(self, site):
        """A node checks until the era has settled."""
        site.restore()
        site.two.heads.list()
        site.two.lost_changes.check()
        site.two.configurator.apply_offer(site.one.configurator.offer(()))
        site.two.lost_changes.check()
        site.settle()
        started = site.node()
        started.watch()
        assert started.models == {"a", "b"}

    def test_newer_head_stays(self, site):
        """A node that knows only the older one writes nothing."""
        site.two.heads.list()
        site.store.restore(time.monotonic())
        site.two.heads.list()
        revision = site.store.revision
        site.two.lost_changes.check()
        assert site.store.revision == revision

    def test_is_checked_once_the_era_has_settled(self, site):
        """After that, the object API is not asked again."""
        site.restore()
        site.one.heads.list()
        site.settle()
        site.one.lost_changes.check()
        reads = site.store.counts.reads
        site.one.lost_changes.check()
        assert site.store.counts.reads == reads

    def test_change_waits_until_the_nodes_had_time(self, site):
        """A node that does not know the lost change accepts none in its place."""
        site.restore()
        site.two.restores.wait_settled = lambda deadline_s: (
            site.one.heads.list(),
            site.one.lost_changes.check(),
            site.settle(),
        )
        result = site.two.accept("c")
        assert result.generation == site.one.holder.current.generation + 1
        assert site.two.models == {"a", "b", "c"}

    def test_change_at_a_node_that_knows_the_lost_one(self, site):
        """It is written again first, so that the next generation is new."""
        site.restore()
        site.one.heads.list()
        site.settle()
        lost = site.one.holder.current.generation
        assert site.one.accept("c").generation == lost + 1
        assert site.one.models == {"a", "b", "c"}
