"""Counts and log lines of requests that were refused before they were complete or valid.

Such requests have no route yet, and a caller may send any number of them, so that the log lines are
limited to one a second.
"""

import attrs

from gooseberrydock.clock import Clock, system_clock
from gooseberrydock.errorcodes import ErrorCode
from gooseberrydock.events import ANSWERS_UNREAD, REQUEST_REJECTED
from gooseberrydock.logs import RepeatedEvent


@attrs.define(eq=False)
class RejectionLog:
    """Count and log rejected requests, and connections closed for unread answers."""

    _clock: Clock = attrs.field(factory=system_clock)
    _rejected: dict[int, int] = attrs.field(factory=dict)
    _unread_closed: int = 0
    _rejected_event: RepeatedEvent = attrs.field(factory=lambda: RepeatedEvent(REQUEST_REJECTED))
    _unread_event: RepeatedEvent = attrs.field(factory=lambda: RepeatedEvent(ANSWERS_UNREAD))

    @property
    def rejected(self) -> dict[int, int]:
        """Return the number of rejected requests by error code."""
        return self._rejected

    @property
    def unread_closed(self) -> int:
        """Return the number of connections closed because their answers were not read."""
        return self._unread_closed

    def on_rejected(self, code: ErrorCode, peer: str, detail: str) -> None:
        """Record a request that was rejected."""
        self._rejected[code.number] = self._rejected.get(code.number, 0) + 1
        self._rejected_event.log(
            self._clock.now_ms(), code=code.number, cause=code.name, peer=peer, detail=detail
        )

    def on_unread_closed(self, peer: str, unread_bytes: int) -> None:
        """Record a connection that was closed with unread answers."""
        self._unread_closed += 1
        self._unread_event.log(self._clock.now_ms(), peer=peer, unread_bytes=unread_bytes)
