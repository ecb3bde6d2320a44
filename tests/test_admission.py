"""Admission on a virtual clock: order of shedding, the cut level, and recovery."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.admission import (
    AdmissionController,
    Decision,
    Queued,
    RunEnd,
    Shed,
    Started,
    create_admission,
)
from gooseberrydock.ranks import MAX_RANK, request_rank

_FAR = 1e9
_SERVICE_MS = 50.0


class AdmissionTest(unittest.TestCase):
    """Important calls pass, others wait or are shed."""

    def test_runs_up_to_the_limit_then_queues(self) -> None:
        admission = create_admission(2)
        decisions = [admission.offer(0.0, ticket, 1.0, _FAR)[0] for ticket in range(3)]
        self.assertEqual(decisions, [Started(0), Started(1), Queued(2)])
        self.assertEqual(admission.release(5.0, 5.0, RunEnd.COMPLETED), [Started(2)])

    def test_better_call_pushes_the_worst_out_of_a_full_queue(self) -> None:
        admission = create_admission(1)
        admission.offer(0.0, 0, 5.0, _FAR)
        for ticket in range(1, 1 + admission.max_queue_length):
            admission.offer(0.0, ticket, 5.0 + ticket / 100, _FAR)
        worst = admission.max_queue_length
        decisions = admission.offer(0.0, 99, 0.5, _FAR)
        self.assertIsInstance(decisions[0], Shed)
        self.assertEqual(decisions[0].ticket, worst)
        self.assertEqual(decisions[1], Queued(99))

    def test_expired_call_is_dropped_before_it_starts(self) -> None:
        admission = create_admission(1)
        admission.offer(0.0, 0, 1.0, _FAR)
        admission.offer(0.0, 1, 1.0, 10.0)
        self.assertIsInstance(admission.release(20.0, 20.0, RunEnd.COMPLETED)[0], Shed)
        self.assertEqual(admission.in_flight, 0)

    @given(st.lists(st.floats(0, MAX_RANK, exclude_max=True), min_size=1, max_size=60))
    def test_no_call_is_shed_while_a_worse_one_waits(self, ranks: list[float]) -> None:
        admission = create_admission(2)
        waiting: dict[int, float] = {}
        for ticket, rank in enumerate(ranks):
            for decision in admission.offer(0.0, ticket, rank, _FAR):
                if isinstance(decision, Queued):
                    waiting[decision.ticket] = ranks[decision.ticket]
                elif isinstance(decision, Shed):
                    waiting.pop(decision.ticket, None)
                    shed_rank = ranks[decision.ticket]
                    self.assertTrue(all(rank <= shed_rank for rank in waiting.values()))

    def test_rank_keeps_priority_order_and_is_the_same_everywhere(self) -> None:
        self.assertEqual(request_rank(3, "abc"), request_rank(3, "abc"))
        for priority in range(9):
            self.assertLess(request_rank(priority, "x"), request_rank(priority + 1, "y"))
            self.assertEqual(int(request_rank(priority, f"id-{priority}")), priority)


class _Target:
    """A target on a virtual clock that takes 50 ms for every call."""

    def __init__(self, slots: int) -> None:
        self.admission: AdmissionController = create_admission(slots)
        self._generator = random.Random(7)
        self._ends: list[float] = []
        self._started: set[int] = set()
        self._ticket = 0

    def drive(self, rate_per_ms: float, span: tuple[int, int]) -> dict[int, list[bool]]:
        """Offer random arrivals; return by priority whether each call was started."""
        offered: list[tuple[int, int]] = []
        for now in range(*span):
            self._finish_calls(now)
            if self._generator.random() < rate_per_ms:
                self._ticket += 1
                priority = self._generator.choice([0, 4, 4, 4])
                offered.append((self._ticket, priority))
                rank = request_rank(priority, str(self._ticket))
                self._note(now, self.admission.offer(now, self._ticket, rank, now + 1000.0))
            self._note(now, self.admission.tick(now))
        result: dict[int, list[bool]] = {0: [], 4: []}
        for ticket, priority in offered:
            result[priority].append(ticket in self._started)
        return result

    def _finish_calls(self, now: int) -> None:
        done = sum(end <= now for end in self._ends)
        self._ends = [end for end in self._ends if end > now]
        for _ in range(done):
            self._note(now, self.admission.release(now, _SERVICE_MS, RunEnd.COMPLETED))

    def _note(self, now: int, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Started):
                self._started.add(decision.ticket)
                self._ends.append(now + _SERVICE_MS)


class OverloadTest(unittest.TestCase):
    """One target on a virtual clock under a load that it cannot carry."""

    def test_threefold_overload_sheds_the_unimportant_and_keeps_the_target_busy(self) -> None:
        target = _Target(10)
        result = target.drive(0.6, (1, 10_000))
        self.assertGreaterEqual(sum(result[0]) / len(result[0]), 0.99)
        capacity = 10 / _SERVICE_MS * 10_000
        self.assertGreaterEqual(sum(result[0]) + sum(result[4]), 0.9 * capacity)
        self.assertLess(target.admission.shed_threshold, MAX_RANK)

    def test_cut_level_is_gone_two_seconds_after_the_overload(self) -> None:
        target = _Target(10)
        target.drive(0.6, (1, 5_000))
        target.drive(0.1, (5_000, 7_000))
        self.assertEqual(target.admission.shed_threshold, MAX_RANK)
