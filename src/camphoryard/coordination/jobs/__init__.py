"""Durable jobs: deferrable work that runs later."""
