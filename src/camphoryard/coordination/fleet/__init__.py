"""Registration of nodes, and gossip of load between them."""
