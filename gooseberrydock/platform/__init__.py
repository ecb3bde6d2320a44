"""Adapter to the users' platform: decodes its names, formats and calls once, into our own types.

The package makes no decisions, and no name of the platform occurs outside it.
"""
