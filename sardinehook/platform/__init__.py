"""The adapter to the users' platform: its names, formats and calls.

Nothing here decides. Everything is decoded once into the types of
``sardinehook.gateway``, and no other package knows a name of the platform.
"""
