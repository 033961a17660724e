"""Tests of accepting configuration changes."""

import pytest

from camphoryard.coordination.configuration import configurator
from camphoryard.coordination.configuration.changes import Change
from camphoryard.coordination.configuration.configurator import HEAD_KEY, Configurator
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.protocol.configuration import encode_configuration
from camphoryard.state.configuration import Configuration, Endpoint, Model
from camphoryard.state.enums import EndpointKind, Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.tables import ConfigurationHolder
from camphoryard.state.timeline import HybridClock
from camphoryard.state.verdict import Verdict
from tests.fakes.object_api import InMemoryContents, InMemoryRecords


def model_change(name, memory_mb=100, **options):
    """Return a change that sets one model."""
    items = Configuration(models_by_id={name: Model(name, memory_mb)})
    return Change(items, **options)


class Site:
    """Two nodes, each with an operator, that share one object API."""

    def __init__(self):
        self.heads = InMemoryRecords()
        self.contents = InMemoryContents()
        self.one = self.node()
        self.two = self.node()

    def node(self):
        """Return the configurator of a new node."""
        timeline = Timeline("node", HybridClock(), lambda event: None)
        return Configurator(self.heads, self.contents, ConfigurationHolder(), timeline)

    @property
    def head(self):
        """The accepted head."""
        return self.heads.get(HEAD_KEY).record


@pytest.fixture
def site():
    """Return two nodes that share one object API."""
    return Site()


class TestAccept:
    """Accepting changes."""

    def test_second_of_two_racing_changes_conflicts(self, site):
        """The refusal of the second names the change, and no part of it remains."""
        site.one.accept(model_change("a"))
        site.heads.before_put = lambda: site.two.accept(model_change("b"))
        with pytest.raises(RefusalError, match="model/b") as caught:
            site.one.accept(model_change("c"))
        assert caught.value.reason is Reason.CONFLICT
        assert caught.value.verdict is Verdict.NOT_RUN
        names = {key for part in live_parts(site) for key in part.models_by_id}
        assert names == {"a", "b"}

    def test_outdated_base_conflicts(self, site):
        """A change based on a generation that has been replaced is refused."""
        base = site.one.accept(model_change("a")).generation
        site.two.accept(model_change("a", 200))
        with pytest.raises(RefusalError, match="model/a"):
            site.one.accept(model_change("a", 300, base=base))

    def test_lost_answer_is_resolved(self, site):
        """A write whose answer was lost is applied once."""
        site.heads.lose_answers = 1
        accepted = site.one.accept(model_change("a"))
        assert accepted.generation == site.head.generation == 1

    def test_lost_answer_under_later_changes_is_resolved(self, site):
        """Our own write is found although a later change replaced the head."""
        site.heads.lose_answers = 1
        site.heads.after_put = lambda: site.two.accept(model_change("b"))
        assert site.one.accept(model_change("a")).generation == 1
        assert site.head.generation == 2

    def test_repeated_write_changes_nothing(self, site):
        """A change sent again returns the generation of its first acceptance."""
        change = model_change("a")
        site.one.accept(change)
        site.one.accept(model_change("b"))
        assert site.two.accept(change).generation == 1
        assert site.head.generation == 2

    def test_outage_refuses_and_changes_nothing(self, site):
        """Without the object API no change is accepted."""
        site.heads.outage = True
        with pytest.raises(RefusalError) as caught:
            site.one.accept(model_change("a"))
        assert caught.value.reason is Reason.STORE_UNAVAILABLE
        assert caught.value.verdict is Verdict.NOT_RUN

    def test_preview_writes_nothing(self, site):
        """A dry run returns what would change and writes no object."""
        planned = site.one.preview(model_change("a"))
        assert [item.name for item in planned.changes] == ["model/a"]
        assert not site.heads.stored_by_key
        assert not site.contents.part_by_key

    def test_unchanged_parts_are_not_written_again(self, site):
        """A change of one item writes one part."""
        items = {f"m{index}": Model(f"m{index}", 1) for index in range(500)}
        site.one.accept(Change(Configuration(models_by_id=items)))
        before = set(site.contents.part_by_key)
        site.one.accept(model_change("m1", 2))
        assert len(set(site.contents.part_by_key) - before) == 1


class TestDeleteUnusedParts:
    """Deleting old parts."""

    def test_replaced_parts_are_deleted_by_the_next_change(self, site):
        """Parts do not accumulate; those of the last two heads are retained."""
        for memory_mb in range(1, 20):
            site.one.accept(model_change("a", memory_mb))
        assert len(site.contents.part_by_key) == 2

    def test_parts_of_refused_changes_are_deleted(self, site, monkeypatch):
        """Parts whose head was never written are deleted, named ones are retained."""
        monkeypatch.setattr(configurator, "SWEEP_PERIOD_GENERATIONS", 3)
        site.one.accept(model_change("a"))
        site.heads.before_put = lambda: site.two.accept(model_change("b"))
        with pytest.raises(RefusalError):
            site.one.accept(model_change("c"))
        site.one.accept(model_change("d"))
        assert set(site.contents.part_by_key) == {
            *site.head.key_by_part.values(),
            *site.head.retired,
        }


class TestApplyHead:
    """Adopting heads."""

    def test_older_head_changes_nothing(self, site):
        """An outdated head from a watch does not replace a newer configuration."""
        site.one.accept(model_change("a"))
        old = site.heads.get(HEAD_KEY)
        site.one.accept(model_change("a", 200))
        holder = site.one._holder
        site.one.apply_head(old)
        assert holder.current.generation == 2
        assert holder.current.models_by_id["a"].memory_mb == 200


def live_parts(site):
    """Return the parts that the head names."""
    return [site.contents.get(key) for key in site.head.key_by_part.values()]


class TestSplit:
    """Splitting into parts."""

    def test_parts_fit_objects_at_full_size(self):
        """4,500 endpoints with long labels give parts far below one megabyte."""
        labels = {f"label-{index}": "v" * 80 for index in range(10)}
        endpoints = {
            f"endpoint-{index}": Endpoint(
                f"endpoint-{index}",
                EndpointKind.ENGINE,
                "10.0.0.1",
                8000,
                80_000,
                True,
                labels,
            )
            for index in range(4500)
        }
        parts = configurator.split_into_parts(Configuration(endpoints_by_id=endpoints))
        sizes = [len(encode_configuration(part)) for part in parts.values()]
        assert max(sizes) < 200_000
