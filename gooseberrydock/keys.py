"""Idempotency keys: UUIDs of version 7, whose first 48 bits are a time in milliseconds (RFC 9562).

The keys of deeper calls derive from the parent's key, so that a repeated parent makes the same
keys again. A derived key keeps the parent's time.
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
    """Make a new key."""
    return _compose(int(wall_ms), generator.getrandbits(_RANDOM_BITS))


def derive_key(parent: str, service: str, operation: str, ordinal: str) -> str:
    """Make the key of a call that the holder of the parent key makes."""
    text = "\0".join((parent, service, operation, ordinal))
    digest = hashlib.blake2b(text.encode(), digest_size=16).digest()
    return _compose(key_time_ms(parent), int.from_bytes(digest, "big"))


def is_valid_key(key: str) -> bool:
    """Say whether a string is a UUID of version 7 in its usual form."""
    return _KEY_PATTERN.fullmatch(key) is not None


def key_time_ms(key: str) -> int:
    """Return the time at which a key was made, in wall-clock milliseconds."""
    return int(key[:8] + key[9:13], 16)


def _compose(time_ms: int, random_bits: int) -> str:
    """Write the parts as a UUID; text is put together because that is fast."""
    first = f"{time_ms & _TIME_MASK:012x}"
    second = f"{random_bits & _RANDOM_MASK:019x}"
    variant = _VARIANT_DIGITS[int(second[3], 16) & 3]
    return f"{first[:8]}-{first[8:]}-7{second[:3]}-{variant}{second[4:7]}-{second[7:]}"
