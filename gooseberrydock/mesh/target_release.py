"""Decide when a node that has started may use its target.

The target may have left before the start, and an announcement from before its leaving may arrive
late. The target is therefore withheld until the store has reported the latest leaving. If the store
does not answer although other nodes sent the route table, these nodes also keep the leaving and
have had time to send it. Performs no I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis

_MAX_WAIT_MS: Final[Millis] = 2_000.0
"""Longest wait for the store once requests could be served; links to other nodes open sooner."""


@attrs.define
class TargetRelease:
    """Track what has to be known before the target is used; nothing is awaited before ``begin``."""

    _is_waiting: bool = False
    _table_known_at: Millis | None = None

    @property
    def is_waiting(self) -> bool:
        """Return whether the target must not be used yet."""
        return self._is_waiting

    def begin(self) -> None:
        """Withhold the target from now on."""
        self._is_waiting = True

    def on_table(self, now_ms: Millis) -> None:
        """Record that the route table is known, without which no request is served."""
        if self._table_known_at is None:
            self._table_known_at = now_ms

    def on_store_answer(self) -> bool:
        """Record that the store reported the latest leaving; return whether that ends the wait."""
        was_waiting, self._is_waiting = self._is_waiting, False
        return was_waiting

    def take_overdue(self, now_ms: Millis) -> bool:
        """End the wait if the store takes too long; return whether it ended."""
        if not self._is_waiting or self._table_known_at is None:
            return False
        if now_ms - self._table_known_at < _MAX_WAIT_MS:
            return False
        self._is_waiting = False
        return True
