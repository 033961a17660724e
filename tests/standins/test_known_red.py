"""Tests of the list of known failing tests."""

from standins.known_red import KNOWN_RED, known_red_ids


class TestKnownRed:
    """Entries whose failures CI ignores."""

    def test_each_id_names_an_existing_test(self):
        """An entry for a test that no longer exists is out of date."""
        for id in known_red_ids():
            file, *_, name = id.split("::")
            assert f"def {name}(" in (KNOWN_RED.parent / file).read_text(), id
