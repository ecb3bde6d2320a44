"""Count durations in fixed buckets, which is cheap enough for every request."""

from bisect import bisect_left
from typing import Final

import attrs

from gooseberrydock.clock import Millis

BOUNDS_MS: Final = (5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0, 5_000.0)
"""Upper bounds of the buckets: the usual ones of a Prometheus histogram, in milliseconds."""


@attrs.define
class LatencyHistogram:
    """Number of durations by bucket, and their sum."""

    _counts: list[int] = attrs.field(factory=lambda: [0] * (len(BOUNDS_MS) + 1))
    _total_ms: Millis = 0.0

    @property
    def count(self) -> int:
        """Return the number of recorded durations."""
        return sum(self._counts)

    @property
    def total_ms(self) -> Millis:
        """Return the sum of the recorded durations."""
        return self._total_ms

    def observe(self, duration_ms: Millis) -> None:
        """Record a duration."""
        self._counts[bisect_left(BOUNDS_MS, duration_ms)] += 1
        self._total_ms += duration_ms

    def cumulative(self) -> list[tuple[str, int]]:
        """Return each upper bound with the cumulative number of durations up to it."""
        rows = []
        running_count = 0
        for bound, count in zip((*BOUNDS_MS, float("inf")), self._counts, strict=True):
            running_count += count
            rows.append(("+Inf" if bound == float("inf") else f"{bound:g}", running_count))
        return rows
