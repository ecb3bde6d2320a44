"""Emulated targets, with slots, an unbounded queue, and runs that make calls."""

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Final

import attrs

from gooseberrydock.clock import MS_PER_SECOND, Millis
from gooseberrydock.emulated_scenario import EmulatedRoute
from gooseberrydock.emulated_world import (
    OK,
    TARGET_ERROR,
    TIMED_OUT,
    EmulatedNode,
    Timeline,
    World,
)

_MAX_WORK_DEVIATION: Final = 0.5
"""Largest deviation of the duration of the work from its mean, as a share of the mean."""


@attrs.define(eq=False)
class EmulatedRun:
    """One run at a target: half of its work, then its calls one by one, then the other half."""

    _target: "EmulatedTarget"
    _route: EmulatedRoute
    _expires_at: Millis
    _on_end: Callable[[int], None]
    _calls: list[str]
    has_ended: bool = False

    def begin(self) -> None:
        """Start the first half of the work."""
        self._work(self._call_next)

    def _work(self, on_done: Callable[[], None]) -> None:
        timeline = self._target.timeline
        work_ms = self._target.work_ms(self._route) / 2
        left_ms = self._expires_at - timeline.now_ms
        if work_ms >= left_ms:
            timeline.schedule(max(0.0, left_ms), lambda: self.end(TIMED_OUT))
        else:
            timeline.schedule(work_ms, on_done)

    def _call_next(self) -> None:
        if self.has_ended:
            return
        if not self._calls:
            self._work(lambda: self.end(OK))
            return
        left_ms = self._expires_at - self._target.timeline.now_ms
        self._target.node.handle_request(self, self._calls.pop(), left_ms)

    def on_answer(self, now_ms: Millis, status: int, retry_after_ms: Millis) -> None:
        """Continue after a successful call, or fail the run."""
        if status == OK:
            self._call_next()
        else:
            self.end(TARGET_ERROR)

    def end(self, status: int) -> None:
        """Free the slot and answer, the first time it is invoked for a run."""
        if not self.has_ended:
            self.has_ended = True
            self._target.free_slot()
            self._on_end(status)


@attrs.define(eq=False)
class EmulatedTarget:
    """Target that starts runs in free slots and queues the others; its queue has no limit."""

    _world: World
    node: EmulatedNode
    service: str
    host: int
    slots: int
    running: int = 0
    _queue: deque[EmulatedRun] = attrs.field(factory=deque)

    @property
    def timeline(self) -> Timeline:
        """Return the virtual clock."""
        return self._world.timeline

    @property
    def waiting(self) -> int:
        """Return the number of queued runs."""
        return len(self._queue)

    def work_ms(self, route: EmulatedRoute) -> Millis:
        """Return a random duration of the work of one run, without its calls."""
        now_s = self.timeline.now_ms / MS_PER_SECOND
        slowness = self._world.scenario.slowness(self.service, self.host, now_s)
        duration_factor = self._world.random.uniform(
            1.0 - _MAX_WORK_DEVIATION, 1.0 + _MAX_WORK_DEVIATION
        )
        return route.work_ms * slowness * duration_factor

    def start(self, route_name: str, limit_ms: Millis, on_end: Callable[[int], None]) -> None:
        """Start a run, at once or when a slot becomes free."""
        route = self._world.route_specs[route_name]
        # Rounds the mean number of calls up or down at random, so that the mean is kept.
        calls = [
            name
            for name, mean in route.calls
            for _ in range(int(mean + self._world.random.random()))
        ]
        if self._loses_answer():
            # The run continues as usual, but its requester gets no answer before the time limit.
            self.timeline.schedule(max(0.0, limit_ms), partial(on_end, TIMED_OUT))
            on_end = _discard_answer
        run = EmulatedRun(self, route, self.timeline.now_ms + limit_ms, on_end, calls)
        if self.running < self.slots:
            self._begin(run)
        else:
            self._queue.append(run)

    def _loses_answer(self) -> bool:
        now_s = self.timeline.now_ms / MS_PER_SECOND
        share = self._world.scenario.lost_share(self.service, self.host, now_s)
        return share > 0 and self._world.random.random() < share

    def free_slot(self) -> None:
        """Free a slot and begin the next queued run."""
        self.running -= 1
        if self._queue:
            self._begin(self._queue.popleft())

    def _begin(self, run: EmulatedRun) -> None:
        self.running += 1
        run.begin()


def _discard_answer(status: int) -> None:
    """Discard an answer that is lost on the network."""
