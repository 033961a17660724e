"""The users' names stand in the adapter only."""

import ast
from pathlib import Path

import msgspec

from camphoryard.platform import engines, heads, settings, store, traffic

SOURCE = Path(heads.__file__).parents[1]
MODULES = (engines, heads, settings, store, traffic)
FIRST_DISTINCT_PARTS = 2
"""Names of one word, such as ``zone``, are everyday words inside as well."""
OF_HTTP = {"Retry-After"}


def wire_names():
    """Return the names of two words or more in the adapter's codec tables."""
    names = set()
    for module in MODULES:
        for item in vars(module).values():
            if isinstance(item, type) and issubclass(item, msgspec.Struct):
                names.update(
                    field.encode_name for field in msgspec.structs.fields(item)
                )
            elif isinstance(item, str):
                names.add(item)
    names |= set(heads.SET_BY_SYSTEM)
    return {
        name
        for name in names - OF_HTTP
        if name.replace("-", "").isalpha()
        and len(name.split("-")) >= FIRST_DISTINCT_PARTS
    }


def literals(path):
    """Return the strings in a module that are no doc text."""
    tree = ast.parse(path.read_text())
    docs = {
        node.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }
    return {
        node.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant)
        and isinstance(node.value, str)
        and node not in docs
    }


class TestWireNames:
    """Names on the wire."""

    def test_there_are_many(self):
        """The tables are read, so the next test tests something."""
        names = wire_names()
        assert {"Attempt-Id", "Server-Seal", "path-prefix"} <= names
        assert len(names) > 30

    def test_none_stands_outside_the_adapter(self):
        """Each is decoded once, in the adapter."""
        names = {name.lower() for name in wire_names()}
        found = {
            (path.relative_to(SOURCE).as_posix(), text)
            for path in SOURCE.rglob("*.py")
            if SOURCE / "platform" not in path.parents
            for text in literals(path)
            if text.lower() in names
        }
        assert found == set()

    def test_the_adapter_is_small(self):
        """It translates and does nothing else: under a tenth of the code."""
        sizes = {
            path: len(path.read_text().splitlines()) for path in SOURCE.rglob("*.py")
        }
        adapter = sum(
            size for path, size in sizes.items() if SOURCE / "platform" in path.parents
        )
        assert adapter < sum(sizes.values()) / 10
