"""Admission control on a virtual clock: order of shedding, shed threshold, and recovery."""

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

_NO_DEADLINE = 1e9
_SERVICE_MS = 50.0


class AdmissionTest(unittest.TestCase):
    """Important calls are started; others are queued or shed."""

    def test_runs_up_to_the_limit_then_queues(self) -> None:
        admission = create_admission(2)
        decisions = [admission.offer(0.0, run_id, 1.0, _NO_DEADLINE)[0] for run_id in range(3)]
        self.assertEqual(decisions, [Started(0), Started(1), Queued(2)])
        self.assertEqual(admission.release(5.0, 5.0, RunEnd.COMPLETED), [Started(2)])

    def test_lower_rank_displaces_the_highest_rank_of_a_full_queue(self) -> None:
        admission = create_admission(1)
        admission.offer(0.0, 0, 5.0, _NO_DEADLINE)
        for run_id in range(1, 1 + admission.max_queue_length):
            admission.offer(0.0, run_id, 5.0 + run_id / 100, _NO_DEADLINE)
        worst_run_id = admission.max_queue_length
        decisions = admission.offer(0.0, 99, 0.5, _NO_DEADLINE)
        self.assertIsInstance(decisions[0], Shed)
        self.assertEqual(decisions[0].run_id, worst_run_id)
        self.assertEqual(decisions[1], Queued(99))

    def test_expired_call_is_shed_before_it_starts(self) -> None:
        admission = create_admission(1)
        admission.offer(0.0, 0, 1.0, _NO_DEADLINE)
        admission.offer(0.0, 1, 1.0, 10.0)
        self.assertIsInstance(admission.release(20.0, 20.0, RunEnd.COMPLETED)[0], Shed)
        self.assertEqual(admission.in_flight, 0)

    @given(st.lists(st.floats(0, MAX_RANK, exclude_max=True), min_size=1, max_size=60))
    def test_no_call_is_shed_while_a_higher_rank_is_queued(self, ranks: list[float]) -> None:
        admission = create_admission(2)
        waiting: dict[int, float] = {}
        for run_id, rank in enumerate(ranks):
            for decision in admission.offer(0.0, run_id, rank, _NO_DEADLINE):
                if isinstance(decision, Queued):
                    waiting[decision.run_id] = ranks[decision.run_id]
                elif isinstance(decision, Shed):
                    waiting.pop(decision.run_id, None)
                    shed_rank = ranks[decision.run_id]
                    self.assertTrue(all(rank <= shed_rank for rank in waiting.values()))

    def test_rank_keeps_priority_order_and_is_the_same_everywhere(self) -> None:
        self.assertEqual(request_rank(3, "abc"), request_rank(3, "abc"))
        for priority in range(9):
            self.assertLess(request_rank(priority, "x"), request_rank(priority + 1, "y"))
            self.assertEqual(int(request_rank(priority, f"id-{priority}")), priority)


class _Target:
    """A target on a virtual clock with a service time of 50 ms."""

    def __init__(self, slots: int) -> None:
        self.admission: AdmissionController = create_admission(slots)
        self._random = random.Random(7)
        self._end_times: list[float] = []
        self._started: set[int] = set()
        self._run_id = 0

    def drive(self, rate_per_ms: float, time_range: tuple[int, int]) -> dict[int, list[bool]]:
        """Offer calls at random times; return by priority whether each call was started."""
        offered: list[tuple[int, int]] = []
        for now in range(*time_range):
            self._finish_calls(now)
            if self._random.random() < rate_per_ms:
                self._run_id += 1
                priority = self._random.choice([0, 4, 4, 4])
                offered.append((self._run_id, priority))
                rank = request_rank(priority, str(self._run_id))
                self._record_decisions(
                    now, self.admission.offer(now, self._run_id, rank, now + 1000.0)
                )
            self._record_decisions(now, self.admission.tick(now))
        result: dict[int, list[bool]] = {0: [], 4: []}
        for run_id, priority in offered:
            result[priority].append(run_id in self._started)
        return result

    def _finish_calls(self, now: int) -> None:
        done = sum(end <= now for end in self._end_times)
        self._end_times = [end for end in self._end_times if end > now]
        for _ in range(done):
            self._record_decisions(now, self.admission.release(now, _SERVICE_MS, RunEnd.COMPLETED))

    def _record_decisions(self, now: int, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Started):
                self._started.add(decision.run_id)
                self._end_times.append(now + _SERVICE_MS)


class OverloadTest(unittest.TestCase):
    """One target on a virtual clock under a load above its capacity."""

    def test_threefold_overload_sheds_low_priority_and_keeps_the_target_busy(self) -> None:
        target = _Target(10)
        result = target.drive(0.6, (1, 10_000))
        self.assertGreaterEqual(sum(result[0]) / len(result[0]), 0.99)
        capacity = 10 / _SERVICE_MS * 10_000
        self.assertGreaterEqual(sum(result[0]) + sum(result[4]), 0.9 * capacity)
        self.assertLess(target.admission.shed_threshold, MAX_RANK)

    def test_shed_threshold_recovers_two_seconds_after_the_overload(self) -> None:
        target = _Target(10)
        target.drive(0.6, (1, 5_000))
        target.drive(0.1, (5_000, 7_000))
        self.assertEqual(target.admission.shed_threshold, MAX_RANK)
