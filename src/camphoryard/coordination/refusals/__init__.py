"""Counts of refusals that outlive their node."""
