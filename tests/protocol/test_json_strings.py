"""Tests of the replacement of unreadable strings in JSON."""

import json

from camphoryard.protocol.json_strings import UNREADABLE, without_unreadable_strings


class TestWithoutUnreadableStrings:
    """Which strings are replaced."""

    def test_readable_document_is_unchanged(self):
        """Escapes, pairs of surrogates and quotes in strings are readable."""
        values = ['a\n"b\\', "\u00e9", "\U0001f600", "", {"k": "\\"}]
        for is_ascii in (True, False):
            document = json.dumps(values, ensure_ascii=is_ascii).encode()
            assert without_unreadable_strings(document) == document

    def test_only_the_unreadable_string_is_replaced(self):
        """A lone surrogate, invalid UTF-8 and an unknown escape."""
        for odd in (b'"\\ud800"', b'"\xff"', b'"\\q"'):
            document = b'["a",' + odd + b',"b"]'
            expected = b'["a",' + UNREADABLE + b',"b"]'
            assert without_unreadable_strings(document) == expected
