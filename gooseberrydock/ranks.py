"""The order in which requests are shed.

A rank is the priority of the service class plus a fraction hashed from the request id. Every
hop computes the same rank for the same request, so that a request which one hop admits is not
shed by the next one while another of the same class passes. Small ranks are shed last.
"""

from typing import Final

import xxhash

from gooseberrydock import defaults

MAX_RANK: Final = float(defaults.PRIORITY_LEVELS)
_HASH_RANGE: Final = float(2**64)


def request_rank(priority: int, request_id: str) -> float:
    """Return the rank of a request, from ``priority`` up to just under ``priority + 1``."""
    return priority + xxhash.xxh3_64_intdigest(request_id.encode()) / _HASH_RANGE * (1 - 1e-9)
