"""Adapter that translates the platform's names and messages to core types."""
