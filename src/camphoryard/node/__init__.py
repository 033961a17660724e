"""The parts of one node and the factory functions that put them together."""

from camphoryard.node.assembly import Node, make_node

__all__ = ["Node", "make_node"]
