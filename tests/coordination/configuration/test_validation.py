"""Tests of the checks on a change."""

import pytest

from camphoryard.coordination.configuration.changes import apply_change
from camphoryard.coordination.configuration.validation import (
    check_change,
    check_configuration,
    warnings,
)
from camphoryard.protocol.configuration import convert_change
from camphoryard.state.configuration import Configuration
from camphoryard.state.errors import RefusalError

ENGINE = {"id": "e", "kind": "engine", "host": "10.0.0.1", "port": 1, "memory_mb": 9}
MODEL = {"id": "m", "memory_mb": 5}
GROUP = {"id": "g", "priority": "urgent"}


def checked(raw):
    """Return the configuration that a change makes of an empty one."""
    change = convert_change(raw)
    check_change(Configuration(), change)
    whole = apply_change(Configuration(), change)
    check_configuration(whole)
    return whole


class TestCheck:
    """Changes that are refused, and the field each names."""

    @pytest.mark.parametrize(
        ("raw", "field"),
        [
            ({"adapters": [{**MODEL, "base": "x"}]}, "adapter/m.base"),
            ({"models": [MODEL, MODEL]}, "models[1].id"),
            ({"models": [{**MODEL, "memory_mb": 0}]}, "model/m.memory_mb"),
            ({"models": [{**MODEL, "id": "a:b"}]}, "model/a:b.id"),
            ({"callers": [{"id": "a/b"}]}, "caller/a/b.id"),
            ({"endpoints": [{**ENGINE, "port": 70_000}]}, "endpoint/e.port"),
            ({"endpoints": [{**ENGINE, "memory_mb": -1}]}, "endpoint/e.memory_mb"),
            ({"endpoints": [{**ENGINE, "host": "gpu.local"}]}, "endpoint/e.host"),
            (
                {"groups": [GROUP, {**GROUP, "id": "h", "targets": "=x"}]},
                "groups[1].targets",
            ),
            ({"groups": [{**GROUP, "priority": "high"}]}, "groups[0].priority"),
            ({"models": [{**MODEL, "memory": 1}]}, "models[0].memory"),
            (
                {"callers": [{"id": "c", "labels": {"max-concurrent": "many"}}]},
                "caller/c.labels.max-concurrent",
            ),
            (
                {"callers": [{"id": "c", "labels": {"max-concurrent": "-1"}}]},
                "caller/c.labels.max-concurrent",
            ),
            ({"groups": [{**GROUP, "max_concurrent": -1}]}, "group/g.max_concurrent"),
            ({"removed": ["model/gone"]}, "removed"),
            ({"removed": ["modl/m"]}, "removed"),
            ({"models": [MODEL], "removed": ["model/m"]}, "removed"),
        ],
    )
    def test_names_the_field(self, raw, field):
        """A wrong change is refused with the field at fault."""
        with pytest.raises(RefusalError) as caught:
            checked(raw)
        assert caught.value.field == field

    def test_limit_label_is_taken(self):
        """A whole number bounds a caller; 0 does not."""
        for text in ("8", "0"):
            caller = {"id": "c", "labels": {"max-concurrent": text}}
            checked({"callers": [caller]})

    def test_base_model_cannot_be_removed_from_under_adapters(self):
        """Removing a model that adapters need is refused."""
        whole = checked({"models": [MODEL], "adapters": [{**MODEL, "base": "m"}]})
        change = convert_change({"removed": ["model/m"]})
        check_change(whole, change)
        with pytest.raises(RefusalError, match=r"adapter/m\.base"):
            check_configuration(apply_change(whole, change))


class TestWarnings:
    """Changes that are accepted with a warning."""

    def test_group_that_selects_nothing(self):
        """A selector that matches no item is told."""
        group = {**GROUP, "callers": "desk=x", "targets": "kind=y", "endpoints": "z"}
        assert warnings(checked({"groups": [group]})) == (
            "group/g: selects no caller",
            "group/g: selects no model, adapter or service",
            "group/g: selects no endpoint",
        )

    def test_model_that_cannot_be_reached(self):
        """A model that fits nowhere or that no group selects is told."""
        large = {"id": "large", "memory_mb": 10, "labels": {"size": "l"}}
        group = {**GROUP, "targets": "size=l"}
        raw = {"models": [MODEL, large], "endpoints": [ENGINE], "groups": [group]}
        assert warnings(checked(raw)) == (
            "model/m: no group selects it, so no caller reaches it",
            "model/large: fits at no engine of the groups that select it",
        )
