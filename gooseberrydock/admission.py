"""Admission control for the calls to one target.

It consists of a concurrency limit, a short admission queue ordered by rank, and a shed threshold,
which is the rank above which calls are shed on arrival. During a standing queue, the threshold is
lowered to the rank at which the calls offered in the last ten windows match what the target can
complete. Without a standing queue, it rises in growing steps while the utilization of the
concurrency limit is below ``BUSY_UTILIZATION``, and stays while the target is merely busy. Every
answer reports it, so that entries shed requests before any work is done.

The most important priority has a longer queue. The threshold falls into its rank range only after
a queue has stood for several windows although no other priority was admitted, because a burst of
important calls is not an overload.
"""

import enum
import heapq
import itertools
from collections import deque
from collections.abc import Iterator
from typing import Final

import attrs

from gooseberrydock import defaults
from gooseberrydock.clock import Millis
from gooseberrydock.errorcodes import DEADLINE_EXPIRED, SHED_AT_TARGET, ErrorCode
from gooseberrydock.limiter import ConcurrencyLimit
from gooseberrydock.messages import LoadReport
from gooseberrydock.ranks import MAX_RANK

TOP_PRIORITY_RANK_END: Final = 1.0
"""Ranks below this belong to the most important priority."""


class RunEnd(enum.Enum):
    """How a run ended, as far as the target's capacity is concerned.

    An abandoned run was cancelled, or its connection failed, which says nothing about capacity.
    """

    COMPLETED = "completed"
    OVERLOADED = "overloaded"
    ABANDONED = "abandoned"


@attrs.frozen
class QueuedCall:
    """A call in the admission queue."""

    run_id: int
    rank: float
    deadline_at: Millis


@attrs.frozen
class Started:
    """The decision to run a call now."""

    run_id: int


@attrs.frozen
class Shed:
    """The decision to refuse a call before it runs."""

    run_id: int
    code: ErrorCode


@attrs.frozen
class Queued:
    """The decision to queue a call."""

    run_id: int


Decision = Started | Shed | Queued


@attrs.define
class ShedThreshold:
    """Adapt the rank above which calls are shed on arrival."""

    _threshold: float = MAX_RANK
    _step: float = defaults.SHED_THRESHOLD_STEP_MIN
    _windows_at_floor: int = 0
    _offered: deque[tuple[Millis, float]] = attrs.field(
        factory=lambda: deque(maxlen=defaults.MAX_RANK_SAMPLES)
    )

    @property
    def threshold(self) -> float:
        """Return the current threshold."""
        return self._threshold

    def on_offer(self, now_ms: Millis, rank: float) -> None:
        """Record the rank of a call that arrived."""
        self._offered.append((now_ms, rank))

    def on_window(
        self,
        now_ms: Millis,
        window_ms: Millis,
        capacity: float,
        utilization: float,
        has_standing_queue: bool,
    ) -> None:
        """Adapt the threshold at the end of a window.

        ``capacity`` is the number of calls per millisecond that the target can complete,
        ``utilization`` the share of its concurrency limit that was in use.
        """
        if has_standing_queue:
            self._lower(now_ms, capacity, window_ms * defaults.RANK_SAMPLE_WINDOWS)
        elif utilization < defaults.BUSY_UTILIZATION:
            self._raise()

    def _lower(self, now_ms: Millis, capacity: float, lookback_ms: Millis) -> None:
        """Lower the threshold to the rank at which the recently offered load fits the capacity."""
        self._step = defaults.SHED_THRESHOLD_STEP_MIN
        ranks = self._recent_ranks(now_ms - lookback_ms)
        if len(ranks) < 2:
            return
        span_ms = max(now_ms - self._offered[0][0], defaults.ADMISSION_WINDOW_MS)
        sustainable_calls = capacity * span_ms * defaults.SHED_THRESHOLD_HEADROOM
        if sustainable_calls >= len(ranks):
            return
        ranks.sort()
        self._threshold = min(self._threshold, self._clamp_to_floor(ranks[int(sustainable_calls)]))

    def _clamp_to_floor(self, threshold: float) -> float:
        """Keep the threshold at ``TOP_PRIORITY_RANK_END`` or above until the shed delay is over."""
        if threshold >= TOP_PRIORITY_RANK_END:
            self._windows_at_floor = 0
            return threshold
        self._windows_at_floor += 1
        return (
            TOP_PRIORITY_RANK_END
            if self._windows_at_floor < defaults.TOP_PRIORITY_SHED_DELAY_WINDOWS
            else threshold
        )

    def _recent_ranks(self, since_ms: Millis) -> list[float]:
        while self._offered and self._offered[0][0] < since_ms:
            self._offered.popleft()
        return [rank for _, rank in self._offered]

    def _raise(self) -> None:
        """Raise the threshold in growing steps."""
        # From 0, the threshold reaches MAX_RANK in 15 windows, so that recovery takes one to two
        # seconds with windows of ADMISSION_WINDOW_MS.
        self._windows_at_floor = 0
        if self._threshold >= MAX_RANK:
            return
        self._threshold = min(MAX_RANK, self._threshold + self._step)
        self._step = min(
            defaults.SHED_THRESHOLD_STEP_MAX, self._step * defaults.SHED_THRESHOLD_STEP_GROWTH
        )


@attrs.define
class AdmissionController:
    """Decide which calls run on the target, wait in the queue, or are shed."""

    _limit: ConcurrencyLimit
    _shed_threshold: ShedThreshold = attrs.field(factory=ShedThreshold)
    _in_flight: int = 0
    _in_flight_changed_at: Millis = 0.0
    _window_busy_ms: float = 0.0
    _service_ms: Millis = 0.0
    _heap: list[tuple[float, int, QueuedCall]] = attrs.field(factory=list)
    _queued_calls: dict[int, QueuedCall] = attrs.field(factory=dict)
    _arrival_numbers: Iterator[int] = attrs.field(factory=itertools.count)
    _window_start: Millis = 0.0
    _window_completed: int = 0
    _completion_rate: float = 0.0
    _window_min_queue: int = 0

    @property
    def shed_threshold(self) -> float:
        """Return the rank above which calls are shed."""
        return self._shed_threshold.threshold

    @property
    def in_flight(self) -> int:
        """Return the number of calls running on the target."""
        return self._in_flight

    @property
    def service_ms(self) -> Millis:
        """Return the smoothed service time on the target; 0 before the first completion."""
        return self._service_ms

    @property
    def queue_length(self) -> int:
        """Return the number of queued calls."""
        return len(self._queued_calls)

    @property
    def load(self) -> LoadReport:
        """Return the load to report to peers."""
        return LoadReport(self._in_flight, len(self._queued_calls), self._limit.limit)

    @property
    def limit(self) -> ConcurrencyLimit:
        """Return the concurrency limit."""
        return self._limit

    @property
    def max_queue_length(self) -> int:
        """Return the length at which the queue is full."""
        ratio = defaults.QUEUE_TO_LIMIT_RATIO
        return max(defaults.MIN_QUEUE_LENGTH, int(self._limit.limit * ratio))

    def _max_queue_length_for(self, rank: float) -> int:
        """Return the length at which the queue is full for a call of the given rank."""
        if rank >= TOP_PRIORITY_RANK_END or not self._service_ms:
            return self.max_queue_length
        max_length_by_wait = (
            defaults.TOP_PRIORITY_MAX_WAIT_MS * self._limit.limit / self._service_ms
        )
        return max(self.max_queue_length, int(max_length_by_wait))

    def offer(
        self, now_ms: Millis, run_id: int, rank: float, deadline_at: Millis
    ) -> list[Decision]:
        """Decide about a new call, which may displace a queued call of a higher rank."""
        self._shed_threshold.on_offer(now_ms, rank)
        if rank > self._shed_threshold.threshold:
            return [Shed(run_id, SHED_AT_TARGET)]
        if self._in_flight < self._limit.limit and not self._queued_calls:
            self._change_in_flight(now_ms, 1)
            return [Started(run_id)]
        if now_ms + self._expected_wait(rank) + self._service_ms > deadline_at:
            return [Shed(run_id, SHED_AT_TARGET)]
        return self._enqueue(QueuedCall(run_id, rank, deadline_at))

    def release(self, now_ms: Millis, service_ms: Millis, run_end: RunEnd) -> list[Decision]:
        """Free the slot of a finished call and start the queued calls that now fit."""
        if run_end is RunEnd.OVERLOADED:
            self._limit.on_overload(now_ms)
        elif run_end is RunEnd.COMPLETED:
            self._limit.on_success(self._in_flight)
            self._observe_service_time(service_ms)
            self._window_completed += 1
        self._change_in_flight(now_ms, -1)
        return self._start_queued_calls(now_ms)

    def cancel(self, run_id: int) -> bool:
        """Remove a call from the queue; return whether it was queued."""
        if self._queued_calls.pop(run_id, None) is None:
            return False
        self._window_min_queue = min(self._window_min_queue, len(self._queued_calls))
        return True

    def tick(self, now_ms: Millis) -> list[Decision]:
        """Start or shed queued calls, and close the window once it is over."""
        decisions = self._start_queued_calls(now_ms)
        elapsed_ms = now_ms - self._window_start
        if elapsed_ms >= self._window_length():
            self._close_window(now_ms, elapsed_ms)
        return decisions

    def _window_length(self) -> Millis:
        """Return a window length in which a queue can drain if the target keeps up."""
        max_window_ms = defaults.MAX_ADMISSION_WINDOW_MS
        return min(max_window_ms, max(defaults.ADMISSION_WINDOW_MS, self._service_ms))

    def _close_window(self, now_ms: Millis, elapsed_ms: Millis) -> None:
        has_standing_queue = (
            self._window_min_queue > self._limit.limit * defaults.STANDING_QUEUE_SHARE
        )
        self._observe_completions(elapsed_ms)
        self._change_in_flight(now_ms, 0)
        utilization = self._utilization(elapsed_ms)
        self._shed_threshold.on_window(
            now_ms, elapsed_ms, self._capacity(), utilization, has_standing_queue
        )
        self._window_start = now_ms
        self._window_completed = 0
        self._window_busy_ms = 0.0
        self._window_min_queue = len(self._queued_calls)

    def _observe_completions(self, elapsed_ms: Millis) -> None:
        window_rate = self._window_completed / elapsed_ms
        self._completion_rate += (
            window_rate - self._completion_rate
        ) / defaults.COMPLETION_RATE_WINDOWS

    def _capacity(self) -> float:
        """Return the number of calls per millisecond that the target can complete."""
        # Right after a change of speed, the completion rate lags. The concurrency limit divided
        # by the service time (Little's law) is a second estimate; the higher of the two is used.
        limit_rate = self._limit.limit / self._service_ms if self._service_ms else 0.0
        return max(self._completion_rate, limit_rate)

    def _change_in_flight(self, now_ms: Millis, change: int) -> None:
        """Change the number of running calls, and add up their running time in this window."""
        self._window_busy_ms += self._in_flight * (now_ms - self._in_flight_changed_at)
        self._in_flight_changed_at = now_ms
        self._in_flight += change

    def _utilization(self, elapsed_ms: Millis) -> float:
        """Return the share of the concurrency limit that was in use during the window."""
        return self._window_busy_ms / (elapsed_ms * self._limit.limit)

    def _observe_service_time(self, service_ms: Millis) -> None:
        if self._service_ms == 0.0:
            self._service_ms = service_ms
        self._service_ms += (service_ms - self._service_ms) * defaults.LATENCY_SMOOTHING_FACTOR

    def _expected_wait(self, rank: float) -> Millis:
        """Return the time that a call would wait for queued calls of the same or a lower rank."""
        calls_ahead = sum(
            1 for queued_call in self._queued_calls.values() if queued_call.rank <= rank
        )
        return calls_ahead * self._service_ms / self._limit.limit

    def _enqueue(self, queued_call: QueuedCall) -> list[Decision]:
        decisions: list[Decision] = []
        if len(self._queued_calls) >= self._max_queue_length_for(queued_call.rank):
            worst_call = max(self._queued_calls.values(), key=lambda item: item.rank)
            if worst_call.rank <= queued_call.rank:
                return [Shed(queued_call.run_id, SHED_AT_TARGET)]
            del self._queued_calls[worst_call.run_id]
            decisions.append(Shed(worst_call.run_id, SHED_AT_TARGET))
        self._queued_calls[queued_call.run_id] = queued_call
        heapq.heappush(self._heap, (queued_call.rank, next(self._arrival_numbers), queued_call))
        decisions.append(Queued(queued_call.run_id))
        return decisions

    def _start_queued_calls(self, now_ms: Millis) -> list[Decision]:
        decisions: list[Decision] = []
        while self._queued_calls and self._in_flight < self._limit.limit:
            queued_call = heapq.heappop(self._heap)[2]
            if self._queued_calls.pop(queued_call.run_id, None) is None:
                continue
            if now_ms >= queued_call.deadline_at:
                decisions.append(Shed(queued_call.run_id, DEADLINE_EXPIRED))
                continue
            self._change_in_flight(now_ms, 1)
            decisions.append(Started(queued_call.run_id))
        if not self._queued_calls:
            self._heap.clear()
        self._window_min_queue = min(self._window_min_queue, len(self._queued_calls))
        return decisions


def create_admission(slots: int) -> AdmissionController:
    """Create the admission controller of a target with the given number of slots."""
    return AdmissionController(ConcurrencyLimit(slots))
