"""Nodes making themselves known and telling each other their load."""
