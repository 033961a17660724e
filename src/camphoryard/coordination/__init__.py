"""Decisions, and the sequential tasks that wait, decide and act."""
