"""Division of the watches on the store among the nodes of a fleet.

If every node watched the store, each change would be read by the whole fleet. Instead, a few nodes
of each failure domain watch it and forward the changes on links; the others poll the records now
and then, for changes that did not reach them. A starting node does not know the others yet, so that
it polls until it does. Polls may be answered with an older state, which the store serves at a lower
cost. Performs no I/O.
"""

from collections.abc import Callable, Iterable
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.members import Member
from gooseberrydock.watchers import is_watcher

_WATCHERS_PER_DOMAIN: Final = 3
"""Nodes of each failure domain that watch the store, so that two may be unable to at a time."""
_START_MS: Final[Millis] = 4_000.0
"""Time after which a starting node knows the others, also if the whole fleet starts."""
_START_POLL_INTERVAL_MS: Final[Millis] = 800.0
_POLL_INTERVAL_MS: Final[Millis] = 12_000.0
"""Interval of the polls of a node that does not watch, in a fleet of up to the next number."""
_POLL_INTERVAL_NODES: Final = 200
"""In a larger fleet the interval grows with the number of nodes, as a poll reads all records."""
_ROLE_CHECK_INTERVAL_MS: Final[Millis] = 2_000.0
"""Longest time after which a node begins to watch in the place of one that left."""


@attrs.define
class WatchPlan:
    """Decide whether a node watches the store, and when it polls otherwise."""

    _own_record: Callable[[], Member]
    _others: Callable[[], Iterable[Member]]
    _node_count: Callable[[], int]
    _started_at: Millis

    def watches(self, now_ms: Millis) -> bool:
        """Return whether this node watches the store for its failure domain."""
        if self._is_starting(now_ms):
            return False
        return is_watcher(self._own_record(), self._others(), _WATCHERS_PER_DOMAIN)

    def poll_interval_ms(self, now_ms: Millis, has_found: bool) -> Millis:
        """Return the time between two polls; ``has_found`` if an earlier one found an item."""
        if self._is_starting(now_ms) or not has_found:
            return _START_POLL_INTERVAL_MS
        return _POLL_INTERVAL_MS * max(1.0, self._node_count() / _POLL_INTERVAL_NODES)

    def check_interval_ms(self, now_ms: Millis) -> Millis:
        """Return the longest time until the decision is to be made again."""
        return _START_POLL_INTERVAL_MS if self._is_starting(now_ms) else _ROLE_CHECK_INTERVAL_MS

    def _is_starting(self, now_ms: Millis) -> bool:
        return now_ms - self._started_at < _START_MS
