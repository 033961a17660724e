"""Service calls that run at most once, and the claims that guarantee this."""
