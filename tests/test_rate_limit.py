"""Simulations of targets that name a request rate: what they get, and what callers get."""

import heapq
import itertools
import random
import unittest
from collections import Counter
from typing import Final

import attrs

from gooseberrydock.mesh.admission_queue import AdmissionQueue, Ticket, create_admission_queue
from gooseberrydock.mesh.host_selection import HostSelector, create_host_selector
from gooseberrydock.mesh.nested_routes import NestedRoutes
from gooseberrydock.mesh.rate_limiter import RateLimiter, burst_of
from gooseberrydock.mesh.shares import AdmittedShares, create_admitted_shares
from gooseberrydock.messages import RoutedCall
from tests.mesh_helpers import make_member, make_route

_ROUTE: Final = make_route(timeout_ms=4_000.0)
_SLOTS: Final = 40
_RUN_MS: Final = 90.0
_DELAY_MS: Final = 2.0
_TICK_MS: Final = 25.0
_MEASURED_FROM_MS: Final = 3_000.0
_UNTIL_MS: Final = 15_000.0
_MAX_TRIES: Final = 4


@attrs.define(eq=False)
class RateLimitSimulation:
    """Simulate callers' nodes that choose among the hosts of one service, some with a limit."""

    _random: random.Random
    _rate_limits: dict[str, float | None]
    _callers: list[tuple[HostSelector, AdmittedShares]]
    _queues: dict[str, AdmissionQueue] = attrs.field(factory=dict)
    _events: list[tuple[float, int, str, object]] = attrs.field(factory=list)
    _serials: "itertools.count[int]" = attrs.field(factory=itertools.count)
    _callers_by_run: dict[int, int] = attrs.field(factory=dict)
    _tried_by_run: dict[int, set[str]] = attrs.field(factory=dict)
    sent_ms: dict[str, list[float]] = attrs.field(factory=dict)
    outcomes: Counter[str] = attrs.field(factory=Counter)
    waits_ms: list[float] = attrs.field(factory=list)

    def run(self, per_s: float) -> None:
        """Simulate requests at a rate."""
        for host, rate_limit in self._rate_limits.items():
            queue = self._queues[host] = create_admission_queue(NestedRoutes())
            queue.set_target("shop", _SLOTS)
            queue.set_rate_limit(0.0, rate_limit)
            self.sent_ms[host] = []
        at_ms = 0.0
        while at_ms < _UNTIL_MS:
            at_ms += self._random.expovariate(per_s / 1_000.0)
            self._add(at_ms, "ask", next(self._serials))
        for step in range(int(_UNTIL_MS / _TICK_MS)):
            self._add(step * _TICK_MS, "tick", None)
        while self._events:
            now_ms, _, event, value = heapq.heappop(self._events)
            if event == "tick":
                for host in self._queues:
                    self._tick(now_ms, host)
            elif event == "ask":
                assert isinstance(value, int)
                self._ask(now_ms, value)
            elif event == "arrive":
                assert isinstance(value, tuple)
                self._arrive(now_ms, *value)
            else:
                assert isinstance(value, tuple)
                self._finish(now_ms, *value)

    def most_in_a_window(self, host: str, window_ms: float) -> int:
        """Return the largest number of requests that a host got in a window of a length."""
        times = self.sent_ms[host]
        return max(
            sum(1 for at_ms in times[first:] if at_ms < times[first] + window_ms)
            for first in range(len(times))
        )

    def _add(self, at_ms: float, event: str, value: object) -> None:
        heapq.heappush(self._events, (at_ms, next(self._serials), event, value))

    def _count(self, now_ms: float, outcome: str) -> None:
        if now_ms >= _MEASURED_FROM_MS:
            self.outcomes[outcome] += 1

    def _ask(self, now_ms: float, run_id: int) -> None:
        number = self._random.randrange(len(self._callers))
        self._callers_by_run[run_id] = number
        self._tried_by_run[run_id] = set()
        if not self._callers[number][1].admits(now_ms, _ROUTE.name, _ROUTE.priority):
            self._count(now_ms, "shed")
            return
        self._send(now_ms, run_id)

    def _send(self, now_ms: float, run_id: int) -> None:
        tried = self._tried_by_run[run_id]
        hosts = [make_member(host, domain=f"d-{host}") for host in self._queues]
        selector = self._callers[self._callers_by_run[run_id]][0]
        host = selector.choose(now_ms, _ROUTE, hosts, tried)
        if host is None or len(tried) >= _MAX_TRIES:
            self._count(now_ms, "refused")
            return
        tried.add(host.node_id)
        selector.on_sent(host.node_id)
        self._add(now_ms + _DELAY_MS, "arrive", (host.node_id, run_id))

    def _arrive(self, now_ms: float, host: str, run_id: int) -> None:
        call = RoutedCall(
            run_id,
            _ROUTE.name,
            "shop",
            "web",
            "GET",
            "/",
            [],
            b"",
            _ROUTE.timeout_ms,
            _ROUTE.priority,
            has_alternative=len(self._tried_by_run[run_id]) < len(self._queues),
        )
        ticket = self._queues[host].create_ticket(now_ms, run_id, "", call)
        if self._queues[host].submit(now_ms, ticket) is not None:
            self._report(now_ms, host, run_id)
            self._send(now_ms, run_id)
        elif ticket.has_started:
            self._start(now_ms, host, ticket)

    def _start(self, now_ms: float, host: str, ticket: Ticket) -> None:
        self.sent_ms[host].append(now_ms)
        self.waits_ms.append(now_ms - ticket.arrived_at)
        self._add(now_ms + self._random.uniform(0.7, 1.3) * _RUN_MS, "end", (host, ticket))

    def _finish(self, now_ms: float, host: str, ticket: Ticket) -> None:
        self._queues[host].finish(now_ms, ticket, has_completed=True)
        self._count(now_ms, "served")
        self._report(now_ms, host, ticket.run_id)
        self._start_waiting(now_ms, host)

    def _tick(self, now_ms: float, host: str) -> None:
        self._queues[host].drop_late(now_ms)
        self._start_waiting(now_ms, host)

    def _start_waiting(self, now_ms: float, host: str) -> None:
        for ticket in self._queues[host].start_next(now_ms)[0]:
            self._start(now_ms, host, ticket)

    def _report(self, now_ms: float, host: str, run_id: int) -> None:
        report = self._queues[host].report(now_ms, _ROUTE.name)
        selector, shares = self._callers[self._callers_by_run[run_id]]
        selector.on_answer(now_ms, host, _ROUTE.name, report, has_failed=False)
        shares.on_report(now_ms, _ROUTE.name, host, report.admitted_share, report.capacity)


def _simulate(
    rate_limits: dict[str, float | None], per_s: float, callers: int, seed: int
) -> RateLimitSimulation:
    simulation = RateLimitSimulation(
        random.Random(seed),
        rate_limits,
        [
            (
                create_host_selector(f"d-{list(rate_limits)[number % len(rate_limits)]}", number),
                create_admitted_shares(number),
            )
            for number in range(callers)
        ],
    )
    simulation.run(per_s)
    return simulation


class RateLimiterCases(unittest.TestCase):
    """The rate at which calls are let through."""

    def test_no_window_gets_more_than_the_rate_and_one_burst(self) -> None:
        for per_second in (0.4, 3.0, 36.2, 500.0):
            with self.subTest(per_second=per_second):
                limiter = RateLimiter()
                limiter.set_rate(0.0, per_second)
                taken = [float(ms) for ms in range(20_000) if limiter.try_take(float(ms))]
                in_window = sum(1 for at_ms in taken if 10_000.0 <= at_ms < 14_000.0)
                self.assertLessEqual(in_window, 4.0 * max(0.5, per_second) + burst_of(per_second))
                self.assertGreaterEqual(in_window, int(4.0 * max(0.5, per_second)) - 1)

    def test_target_that_takes_nothing_is_still_tried(self) -> None:
        limiter = RateLimiter()
        limiter.set_rate(0.0, 0.0)
        taken = [ms for ms in range(10_000) if limiter.try_take(float(ms))]
        self.assertTrue(3 <= len(taken) <= 5)

    def test_changed_limit_gives_no_new_burst(self) -> None:
        limiter = RateLimiter()
        limiter.set_rate(0.0, 20.0)
        taken = 0
        for ms in range(10_000):
            limiter.set_rate(float(ms), 20.0 + ms % 2)
            taken += limiter.try_take(float(ms))
        self.assertLessEqual(taken, 10.0 * 21.0 + burst_of(21.0))


class QueueCases(unittest.TestCase):
    """How long calls wait for a target that names a limit."""

    def _fill(self, rate_limit: float | None) -> int:
        """Return how many of 40 calls at once run or wait, after one run has been timed."""
        queue = create_admission_queue(NestedRoutes())
        queue.set_target("shop", 10)
        queue.set_rate_limit(0.0, rate_limit)
        call = RoutedCall(0, "look", "shop", "web", "GET", "/", [], b"", 4_000.0, 2)
        first = queue.create_ticket(1_000.0, 0, "", call)
        queue.submit(1_000.0, first)
        queue.finish(1_000.0 + _RUN_MS, first, has_completed=True)
        for number in range(1, 41):
            queue.submit(2_000.0, queue.create_ticket(2_000.0, number, "", call))
        return queue.in_flight

    def test_limit_above_what_the_slots_can_do_shortens_no_wait(self) -> None:
        self.assertEqual(self._fill(None), self._fill(10_000.0))

    def test_calls_do_not_queue_for_a_low_limit(self) -> None:
        self.assertLessEqual(self._fill(4.0), 4)


class PartOfAServiceLimitedCases(unittest.TestCase):
    """Two of three hosts name a limit below what they get; the third has room for the rest."""

    def test_limits_are_kept_and_all_requests_served(self) -> None:
        limits = {"a": 36.0, "b": 31.0, "c": None}
        for callers, seed in itertools.product((12, 60), range(2)):
            with self.subTest(callers=callers, seed=seed):
                simulation = _simulate(limits, 210.0, callers, seed)
                for host in ("a", "b"):
                    rate = limits[host] or 0.0
                    most = simulation.most_in_a_window(host, 4_000.0)
                    self.assertLessEqual(most, 4.0 * rate + burst_of(rate))
                    measured_s = (_UNTIL_MS - _MEASURED_FROM_MS) / 1_000.0
                    used = sum(1 for ms in simulation.sent_ms[host] if ms >= _MEASURED_FROM_MS)
                    self.assertGreater(used / measured_s, 0.5 * rate)
                served = simulation.outcomes["served"] / sum(simulation.outcomes.values())
                self.assertGreater(served, 0.995)
                mean_wait_ms = sum(simulation.waits_ms) / len(simulation.waits_ms)
                self.assertLess(mean_wait_ms, 25.0)


class WholeServiceLimitedCases(unittest.TestCase):
    """All hosts name limits and callers ask for more than these allow together."""

    def test_allowance_is_used_and_the_rest_is_refused_at_the_entry(self) -> None:
        for seed in range(2):
            with self.subTest(seed=seed):
                simulation = _simulate({"a": 30.0, "b": 30.0, "c": 30.0}, 180.0, 12, seed)
                outcomes = simulation.outcomes
                measured_s = (_UNTIL_MS - _MEASURED_FROM_MS) / 1_000.0
                self.assertGreater(outcomes["served"] / measured_s, 0.9 * 90.0)
                self.assertGreater(outcomes["shed"], outcomes["refused"])
