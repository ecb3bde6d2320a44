"""Simulation of the placement of calls in a large service: many callers, each with few requests.

194 callers in five failure domains send bookings and short checks to 39 hosts, a third of which run
2.4 times as fast as the others. Bookings run for 0.6 s on average and fail after 3 s.
"""

import heapq
import itertools
import math
import random
import unittest
from typing import Any, Final

import attrs

from gooseberrydock.members import Member
from gooseberrydock.mesh.host_selection import HostSelector, create_host_selector
from gooseberrydock.mesh.model import Route
from gooseberrydock.messages import LoadNotice, TargetReport
from tests.mesh_helpers import make_member, make_route

_DOMAINS: Final = 5
_HOSTS: Final = 39
_CALLERS: Final = 194
_CHECKING_CALLERS: Final = 66
_LIMIT: Final = 84
_SPEEDS: Final = (0.7, 0.7, 1.7)
_NOTICE_INTERVAL_MS: Final = 2_000.0
_RUN_TIME_WEIGHT: Final = 0.05
_OVERHEAD_MS: Final = 15.0
"""Time that a run needs on any host."""
_BOOKING: Final = attrs.evolve(make_route("book", timeout_ms=3_000.0), target_latency_ms=2_500.0)
_CHECK: Final = attrs.evolve(make_route("check", timeout_ms=2_500.0), target_latency_ms=1_000.0)


@attrs.define(eq=False)
class PlacementSimulation:
    """Hosts with free slots, and callers that place their calls by what they know of the hosts."""

    _random: random.Random
    _hosts: list[Member]
    _speeds: dict[str, float]
    _callers: list[HostSelector]
    _events: list[tuple[float, int, tuple[Any, ...]]] = attrs.field(factory=list)
    _serials: "itertools.count[int]" = attrs.field(factory=itertools.count)
    _running: dict[str, int] = attrs.field(factory=dict)
    _run_ms: dict[str, dict[str, float]] = attrs.field(factory=dict)
    bookings: int = 0
    failed: int = 0
    outside_domain: int = 0

    def run(self, seconds: float, has_notices: bool) -> None:
        """Simulate the load from a start at which no caller knows a host."""
        end_ms = seconds * 1_000.0
        for route, callers, per_s in (
            (_BOOKING, _CALLERS, 85.7),
            (_CHECK, _CHECKING_CALLERS, 276.0),
        ):
            at_ms = 0.0
            while at_ms < end_ms:
                at_ms += self._random.expovariate(per_s / 1_000.0)
                self._add(at_ms, "call", route, self._random.randrange(callers))
        for host in self._hosts if has_notices else ():
            at_ms = self._random.uniform(0.0, _NOTICE_INTERVAL_MS)
            while at_ms < end_ms:
                self._add(at_ms, "notice", host)
                at_ms += _NOTICE_INTERVAL_MS
        while self._events:
            now_ms, _, (event, *details) = heapq.heappop(self._events)
            getattr(self, f"_on_{event}")(now_ms, *details)

    def _add(self, at_ms: float, *event: Any) -> None:
        heapq.heappush(self._events, (at_ms, next(self._serials), event))

    def _on_call(self, now_ms: float, route: Route, number: int) -> None:
        caller = self._callers[number]
        host = caller.choose(now_ms, route, self._hosts, set())
        assert host is not None
        caller.on_sent(host.node_id)
        if route is _BOOKING:
            self.bookings += 1
            self.outside_domain += host.failure_domain != _domain(number)
        self._running[host.node_id] = self._running.get(host.node_id, 0) + 1
        run_ms = self._draw_work(route) / self._speeds[host.node_id] + _OVERHEAD_MS
        self._add(now_ms + run_ms, "end", route, caller, host.node_id, run_ms)

    def _draw_work(self, route: Route) -> float:
        mean_ms, spread = (580.0, 0.8) if route is _BOOKING else (15.0, 0.5)
        sigma = math.sqrt(math.log(1.0 + spread**2))
        return mean_ms * math.exp(self._random.gauss(0.0, sigma) - sigma**2 / 2.0)

    def _on_end(
        self, now_ms: float, route: Route, caller: HostSelector, node_id: str, run_ms: float
    ) -> None:
        self._running[node_id] -= 1
        run_times = self._run_ms.setdefault(node_id, {})
        mean_ms = run_times.get(route.name, run_ms)
        run_times[route.name] = mean_ms + (run_ms - mean_ms) * _RUN_TIME_WEIGHT
        has_failed = run_ms > route.timeout_ms
        self.failed += has_failed and route is _BOOKING
        report = TargetReport(self._running[node_id], _LIMIT, run_times[route.name], 1.0)
        caller.on_answer(now_ms, node_id, route.name, report, has_failed)

    def _on_notice(self, now_ms: float, host: Member) -> None:
        run_times = self._run_ms.get(host.node_id)
        if run_times:
            notice = LoadNotice(self._running[host.node_id], _LIMIT, dict(run_times))
            for number, caller in enumerate(self._callers):
                if _domain(number) == host.failure_domain:
                    caller.on_load_notice(now_ms, host.node_id, notice)


def _domain(number: int) -> str:
    return f"d{number % _DOMAINS}"


def _simulate(seed: int, has_notices: bool) -> PlacementSimulation:
    generator = random.Random(seed)
    hosts = [make_member(f"h{number}", domain=_domain(number)) for number in range(_HOSTS)]
    simulation = PlacementSimulation(
        random=generator,
        hosts=hosts,
        speeds={host.node_id: generator.choice(_SPEEDS) for host in hosts},
        callers=[
            create_host_selector(_domain(number), seed * 1_000 + number)
            for number in range(_CALLERS)
        ],
    )
    simulation.run(30.0, has_notices)
    return simulation


class LargeServiceCases(unittest.TestCase):
    """What callers of a service with many hosts get."""

    def test_load_notices_keep_bookings_off_slow_hosts(self) -> None:
        with_notices = [_simulate(seed, has_notices=True) for seed in range(3)]
        without = [_simulate(seed, has_notices=False) for seed in range(3)]
        failed = sum(item.failed for item in with_notices)
        self.assertLess(failed, 0.5 * sum(item.failed for item in without))
        for simulation in with_notices:
            self.assertLess(simulation.outside_domain, 0.05 * simulation.bookings)


class SmallServiceCases(unittest.TestCase):
    """What callers of a service with one host in each failure domain get."""

    def test_faster_host_of_another_domain_is_found(self) -> None:
        hosts = [make_member(f"h{number}", domain=f"d{number}") for number in range(3)]
        run_ms = {"h0": 2_400.0, "h1": 300.0, "h2": 300.0}
        caller = create_host_selector("d0", 1)
        chosen = []
        for _ in range(20):
            host = caller.choose(0.0, _BOOKING, hosts, set())
            assert host is not None
            caller.on_sent(host.node_id)
            report = TargetReport(0, _LIMIT, run_ms[host.node_id], 1.0)
            caller.on_answer(0.0, host.node_id, _BOOKING.name, report, has_failed=False)
            chosen.append(host.node_id)
        self.assertNotIn("h0", chosen[4:])
