"""Admission control at a target's own node: which calls run now, wait or are refused.

Limits the load of one target. The concurrency limit leaves some of the target's slots free, because
targets slow down when nearly all slots are in use. A target that names a request rate gets no more
than that. Waiting calls are ordered by rank, then by arrival. A call that can no longer finish in
time is removed from the queue as not run, before any work is spent on it. Performs no I/O.
"""

import heapq
import itertools
from collections.abc import Iterator, Mapping
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.errorcodes import TARGET_BUSY, ErrorCode
from gooseberrydock.mesh.downstream import UNLIMITED, DownstreamCapacity
from gooseberrydock.mesh.nested_routes import NestedRoutes
from gooseberrydock.mesh.overload_controller import OverloadController
from gooseberrydock.mesh.rate_limiter import RateLimiter
from gooseberrydock.messages import LoadNotice, RoutedCall, TargetReport

_USABLE_SLOT_SHARE: Final = 0.94
"""Concurrency limit as a share of the announced slots; targets may slow down above it."""
_RUN_TIME_WEIGHT: Final = 0.05
"""Weight of one run in the exponentially weighted moving averages of the run time."""
_MAX_WAIT_SHARE: Final = 0.25
"""Largest expected wait of a caller's request, as a share of the time left to its deadline."""
_NESTED_WAIT_SHARE: Final = 0.7
"""The same for a call made while an admitted request runs. It is higher because work has already
been spent on that request."""
_MAX_RATE_WAIT_MS: Final[Millis] = 250.0
"""Longest expected wait of a caller's request for the target's rate limit, if its node knows no
other host to try."""
_MAX_RATE_WAIT_WITH_ALTERNATIVE_MS: Final[Millis] = 50.0
"""The same if there is another host: a refusal costs one message."""
_RATE_BOUND_LOAD: Final = 0.9
"""Offered load of a target whose rate limit is used up by calls that had other hosts to choose; it
is less than what asks callers' nodes to admit less."""
_MIN_RUN_SHARE: Final = 0.5
"""Time that must be left to the deadline when a waiting call starts, as a share of the mean run
time of its route."""
_MIN_SHARE_EXPONENT: Final = 0.7
_MAX_SHARE_EXPONENT: Final = 2.0
"""Bounds of the exponent by which a route's run time changes its admitted share. Routes with short
runs are admitted more, because a slot then serves more callers, and the upper bound leaves a fair
share to the routes with the longest runs."""
NESTED_RANK: Final = 0
"""Rank of calls made while an admitted request runs: the same as the most important requests."""


@attrs.define(eq=False)
class Ticket:
    """State of one call at the target's node.

    Calls with the lowest ``rank`` start first; ``started_at`` is negative until then.
    ``is_withdrawn`` marks a call removed while it waited, which may still be in the queue.
    """

    run_id: int
    link_id: str
    call: RoutedCall
    rank: int
    arrived_at: Millis
    deadline_at: Millis
    is_nested: bool
    request_id: str = ""
    started_at: Millis = -1.0
    is_withdrawn: bool = False

    @property
    def has_started(self) -> bool:
        """Return whether the call was sent to the target."""
        return self.started_at >= 0


@attrs.define
class AdmissionQueue:
    """Admit calls to one target."""

    _overload_controller: OverloadController
    _service: str = ""
    _slots: int = 0
    _running: dict[int, Ticket] = attrs.field(factory=dict)
    _queue: list[tuple[int, int, Ticket]] = attrs.field(factory=list)
    _waiting: int = 0
    _serials: Iterator[int] = attrs.field(factory=itertools.count)
    _run_ms_by_route: dict[str, Millis] = attrs.field(factory=dict)
    _mean_run_ms: Millis = 0.0
    _downstream_capacities: Mapping[str, DownstreamCapacity] = attrs.field(factory=dict)
    _nested_routes: NestedRoutes = attrs.field(factory=NestedRoutes)
    _has_finished: bool = False
    _rate_limiter: RateLimiter = attrs.field(factory=RateLimiter)

    @property
    def running(self) -> dict[int, Ticket]:
        """Return the calls that run at the target, by run ID."""
        return self._running

    @property
    def waiting(self) -> int:
        """Return the number of waiting calls."""
        return self._waiting

    @property
    def limit(self) -> int:
        """Return the concurrency limit, 0 if the target has announced no slots."""
        return max(1, int(self._slots * _USABLE_SLOT_SHARE)) if self._slots else 0

    @property
    def capacity(self) -> float:
        """Return how many calls run at once when the target is full or at its rate limit."""
        return self._rate_limiter.capacity(self.limit, self._mean_run_ms)

    @property
    def in_flight(self) -> int:
        """Return the number of calls that run or wait."""
        return len(self._running) + self._waiting

    @property
    def overload_controller(self) -> OverloadController:
        """Return the controller that sets the share of work to admit."""
        return self._overload_controller

    def set_target(self, service: str, slots: int) -> None:
        """Set the service and the number of slots that the target announced."""
        self._service = service
        self._slots = slots

    def set_rate_limit(self, now_ms: Millis, per_second: float | None) -> None:
        """Set the requests per second that the target takes, or None if it names no limit."""
        self._rate_limiter.set_rate(now_ms, per_second)

    def reset_run_times(self) -> None:
        """Discard the run times after the target was replaced by another instance."""
        self._run_ms_by_route.clear()
        self._mean_run_ms = 0.0

    def create_ticket(
        self, now_ms: Millis, run_id: int, link_id: str, call: RoutedCall, request_id: str = ""
    ) -> Ticket:
        """Record the arrival of a call and return its ticket, with rank and deadline."""
        self._nested_routes.on_call(call.route, call.caller_service)
        self._tick_overload_controller(now_ms)
        is_nested = self._nested_routes.classify(call.route, call.service)
        rank = NESTED_RANK if is_nested else call.priority
        deadline_at = now_ms + call.remaining_ms
        return Ticket(run_id, link_id, call, rank, now_ms, deadline_at, is_nested, request_id)

    def submit(self, now_ms: Millis, ticket: Ticket) -> ErrorCode | None:
        """Start or enqueue a call, or return the error code with which it is refused."""
        if not self._is_rate_bound:
            self._record_arrival(ticket)
        has_slot = self._waiting == 0 and len(self._running) < self.limit
        if has_slot and self._rate_limiter.try_take(now_ms):
            self._start(now_ms, ticket)
            return None
        if self.expected_wait(ticket.rank) > self._max_wait(ticket):
            if self._is_rate_bound and not ticket.call.has_alternative:
                self._record_arrival(ticket)
            return TARGET_BUSY
        heapq.heappush(self._queue, (ticket.rank, next(self._serials), ticket))
        self._waiting += 1
        return None

    def expected_wait(self, rank: int) -> Millis:
        """Return how long a new call of a rank is expected to wait for the calls ahead of it."""
        calls_ahead = sum(1 for item in self._queue if item[0] <= rank and not item[2].is_withdrawn)
        ms_per_call = max(self._mean_run_ms / max(1, self.limit), self._rate_limiter.ms_per_call)
        return (calls_ahead + 1) * ms_per_call

    def _max_wait(self, ticket: Ticket) -> Millis:
        """Return the longest expected wait with which a call is queued."""
        if ticket.is_nested:
            return _NESTED_WAIT_SHARE * ticket.call.remaining_ms
        max_wait_ms = _MAX_WAIT_SHARE * ticket.call.remaining_ms
        if not self._is_rate_bound:
            return max_wait_ms
        has_alternative = ticket.call.has_alternative
        rate_wait_ms = _MAX_RATE_WAIT_WITH_ALTERNATIVE_MS if has_alternative else _MAX_RATE_WAIT_MS
        return min(max_wait_ms, rate_wait_ms)

    def finish(self, now_ms: Millis, ticket: Ticket, has_completed: bool) -> None:
        """Remove a call; record its run time if it has completed with an answer of the target."""
        if self._running.pop(ticket.run_id, None) is None:
            if not ticket.is_withdrawn and not ticket.has_started:
                ticket.is_withdrawn = True
                self._waiting -= 1
        elif has_completed:
            self._overload_controller.on_finish()
            self._has_finished = True
            self._record_run_time(ticket.call.route, now_ms - ticket.started_at)

    def start_next(self, now_ms: Millis) -> tuple[list[Ticket], list[Ticket]]:
        """Start waiting calls; return those started and those removed as too late to start."""
        started: list[Ticket] = []
        late: list[Ticket] = []
        while self._queue and len(self._running) < self.limit:
            ticket = self._queue[0][2]
            is_late = not ticket.is_withdrawn and self._is_late(now_ms, ticket)
            is_startable = not ticket.is_withdrawn and not is_late
            if is_startable and not self._rate_limiter.try_take(now_ms):
                break
            heapq.heappop(self._queue)
            if is_late:
                self._waiting -= 1
                ticket.is_withdrawn = True
                late.append(ticket)
            elif is_startable:
                self._waiting -= 1
                self._start(now_ms, ticket)
                started.append(ticket)
        return started, late

    def drop_late(self, now_ms: Millis) -> list[Ticket]:
        """Remove and return waiting calls too late to finish; update the overload controller."""
        late = [
            item[2]
            for item in self._queue
            if not item[2].is_withdrawn and self._is_late(now_ms, item[2])
        ]
        for ticket in late:
            ticket.is_withdrawn = True
            self._waiting -= 1
        if late:
            self._queue = [item for item in self._queue if not item[2].is_withdrawn]
            heapq.heapify(self._queue)
        self._tick_overload_controller(now_ms)
        return late

    def set_downstream_capacities(self, capacities: Mapping[str, DownstreamCapacity]) -> None:
        """Set, by route, whether its runs make calls and the share that their services admit.

        A route without runs has none, so that its last share does not stay in force.
        """
        self._downstream_capacities = capacities

    def admitted_share(self, route: str) -> float:
        """Return the share of a route that this target and its downstream services can take."""
        return min(self._own_share(route), self._downstream_capacity(route).share)

    def report(self, now_ms: Millis, route: str) -> TargetReport:
        """Return the report on this target that is sent to callers' nodes, for one route."""
        return TargetReport(
            in_flight=self.in_flight,
            limit=self.limit,
            mean_run_ms=self._run_ms_by_route.get(route, 0.0),
            admitted_share=self.admitted_share(route),
            is_nested=self._nested_routes.classify(route, self._service),
            makes_calls=self._downstream_capacity(route).makes_calls,
            rate_limit=self._rate_limiter.per_second,
            rate_used=self._rate_limiter.used_share(now_ms, self._waiting),
        )

    def _downstream_capacity(self, route: str) -> DownstreamCapacity:
        return self._downstream_capacities.get(route, UNLIMITED)

    def take_load_notice(self, now_ms: Millis) -> LoadNotice | None:
        """Return a notice of the load and the run times, or None if no call has ended since."""
        if not self._has_finished:
            return None
        self._has_finished = False
        return LoadNotice(
            in_flight=self.in_flight,
            limit=self.limit,
            run_ms_by_route=dict(self._run_ms_by_route),
            rate_limit=self._rate_limiter.per_second,
            rate_used=self._rate_limiter.used_share(now_ms, self._waiting),
        )

    @property
    def _is_rate_bound(self) -> bool:
        """Return whether the rate limit is reached before the slots are full."""
        return self._rate_limiter.ms_per_call > self._mean_run_ms / max(1, self.limit)

    def _record_arrival(self, ticket: Ticket) -> None:
        run_ms = self._run_ms_by_route.get(ticket.call.route, self._mean_run_ms)
        self._overload_controller.on_arrival(run_ms)

    def _tick_overload_controller(self, now_ms: Millis) -> None:
        """Update the overload controller.

        Callers use up a rate limit while other hosts have room, so at the limit only calls that
        found no other host, or that wait longer than such calls may, are more than it can take.
        """
        capacity, waiting, base_load = self.capacity, self._waiting, 0.0
        if self._is_rate_bound:
            waiting = max(0, waiting - int(_MAX_RATE_WAIT_MS / self._rate_limiter.ms_per_call))
            base_load = _RATE_BOUND_LOAD * min(1.0, self._rate_limiter.used_share(now_ms, 0))
        self._overload_controller.tick(now_ms, capacity, waiting, self._mean_run_ms, base_load)

    def _own_share(self, route: str) -> float:
        """Return this target's own admitted share of a route, lower for routes with long runs."""
        share = self._overload_controller.share
        if share >= 1.0 or not self._mean_run_ms:
            return share
        relative_length = self._run_ms_by_route.get(route, self._mean_run_ms) / self._mean_run_ms
        return float(
            share ** min(max(relative_length**0.5, _MIN_SHARE_EXPONENT), _MAX_SHARE_EXPONENT)
        )

    def _start(self, now_ms: Millis, ticket: Ticket) -> None:
        ticket.started_at = now_ms
        self._running[ticket.run_id] = ticket

    def _is_late(self, now_ms: Millis, ticket: Ticket) -> bool:
        needed_ms = self._run_ms_by_route.get(ticket.call.route, 0.0) * _MIN_RUN_SHARE
        return ticket.deadline_at - now_ms < needed_ms

    def _record_run_time(self, route: str, run_ms: Millis) -> None:
        route_mean_ms = self._run_ms_by_route.get(route, run_ms)
        self._run_ms_by_route[route] = route_mean_ms + (run_ms - route_mean_ms) * _RUN_TIME_WEIGHT
        mean_ms = self._mean_run_ms or run_ms
        self._mean_run_ms = mean_ms + (run_ms - mean_ms) * _RUN_TIME_WEIGHT


def create_admission_queue(nested_routes: NestedRoutes) -> AdmissionQueue:
    """Create an admission queue for a target that has not announced itself yet."""
    return AdmissionQueue(OverloadController(), nested_routes=nested_routes)
