"""How much of the less important work a target can take, as a share that its callers' nodes obey.

Answers the load of a service that is offered more than it can finish. The measure is the work
offered, by arrivals and mean run times, against the slots: unlike the length of a queue it shows at
once what a changed share does. The share falls while more is offered than the aim and rises while
it is less. Nodes at the entry turn away the rest before any work is done. Controller without I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis

_WINDOW_MS: Final[Millis] = 100.0
"""Length of a step of control."""
_OFFERED_AIM: Final = 0.97
"""Work that should be offered under overload, as a share of what the slots can run."""
_SMOOTHING: Final = 0.5
"""Weight of a new window in the offered work; arrivals of one window are uneven."""
_FALL_EXPONENT: Final = 0.22
_RISE_EXPONENT: Final = 0.15
"""How strongly one window changes the share. A change shows after three to five windows, the time
of a path; the exponents over that time must stay below one, or the share swings."""
_BACKLOG_WEIGHT: Final = 0.15
"""How much a backlog as large as the slots adds to the work offered: it has to be run too."""
_STALLED_OFFERED: Final = 2.0
"""What counts as offered while calls wait and the target finishes none of what it should."""
_STALL_FINISHES: Final = 3.0
"""How many calls should have finished in a window for none to count as a stall."""
_MAX_STEP: Final = 1.3
"""Largest factor by which one window may change the share."""
_IDLE_OFFERED: Final = 0.05
"""Least offered work reckoned with: less says nothing of how much more there might be."""
MIN_SHARE: Final = 0.05
"""What is always let through, so that recovery shows."""


@attrs.define
class OverloadController:
    """Turn the work offered to a target into the share of work to admit."""

    _share: float = 1.0
    _window_started: Millis = 0.0
    _offered_ms: Millis = 0.0
    _offered: float = 0.0
    _finished: int = 0

    @property
    def share(self) -> float:
        """Return the share of less important work to admit, 1 for all of it."""
        return self._share

    @property
    def offered(self) -> float:
        """Return the work offered lately, as a share of what the slots can run."""
        return self._offered

    def on_arrival(self, run_ms: Millis) -> None:
        """Take in a call that is expected to run for a time."""
        self._offered_ms += run_ms

    def on_finish(self) -> None:
        """Take in that the target finished a call."""
        self._finished += 1

    def tick(self, now_ms: Millis, limit: int, waiting: int, mean_ms: Millis) -> None:
        """End the window if it is over; calls that wait are work offered before."""
        elapsed = now_ms - self._window_started
        if elapsed < _WINDOW_MS or limit <= 0:
            return
        offered = self._offered_ms / (elapsed * limit) + _BACKLOG_WEIGHT * waiting / limit
        if waiting and not self._finished and limit * elapsed >= _STALL_FINISHES * mean_ms:
            offered = max(offered, _STALLED_OFFERED)
        self._finished = 0
        # Short windows are noisy, and a long pause is one window that says no more than others.
        self._offered += (offered - self._offered) * _SMOOTHING
        self._window_started = now_ms
        self._offered_ms = 0.0
        ratio = _OFFERED_AIM / max(self._offered, _IDLE_OFFERED)
        factor = ratio ** (_FALL_EXPONENT if ratio < 1.0 else _RISE_EXPONENT)
        factor = min(max(factor, 1.0 / _MAX_STEP), _MAX_STEP)
        self._share = min(1.0, max(MIN_SHARE, self._share * factor))
