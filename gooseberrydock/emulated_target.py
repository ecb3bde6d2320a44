"""Targets of the emulator: slots, a queue without end, and runs that make calls."""

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

_RUN_SPREAD: Final = 0.5
"""Largest part by which the length of a run differs from its mean."""


@attrs.define(eq=False)
class EmulatedRun:
    """Follow one run at a target: half of its work, its calls in turn, the other half."""

    _target: "EmulatedTarget"
    _route: EmulatedRoute
    _expires_at: Millis
    _on_end: Callable[[int], None]
    _calls: list[str]
    is_over: bool = False

    def begin(self) -> None:
        """Take a slot."""
        self._work(self._call_next)

    def _work(self, then: Callable[[], None]) -> None:
        timeline = self._target.timeline
        work_ms = self._target.work_ms(self._route) / 2
        left_ms = self._expires_at - timeline.now_ms
        if work_ms >= left_ms:
            timeline.schedule(max(0.0, left_ms), lambda: self.end(TIMED_OUT))
        else:
            timeline.schedule(work_ms, then)

    def _call_next(self) -> None:
        if self.is_over:
            return
        if not self._calls:
            self._work(lambda: self.end(OK))
            return
        left_ms = self._expires_at - self._target.timeline.now_ms
        self._target.node.handle_request(self, self._calls.pop(), left_ms)

    def on_answer(self, now_ms: Millis, status: int, retry_after_ms: Millis) -> None:
        """Go on after a call, or fail with it."""
        if status == OK:
            self._call_next()
        else:
            self.end(TARGET_ERROR)

    def end(self, status: int) -> None:
        """Free the slot and answer, once."""
        if not self.is_over:
            self.is_over = True
            self._target.free_slot()
            self._on_end(status)


@attrs.define(eq=False)
class EmulatedTarget:
    """Run requests in slots, and let those wait that find none; it has no limit of its own."""

    _world: World
    node: EmulatedNode
    service: str
    host: int
    slots: int
    running: int = 0
    _queue: deque[EmulatedRun] = attrs.field(factory=deque)

    @property
    def timeline(self) -> Timeline:
        """Return the virtual time."""
        return self._world.timeline

    @property
    def waiting(self) -> int:
        """Return the number of requests without a slot."""
        return len(self._queue)

    def work_ms(self, route: EmulatedRoute) -> Millis:
        """Return how long a run of a route works."""
        now_s = self.timeline.now_ms / MS_PER_SECOND
        slowness = self._world.scenario.slowness(self.service, self.host, now_s)
        spread = self._world.random.uniform(1.0 - _RUN_SPREAD, 1.0 + _RUN_SPREAD)
        return route.work_ms * slowness * spread

    def start(self, route_name: str, limit_ms: Millis, on_end: Callable[[int], None]) -> None:
        """Run a request, at once or when a slot is free."""
        route = self._world.route_specs[route_name]
        calls = [
            name
            for name, mean in route.calls
            for _ in range(int(mean + self._world.random.random()))
        ]
        if self._loses_answer():
            # The run goes on as ever; whoever waits for it hears nothing until its time is over.
            self.timeline.schedule(max(0.0, limit_ms), partial(on_end, TIMED_OUT))
            on_end = _hear_nothing
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
        """Give a slot to the next request."""
        self.running -= 1
        if self._queue:
            self._begin(self._queue.popleft())

    def _begin(self, run: EmulatedRun) -> None:
        self.running += 1
        run.begin()


def _hear_nothing(status: int) -> None:
    """Take an answer that is lost on its way."""
