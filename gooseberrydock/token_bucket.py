"""A token bucket, which limits a rate and allows a burst."""

import attrs

from gooseberrydock.clock import MS_PER_SECOND, Millis


@attrs.define
class TokenBucket:
    """Tokens that accrue over time, up to a burst, and are used one at a time."""

    tokens: float
    filled_at: Millis = 0.0

    def fill(self, now_ms: Millis, per_second: float, burst: float) -> float:
        """Add the tokens accrued since the last call, up to ``burst``; return their number."""
        accrued = (now_ms - self.filled_at) / MS_PER_SECOND * per_second
        self.tokens = min(burst, self.tokens + accrued)
        self.filled_at = now_ms
        return self.tokens

    def take(self, now_ms: Millis, per_second: float, burst: float) -> bool:
        """Add the tokens accrued since the last call, up to ``burst``, and use one if available."""
        if self.fill(now_ms, per_second, burst) < 1.0:
            return False
        self.tokens -= 1.0
        return True
