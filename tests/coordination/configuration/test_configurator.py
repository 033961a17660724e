"""Tests of accepting configuration changes."""

import pytest

from camphoryard.coordination.configuration import configuring
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


class Desk:
    """Two operators' nodes over one object API."""

    def __init__(self):
        self.heads = InMemoryRecords()
        self.contents = InMemoryContents()
        self.one = self.node()
        self.two = self.node()

    def node(self):
        """Return another node's configurator."""
        timeline = Timeline("node", HybridClock(), lambda event: None)
        return Configurator(self.heads, self.contents, ConfigurationHolder(), timeline)

    @property
    def head(self):
        """The head accepted last."""
        return self.heads.get(HEAD_KEY).record


@pytest.fixture
def desk():
    """Return two nodes over one object API."""
    return Desk()


class TestAccept:
    """Accepting changes."""

    def test_second_of_two_racing_changes_conflicts(self, desk):
        """One wins; the other is told what changed, and nothing of it stays."""
        desk.one.accept(model_change("a"))
        desk.heads.before_put = lambda: desk.two.accept(model_change("b"))
        with pytest.raises(RefusalError, match="model/b") as caught:
            desk.one.accept(model_change("c"))
        assert caught.value.reason is Reason.CONFLICT
        assert caught.value.verdict is Verdict.NOT_RUN
        names = {key for part in live_parts(desk) for key in part.models_by_id}
        assert names == {"a", "b"}

    def test_stale_base_conflicts(self, desk):
        """A change over a generation that is not accepted any more is refused."""
        base = desk.one.accept(model_change("a")).generation
        desk.two.accept(model_change("a", 200))
        with pytest.raises(RefusalError, match="model/a"):
            desk.one.accept(model_change("a", 300, base=base))

    def test_lost_answer_is_resolved(self, desk):
        """A write whose answer was lost counts once."""
        desk.heads.lose_answers = 1
        accepted = desk.one.accept(model_change("a"))
        assert accepted.generation == desk.head.generation == 1

    def test_lost_answer_under_later_changes_is_resolved(self, desk):
        """Our own write is found although another's came on top."""
        desk.heads.lose_answers = 1
        desk.heads.after_put = lambda: desk.two.accept(model_change("b"))
        assert desk.one.accept(model_change("a")).generation == 1
        assert desk.head.generation == 2

    def test_same_write_again_changes_nothing(self, desk):
        """A change sent again is answered with the generation it made."""
        change = model_change("a")
        desk.one.accept(change)
        desk.one.accept(model_change("b"))
        assert desk.two.accept(change).generation == 1
        assert desk.head.generation == 2

    def test_outage_refuses_and_changes_nothing(self, desk):
        """Without the object API nothing is accepted."""
        desk.heads.outage = True
        with pytest.raises(RefusalError) as caught:
            desk.one.accept(model_change("a"))
        assert caught.value.reason is Reason.STORE_UNAVAILABLE
        assert caught.value.verdict is Verdict.NOT_RUN

    def test_preview_writes_nothing(self, desk):
        """A dry run tells what would change and leaves no object behind."""
        planned = desk.one.preview(model_change("a"))
        assert [item.name for item in planned.changes] == ["model/a"]
        assert not desk.heads.stored_by_key
        assert not desk.contents.part_by_key

    def test_unchanged_parts_are_not_written_again(self, desk):
        """A change of one item writes one part."""
        items = {f"m{index}": Model(f"m{index}", 1) for index in range(500)}
        desk.one.accept(Change(Configuration(models_by_id=items)))
        before = set(desk.contents.part_by_key)
        desk.one.accept(model_change("m1", 2))
        assert len(set(desk.contents.part_by_key) - before) == 1


class TestCollect:
    """Deleting old parts."""

    def test_replaced_parts_go_one_change_later(self, desk):
        """Parts do not pile up, and those of the last two heads stay."""
        for memory_mb in range(1, 20):
            desk.one.accept(model_change("a", memory_mb))
        assert len(desk.contents.part_by_key) == 2

    def test_losers_parts_are_swept(self, desk, monkeypatch):
        """Parts whose head was never written go; those it names stay."""
        monkeypatch.setattr(configuring, "SWEEP_PERIOD_GENERATIONS", 3)
        desk.one.accept(model_change("a"))
        desk.heads.before_put = lambda: desk.two.accept(model_change("b"))
        with pytest.raises(RefusalError):
            desk.one.accept(model_change("c"))
        desk.one.accept(model_change("d"))
        assert set(desk.contents.part_by_key) == {
            *desk.head.key_by_part.values(),
            *desk.head.retired,
        }


class TestTakeHead:
    """Putting heads in force."""

    def test_older_head_changes_nothing(self, desk):
        """A stale watch never takes a node back."""
        desk.one.accept(model_change("a"))
        old = desk.heads.get(HEAD_KEY)
        desk.one.accept(model_change("a", 200))
        holder = desk.one._holder
        desk.one.apply_head(old)
        assert holder.current.generation == 2
        assert holder.current.models_by_id["a"].memory_mb == 200


def live_parts(desk):
    """Return the parts that the head names."""
    return [desk.contents.get(key) for key in desk.head.key_by_part.values()]


class TestSplit:
    """Splitting into parts."""

    def test_parts_fit_objects_at_full_size(self):
        """4,500 endpoints with long labels stay far under a megabyte a part."""
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
        parts = configuring.split(Configuration(endpoints_by_id=endpoints))
        sizes = [len(encode_configuration(part)) for part in parts.values()]
        assert max(sizes) < 200_000
