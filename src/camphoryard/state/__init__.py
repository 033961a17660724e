"""Ids, states, records and tables that every other layer uses."""
