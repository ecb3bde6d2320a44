"""Idempotency keys: version 7 UUIDs, whose first 48 bits are a time in milliseconds (RFC 9562).

The keys of nested calls are derived from the parent's key, so that a retried parent produces the
same keys again. A derived key keeps the parent's time.
"""

import hashlib
import random
import re
from typing import Final

from gooseberrydock.clock import Millis

_RANDOM_BITS: Final = 76
_RANDOM_MASK: Final = (1 << _RANDOM_BITS) - 1
_TIME_MASK: Final = (1 << 48) - 1
_VARIANT_DIGITS: Final = "89ab"
_KEY_PATTERN: Final = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


def create_key(wall_ms: Millis, generator: random.Random) -> str:
    """Create a key with the given wall-clock time in milliseconds."""
    return _format_key(int(wall_ms), generator.getrandbits(_RANDOM_BITS))


def derive_key(parent: str, service: str, operation: str, discriminator: str) -> str:
    """Derive a key, always the same one, from a parent's key or from the key that it replaces."""
    text = "\0".join((parent, service, operation, discriminator))
    digest = hashlib.blake2b(text.encode(), digest_size=16).digest()
    return _format_key(key_time_ms(parent), int.from_bytes(digest, "big"))


def is_valid_key(key: str) -> bool:
    """Return whether a string is a version 7 UUID in canonical form, in lower case."""
    return _KEY_PATTERN.fullmatch(key) is not None


def key_time_ms(key: str) -> int:
    """Return the time at which a key was created, in wall-clock milliseconds."""
    return int(key[:8] + key[9:13], 16)


def _format_key(time_ms: int, random_bits: int) -> str:
    """Format a time and random bits as a UUID; string formatting is used because it is fast."""
    time_hex = f"{time_ms & _TIME_MASK:012x}"
    random_hex = f"{random_bits & _RANDOM_MASK:019x}"
    variant = _VARIANT_DIGITS[int(random_hex[3], 16) & 3]
    return (
        f"{time_hex[:8]}-{time_hex[8:]}-7{random_hex[:3]}"
        f"-{variant}{random_hex[4:7]}-{random_hex[7:]}"
    )
