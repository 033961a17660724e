"""Small stand-ins for the systems around camphoryard, each a process of its own.

Every stand-in answers ``GET /livez`` and takes faults by ``POST /control``.
"""
