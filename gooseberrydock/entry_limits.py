"""Rate limits per caller and concurrency limits per service class, enforced at the entry."""

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.token_bucket import TokenBucket

_SECONDS_PER_MINUTE = 60
_BURST_SECONDS = 2.0
_MAX_BUCKETS = 20_000
_MIN_BURST_TOKENS = 5.0


@attrs.define
class CallerLimits:
    """Limit the request rate of each caller in each service class with token buckets."""

    _buckets: dict[tuple[str, str], TokenBucket] = attrs.field(factory=dict)

    def take(self, now_ms: Millis, caller: str, class_name: str, per_minute: float) -> bool:
        """Use one token; return whether one was available. A rate of 0 means no limit."""
        if per_minute <= 0:
            return True
        per_second = per_minute / _SECONDS_PER_MINUTE
        burst = max(_MIN_BURST_TOKENS, per_second * _BURST_SECONDS)
        return self._bucket(now_ms, (caller, class_name), burst).take(now_ms, per_second, burst)

    def _bucket(self, now_ms: Millis, key: tuple[str, str], burst: float) -> TokenBucket:
        bucket = self._buckets.get(key)
        if bucket is None:
            self._evict_if_full()
            bucket = TokenBucket(burst, now_ms)
            self._buckets[key] = bucket
        return bucket

    def _evict_if_full(self) -> None:
        """Evict the oldest bucket of a full table; many caller names must not exhaust memory."""
        if len(self._buckets) >= _MAX_BUCKETS:
            del self._buckets[next(iter(self._buckets))]


@attrs.define
class PathLimits:
    """Limit the requests in flight of each service class at this entry."""

    _in_flight: dict[str, int] = attrs.field(factory=dict)

    @property
    def in_flight(self) -> dict[str, int]:
        """Return the requests in flight by class."""
        return dict(self._in_flight)

    def enter(self, class_name: str, max_concurrent: int) -> bool:
        """Count a request and return True if the limit allows it; 0 means no limit."""
        in_flight = self._in_flight.get(class_name, 0)
        if 0 < max_concurrent <= in_flight:
            return False
        self._in_flight[class_name] = in_flight + 1
        return True

    def leave(self, class_name: str) -> None:
        """Count the end of a request."""
        self._in_flight[class_name] -= 1
