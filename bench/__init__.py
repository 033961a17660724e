"""Benchmarks, each a command that prints its results."""
