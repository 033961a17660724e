"""Duties that one node at a time has, kept by records in the store."""
