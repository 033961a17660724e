"""Tests that the platform's wire names are used only in its adapter."""

import ast
from pathlib import Path

import msgspec

from camphoryard.platform import dialect, engines, settings, store, traffic

SOURCE = Path(dialect.__file__).parents[1]
MODULES = (engines, dialect, settings, store, traffic)
MIN_WORDS = 2
"""Names of one word, such as ``zone``, are common in other code too."""
HTTP_HEADERS = {"Retry-After"}


def wire_names():
    """Return the wire names of two or more words in the adapter's modules."""
    names = set()
    for module in MODULES:
        for item in vars(module).values():
            if isinstance(item, type) and issubclass(item, msgspec.Struct):
                names.update(
                    field.encode_name for field in msgspec.structs.fields(item)
                )
            elif isinstance(item, str):
                names.add(item)
    names |= set(dialect.SYSTEM_HEADERS)
    return {
        name
        for name in names - HTTP_HEADERS
        if name.replace("-", "").isalpha() and len(name.split("-")) >= MIN_WORDS
    }


def literals(path):
    """Return the string literals of a module without its docstrings."""
    tree = ast.parse(path.read_text())
    docstrings = {
        node.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }
    return {
        node.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant)
        and isinstance(node.value, str)
        and node not in docstrings
    }


class TestWireNames:
    """Names on the wire."""

    def test_wire_names_are_found(self):
        """The next test has names to look for."""
        names = wire_names()
        assert {"Attempt-Id", "Server-Seal", "path-prefix"} <= names
        assert len(names) > 30

    def test_wire_names_are_used_only_in_the_adapter(self):
        """Modules outside the adapter contain no wire name."""
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
        """The adapter only translates: it has less than a tenth of the code."""
        sizes = {
            path: len(path.read_text().splitlines()) for path in SOURCE.rglob("*.py")
        }
        adapter_lines = sum(
            size for path, size in sizes.items() if SOURCE / "platform" in path.parents
        )
        assert adapter_lines < sum(sizes.values()) / 10
