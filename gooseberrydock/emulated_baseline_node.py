"""Baseline nodes of the emulator: plain forwarding to random hosts, with or without limits.

With fixed limits, an attempt is refused while as many requests wait at the target as it has slots.
"""

from typing import Protocol

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.emulated_target import EmulatedTarget
from gooseberrydock.emulated_world import HOP_RETRIES, NOT_RUN, OK, TIMED_OUT, Requester, World


class BaselineWorld(World, Protocol):
    """Interface of the emulator for baseline nodes; it gives access to the targets."""

    def random_target(self, route: str) -> EmulatedTarget:
        """Return a random target of a route's service."""


@attrs.define(eq=False)
class BaselineCall:
    """Forwarded request; each attempt, including retries after failures, goes to a random host."""

    _world: BaselineWorld
    _requester: Requester
    _route: str
    _expires_at: Millis
    _has_limits: bool
    _attempts: int = 0

    def send(self) -> None:
        """Send the next attempt, or report a timeout where no time is left."""
        timeline = self._world.timeline
        left_ms = self._expires_at - timeline.now_ms
        if left_ms <= 0:
            self._requester.on_answer(timeline.now_ms, TIMED_OUT, 0.0)
            return
        self._attempts += 1
        target = self._world.random_target(self._route)
        delay_ms = self._world.scenario.other_domain_ms
        timeline.schedule(delay_ms, lambda: self._arrive(target, left_ms - delay_ms))

    def _arrive(self, target: EmulatedTarget, left_ms: Millis) -> None:
        if self._has_limits and target.waiting >= target.slots:
            self._on_end(NOT_RUN)
        else:
            target.start(self._route, left_ms, self._on_end)

    def _on_end(self, status: int) -> None:
        is_final = status == OK or self._attempts > HOP_RETRIES
        if is_final:
            self._requester.on_answer(self._world.timeline.now_ms, status, 0.0)
        else:
            self.send()


@attrs.define(eq=False)
class BaselineNode:
    """Node that forwards requests without any routing or admission decisions."""

    _world: BaselineWorld
    _has_limits: bool

    def handle_request(self, requester: Requester, route: str, limit_ms: Millis) -> None:
        """Forward a request within the shorter of its time limit and the route's timeout."""
        timeout_ms = self._world.route_specs[route].timeout_ms
        expires_at = self._world.timeline.now_ms + min(limit_ms, timeout_ms)
        BaselineCall(self._world, requester, route, expires_at, self._has_limits).send()

    def tick(self) -> None:
        """Do nothing; a baseline has no timers."""
