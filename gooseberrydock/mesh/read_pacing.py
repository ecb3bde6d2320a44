"""How often a node reads what changed in the store.

Every node follows the store itself, so each change is read by the whole fleet. Two things bound
that: a node makes no more than its part of the rate that the store allows, and once the fleet is
settled, changes of records gather for some seconds, since links tell them at once. Around a
start, an outage of the store, or records that ended, changes are read as fast as they come.
Controller without I/O.
"""

from collections.abc import Callable
from typing import Final

import attrs

from gooseberrydock.clock import MS_PER_SECOND, Millis

_FLEET_SHARE: Final = 0.25
"""Part of the store's rate of reads that all nodes together use to follow one prefix."""
_UNSETTLED_MS: Final[Millis] = 6_000.0
"""How long after an unsettling event changes are read fast: starts and returns take some seconds,
and a record that ended must be seen again within two seconds if its node wrote it anew."""


@attrs.define
class ReadPacer:
    """Compute the pause after each answer that brought changes."""

    _reads_per_s: float
    _node_count: Callable[[], int]
    _unsettled_until: Millis = 0.0

    def read_fast(self, now_ms: Millis) -> None:
        """Read changes fast for a while."""
        self._unsettled_until = now_ms + _UNSETTLED_MS

    def pause_ms(self, now_ms: Millis, fast_ms: Millis, settled_ms: Millis) -> Millis:
        """Return how long to gather changes; neither pause is kept where the fleet is too large."""
        wanted_ms = fast_ms if now_ms < self._unsettled_until else settled_ms
        least_ms = self._node_count() / (self._reads_per_s * _FLEET_SHARE) * MS_PER_SECOND
        return max(wanted_ms, least_ms)


def create_read_pacer(
    reads_per_s: float, node_count: Callable[[], int], now_ms: Millis
) -> ReadPacer:
    """Make the pace of a node that starts now."""
    pacer = ReadPacer(reads_per_s, node_count)
    pacer.read_fast(now_ms)
    return pacer
