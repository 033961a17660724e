"""What engines hold: orders, their records and their owners."""
