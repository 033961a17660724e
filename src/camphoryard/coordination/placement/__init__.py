"""Placement of models and adapters on engines ahead of requests."""
