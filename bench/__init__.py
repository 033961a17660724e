"""Measurements, each a command that prints its figures."""
