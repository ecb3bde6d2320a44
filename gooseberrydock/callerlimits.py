"""Limits per caller and per call path, kept at the entry."""

import attrs

from gooseberrydock.clock import MS_PER_SECOND, Millis

_MS_PER_MINUTE = 60 * MS_PER_SECOND
_BURST_SECONDS = 2.0
_MAX_CALLERS = 20_000
_MIN_BURST = 5.0


@attrs.define
class _TokenBucket:
    """Hold the tokens of one caller."""

    tokens: float
    filled_at: Millis


@attrs.define
class CallerLimits:
    """Limit the rate of each caller in each service class by token buckets."""

    _buckets: dict[tuple[str, str], _TokenBucket] = attrs.field(factory=dict)

    def take(self, now_ms: Millis, caller: str, class_name: str, per_minute: float) -> bool:
        """Use one token; a rate of zero means no limit."""
        if per_minute <= 0:
            return True
        burst = max(_MIN_BURST, per_minute / 60 * _BURST_SECONDS)
        bucket = self._bucket(now_ms, (caller, class_name), burst)
        earned = (now_ms - bucket.filled_at) * per_minute / _MS_PER_MINUTE
        bucket.tokens = min(burst, bucket.tokens + earned)
        bucket.filled_at = now_ms
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _bucket(self, now_ms: Millis, key: tuple[str, str], burst: float) -> _TokenBucket:
        bucket = self._buckets.get(key)
        if bucket is None:
            self._make_room()
            bucket = _TokenBucket(burst, now_ms)
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
