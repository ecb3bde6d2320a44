"""Bound on the connections that callers may have open at a listener.

Links, the store and the target need descriptors too. Over the bound, the connection that has made
its node wait longest is closed: one that is closing anyway, then one that is idle or stuck in a
head, then one with an incomplete body, then one whose caller is still reading its answers. One with
an unanswered request is not closed; if all are such, it is the new one. Performs no I/O.
"""

import enum
from typing import Final, Protocol

import attrs

from gooseberrydock.clock import Millis

_CALM_MS: Final[Millis] = 5_000.0
"""Time without a closed connection after which the next one is reported again."""


class Activity(enum.IntEnum):
    """What a connection does, in the order in which connections are closed."""

    CLOSING = 0
    WAITING_FOR_REQUEST = 1
    READING_BODY = 2
    SENDING = 3
    SERVING = 4


class LimitedConnection(Protocol):
    """A connection of a caller."""

    @property
    def activity(self) -> Activity:
        """Return what the connection does."""

    @property
    def active_since(self) -> Millis:
        """Return since when it does that without progress of its caller."""

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that were not read yet."""

    def close(self) -> None:
        """Close the connection."""


class Listening(enum.Enum):
    """The listeners of a node that others than nodes connect to."""

    CALLERS = "callers"
    TARGET = "target"
    READINESS = "readiness"
    ADMIN = "admin"


_SHARES: Final = {
    Listening.CALLERS: 0.6,
    Listening.TARGET: 0.05,
    Listening.READINESS: 0.05,
    Listening.ADMIN: 0.05,
}
"""Share of the sockets of a process for each; the rest is for links, the store and the target."""


@attrs.define(eq=False)
class ConnectionLimit:
    """Open connections at one listener, and how many were closed to stay within the limit."""

    max_connections: int
    closed: int = 0
    _connections: set[LimitedConnection] = attrs.field(factory=set)
    _closed_at: Millis = -_CALM_MS

    @property
    def open(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def add(self, now_ms: Millis, connection: LimitedConnection) -> bool:
        """Add a connection, and close one if there are too many.

        Return whether that is to be reported.
        """
        self._connections.add(connection)
        if len(self._connections) <= self.max_connections:
            return False
        victim = self._choose_victim(connection)
        self._connections.discard(victim)
        victim.close()
        self.closed += 1
        is_first = now_ms - self._closed_at >= _CALM_MS
        self._closed_at = now_ms
        return is_first

    def remove(self, connection: LimitedConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)

    def _choose_victim(self, newest: LimitedConnection) -> LimitedConnection:
        others = [
            item
            for item in self._connections
            if item is not newest and item.activity is not Activity.SERVING
        ]
        others.sort(key=lambda item: (item.activity, item.active_since))
        # A request that is on its way to this node is not lost if another connection can go.
        return next((item for item in others if not item.has_unread_bytes), newest)


def create_connection_limits(
    sockets: int, memory_connections: int
) -> dict[Listening, ConnectionLimit]:
    """Create the limits of a process, by its sockets and by its memory for connections."""
    return {
        listening: ConnectionLimit(max(1, min(int(sockets * share), memory_connections)))
        for listening, share in _SHARES.items()
    }
