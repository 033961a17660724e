"""Which items engines have loaded: orders, endpoint records and their owners."""
