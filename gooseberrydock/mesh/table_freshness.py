"""The time up to which a node's route table is known to be the newest, and when it is read again.

Watches of the store and reports of other nodes bring a change at once, but they can fail without a
sign: a watch on a silent connection is never answered, and all nodes that watch for a failure
domain may lose power together. Therefore each node tracks the time before which all confirmed
changes are known to be in force: the start of the latest exact read of the table, by itself or by
another node. Nodes report the read and its age on their links. A node reads the table when that
time is too long ago.

The node that read last reads again first, so that one node reads for all that it reaches, and a
node that reaches no other reads for itself. If reports end, a few nodes read after random delays,
whatever the size of the fleet. Performs no I/O.
"""

import math
import random
from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.mesh.suppression import draw_suppressed_delay_ms

_MAX_AGE_MS: Final[Millis] = 900.0
"""Age at which the table is read again. With the spread below, it stays under the shortest time in
which operators expect a change to be in force, 2 s."""
_READ_SPREAD_MS: Final[Millis] = 500.0
"""Time over which the nodes that miss reports spread their reads."""
_READ_ID_BITS: Final = 62
_MAX_KNOWN_READS: Final = 64


@attrs.define
class TableFreshness:
    """Decide when a node reads the route table.

    A report of one read is used once; if it came around again by a slower way, the time that it
    spent there would be missing from its age.
    """

    _random: random.Random
    _node_count: Callable[[], int]
    _confirmed_at: Millis = -math.inf
    _read_at: Millis = -math.inf
    _read_id: int = 0
    _known_reads: deque[int] = attrs.field(factory=lambda: deque(maxlen=_MAX_KNOWN_READS))

    @property
    def read_at(self) -> Millis:
        """Return when the table is to be read."""
        return self._read_at

    @property
    def read_id(self) -> int:
        """Return the id of the latest read, 0 before the first one."""
        return self._read_id

    def age_ms(self, now_ms: Millis) -> Millis:
        """Return the age of the latest read, infinite before the first one."""
        return now_ms - self._confirmed_at

    def on_read(self, sent_at: Millis) -> None:
        """Record an exact read of this node, which stays the reader if the read was due.

        The first reads of nodes that start together make none of them the reader.
        """
        was_old = _MAX_AGE_MS <= sent_at - self._confirmed_at < math.inf
        self._use_read(self._random.getrandbits(_READ_ID_BITS) | 1, sent_at)
        if was_old:
            self._read_at = sent_at + _MAX_AGE_MS

    def on_report(self, now_ms: Millis, read_id: int, age_ms: Millis) -> bool:
        """Record a read reported by another node; return whether it is later than those known."""
        sent_at = now_ms - age_ms
        if not read_id or read_id in self._known_reads:
            return False
        if (sent_at, read_id) <= (self._confirmed_at, self._read_id):
            return False
        self._use_read(read_id, sent_at)
        return True

    def defer(self, now_ms: Millis) -> None:
        """Spread the read again, after a time in which no node could read."""
        self._read_at = max(self._read_at, now_ms + self._draw_delay_ms())

    def _use_read(self, read_id: int, sent_at: Millis) -> None:
        self._read_id = read_id
        self._known_reads.append(read_id)
        self._confirmed_at = max(self._confirmed_at, sent_at)
        self._read_at = self._confirmed_at + _MAX_AGE_MS + self._draw_delay_ms()

    def _draw_delay_ms(self) -> Millis:
        return draw_suppressed_delay_ms(self._random, self._node_count(), _READ_SPREAD_MS)
