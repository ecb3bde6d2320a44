"""Keep the calls to one target within the request rate that it names in its answers.

Handles targets in need that are fast enough for their slots but ask for fewer requests. The node
beside a target sends it all that it receives, from callers on every host, so that one bucket there
holds the fleet's total. Callers' nodes receive the used share of the burst with each report and
choose other hosts before it is used up. Performs no I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import MS_PER_SECOND, Millis
from gooseberrydock.token_bucket import TokenBucket

_BURST_S: Final = 0.5
"""Burst, in seconds of the rate. It absorbs the clumps of many callers and is a small part of the
time over which a rate is meaningful to a target."""
_MIN_PER_SECOND: Final = 0.5
"""Lowest rate: a target that takes no requests is still tried, as only its answers show when that
ends."""


def burst_of(per_second: float) -> float:
    """Return the calls that may be sent at once after a pause."""
    return max(1.0, per_second * _BURST_S)


@attrs.define
class RateLimiter:
    """Limit the rate of calls while the target names a limit."""

    _per_second: float = 0.0
    _bucket: TokenBucket = attrs.field(factory=lambda: TokenBucket(0.0))

    @property
    def per_second(self) -> float:
        """Return the limit in calls per second, 0 if there is none."""
        return self._per_second

    @property
    def ms_per_call(self) -> Millis:
        """Return the time between two calls at the limit, 0 if there is none."""
        return MS_PER_SECOND / self._per_second if self._per_second else 0.0

    def set_rate(self, now_ms: Millis, per_second: float | None) -> None:
        """Set or remove the limit; a new one starts without a burst."""
        if per_second is None:
            self._per_second = 0.0
            return
        if not self._per_second:
            self._bucket = TokenBucket(0.0, now_ms)
        self._per_second = max(_MIN_PER_SECOND, per_second)

    def try_take(self, now_ms: Millis) -> bool:
        """Return whether a call may be sent now, and count it if so."""
        if not self._per_second:
            return True
        return self._bucket.take(now_ms, self._per_second, burst_of(self._per_second))

    def used_share(self, now_ms: Millis, waiting: int) -> float:
        """Return the used share of the burst; from 1 on calls wait for the limit."""
        if not self._per_second:
            return 0.0
        burst = burst_of(self._per_second)
        used = burst - self._bucket.fill(now_ms, self._per_second, burst) + waiting
        return max(0.0, used) / burst

    def capacity(self, concurrency_limit: int, mean_run_ms: Millis) -> float:
        """Return how many calls run at once at the limit, by Little's law."""
        if not self._per_second or not mean_run_ms:
            return float(concurrency_limit)
        return min(concurrency_limit, self._per_second * mean_run_ms / MS_PER_SECOND)
