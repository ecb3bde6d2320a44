"""Shared parts of the emulator: virtual time, and the interfaces of requesters, nodes and world.

Targets and nodes use the emulator only through ``World``, so that their modules do not import it.
"""

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
"""HTTP statuses of emulated answers."""
HOP_RETRIES: Final = 2
"""Maximum retries: at each hop with a baseline, and of each request with the product."""


class Requester(Protocol):
    """Sender of a request that receives its answer: a caller, or a run that made a call."""

    def on_answer(self, now_ms: Millis, status: int, retry_after_ms: Millis) -> None:
        """Process the final answer; ``retry_after_ms`` is the wait it asks for before a retry."""


@attrs.define(eq=False)
class Timeline:
    """Virtual clock that runs scheduled actions in the order of their times."""

    now_ms: Millis = 0.0
    _events: list[tuple[Millis, int, Callable[[], None]]] = attrs.field(factory=list)
    _sequence_numbers: Iterator[int] = attrs.field(factory=itertools.count)

    def schedule(self, delay_ms: Millis, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._sequence_numbers), action))

    def run(self, until_ms: Millis) -> None:
        """Run all actions that are due up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()


class EmulatedNode(Protocol):
    """Node between callers and targets."""

    def handle_request(self, requester: Requester, route: str, limit_ms: Millis) -> None:
        """Process a request of a caller, or a call of this host's target, within a time limit."""

    def tick(self) -> None:
        """Run the node's timers."""


class World(Protocol):
    """Interface of the emulator for its targets and nodes."""

    @property
    def scenario(self) -> EmulatedScenario:
        """Return the scenario of this run."""

    @property
    def random(self) -> random.Random:
        """Return the one random generator from which all randomness of the run derives."""

    @property
    def timeline(self) -> Timeline:
        """Return the virtual clock."""

    @property
    def route_specs(self) -> dict[str, EmulatedRoute]:
        """Return the routes by name."""

    def next_id(self) -> int:
        """Return a number that is unique within the run."""

    def delay_ms(self, origin: str, destination: str) -> Millis:
        """Return the network delay of a message between two nodes, given by their identifiers."""
