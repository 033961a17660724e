"""Dispatch of requests to model engines by one node for the whole fleet."""
