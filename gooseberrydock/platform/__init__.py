"""The adapter to the users' platform: its names, formats and calls, decoded once into our types.

Nothing in here decides anything, and nothing outside knows a name of the platform.
"""
