"""Leadership of the fleet, which one node at a time holds by a lease in the store."""
