"""Retry credit: the bound on dispatches of one whole request.

A request gets an allowance of extra dispatches at its entry. The allowance travels down the call
chain as credit. A declared call is free once; every other dispatch costs one credit. Below a
repeated attempt even declared calls cost credit, because their free dispatch is already spent.
Credit that a lost answer would have brought back is lost too. Therefore the dispatches of a whole
request never exceed its declared calls plus its allowance.
"""

from typing import Final

import attrs

from gooseberrydock.configuration import CallStep

UNDECLARED_SUBTREE_SIZE: Final = 0
"""The subtree size of a call that its class does not declare."""


@attrs.frozen
class DispatchTerms:
    """Hold the terms of one dispatch: the credit it carries and whether its calls are paid."""

    credit: int
    charges_declared_calls: bool


@attrs.define
class CreditPool:
    """Hold the credit of one call at one node, and the free dispatches of its declared calls.

    ``declared`` is the step that follows this call on its path, or None where no call is free.
    """

    _available: int
    _declared: CallStep | None
    _free_used: int = 0

    @property
    def available(self) -> int:
        """Return the credit left."""
        return self._available

    def first_dispatch(
        self, service: str, operation: str, subtree_size: int
    ) -> DispatchTerms | None:
        """Take the terms for a new call of the target, or return None where credit is short."""
        if self._take_free(service, operation):
            return DispatchTerms(self._carry(subtree_size), charges_declared_calls=False)
        return self.retry_dispatch(subtree_size)

    def retry_dispatch(self, subtree_size: int) -> DispatchTerms | None:
        """Take the terms for a paid dispatch if the credit covers its whole declared subtree."""
        if self._available < max(1, subtree_size):
            return None
        self._available -= 1
        return DispatchTerms(self._carry(subtree_size), charges_declared_calls=True)

    def reroute_dispatch(self, previous: DispatchTerms) -> DispatchTerms:
        """Take the terms for sending on a call that provably did not run elsewhere.

        The refused dispatch did not count, so its place is used again.
        """
        credit = min(previous.credit, self._available)
        self._available -= credit
        return DispatchTerms(credit, previous.charges_declared_calls)

    def refund(self, credit: int) -> None:
        """Take back the credit that an answer returned."""
        self._available += credit

    def _take_free(self, service: str, operation: str) -> bool:
        """Use up a declared call's free dispatch, if there is one left."""
        step = self._declared
        if step is None or (step.service, step.operation) != (service, operation):
            return False
        if self._free_used >= step.count:
            return False
        self._free_used += 1
        return True

    def _carry(self, subtree_size: int) -> int:
        """Take out the credit that a dispatch carries.

        A call that makes no calls needs none. Otherwise this hop keeps enough to repeat the call
        once, if as much again is left for the deeper hops, where a repetition costs less.
        """
        if subtree_size == UNDECLARED_SUBTREE_SIZE:
            carried = self._available - self._available // 2
        elif subtree_size == 1:
            carried = 0
        elif self._available >= 2 * subtree_size:
            carried = self._available - subtree_size
        else:
            carried = self._available
        self._available -= carried
        return carried


def create_entry_pool(allowance: int, first_step: CallStep) -> CreditPool:
    """Make the pool of a whole request at its entry."""
    return CreditPool(allowance, first_step)


def create_call_pool(
    credit: int, charges_declared_calls: bool, next_step: CallStep | None
) -> CreditPool:
    """Make the pool of a call that arrived with credit."""
    return CreditPool(credit, None if charges_declared_calls else next_step)


@attrs.define
class RetryBucket:
    """Allow retries in proportion to successes, for one service class."""

    _tokens: float
    _per_success: float
    _capacity: float

    @property
    def tokens(self) -> float:
        """Return the retries that may follow at once."""
        return self._tokens

    def on_success(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(self._capacity, self._tokens + self._per_success)

    def take(self) -> bool:
        """Use one retry if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def create_retry_bucket(per_success: float, capacity: float) -> RetryBucket:
    """Make a bucket that starts full."""
    return RetryBucket(capacity, per_success, capacity)
