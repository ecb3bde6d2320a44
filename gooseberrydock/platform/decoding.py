"""What the readers of the platform's formats share: names, and what malformed bytes raise."""

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


def describe_error(error: Exception) -> str:
    """Return what a reader found wrong, for the detail of a coded error."""
    return f"{type(error).__name__}: {error}"


def require_text(value: object) -> str:
    """Return a text that is not empty, or raise one of ``MALFORMED_INPUT``."""
    if not isinstance(value, str) or not value:
        raise ValueError("a name is missing")
    return value
