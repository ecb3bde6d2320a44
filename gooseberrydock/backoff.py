"""Exponential backoff with jitter, so that many nodes do not return all at once."""

import random
from typing import Final

import attrs

from gooseberrydock import defaults
from gooseberrydock.clock import Millis

_MAX_FAILURES: Final = 30
"""Failures counted at most: an outage of days must not take the power beyond what a float holds."""


@attrs.frozen
class BackoffPolicy:
    """Bound the random waits: ``min_delay_ms`` to ``base_delay_ms``, grown with each failure."""

    min_delay_ms: Millis
    base_delay_ms: Millis
    max_delay_ms: Millis
    multiplier: float


STORE_BACKOFF_POLICY: Final = BackoffPolicy(
    min_delay_ms=defaults.STORE_BACKOFF_MIN_MS / 2,
    base_delay_ms=defaults.STORE_BACKOFF_MIN_MS,
    max_delay_ms=defaults.STORE_BACKOFF_MAX_MS,
    multiplier=2.0,
)


@attrs.define
class Backoff:
    """Compute how long to wait after each failure in a row."""

    _random: random.Random
    _bounds: BackoffPolicy = STORE_BACKOFF_POLICY
    _failures: int = 0

    @property
    def failures(self) -> int:
        """Return the failures since the last success."""
        return self._failures

    def next_delay_ms(self) -> Millis:
        """Count a failure and return a random wait within its bounds."""
        bounds = self._bounds
        longest = min(bounds.max_delay_ms, bounds.base_delay_ms * bounds.multiplier**self._failures)
        self._failures = min(self._failures + 1, _MAX_FAILURES)
        return self._random.uniform(bounds.min_delay_ms, longest)

    def reset(self) -> None:
        """Count a success."""
        self._failures = 0
