"""Property: dispatches of a whole request never exceed its declared calls plus its allowance."""

import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.configuration import UNDECLARED_STEP, CallStep, ServiceClass
from gooseberrydock.credit import (
    UNDECLARED_SUBTREE_SIZE,
    CreditPool,
    DispatchTerms,
    create_call_pool,
    create_entry_pool,
    create_retry_bucket,
)

_MAX_DISPATCHES = 400
"""A stop for the test itself, far above every allowed bound."""


@attrs.define
class _Chain:
    """Act out a whole request in which every hop does what hypothesis tells it to."""

    service_class: ServiceClass
    data: st.DataObject
    dispatches: int = 0

    def run_entry(self) -> None:
        """Let the entry send the request, repeat it and move it as it likes."""
        pool = create_entry_pool(self.service_class.retry_allowance, self.service_class.entry)
        self._call(pool, self.service_class.entry, 0)

    def _call(self, pool: CreditPool, step: CallStep, index: int) -> None:
        subtree = (
            UNDECLARED_SUBTREE_SIZE
            if index == UNDECLARED_STEP
            else self.service_class.subtree_size(index)
        )
        terms = pool.first_dispatch(step.service, step.operation, subtree)
        while terms is not None:
            ending = self.data.draw(st.sampled_from(["answered", "lost", "not-run"]))
            if ending == "not-run":
                pool.refund(terms.credit)
                terms = pool.reroute_dispatch(terms)
                continue
            left = self._run(terms, index)
            if ending == "answered":
                pool.refund(left)
            if not self.data.draw(st.booleans()):
                return
            terms = pool.retry_dispatch(subtree)

    def _run(self, terms: DispatchTerms, index: int) -> int:
        """Run a target that makes any calls it likes; return the credit it has left."""
        self.dispatches += 1
        assert self.dispatches < _MAX_DISPATCHES
        next_step = self.service_class.step_after(index)
        pool = create_call_pool(terms.credit, terms.charges_declared_calls, next_step)
        for _ in range(self.data.draw(st.integers(0, 3))):
            if next_step is not None and self.data.draw(st.booleans()):
                self._call(pool, next_step, index + 1)
            else:
                self._call(pool, CallStep("other", "undeclared"), UNDECLARED_STEP)
        return pool.available


paths = st.lists(st.integers(1, 2), min_size=0, max_size=3).map(
    lambda counts: tuple(
        CallStep(f"s{index}", "op", count) for index, count in enumerate([1, *counts])
    )
)


class CreditTest(unittest.TestCase):
    """The bound holds whatever each hop does."""

    @given(paths, st.integers(0, 8), st.data())
    def test_dispatches_stay_within_declared_plus_allowance(
        self, path: tuple[CallStep, ...], allowance: int, data: st.DataObject
    ) -> None:
        service_class = ServiceClass("c", 0, path, 60.0, retry_allowance=allowance)
        chain = _Chain(service_class, data)
        chain.run_entry()
        self.assertLessEqual(chain.dispatches, service_class.subtree_size(0) + allowance)

    def test_deep_hop_can_repeat_within_default_allowance(self) -> None:
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
