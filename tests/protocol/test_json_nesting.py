"""Tests of the removal of deeply nested values from JSON."""

import json

import pytest

from camphoryard.protocol.json_nesting import MAX_DEPTH, without_deep_values


class TestWithoutDeepValues:
    """Which values are replaced."""

    @pytest.mark.parametrize("pair", [(b"[", b"]"), (b'{"x":', b"}")])
    def test_deep_value_becomes_null_and_others_are_kept(self, pair):
        """The rest of the document has the same values as before."""
        opening, closing = pair
        deep = opening * 5000 + b"1" + closing * 5000
        document = b'{"a":[1,{"b":"c"}],"deep":' + deep + b',"z":true}'
        value = json.loads(without_deep_values(document))
        assert (value["a"], value["z"]) == ([1, {"b": "c"}], True)
        depth, inner = 0, value["deep"]
        while inner is not None:
            depth, inner = depth + 1, inner[0] if opening == b"[" else inner["x"]
        assert depth == MAX_DEPTH - 1

    def test_brackets_in_strings_are_no_nesting(self):
        """Quotes and backslashes in strings are escaped."""
        document = json.dumps({"text": '[{"\\' * 500}).encode()
        assert without_deep_values(document) == document

    def test_several_deep_values_are_replaced(self):
        """Each odd entry of a listing is replaced by itself."""
        deep = b"[" * 200 + b"]" * 200
        value = json.loads(without_deep_values(b"[" + deep + b",2," + deep + b"]"))
        assert value[1] == 2
