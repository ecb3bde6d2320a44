"""The clock type used throughout the project, in milliseconds.

Controllers do not read the time themselves; they receive ``now_ms`` as an argument. Only the I/O
layers around them hold a clock, so that a test can drive every decision with a manual clock.
"""

import time
from collections.abc import Callable

import attrs

Millis = float
"""A point in time or a duration, in milliseconds."""

MS_PER_SECOND: float = 1000.0
NS_PER_MS: float = 1_000_000.0


@attrs.frozen
class Clock:
    """Functions that read the monotonic and the wall-clock time in milliseconds."""

    now_ms: Callable[[], Millis]
    wall_ms: Callable[[], Millis]


@attrs.define
class ManualTime:
    """A time that advances only on request."""

    value_ms: Millis = 0.0

    def advance(self, duration_ms: Millis) -> Millis:
        """Advance the time and return the new time."""
        self.value_ms += duration_ms
        return self.value_ms

    def read(self) -> Millis:
        """Return the current manual time."""
        return self.value_ms


def system_clock(wall_offset_ms: Millis = 0.0) -> Clock:
    """Create a clock that reads the system clocks, with an offset added to the wall-clock time."""
    return Clock(
        now_ms=lambda: time.monotonic_ns() / NS_PER_MS,
        wall_ms=lambda: time.time_ns() / NS_PER_MS + wall_offset_ms,
    )


def manual_clock(manual_time: ManualTime) -> Clock:
    """Create a clock that reads a manual time."""
    return Clock(now_ms=manual_time.read, wall_ms=manual_time.read)
