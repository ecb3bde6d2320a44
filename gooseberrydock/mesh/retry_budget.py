"""Retry budget of the whole fleet, enforced by each node for its own traffic.

Nodes do not coordinate: each may retry a small share of the requests that it sent itself, so that
all retries together stay below the bound however the traffic is distributed. This limits the load
that retries add to a service that already fails; without a bound they grow with each hop of a
call path.
"""

from typing import Final

import attrs

from gooseberrydock.mesh.options import RetryBudgetOptions

_LEAF_RATIO_SHARE: Final = 0.4
"""Share of the ratio for requests whose runs make no calls."""
_CALLING_RATIO_SHARE: Final = 0.1
"""Share of the ratio for requests whose runs make calls. A retry of such a request repeats all of
its calls, so the shares of all services on a call path add up at its end: with six such hops before
the last service, to the whole ratio."""
_SLACK_SHARE: Final = 0.12
"""Share of the slack that is divided among the nodes, for the same reason."""


@attrs.define
class RetryBudget:
    """Count the retry tokens of each service: requests earn them, retries spend them."""

    _options: RetryBudgetOptions
    _node_count: int = 1
    _tokens: dict[tuple[str, bool], float] = attrs.field(factory=dict)
    _spent: int = 0
    _denied: int = 0

    @property
    def spent(self) -> int:
        """Return the number of retries granted so far."""
        return self._spent

    @property
    def denied(self) -> int:
        """Return the number of retries denied so far."""
        return self._denied

    @property
    def tokens(self) -> dict[str, float]:
        """Return the balance of retry tokens by service."""
        totals: dict[str, float] = {}
        for (service, _), balance in self._tokens.items():
            totals[service] = totals.get(service, 0.0) + balance
        return totals

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes among which the slack is divided."""
        self._node_count = max(1, count)

    def on_request(self, service: str, makes_calls: bool = False) -> None:
        """Add a fraction of a token for a request that is sent for the first time."""
        earned = self._options.ratio * (_CALLING_RATIO_SHARE if makes_calls else _LEAF_RATIO_SHARE)
        bucket = (service, makes_calls)
        self._tokens[bucket] = min(self._max_balance(), self._balance(bucket) + earned)

    def try_spend(self, service: str, makes_calls: bool = False) -> bool:
        """Spend one token; return whether there was one."""
        bucket = (service, makes_calls)
        balance = self._balance(bucket)
        if balance < 1.0:
            self._denied += 1
            return False
        self._tokens[bucket] = balance - 1.0
        self._spent += 1
        return True

    def _balance(self, bucket: tuple[str, bool]) -> float:
        return self._tokens.get(bucket, self._max_balance() / 2)

    def _max_balance(self) -> float:
        return max(1.0, self._options.slack * _SLACK_SHARE / self._node_count)


def create_retry_budget(options: RetryBudgetOptions) -> RetryBudget:
    """Create a budget with its initial balances."""
    return RetryBudget(options)
