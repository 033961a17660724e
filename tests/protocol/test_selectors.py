"""Tests of the text form of selectors."""

import pytest

from camphoryard.protocol.selectors import (
    SelectorSyntaxError,
    format_selector,
    parse_selector,
)
from camphoryard.state.labels import Equals, Missing, NoneOf, OneOf, Selector


class TestParseSelector:
    """Parsing and formatting selectors."""

    def test_parses_every_form(self):
        """Commas separate requirements, and in parentheses values."""
        assert parse_selector("a=1, b in (x, y), c notin (z), !d") == Selector(
            (
                Equals("a", "1"),
                OneOf("b", frozenset("xy")),
                NoneOf("c", frozenset("z")),
                Missing("d"),
            )
        )

    @pytest.mark.parametrize("text", ["a=", "=b", "a in ()", "a in (x", "!a=b", "a,,b"])
    def test_rejects_invalid_syntax(self, text):
        """Invalid text raises SelectorSyntaxError."""
        with pytest.raises(SelectorSyntaxError):
            parse_selector(text)

    @pytest.mark.parametrize(
        "text", ["", "a", "!a", "a=b", "a!=b", "a in (b, c)", "a notin (b), c=d"]
    )
    def test_round_trip(self, text):
        """format_selector reproduces the parsed text."""
        assert format_selector(parse_selector(text)) == text
