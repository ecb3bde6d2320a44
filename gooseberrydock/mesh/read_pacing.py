"""The rate at which a node reads changes from the store.

Every node watches the store itself, so each change is read by the whole fleet. Two rules bound the
cost: a node uses no more than its share of the read rate that the store allows, and once the fleet
is settled, record changes are batched for some seconds, since links report them at once. For some
seconds after a start, an outage of the store, or the removal of records, changes are read after a
shorter pause or none. Performs no I/O.
"""

from collections.abc import Callable
from typing import Final

import attrs

from gooseberrydock.clock import MS_PER_SECOND, Millis

_WATCH_READ_FRACTION: Final = 0.25
"""Fraction of the store's read rate that all nodes together use to watch one prefix."""
_FAST_READ_MS: Final[Millis] = 6_000.0
"""Time that changes are read fast after a start, a store outage or the removal of a record. Starts
and recoveries take some seconds, and a removed record must be read within two seconds if its node
writes it again."""


@attrs.define
class ReadPacer:
    """Compute the pause after each answer of the store."""

    _reads_per_s: float
    _node_count: Callable[[], int]
    _fast_until: Millis = 0.0

    def read_fast(self, now_ms: Millis) -> None:
        """Read changes fast for a limited time."""
        self._fast_until = now_ms + _FAST_READ_MS

    def pause_ms(self, now_ms: Millis, fast_ms: Millis, settled_ms: Millis) -> Millis:
        """Return how long to batch changes: the pause that applies, or longer for a large fleet."""
        wanted_ms = fast_ms if now_ms < self._fast_until else settled_ms
        min_ms = self._node_count() / (self._reads_per_s * _WATCH_READ_FRACTION) * MS_PER_SECOND
        return max(wanted_ms, min_ms)


def create_read_pacer(
    reads_per_s: float, node_count: Callable[[], int], now_ms: Millis
) -> ReadPacer:
    """Create the pacer of a node that starts now."""
    pacer = ReadPacer(reads_per_s, node_count)
    pacer.read_fast(now_ms)
    return pacer
