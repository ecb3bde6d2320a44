"""Division of the watches on the store among the nodes of a fleet.

If every node watched the store, each change would be read by the whole fleet. Instead, a few nodes
of each failure domain watch it and forward the changes on links; the others poll the records now
and then, for changes that did not reach them. A starting node does not know the others yet, so that
it polls until it does. Polls may be answered with an older state, which the store serves at a lower
cost.

The records of nodes outlive them by the lease, so that a failure domain could be without a watching
node for that long. Therefore nodes report on their links how long ago a node of their domain was
watching. When that is too long, some others watch in the place of those that do not, after delays
that let few of them begin. Performs no I/O.
"""

import math
import random
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.members import Member
from gooseberrydock.mesh.suppression import draw_suppressed_delay_ms
from gooseberrydock.watchers import is_watcher, outranks

UNKNOWN_AGE_MS: Final[Millis] = 1e9
"""Age that a node reports if it knows of no watching node."""
_WATCHERS_PER_DOMAIN: Final = 3
"""Nodes of each failure domain that watch the store, so that two may be unable to at a time."""
_START_MS: Final[Millis] = 4_000.0
"""Time after which a starting node knows the others, also if the whole fleet starts."""
_MAX_WATCH_AGE_MS: Final[Millis] = 3_000.0
"""Time without a sign of a watching node after which others watch; reports take up to a second."""
_STAND_IN_SPREAD_MS: Final[Millis] = 1_000.0
"""Time over which the nodes that watch in the place of others begin."""
_START_POLL_INTERVAL_MS: Final[Millis] = 800.0
_POLL_INTERVAL_MS: Final[Millis] = 12_000.0
"""Interval of the polls of a node that does not watch, in a fleet of up to the next number."""
_POLL_INTERVAL_NODES: Final = 200
"""In a larger fleet the interval grows with the number of nodes, as a poll reads all records."""
_MIN_WAIT_MS: Final[Millis] = 1.0
"""Shortest wait; the clock may not advance during one below its resolution."""
_ROLE_CHECK_INTERVAL_MS: Final[Millis] = 2_000.0
"""Longest time after which a node begins to watch in the place of one that left."""


@attrs.define
class WatchPlan:
    """Decide whether a node watches the store, and when it polls otherwise."""

    _own_record: Callable[[], Member]
    _others: Callable[[], Iterable[Member]]
    _node_count: Callable[[], int]
    _started_at: Millis
    _random: random.Random = attrs.field(factory=random.Random)
    _watched_at: Millis = -math.inf
    _stands_in_at: Millis = attrs.field(init=False)

    @_stands_in_at.default
    def _first_stands_in_at(self) -> Millis:
        return self._started_at + _START_MS + self._draw_stand_in_delay_ms()

    def watches(self, now_ms: Millis) -> bool:
        """Return whether this node watches the store for its failure domain."""
        if self._is_starting(now_ms):
            return False
        if now_ms >= self._stands_in_at:
            return True
        return is_watcher(self._own_record(), self._others(), _WATCHERS_PER_DOMAIN)

    def watch_age_ms(self, now_ms: Millis) -> Millis:
        """Return the time since another node of the failure domain was known to watch."""
        return min(now_ms - self._watched_at, UNKNOWN_AGE_MS)

    def on_watch_report(self, watched_at: Millis, now_ms: Millis, watching: Member | None) -> bool:
        """Record when a node of the failure domain was watching, and which one if it reported it.

        Returns whether this node no longer stands in. It goes on until a node that is chosen before
        it watches again; other reports may be its own, passed on.
        """
        if watched_at <= self._watched_at:
            return False
        self._watched_at = watched_at
        stands_in = now_ms >= self._stands_in_at
        stands_in_at = watched_at + self._draw_stand_in_delay_ms()
        if not stands_in:
            self._stands_in_at = max(self._stands_in_at, stands_in_at)
        elif watching is not None and outranks(watching, self._own_record()):
            self._stands_in_at = stands_in_at
            return True
        return False

    def _draw_stand_in_delay_ms(self) -> Millis:
        spread_ms = draw_suppressed_delay_ms(self._random, self._node_count(), _STAND_IN_SPREAD_MS)
        return _MAX_WATCH_AGE_MS + spread_ms

    def poll_interval_ms(self, now_ms: Millis, has_found: bool) -> Millis:
        """Return the time between two polls; ``has_found`` if an earlier one found an item."""
        if self._is_starting(now_ms) or not has_found:
            return _START_POLL_INTERVAL_MS
        return _POLL_INTERVAL_MS * max(1.0, self._node_count() / _POLL_INTERVAL_NODES)

    def check_interval_ms(self, now_ms: Millis) -> Millis:
        """Return the longest time until the decision is to be made again."""
        if self._is_starting(now_ms):
            return _START_POLL_INTERVAL_MS
        stands_in_after_ms = self._stands_in_at - now_ms
        if stands_in_after_ms <= 0.0:
            return _ROLE_CHECK_INTERVAL_MS
        return min(_ROLE_CHECK_INTERVAL_MS, max(_MIN_WAIT_MS, stands_in_after_ms))

    def _is_starting(self, now_ms: Millis) -> bool:
        return now_ms - self._started_at < _START_MS
