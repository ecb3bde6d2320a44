"""Exponential backoff with jitter, so that many nodes do not retry at the same moment."""

import random
from typing import Final

import attrs

from gooseberrydock import defaults
from gooseberrydock.clock import Millis

_MAX_FAILURES: Final = 30
"""Limit of the failure count, so that an outage of days cannot overflow the float power."""


@attrs.frozen
class BackoffPolicy:
    """Bounds of the random delay.

    The first delay lies between ``min_delay_ms`` and ``base_delay_ms``. The upper bound grows by
    ``multiplier`` with each failure, up to ``max_delay_ms``.
    """

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
    """Compute the delay after each consecutive failure."""

    _random: random.Random
    _policy: BackoffPolicy = STORE_BACKOFF_POLICY
    _failures: int = 0

    @property
    def failures(self) -> int:
        """Return the number of failures since the last success."""
        return self._failures

    def next_delay_ms(self) -> Millis:
        """Count a failure and return a random delay within the bounds of the policy."""
        policy = self._policy
        longest_delay_ms = min(
            policy.max_delay_ms, policy.base_delay_ms * policy.multiplier**self._failures
        )
        self._failures = min(self._failures + 1, _MAX_FAILURES)
        return self._random.uniform(policy.min_delay_ms, longest_delay_ms)

    def reset(self) -> None:
        """Reset the failure count after a success."""
        self._failures = 0
