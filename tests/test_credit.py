"""Property: a whole request never has more dispatches than its declared calls plus allowance."""

import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.configuration import UNDECLARED_PATH_INDEX, CallStep, ServiceClass
from gooseberrydock.credit import (
    UNDECLARED_SUBTREE_SIZE,
    CreditPool,
    DispatchTerms,
    create_call_pool,
    create_entry_pool,
    create_retry_bucket,
)

_MAX_DISPATCHES = 400
"""Limit that ends a runaway test, far above every allowed bound."""


@attrs.define
class _SimulatedRequest:
    """Simulate a whole request in which hypothesis chooses the behaviour of every hop."""

    service_class: ServiceClass
    data: st.DataObject
    dispatches: int = 0

    def run_entry(self) -> None:
        """Simulate the entry, which sends, retries and reroutes the request in any order."""
        pool = create_entry_pool(self.service_class.retry_allowance, self.service_class.entry)
        self._call(pool, self.service_class.entry, 0)

    def _call(self, pool: CreditPool, step: CallStep, index: int) -> None:
        subtree = (
            UNDECLARED_SUBTREE_SIZE
            if index == UNDECLARED_PATH_INDEX
            else self.service_class.subtree_size(index)
        )
        terms = pool.first_dispatch(step.service, step.operation, subtree)
        while terms is not None:
            outcome = self.data.draw(st.sampled_from(["answered", "lost", "not-run"]))
            if outcome == "not-run":
                pool.refund(terms.credit)
                terms = pool.reroute_dispatch(terms)
                continue
            remaining_credit = self._run(terms, index)
            if outcome == "answered":
                pool.refund(remaining_credit)
            if not self.data.draw(st.booleans()):
                return
            terms = pool.retry_dispatch(subtree)

    def _run(self, terms: DispatchTerms, index: int) -> int:
        """Simulate a target that makes arbitrary calls; return its remaining credit."""
        self.dispatches += 1
        assert self.dispatches < _MAX_DISPATCHES
        next_step = self.service_class.step_after(index)
        pool = create_call_pool(terms.credit, terms.charges_declared_calls, next_step)
        for _ in range(self.data.draw(st.integers(0, 3))):
            if next_step is not None and self.data.draw(st.booleans()):
                self._call(pool, next_step, index + 1)
            else:
                self._call(pool, CallStep("other", "undeclared"), UNDECLARED_PATH_INDEX)
        return pool.available


paths = st.lists(st.integers(1, 2), min_size=0, max_size=3).map(
    lambda counts: tuple(
        CallStep(f"s{index}", "op", count) for index, count in enumerate([1, *counts])
    )
)


class CreditTest(unittest.TestCase):
    """The bound holds for any behaviour of the hops."""

    @given(paths, st.integers(0, 8), st.data())
    def test_dispatches_stay_within_declared_plus_allowance(
        self, path: tuple[CallStep, ...], allowance: int, data: st.DataObject
    ) -> None:
        service_class = ServiceClass("c", 0, path, 60.0, retry_allowance=allowance)
        simulated_request = _SimulatedRequest(service_class, data)
        simulated_request.run_entry()
        self.assertLessEqual(
            simulated_request.dispatches, service_class.subtree_size(0) + allowance
        )

    def test_deep_hop_can_retry_within_default_allowance(self) -> None:
        path = tuple(CallStep(f"s{index}", "op") for index in range(4))
        service_class = ServiceClass("c", 0, path, 60.0)
        pool = create_entry_pool(service_class.retry_allowance, path[0])
        for index, step in enumerate(path[:3]):
            terms = pool.first_dispatch(step.service, "op", service_class.subtree_size(index))
            assert terms is not None
            pool = create_call_pool(terms.credit, terms.charges_declared_calls, path[index + 1])
        last = pool.first_dispatch("s3", "op", 1)
        self.assertIsNotNone(last)
        self.assertIsNotNone(pool.retry_dispatch(1))

    def test_bucket_allows_a_share_of_successes(self) -> None:
        bucket = create_retry_bucket(0.1, 2.0)
        self.assertEqual([bucket.take() for _ in range(3)], [True, True, False])
        for _ in range(11):
            bucket.on_success()
        self.assertEqual([bucket.take() for _ in range(2)], [True, False])
