"""Retry credit, which bounds the dispatches of a whole request, and the retry bucket of a class.

A whole request is a caller's request with all the calls that it causes. A declared call is one on
the path of its service class. At its entry, a request gets an allowance of extra dispatches, which
is passed down the call chain as credit. The first dispatch of a declared call is free; every other
dispatch costs one credit. Below a retry, even declared calls cost credit, because their free
dispatch is already used. The credit that a lost answer would have returned is lost as well.
Therefore the dispatches of a whole request never exceed its declared calls plus its allowance.
"""

from typing import Final

import attrs

from gooseberrydock.configuration import CallStep

UNDECLARED_SUBTREE_SIZE: Final = 0
"""Subtree size of a call that its service class does not declare."""


@attrs.frozen
class DispatchTerms:
    """Terms of one dispatch: its credit, and whether the declared calls below it cost credit."""

    credit: int
    charges_declared_calls: bool


@attrs.define
class CreditPool:
    """Credit of one call at one node, and the free dispatches of its declared calls.

    ``declared_step`` is the step that follows this call on its path, or None if no call is free.
    """

    _available: int
    _declared_step: CallStep | None
    _free_dispatches_used: int = 0

    @property
    def available(self) -> int:
        """Return the remaining credit."""
        return self._available

    def first_dispatch(
        self, service: str, operation: str, subtree_size: int
    ) -> DispatchTerms | None:
        """Return the terms for the first dispatch of a call, or None if the credit is short."""
        if self._use_free_dispatch(service, operation):
            return DispatchTerms(
                self._deduct_carried_credit(subtree_size), charges_declared_calls=False
            )
        return self.retry_dispatch(subtree_size)

    def retry_dispatch(self, subtree_size: int) -> DispatchTerms | None:
        """Charge a dispatch and return its terms, or None if credit for its subtree is short."""
        if self._available < max(1, subtree_size):
            return None
        self._available -= 1
        return DispatchTerms(self._deduct_carried_credit(subtree_size), charges_declared_calls=True)

    def reroute_dispatch(self, previous: DispatchTerms) -> DispatchTerms:
        """Return the terms for rerouting a call that provably did not run elsewhere."""
        # The refused dispatch does not count, so the new one replaces it at no extra cost.
        credit = min(previous.credit, self._available)
        self._available -= credit
        return DispatchTerms(credit, previous.charges_declared_calls)

    def refund(self, credit: int) -> None:
        """Add the credit that an answer returned."""
        self._available += credit

    def _use_free_dispatch(self, service: str, operation: str) -> bool:
        """Use a free dispatch of the declared call; return whether one was left."""
        step = self._declared_step
        if step is None or (step.service, step.operation) != (service, operation):
            return False
        if self._free_dispatches_used >= step.count:
            return False
        self._free_dispatches_used += 1
        return True

    def _deduct_carried_credit(self, subtree_size: int) -> int:
        """Deduct and return the credit that a dispatch carries."""
        # A call that makes no calls needs no credit. Otherwise this hop keeps enough to retry the
        # call once, if at least the same amount remains for the deeper hops, where a retry costs
        # less. The subtree of an undeclared call is unknown, so this hop keeps half, rounded down.
        if subtree_size == UNDECLARED_SUBTREE_SIZE:
            carried_credit = self._available - self._available // 2
        elif subtree_size == 1:
            carried_credit = 0
        elif self._available >= 2 * subtree_size:
            carried_credit = self._available - subtree_size
        else:
            carried_credit = self._available
        self._available -= carried_credit
        return carried_credit


def create_entry_pool(allowance: int, first_step: CallStep) -> CreditPool:
    """Create the pool of a whole request at its entry."""
    return CreditPool(allowance, first_step)


def create_call_pool(
    credit: int, charges_declared_calls: bool, next_step: CallStep | None
) -> CreditPool:
    """Create the pool of a call that arrived with credit."""
    return CreditPool(credit, None if charges_declared_calls else next_step)


@attrs.define
class RetryBucket:
    """Limit the retries of one service class in proportion to its successes."""

    _tokens: float
    _tokens_per_success: float
    _capacity: float

    @property
    def tokens(self) -> float:
        """Return the number of tokens; each allows one retry."""
        return self._tokens

    def on_success(self) -> None:
        """Add the fraction of a token that one success earns."""
        self._tokens = min(self._capacity, self._tokens + self._tokens_per_success)

    def take(self) -> bool:
        """Use one token; return whether one was available."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def create_retry_bucket(tokens_per_success: float, capacity: float) -> RetryBucket:
    """Create a full bucket."""
    return RetryBucket(capacity, tokens_per_success, capacity)
