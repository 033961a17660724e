"""HTTP servers and clients, peer sockets and the timer service."""
