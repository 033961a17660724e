"""Requests that run at most once, and the claims that see to it."""
