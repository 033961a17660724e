"""Deferred work."""
