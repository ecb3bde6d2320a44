"""Idempotency keys: UUIDs of version 7, whose first 48 bits are a time in milliseconds (RFC 9562).

The keys of deeper calls derive from the parent's key, so that a repeated parent makes the same
keys again. A derived key keeps the parent's time.
"""

import hashlib
import random
import uuid
from typing import Final

from gooseberrydock.clock import Millis

_TIME_SHIFT: Final = 80
_RANDOM_BITS: Final = 74
_VERSION_BITS: Final = 0x7 << 76
_VARIANT_BITS: Final = 0b10 << 62
_LOW_BITS: Final = 62


def create_key(wall_ms: Millis, generator: random.Random) -> str:
    """Make a new key."""
    return _compose(int(wall_ms), generator.getrandbits(_RANDOM_BITS))


def derive_key(parent: str, service: str, operation: str, ordinal: str) -> str:
    """Make the key of a call that the holder of the parent key makes."""
    text = "\0".join((parent, service, operation, ordinal))
    digest = hashlib.blake2b(text.encode(), digest_size=16).digest()
    return _compose(key_time_ms(parent), int.from_bytes(digest, "big") % (1 << _RANDOM_BITS))


def is_valid_key(key: str) -> bool:
    """Say whether a string is a UUID of version 7 in its usual form."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return False
    return parsed.version == 7 and str(parsed) == key


def key_time_ms(key: str) -> int:
    """Return the time at which a key was made, in wall-clock milliseconds."""
    return uuid.UUID(key).int >> _TIME_SHIFT


def _compose(time_ms: int, random_bits: int) -> str:
    high = (random_bits >> _LOW_BITS) << 64
    low = random_bits & ((1 << _LOW_BITS) - 1)
    number = (time_ms << _TIME_SHIFT) | _VERSION_BITS | high | _VARIANT_BITS | low
    return str(uuid.UUID(int=number & ((1 << 128) - 1)))
