"""Simulations of overload on a virtual clock: entry and admission queue against a given load."""

import heapq
import itertools
import random
import unittest
from typing import Final

import attrs

from gooseberrydock.mesh.admission_queue import AdmissionQueue, Ticket, create_admission_queue
from gooseberrydock.mesh.nested_routes import NestedRoutes
from gooseberrydock.mesh.share_notices import create_share_notices
from gooseberrydock.mesh.shares import AdmittedShares, create_admitted_shares
from gooseberrydock.messages import RoutedCall

_SLOTS: Final = 40
_RUN_MS: Final = 25.0
_PATH_DELAY_MS: Final = 300.0
"""Delay from a decision of the entry to the report of its effect there. The simulation puts all of
it before the call's arrival at the target; reports are not delayed."""
_TIMEOUT_MS: Final = 700.0


@attrs.define
class RequestCounts:
    """Outcomes of the requests of one priority in the measured part of a simulation."""

    submitted: int = 0
    refused: int = 0
    served: int = 0
    late: int = 0


@attrs.define(eq=False)
class OverloadSimulation:
    """Simulate one target behind an entry, with the delay of a call path between them."""

    _random: random.Random
    _admission_queue: AdmissionQueue
    _shares: AdmittedShares
    _measured_from_ms: float
    _events: list[tuple[float, int, str, Ticket | None]] = attrs.field(factory=list)
    _serials: "itertools.count[int]" = attrs.field(factory=itertools.count)
    counts: dict[int, RequestCounts] = attrs.field(
        factory=lambda: {0: RequestCounts(), 2: RequestCounts()}
    )

    def run(self, until_ms: float, rates: dict[int, float]) -> None:
        """Simulate requests at the given rates per second, by priority."""
        for priority, rate in rates.items():
            at_ms = 0.0
            while at_ms < until_ms:
                at_ms += self._random.expovariate(rate / 1_000.0)
                self._add(at_ms, f"ask {priority}", None)
        while self._events:
            now_ms, _, event, ticket = heapq.heappop(self._events)
            if event.startswith("ask"):
                self._submit_request(now_ms, int(event[4:]))
            elif ticket is not None and event == "arrive":
                self._arrive(now_ms, ticket)
            elif ticket is not None:
                self._finish(now_ms, ticket)

    def _add(self, at_ms: float, event: str, ticket: Ticket | None) -> None:
        heapq.heappush(self._events, (at_ms, next(self._serials), event, ticket))

    def _counts_for(self, sent_ms: float, priority: int) -> RequestCounts:
        return self.counts[priority] if sent_ms >= self._measured_from_ms else RequestCounts()

    def _submit_request(self, now_ms: float, priority: int) -> None:
        request_counts = self._counts_for(now_ms, priority)
        request_counts.submitted += 1
        if not self._shares.admits(now_ms, "look", priority):
            request_counts.refused += 1
            return
        run_id = next(self._serials)
        call = RoutedCall(run_id, "look", "s", "w", "GET", "/", [], b"", _TIMEOUT_MS, priority)
        ticket = Ticket(
            run_id, "", call, priority, now_ms, now_ms + _PATH_DELAY_MS + _TIMEOUT_MS, False
        )
        self._add(now_ms + _PATH_DELAY_MS, "arrive", ticket)

    def _arrive(self, now_ms: float, sent: Ticket) -> None:
        ticket = self._admission_queue.create_ticket(now_ms, sent.run_id, "", sent.call)
        if self._admission_queue.submit(now_ms, ticket) is not None:
            self._counts_for(now_ms - _PATH_DELAY_MS, ticket.rank).late += 1
        elif ticket.has_started:
            self._run_call(now_ms, ticket)
        self._report(now_ms)

    def _run_call(self, now_ms: float, ticket: Ticket) -> None:
        self._add(now_ms + self._random.uniform(0.5, 1.5) * _RUN_MS, "end", ticket)

    def _finish(self, now_ms: float, ticket: Ticket) -> None:
        self._admission_queue.finish(now_ms, ticket, has_completed=True)
        self._counts_for(ticket.arrived_at - _PATH_DELAY_MS, ticket.rank).served += 1
        started, late = self._admission_queue.start_next(now_ms)
        for item in started:
            self._run_call(now_ms, item)
        for item in late:
            self._counts_for(item.arrived_at - _PATH_DELAY_MS, item.rank).late += 1
        self._report(now_ms)

    def _report(self, now_ms: float) -> None:
        report = self._admission_queue.report(now_ms, "look")
        self._shares.on_report(now_ms, "look", "host", report.admitted_share, report.capacity)


def _simulate(load: float, seed: int, important: float = 0.3) -> OverloadSimulation:
    """Simulate ten seconds at a multiple of the target's capacity; measure the last seven."""
    admission_queue = create_admission_queue(NestedRoutes())
    admission_queue.set_target("shop", _SLOTS)
    simulation = OverloadSimulation(
        random.Random(seed), admission_queue, create_admitted_shares(seed), 3_000.0
    )
    capacity = admission_queue.limit / _RUN_MS * 1_000.0
    simulation.run(10_000.0, {0: capacity * important, 2: capacity * (load - important)})
    return simulation


class ShareNoticeCases(unittest.TestCase):
    """Notices in the first second of a surge, when no call has returned yet."""

    def test_recent_callers_are_notified_of_a_change_immediately(self) -> None:
        notices = create_share_notices(1)
        notices.on_call(0.0, "look", "link-1")
        notices.on_call(2_500.0, "look", "link-2")
        notices.on_call(2_500.0, "book", "link-2")
        self.assertEqual({}, notices.take_due(2_600.0, lambda route: 1.0))
        shares = {"look": 0.6, "book": 0.95}
        due = notices.take_due(2_700.0, shares.__getitem__)
        self.assertEqual({"link-1": ["look"], "link-2": ["look"]}, due)
        self.assertEqual({}, notices.take_due(2_800.0, shares.__getitem__))
        shares["look"] = 0.9
        shares["book"] = 0.5
        due = notices.take_due(3_500.0, shares.__getitem__)
        self.assertEqual({"link-2": ["look", "book"]}, due)

    def test_notices_of_a_target_with_many_callers_are_bounded(self) -> None:
        notices = create_share_notices(1)
        for number in range(4_700):
            notices.on_call(0.0, "look", f"link-{number}")
        due = notices.take_due(100.0, lambda route: 0.5)
        self.assertLessEqual(len(due), 24)

    def test_lost_link_gets_no_notices(self) -> None:
        notices = create_share_notices(1)
        notices.on_call(0.0, "look", "link-1")
        notices.on_link_lost("link-1")
        self.assertEqual({}, notices.take_due(100.0, lambda route: 0.5))


class OverloadCases(unittest.TestCase):
    """A steady load above and below the capacity of a service."""

    def test_target_is_kept_busy_and_few_admitted_requests_are_late(self) -> None:
        for load, seed in itertools.product((1.3, 2.0, 3.0), range(3)):
            with self.subTest(load=load, seed=seed):
                counts = _simulate(load, seed).counts
                served = sum(request_counts.served for request_counts in counts.values())
                # In the 7 s that are measured; 37 is the concurrency limit for 40 slots.
                capacity = 7.0 * 37 / _RUN_MS * 1_000.0
                self.assertGreater(served / capacity, 0.9)
                late = sum(request_counts.late for request_counts in counts.values())
                self.assertLess(late / served, 0.02)

    def test_nearly_all_important_requests_are_served(self) -> None:
        request_counts = _simulate(2.0, 1).counts[0]
        self.assertGreater(request_counts.served / request_counts.submitted, 0.99)

    def test_hardly_anything_is_shed_at_normal_load(self) -> None:
        for load, seed in itertools.product((0.6, 0.8), range(3)):
            with self.subTest(load=load, seed=seed):
                request_counts = _simulate(load, seed).counts[2]
                self.assertLess(request_counts.refused / request_counts.submitted, 0.01)
