"""Admission of calls to one target: a limit, a short queue ordered by rank, and a cut level.

The cut level is the rank above which calls are shed on arrival. While a queue stands, the level
is set to the rank at which the calls offered in the last ten windows match what the target
completes. While none stands and slots are idle, it rises in growing steps; while the slots are
just busy, it stays. It is reported on every answer, so that entries shed before any work is done.

The most important priority has a longer queue, and the level reaches into it only after a queue
stood for a while although nothing else passed: a burst of important calls is not an overload.
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
"""Ranks below this are of the most important priority."""


class RunEnd(enum.Enum):
    """Say how a run ended, as far as the target's capacity is concerned."""

    COMPLETED = "completed"
    OVERLOADED = "overloaded"
    ABANDONED = "abandoned"


@attrs.frozen
class QueuedCall:
    """Hold one queued call."""

    ticket: int
    rank: float
    deadline_at: Millis


@attrs.frozen
class Started:
    """Decide that a call runs now."""

    ticket: int


@attrs.frozen
class Shed:
    """Decide that a call is refused before it ran."""

    ticket: int
    code: ErrorCode


@attrs.frozen
class Queued:
    """Decide that a call waits."""

    ticket: int


Decision = Started | Shed | Queued


@attrs.define
class ShedThreshold:
    """Adapt the rank above which calls are shed on arrival."""

    _level: float = MAX_RANK
    _step: float = defaults.SHED_THRESHOLD_STEP_MIN
    _windows_at_floor: int = 0
    _offered: deque[tuple[Millis, float]] = attrs.field(
        factory=lambda: deque(maxlen=defaults.MAX_RANK_SAMPLES)
    )

    @property
    def level(self) -> float:
        """Return the level in force."""
        return self._level

    def on_offer(self, now_ms: Millis, rank: float) -> None:
        """Remember the rank of a call that arrived."""
        self._offered.append((now_ms, rank))

    def on_window(
        self,
        now_ms: Millis,
        window_ms: Millis,
        capacity: float,
        utilization: float,
        has_standing_queue: bool,
    ) -> None:
        """Adapt the level at the end of a window.

        ``capacity`` is the calls per millisecond that the target can complete, ``utilization``
        the share of its slots that was busy, and ``stood`` says whether a queue stood.
        """
        if has_standing_queue:
            self._lower(now_ms, capacity, window_ms * defaults.RANK_SAMPLE_WINDOWS)
        elif utilization < defaults.BUSY_UTILIZATION:
            self._raise()

    def _lower(self, now_ms: Millis, capacity: float, memory_ms: Millis) -> None:
        """Set the level to the rank at which the lately offered load fits the capacity."""
        self._step = defaults.SHED_THRESHOLD_STEP_MIN
        ranks = self._recent_ranks(now_ms - memory_ms)
        if len(ranks) < 2:
            return
        span_ms = max(now_ms - self._offered[0][0], defaults.ADMISSION_WINDOW_MS)
        fitting = capacity * span_ms * defaults.SHED_THRESHOLD_HEADROOM
        if fitting >= len(ranks):
            return
        ranks.sort()
        self._level = min(self._level, self._above_floor(ranks[int(fitting)]))

    def _above_floor(self, level: float) -> float:
        """Keep the level above the most important priority at first."""
        if level >= TOP_PRIORITY_RANK_END:
            self._windows_at_floor = 0
            return level
        self._windows_at_floor += 1
        return (
            TOP_PRIORITY_RANK_END
            if self._windows_at_floor < defaults.TOP_PRIORITY_SHED_DELAY_WINDOWS
            else level
        )

    def _recent_ranks(self, since_ms: Millis) -> list[float]:
        while self._offered and self._offered[0][0] < since_ms:
            self._offered.popleft()
        return [rank for _, rank in self._offered]

    def _raise(self) -> None:
        """Raise the level in growing steps, so that recovery takes a second or two."""
        self._windows_at_floor = 0
        if self._level >= MAX_RANK:
            return
        self._level = min(MAX_RANK, self._level + self._step)
        self._step = min(
            defaults.SHED_THRESHOLD_STEP_MAX, self._step * defaults.SHED_THRESHOLD_STEP_GROWTH
        )


@attrs.define
class AdmissionController:
    """Decide which calls run on the target, wait, or are shed."""

    _limit: ConcurrencyLimit
    _cut: ShedThreshold = attrs.field(factory=ShedThreshold)
    _in_flight: int = 0
    _busy_since: Millis = 0.0
    _window_busy: float = 0.0
    _service_ms: Millis = 0.0
    _queue: list[tuple[float, int, QueuedCall]] = attrs.field(factory=list)
    _queued: dict[int, QueuedCall] = attrs.field(factory=dict)
    _order: Iterator[int] = attrs.field(factory=itertools.count)
    _window_start: Millis = 0.0
    _window_completed: int = 0
    _completion_rate: float = 0.0
    _window_min_queue: int = 0

    @property
    def shed_threshold(self) -> float:
        """Return the rank above which calls are shed."""
        return self._cut.level

    @property
    def in_flight(self) -> int:
        """Return the number of calls that run on the target."""
        return self._in_flight

    @property
    def service_ms(self) -> Millis:
        """Return the observed time of a call on the target; 0 before the first."""
        return self._service_ms

    @property
    def queue_length(self) -> int:
        """Return the number of calls that wait."""
        return len(self._queued)

    @property
    def load(self) -> LoadReport:
        """Return the load to report to peers."""
        return LoadReport(self._in_flight, len(self._queued), self._limit.limit)

    @property
    def limit(self) -> ConcurrencyLimit:
        """Return the concurrency limit."""
        return self._limit

    @property
    def max_queue_length(self) -> int:
        """Return the length at which the queue is full."""
        ratio = defaults.QUEUE_TO_LIMIT_RATIO
        return max(defaults.MIN_QUEUE_LENGTH, int(self._limit.limit * ratio))

    def _queue_room(self, rank: float) -> int:
        """Return the length at which the queue is full for a call of this rank."""
        if rank >= TOP_PRIORITY_RANK_END or not self._service_ms:
            return self.max_queue_length
        by_wait = defaults.TOP_PRIORITY_MAX_WAIT_MS * self._limit.limit / self._service_ms
        return max(self.max_queue_length, int(by_wait))

    def offer(
        self, now_ms: Millis, ticket: int, rank: float, deadline_at: Millis
    ) -> list[Decision]:
        """Decide about a new call; a better call may push a queued one out."""
        self._cut.on_offer(now_ms, rank)
        if rank > self._cut.level:
            return [Shed(ticket, SHED_AT_TARGET)]
        if self._in_flight < self._limit.limit and not self._queued:
            self._change_in_flight(now_ms, 1)
            return [Started(ticket)]
        if now_ms + self._expected_wait(rank) + self._service_ms > deadline_at:
            return [Shed(ticket, SHED_AT_TARGET)]
        return self._enqueue(QueuedCall(ticket, rank, deadline_at))

    def release(self, now_ms: Millis, service_ms: Millis, end: RunEnd) -> list[Decision]:
        """Take back the slot of a finished call and start those that may follow."""
        if end is RunEnd.OVERLOADED:
            self._limit.on_overload(now_ms)
        elif end is RunEnd.COMPLETED:
            self._limit.on_success(self._in_flight)
            self._observe_service_time(service_ms)
            self._window_completed += 1
        self._change_in_flight(now_ms, -1)
        return self._start_waiting(now_ms)

    def cancel(self, ticket: int) -> bool:
        """Take a waiting call out of the queue; say whether it was there."""
        if self._queued.pop(ticket, None) is None:
            return False
        self._window_min_queue = min(self._window_min_queue, len(self._queued))
        return True

    def tick(self, now_ms: Millis) -> list[Decision]:
        """Close the window when it is over, and start or drop waiting calls."""
        decisions = self._start_waiting(now_ms)
        elapsed_ms = now_ms - self._window_start
        if elapsed_ms >= self._window_length():
            self._close_window(now_ms, elapsed_ms)
        return decisions

    def _window_length(self) -> Millis:
        """Return a window that is long enough for a queue to drain if it can."""
        longest = defaults.MAX_ADMISSION_WINDOW_MS
        return min(longest, max(defaults.ADMISSION_WINDOW_MS, self._service_ms))

    def _close_window(self, now_ms: Millis, elapsed_ms: Millis) -> None:
        has_standing_queue = (
            self._window_min_queue > self._limit.limit * defaults.STANDING_QUEUE_SHARE
        )
        self._observe_completions(elapsed_ms)
        self._change_in_flight(now_ms, 0)
        utilization = self._utilization(elapsed_ms)
        self._cut.on_window(now_ms, elapsed_ms, self._capacity(), utilization, has_standing_queue)
        self._window_start = now_ms
        self._window_completed = 0
        self._window_busy = 0.0
        self._window_min_queue = len(self._queued)

    def _observe_completions(self, elapsed_ms: Millis) -> None:
        rate = self._window_completed / elapsed_ms
        self._completion_rate += (rate - self._completion_rate) / defaults.COMPLETION_RATE_WINDOWS

    def _capacity(self) -> float:
        """Return the calls per millisecond that the target can complete.

        Right after a change of speed the completions lag, so the limit and the service time
        (Little's law) are taken too, and the higher figure counts.
        """
        by_limit = self._limit.limit / self._service_ms if self._service_ms else 0.0
        return max(self._completion_rate, by_limit)

    def _change_in_flight(self, now_ms: Millis, change: int) -> None:
        """Change the number of running calls, and add up the time that slots were busy."""
        self._window_busy += self._in_flight * (now_ms - self._busy_since)
        self._busy_since = now_ms
        self._in_flight += change

    def _utilization(self, elapsed_ms: Millis) -> float:
        """Return the share of slots that were busy in the window."""
        return self._window_busy / (elapsed_ms * self._limit.limit)

    def _observe_service_time(self, service_ms: Millis) -> None:
        if self._service_ms == 0.0:
            self._service_ms = service_ms
        self._service_ms += (service_ms - self._service_ms) * defaults.LATENCY_SMOOTHING_FACTOR

    def _expected_wait(self, rank: float) -> Millis:
        """Return how long a call of this rank would wait behind better ones."""
        ahead = sum(1 for waiting in self._queued.values() if waiting.rank <= rank)
        return ahead * self._service_ms / self._limit.limit

    def _enqueue(self, waiting: QueuedCall) -> list[Decision]:
        decisions: list[Decision] = []
        if len(self._queued) >= self._queue_room(waiting.rank):
            worst = max(self._queued.values(), key=lambda item: item.rank)
            if worst.rank <= waiting.rank:
                return [Shed(waiting.ticket, SHED_AT_TARGET)]
            del self._queued[worst.ticket]
            decisions.append(Shed(worst.ticket, SHED_AT_TARGET))
        self._queued[waiting.ticket] = waiting
        heapq.heappush(self._queue, (waiting.rank, next(self._order), waiting))
        decisions.append(Queued(waiting.ticket))
        return decisions

    def _start_waiting(self, now_ms: Millis) -> list[Decision]:
        decisions: list[Decision] = []
        while self._queued and self._in_flight < self._limit.limit:
            waiting = heapq.heappop(self._queue)[2]
            if self._queued.pop(waiting.ticket, None) is None:
                continue
            if now_ms >= waiting.deadline_at:
                decisions.append(Shed(waiting.ticket, DEADLINE_EXPIRED))
                continue
            self._change_in_flight(now_ms, 1)
            decisions.append(Started(waiting.ticket))
        if not self._queued:
            self._queue.clear()
        self._window_min_queue = min(self._window_min_queue, len(self._queued))
        return decisions


def create_admission(slots: int) -> AdmissionController:
    """Make the admission controller of a target with this many slots."""
    return AdmissionController(ConcurrencyLimit(slots))
