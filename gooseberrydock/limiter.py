"""The adaptive concurrency limit of one target.

The limit never rises above the slots that the target announced. It falls by a factor when the
target itself sheds or times out (additive increase, multiplicative decrease) and rises again
while it is in use. docs/OVERLOAD.md weighs this against latency gradients.
"""

import attrs

from gooseberrydock import defaults
from gooseberrydock.clock import Millis


@attrs.define
class ConcurrencyLimit:
    """Track how many calls the target may run at once."""

    _slots: int
    _limit: float = attrs.field(init=False)
    _decreased_at: Millis = -defaults.LIMIT_DECREASE_INTERVAL_MS

    @_limit.default
    def _initial_limit(self) -> float:
        return float(self._slots)

    @property
    def limit(self) -> int:
        """Return the number of calls that may run at once, at least one."""
        return max(1, int(self._limit))

    @property
    def slots(self) -> int:
        """Return the slots that the target announced."""
        return self._slots

    def announce(self, slots: int) -> None:
        """Take over a new number of announced slots."""
        if slots == self._slots:
            return
        self._slots = slots
        self._limit = float(slots)

    def on_success(self, in_flight: int) -> None:
        """Raise the limit by about one per round trip while it is in use."""
        if in_flight * 2 >= self.limit:
            self._limit = min(
                float(self._slots), self._limit + defaults.LIMIT_INCREASE / self.limit
            )

    def on_overload(self, now_ms: Millis) -> None:
        """Lower the limit, at most once in an interval, after the target shed or timed out."""
        if now_ms - self._decreased_at < defaults.LIMIT_DECREASE_INTERVAL_MS:
            return
        self._decreased_at = now_ms
        self._limit = max(1.0, self._limit * defaults.LIMIT_DECREASE)
