"""Tests of the list of known faults."""

from pathlib import Path

ROOT = Path(__file__).parent.parent
ID_MARK = "Id:"


def listed_ids():
    """Return the test ids that KNOWN-RED.txt names."""
    path = ROOT / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    return [line.split(ID_MARK)[1].strip() for line in lines if ID_MARK in line]


class TestKnownRed:
    """Entries that CI passes over."""

    def test_each_id_names_a_test_that_stands(self):
        """An entry whose test is gone would hide nothing and say nothing true."""
        for id in listed_ids():
            file, *_, name = id.split("::")
            assert f"def {name}(" in (ROOT / file).read_text(), id
