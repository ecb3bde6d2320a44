"""Exponential backoff with jitter, so that many nodes do not return all at once."""

import random
from typing import Final

import attrs

from gooseberrydock import defaults
from gooseberrydock.clock import Millis

_MAX_FAILURES: Final = 30
"""Failures counted at most: an outage of days must not take the power beyond what a float holds."""


@attrs.frozen
class BackoffBounds:
    """Bound the random waits: from ``least_ms`` to ``first_ms``, grown with each failure."""

    least_ms: Millis
    first_ms: Millis
    longest_ms: Millis
    growth: float


STORE_BACKOFF: Final = BackoffBounds(
    least_ms=defaults.STORE_BACKOFF_MIN_MS / 2,
    first_ms=defaults.STORE_BACKOFF_MIN_MS,
    longest_ms=defaults.STORE_BACKOFF_MAX_MS,
    growth=2.0,
)


@attrs.define
class Backoff:
    """Compute how long to wait after each failure in a row."""

    _random: random.Random
    _bounds: BackoffBounds = STORE_BACKOFF
    _failures: int = 0

    @property
    def failures(self) -> int:
        """Return the failures since the last success."""
        return self._failures

    def next_wait(self) -> Millis:
        """Count a failure and return a random wait within its bounds."""
        bounds = self._bounds
        longest = min(bounds.longest_ms, bounds.first_ms * bounds.growth**self._failures)
        self._failures = min(self._failures + 1, _MAX_FAILURES)
        return self._random.uniform(bounds.least_ms, longest)

    def reset(self) -> None:
        """Count a success."""
        self._failures = 0
