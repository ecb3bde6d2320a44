"""The adaptive concurrency limit of one target.

The limit never exceeds the number of slots that the target announced. It follows additive increase
and multiplicative decrease: it falls by a factor when the target itself sheds a call or times out,
and rises again while it is in use. docs/OVERLOAD.md compares this with latency gradients.
"""

import attrs

from gooseberrydock import defaults
from gooseberrydock.clock import Millis


@attrs.define
class ConcurrencyLimit:
    """Adapt the number of calls that the target may run at once."""

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
        """Return the number of slots that the target announced."""
        return self._slots

    def announce(self, slots: int) -> None:
        """Reset the limit when the announced number of slots changes."""
        if slots == self._slots:
            return
        self._slots = slots
        self._limit = float(slots)

    def on_success(self, in_flight: int) -> None:
        """Raise the limit by about one per round trip while at least half of it is in use."""
        if in_flight * 2 >= self.limit:
            self._limit = min(
                float(self._slots), self._limit + defaults.LIMIT_INCREASE / self.limit
            )

    def on_overload(self, now_ms: Millis) -> None:
        """Lower the limit after the target shed or timed out, at most once per interval."""
        if now_ms - self._decreased_at < defaults.LIMIT_DECREASE_INTERVAL_MS:
            return
        self._decreased_at = now_ms
        self._limit = max(1.0, self._limit * defaults.LIMIT_DECREASE_FACTOR)
