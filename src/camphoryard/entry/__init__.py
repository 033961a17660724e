"""The entry daemon: a proxy on each VM that forwards client requests to endpoints."""
