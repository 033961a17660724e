"""The entry daemon: one process on each VM between clients and endpoints."""
