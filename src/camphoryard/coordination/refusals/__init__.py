"""Refusal counts that survive the loss of their node."""
