"""Exponential backoff with full jitter, so that many nodes do not return all at once."""

import random

import attrs

from gooseberrydock import defaults
from gooseberrydock.clock import Millis


@attrs.define
class Backoff:
    """Compute how long to wait after each failure in a row."""

    _random: random.Random
    _failures: int = 0

    @property
    def failures(self) -> int:
        """Return the failures since the last success."""
        return self._failures

    def next_wait(self) -> Millis:
        """Count a failure and return a random wait within its bound."""
        bound = defaults.STORE_BACKOFF_MIN_MS * 2.0**self._failures
        self._failures = min(self._failures + 1, 30)
        longest = min(bound, defaults.STORE_BACKOFF_MAX_MS)
        return self._random.uniform(defaults.STORE_BACKOFF_MIN_MS / 2, longest)

    def reset(self) -> None:
        """Count a success."""
        self._failures = 0
