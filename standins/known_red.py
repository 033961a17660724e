"""Reads the ids of the known failing tests from KNOWN-RED.txt."""

from pathlib import Path

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
ID_MARK = "Id:"


def known_red_ids() -> frozenset[str]:
    """Return the ids of the listed tests; empty if the file does not exist."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = (line.strip() for line in KNOWN_RED.read_text().splitlines())
    return frozenset(
        line.removeprefix(ID_MARK).strip() for line in lines if line.startswith(ID_MARK)
    )
