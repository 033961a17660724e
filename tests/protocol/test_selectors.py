"""Tests of the text form of selectors."""

import pytest

from camphoryard.protocol.selectors import (
    SelectorSyntaxError,
    format_selector,
    parse_selector,
)
from camphoryard.state.labels import Equals, Missing, NoneOf, OneOf, Selector


class TestParseSelector:
    """Reading selectors."""

    def test_reads_every_form(self):
        """Requirements are joined by commas, commas in parentheses are values'."""
        assert parse_selector("a=1, b in (x, y), c notin (z), !d") == Selector(
            (
                Equals("a", "1"),
                OneOf("b", frozenset("xy")),
                NoneOf("c", frozenset("z")),
                Missing("d"),
            )
        )

    @pytest.mark.parametrize("text", ["a=", "=b", "a in ()", "a in (x", "!a=b", "a,,b"])
    def test_refuses_bad_syntax(self, text):
        """What cannot be read is refused, never guessed at."""
        with pytest.raises(SelectorSyntaxError):
            parse_selector(text)

    @pytest.mark.parametrize(
        "text", ["", "a", "!a", "a=b", "a!=b", "a in (b, c)", "a notin (b), c=d"]
    )
    def test_round_trip(self, text):
        """What is written by format_selector parses to an equal selector."""
        assert format_selector(parse_selector(text)) == text
