"""Stand-ins for the systems around camphoryard, each run as a separate process.

Every stand-in answers ``GET /livez`` and accepts fault settings at ``POST /control``.
"""
