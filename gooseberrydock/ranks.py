"""Ranks, which define the order in which requests are shed.

A rank is the priority of the service class plus a fraction that is hashed from the request id.
Every hop computes the same rank for the same request. Therefore a request that one hop admits is
not shed by the next hop while another request of the same class with a larger rank is admitted.
Requests with small ranks are shed last.
"""

from typing import Final

import xxhash

from gooseberrydock import defaults

MAX_RANK: Final = float(defaults.PRIORITY_LEVELS)
_HASH_RANGE: Final = float(2**64)


def request_rank(priority: int, request_id: str) -> float:
    """Return the rank of a request, from ``priority`` up to just under ``priority + 1``."""
    # The last factor keeps the fraction below 1, because the largest hashes round to 2**64.
    return priority + xxhash.xxh3_64_intdigest(request_id.encode()) / _HASH_RANGE * (1 - 1e-9)
