"""The components of one node and the factory functions that construct them."""

from camphoryard.node.assembly import Node, make_node

__all__ = ["Node", "make_node"]
