"""Decide which work a stopping node still takes.

A stopping process ends at a fixed time, whatever it is doing then. Work that would be broken off is
better refused when it arrives: it has not run, and its caller may go elsewhere. Work is therefore
taken only if it surely ends in time, by its own deadline or by what such work took so far. That
spares the runs above it too: the calls of a run that is taken fit into the time that is left, since
its duration includes theirs. Performs no I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis

_MARGIN_OF_ONE_DURATION: Final = 1.0
"""Part by which work may take longer than the only duration seen; it falls with their number, as
does the probability that the next one is the longest."""
_END_MARGIN_MS: Final[Millis] = 100.0
"""Time to deliver an answer before the process ends."""
_WINDOW_MS: Final[Millis] = 20_000.0
_MAX_KINDS: Final = 1_024
"""Kinds of work whose durations are kept; others are judged by their deadlines alone."""


@attrs.define
class _Window:
    """Number of durations in a time, and the longest of them."""

    count: int = 0
    longest_ms: Millis = 0.0


@attrs.define
class _RecentDurations:
    """Durations of one kind of work in the current window and in the one before it."""

    ends_at: Millis
    current: _Window = attrs.field(factory=_Window)
    previous: _Window = attrs.field(factory=_Window)

    def add(self, now_ms: Millis, duration_ms: Millis) -> None:
        """Record a duration."""
        if now_ms >= self.ends_at:
            self.ends_at = now_ms + _WINDOW_MS
            self.previous, self.current = self.current, _Window()
        self.current.count += 1
        if duration_ms > self.current.longest_ms:
            self.current.longest_ms = duration_ms

    def upper_bound_ms(self) -> Millis:
        """Return the longest duration with a margin."""
        count = self.current.count + self.previous.count
        margin = _MARGIN_OF_ONE_DURATION / count
        return max(self.current.longest_ms, self.previous.longest_ms) * (1.0 + margin)


@attrs.define
class WorkDurations:
    """Recent durations of each kind of work."""

    _by_kind: dict[str, _RecentDurations] = attrs.field(factory=dict)

    def on_end(self, now_ms: Millis, kind: str, duration_ms: Millis) -> None:
        """Record how long one piece of work took."""
        recent = self._by_kind.get(kind)
        if recent is None:
            if len(self._by_kind) >= _MAX_KINDS:
                return
            recent = self._by_kind[kind] = _RecentDurations(now_ms + _WINDOW_MS)
        recent.add(now_ms, duration_ms)

    def upper_bound_ms(self, kind: str) -> Millis | None:
        """Return how long such work takes at most, or None if none has ended yet."""
        recent = self._by_kind.get(kind)
        return recent.upper_bound_ms() if recent is not None else None


@attrs.define
class StopPlan:
    """The end of this process, if it is stopping, and the work that ends before it."""

    _requests: WorkDurations = attrs.field(factory=WorkDurations)
    _runs: WorkDurations = attrs.field(factory=WorkDurations)
    _ends_at: Millis | None = None

    @property
    def requests(self) -> WorkDurations:
        """Return the durations of the requests that this node takes, by route."""
        return self._requests

    @property
    def runs(self) -> WorkDurations:
        """Return the durations of the runs of the local target, by route."""
        return self._runs

    @property
    def ends_at(self) -> Millis | None:
        """Return when the work in flight is cut off, or None while no stop was requested."""
        return self._ends_at

    def begin(self, ends_at: Millis) -> None:
        """Set when the work in flight will be cut off."""
        self._ends_at = ends_at

    def takes_request(self, now_ms: Millis, route: str, deadline_at: Millis) -> bool:
        """Return whether a request surely ends before the process, or there is no stop."""
        if self._ends_at is None:
            return True
        return _ends_by(self._ends_at, now_ms, self._requests.upper_bound_ms(route), deadline_at)

    def takes_run(self, now_ms: Millis, route: str, deadline_at: Millis) -> bool:
        """Return whether a run of the local target surely ends before the process."""
        if self._ends_at is None:
            return True
        return _ends_by(self._ends_at, now_ms, self._runs.upper_bound_ms(route), deadline_at)


def _ends_by(
    ends_at: Millis, now_ms: Millis, upper_bound_ms: Millis | None, deadline_at: Millis
) -> bool:
    latest_end = deadline_at
    if upper_bound_ms is not None:
        latest_end = min(latest_end, now_ms + upper_bound_ms)
    return latest_end + _END_MARGIN_MS <= ends_at
