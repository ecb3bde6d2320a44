"""The one clock type of the project, in milliseconds.

Controllers never read the time themselves: they are handed ``now_ms``. Only the shells around
them hold a clock, so that a test can drive every decision on a manual clock.
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
    """Read monotonic and wall-clock time in milliseconds."""

    now_ms: Callable[[], Millis]
    wall_ms: Callable[[], Millis]


@attrs.define
class ManualTime:
    """Hold a time that moves only when it is told to."""

    value_ms: Millis = 0.0

    def advance(self, duration_ms: Millis) -> Millis:
        """Move the time forward and return the new time."""
        self.value_ms += duration_ms
        return self.value_ms

    def read(self) -> Millis:
        """Return the current manual time."""
        return self.value_ms


def system_clock(wall_offset_ms: Millis = 0.0) -> Clock:
    """Make a clock that reads the machine's time, its time of day shifted by an offset."""
    return Clock(
        now_ms=lambda: time.monotonic_ns() / NS_PER_MS,
        wall_ms=lambda: time.time_ns() / NS_PER_MS + wall_offset_ms,
    )


def manual_clock(manual_time: ManualTime) -> Clock:
    """Make a clock that reads a manual time."""
    return Clock(now_ms=manual_time.read, wall_ms=manual_time.read)
