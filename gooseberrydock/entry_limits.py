"""Limits per caller and per call path, kept at the entry."""

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.token_bucket import TokenBucket

_SECONDS_PER_MINUTE = 60
_BURST_SECONDS = 2.0
_MAX_CALLERS = 20_000
_MIN_BURST = 5.0


@attrs.define
class CallerLimits:
    """Limit the rate of each caller in each service class by token buckets."""

    _buckets: dict[tuple[str, str], TokenBucket] = attrs.field(factory=dict)

    def take(self, now_ms: Millis, caller: str, class_name: str, per_minute: float) -> bool:
        """Use one token; a rate of zero means no limit."""
        if per_minute <= 0:
            return True
        per_second = per_minute / _SECONDS_PER_MINUTE
        burst = max(_MIN_BURST, per_second * _BURST_SECONDS)
        return self._bucket(now_ms, (caller, class_name), burst).take(now_ms, per_second, burst)

    def _bucket(self, now_ms: Millis, key: tuple[str, str], burst: float) -> TokenBucket:
        bucket = self._buckets.get(key)
        if bucket is None:
            self._make_room()
            bucket = TokenBucket(burst, now_ms)
            self._buckets[key] = bucket
        return bucket

    def _make_room(self) -> None:
        """Drop the oldest bucket, so that many caller names cannot fill the memory."""
        if len(self._buckets) >= _MAX_CALLERS:
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
        """Count a request in if the limit allows; zero means no limit."""
        current = self._in_flight.get(class_name, 0)
        if 0 < max_concurrent <= current:
            return False
        self._in_flight[class_name] = current + 1
        return True

    def leave(self, class_name: str) -> None:
        """Count a request out."""
        self._in_flight[class_name] -= 1
