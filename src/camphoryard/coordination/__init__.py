"""Decisions and the straight-line tasks that wait, decide and act in order."""
