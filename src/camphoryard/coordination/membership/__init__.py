"""Membership of nodes, gossip between them and handling of their messages."""
