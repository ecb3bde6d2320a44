"""Load shedding for one target: sets the share of less important work that callers' nodes admit.

Handles a service that is offered more work than it can finish. The controlled variable is the
offered load: arrivals times mean run times, as a share of what the slots can run. Unlike the queue
length, it shows the effect of a changed share immediately. The share decreases while the offered
load is above its setpoint and increases while it is below. The nodes that receive requests from
callers shed the rest before any work is done. Performs no I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis

_WINDOW_MS: Final[Millis] = 100.0
"""Length of one control window."""
_OFFERED_LOAD_SETPOINT: Final = 0.97
"""Setpoint of the offered load under overload, as a share of what the slots can run."""
_OFFERED_LOAD_WEIGHT: Final = 0.5
"""Weight of a new window in the exponentially weighted moving average of the offered load; the
arrivals vary between windows."""
_DECREASE_EXPONENT: Final = 0.22
_INCREASE_EXPONENT: Final = 0.15
"""Exponents by which one window changes the share. The effect of a change is seen after three to
five windows, the delay of a call path; the exponents summed over that delay must stay below one, or
the share oscillates."""
_BACKLOG_WEIGHT: Final = 0.15
"""Offered load that a backlog as large as the slots adds, since the backlog has to be run too."""
_STALLED_OFFERED_LOAD: Final = 2.0
"""Least offered load assumed while the target is stalled: calls wait and none finishes."""
_MIN_STALL_COMPLETIONS: Final = 3.0
"""A window in which no call finishes counts as a stall if at least this many were expected to."""
_MAX_CHANGE_FACTOR: Final = 1.3
"""Largest factor by which one window may increase or decrease the share."""
_MIN_OFFERED_LOAD: Final = 0.05
"""Lower bound of the offered load in the control law; a smaller value does not show how much more
load there may be."""
MIN_SHARE: Final = 0.05
"""Lower bound of the share, so that a recovery is noticed."""


@attrs.define
class OverloadController:
    """Derive the share of work to admit from the load offered to a target."""

    _share: float = 1.0
    _window_started: Millis = 0.0
    _arrived_work_ms: Millis = 0.0
    _offered: float = 0.0
    _finished: int = 0

    @property
    def share(self) -> float:
        """Return the share of less important work to admit; 1 admits all of it."""
        return self._share

    @property
    def offered(self) -> float:
        """Return the recent offered load, as a share of what the slots can run."""
        return self._offered

    def on_arrival(self, run_ms: Millis) -> None:
        """Record the arrival of a call with its expected run time."""
        self._arrived_work_ms += run_ms

    def on_finish(self) -> None:
        """Record that the target finished a call."""
        self._finished += 1

    def tick(
        self,
        now_ms: Millis,
        capacity: float,
        waiting: int,
        mean_run_ms: Millis,
        base_load: float = 0.0,
    ) -> None:
        """Update the share if the window is over; waiting calls are load offered earlier.

        ``capacity`` is how many calls run at once when the target is full or at its rate limit.
        ``base_load`` is offered load that is not recorded by arrivals.
        """
        elapsed_ms = now_ms - self._window_started
        if elapsed_ms < _WINDOW_MS or capacity <= 0:
            return
        offered = base_load + self._arrived_work_ms / (elapsed_ms * capacity)
        offered += _BACKLOG_WEIGHT * waiting / max(1.0, capacity)
        if (
            waiting
            and not self._finished
            and capacity * elapsed_ms >= _MIN_STALL_COMPLETIONS * mean_run_ms
        ):
            offered = max(offered, _STALLED_OFFERED_LOAD)
        self._finished = 0
        # Single windows are noisy. A long pause is one window, with the same weight as any other.
        self._offered += (offered - self._offered) * _OFFERED_LOAD_WEIGHT
        self._window_started = now_ms
        self._arrived_work_ms = 0.0
        ratio = _OFFERED_LOAD_SETPOINT / max(self._offered, _MIN_OFFERED_LOAD)
        factor = ratio ** (_DECREASE_EXPONENT if ratio < 1.0 else _INCREASE_EXPONENT)
        factor = min(max(factor, 1.0 / _MAX_CHANGE_FACTOR), _MAX_CHANGE_FACTOR)
        self._share = min(1.0, max(MIN_SHARE, self._share * factor))
