"""How much of the less important work a target can take, as a share that its callers' nodes obey.

Answers the load of a service that is offered more than it can finish: the share falls while slots
and queue are fuller than the aim and rises again while they are not. Nodes at the entry turn away
the rest before any work is done. Controller without I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis

_WINDOW_MS: Final[Millis] = 100.0
"""Length of a step of control: short against the time a backlog takes to build up."""
_FILL_AIM: Final = 0.95
"""Mean share of the slots that should be in use under overload."""
_FALL_EXPONENT: Final = 0.35
"""How strongly one window above the aim lowers the share; the path reacts over some windows."""
_RISE_EXPONENT: Final = 0.2
"""The same for windows below the aim: rising too fast brings the backlog back."""
_MAX_STEP: Final = 1.5
"""Largest factor by which one window may change the share."""
MIN_SHARE: Final = 0.05
"""What is always let through, so that recovery shows."""


@attrs.define
class PressureController:
    """Turn the fill of a target into the share of work to admit."""

    _share: float = 1.0
    _window_started: Millis = 0.0
    _weighted_fill: float = 0.0
    _noted_at: Millis = 0.0
    _fill: float = 0.0
    _mean_fill: float = 0.0

    @property
    def share(self) -> float:
        """Return the share of less important work to admit, 1 for all of it."""
        return self._share

    @property
    def mean_fill(self) -> float:
        """Return the mean fill of the last window."""
        return self._mean_fill

    def note(self, now_ms: Millis, in_flight: int, limit: int) -> None:
        """Take in how many calls run and wait, now that the number changed."""
        self._weighted_fill += self._fill * (now_ms - self._noted_at)
        self._noted_at = now_ms
        self._fill = in_flight / limit if limit else 0.0
        if now_ms - self._window_started >= _WINDOW_MS:
            self._end_window(now_ms)

    def _end_window(self, now_ms: Millis) -> None:
        elapsed = now_ms - self._window_started
        self._mean_fill = self._weighted_fill / elapsed
        self._window_started = now_ms
        self._weighted_fill = 0.0
        # A long pause is one window: it says nothing more than a short one.
        if self._mean_fill <= 0.0:
            self._share = min(1.0, self._share * _MAX_STEP)
            return
        ratio = _FILL_AIM / self._mean_fill
        factor = ratio ** (_FALL_EXPONENT if ratio < 1.0 else _RISE_EXPONENT)
        factor = min(max(factor, 1.0 / _MAX_STEP), _MAX_STEP)
        self._share = min(1.0, max(MIN_SHARE, self._share * factor))
