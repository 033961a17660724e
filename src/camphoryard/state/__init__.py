"""Ids, states, records and tables: values that every other layer reads."""
