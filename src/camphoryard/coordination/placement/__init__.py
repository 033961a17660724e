"""Which items should be resident where, ahead of requests."""
