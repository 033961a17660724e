"""Codecs and message types for callers, operators, endpoints, platform and peers."""
