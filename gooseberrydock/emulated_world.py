"""What the parts of the emulator share: virtual time, who asks, and what they see of the world."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from typing import Final, Protocol

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.emulated_scenario import EmulatedRoute, EmulatedScenario

OK: Final = 200
TARGET_ERROR: Final = 500
NOT_RUN: Final = 503
TIMED_OUT: Final = 504
"""Statuses of emulated answers."""
HOP_RETRIES: Final = 2
"""Repeats at each hop of the baselines, and of a route's attempts with the product."""


class Requester(Protocol):
    """Whoever waits for an answer: a caller, or a run that made a call."""

    def on_answer(self, now_ms: Millis, status: int, retry_after_ms: Millis) -> None:
        """Take the final answer."""


@attrs.define(eq=False)
class Timeline:
    """Run events in the order of their times."""

    now_ms: Millis = 0.0
    _events: list[tuple[Millis, int, Callable[[], None]]] = attrs.field(factory=list)
    _serials: Iterator[int] = attrs.field(factory=itertools.count)

    def schedule(self, delay_ms: Millis, action: Callable[[], None]) -> None:
        """Have something done later."""
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._serials), action))

    def run(self, until_ms: Millis) -> None:
        """Do everything that is due until a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()


class EmulatedNode(Protocol):
    """Stand between callers and targets."""

    def handle_request(self, requester: Requester, route: str, limit_ms: Millis) -> None:
        """Take a request that begins on this host."""

    def tick(self) -> None:
        """Run timers."""


class World(Protocol):
    """Offer what targets and nodes need of the emulator that holds them."""

    @property
    def scenario(self) -> EmulatedScenario:
        """Return what is played."""

    @property
    def random(self) -> random.Random:
        """Return the one source of chance."""

    @property
    def timeline(self) -> Timeline:
        """Return the virtual time."""

    @property
    def route_specs(self) -> dict[str, EmulatedRoute]:
        """Return the routes by name."""

    def next_id(self) -> int:
        """Return a number that was not given before."""

    def delay_ms(self, origin: str, destination: str) -> Millis:
        """Return how long a message takes from node to node."""
