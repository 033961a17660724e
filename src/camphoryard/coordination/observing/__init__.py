"""What operators are shown of the system."""
