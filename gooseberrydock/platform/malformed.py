"""What reading the platform's formats may raise, whatever the bytes hold."""

from typing import Final

MALFORMED_INPUT: Final = (
    ValueError,
    KeyError,
    IndexError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Exceptions of a reader that mean that its input is malformed."""
