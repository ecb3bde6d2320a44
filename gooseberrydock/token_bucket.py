"""A token bucket: a rate over time with room for a burst."""

import attrs

from gooseberrydock.clock import MS_PER_SECOND, Millis


@attrs.define
class TokenBucket:
    """Hold tokens, which time earns and takers use."""

    tokens: float
    filled_at: Millis = 0.0

    def take(self, now_ms: Millis, per_second: float, burst: float) -> bool:
        """Earn what the time since the last call brings, up to a burst, and use one token."""
        earned = (now_ms - self.filled_at) / MS_PER_SECOND * per_second
        self.tokens = min(burst, self.tokens + earned)
        self.filled_at = now_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
