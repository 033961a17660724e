"""The users' platform: its names and message forms, translated to our own."""
