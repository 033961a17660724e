"""Admission: queues, slots and concurrency limits for requests."""
