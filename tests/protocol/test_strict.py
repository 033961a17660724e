"""Tests of conversion that names the invalid field."""

from dataclasses import dataclass, field

import pytest

from camphoryard.protocol.strict import FieldError, convert_strict


@dataclass(frozen=True, slots=True)
class Inner:
    """A nested form."""

    size: int


@dataclass(frozen=True, slots=True)
class Outer:
    """A form with nested ones."""

    name: str
    inner: list[Inner] = field(default_factory=list)


class TestConvertStrict:
    """Conversion of valid and invalid data."""

    def test_valid_data(self):
        """Nested data classes are converted, and defaults are filled in."""
        assert convert_strict({"name": "a"}, Outer) == Outer("a")
        raw = {"name": "a", "inner": [{"size": 1}]}
        assert convert_strict(raw, Outer) == Outer("a", [Inner(1)])

    @pytest.mark.parametrize(
        ("raw", "where"),
        [
            ({"name": 1}, "name"),
            ({"name": "a", "nome": "b"}, "nome"),
            ({"name": "a", "inner": [{"size": 1}, {"size": "x"}]}, "inner[1].size"),
            ({"name": "a", "inner": [{"size": 1, "colour": 2}]}, "inner[0].colour"),
        ],
    )
    def test_names_the_invalid_field(self, raw, where):
        """The error has the path of the invalid field."""
        with pytest.raises(FieldError) as caught:
            convert_strict(raw, Outer)
        assert caught.value.field == where
