"""Inference requests: admission, attempts at endpoints and crash suspects."""
