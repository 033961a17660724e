"""Forwarding of requests whose content the system does not interpret."""
