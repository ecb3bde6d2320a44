"""Helpers of the decoders of outside formats: exception types and required strings."""

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
"""Exceptions of a decoder that mean that its input is malformed."""


def describe_error(error: Exception) -> str:
    """Return the type and message of a decoder's exception, for the detail of a coded error."""
    return f"{type(error).__name__}: {error}"


def require_string(value: object) -> str:
    """Return a value that is a non-empty string, or raise one of ``MALFORMED_INPUT``.

    A JSON string may have lone surrogates, which cannot be encoded when the value is passed on.
    """
    if not isinstance(value, str) or not value:
        raise ValueError("a required value is missing, empty or not a string")
    value.encode()
    return value
