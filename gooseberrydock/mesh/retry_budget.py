"""Retry budget of the whole fleet, enforced by each node for its own traffic.

Nodes do not coordinate: each may retry a small share of the requests that it sent itself, so that
all retries together stay below the bound however the traffic is distributed. This limits the load
that retries add to a service that already fails; without a bound they grow with each hop of a
call path. A node starts without tokens, as many nodes may restart at the same time.
"""

import random
from typing import Final

import attrs

from gooseberrydock.mesh.options import RetryBudgetOptions

_CALLING_RATIO_SHARE: Final = 0.1
"""Share of the ratio for requests whose runs make calls. A retry of such a request repeats all of
its calls, so the shares of all services on a call path add up at its end."""
_RATIO_RESERVE: Final = 0.1
"""Share of the ratio that is not used, as long as the call paths are short."""
_MIN_LEAF_RATIO_SHARE: Final = 0.4
_MAX_LEAF_RATIO_SHARE: Final = 0.6
"""Bounds of the share of the ratio for requests whose runs make no calls. Within them, it is what
the services that may precede the last one on a call path leave over."""
_SLACK_SHARE: Final = 0.12
"""Share of the slack that is divided among the nodes, for the same reason."""
_LEAF_TOKEN_SLACK_SHARE: Final = 0.5
_CALLING_TOKEN_SLACK_SHARE: Final = 0.3
"""Shares of the slack up to which each node may keep one token, for either kind of request. In a
larger fleet a node keeps a part of a token, and a retry is granted with that probability."""


@attrs.define
class RetryBudget:
    """Count the retry tokens of each service: requests earn them, retries spend them."""

    _options: RetryBudgetOptions
    _random: random.Random
    _node_count: int = 1
    _service_count: int = 0
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

    def set_options(self, options: RetryBudgetOptions) -> None:
        """Set the bounds, which apply to tokens that were earned before as well."""
        self._options = options

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes among which the slack is divided."""
        self._node_count = max(1, count)

    def set_service_count(self, count: int) -> None:
        """Set the number of services, which bounds the length of a call path; 0 if unknown."""
        self._service_count = count

    def on_request(self, service: str, makes_calls: bool = False) -> None:
        """Add a fraction of a token for a request that is sent for the first time."""
        ratio_share = _CALLING_RATIO_SHARE if makes_calls else self._leaf_ratio_share
        bucket = (service, makes_calls)
        balance = self._tokens.get(bucket, 0.0) + self._options.ratio * ratio_share
        self._tokens[bucket] = min(self._max_balance(makes_calls), balance)

    def try_spend(self, service: str, makes_calls: bool = False) -> bool:
        """Spend one token; return whether there was one."""
        bucket = (service, makes_calls)
        balance = min(self._tokens.get(bucket, 0.0), self._max_balance(makes_calls))
        is_granted = balance >= 1.0
        if is_granted:
            self._tokens[bucket] = balance - 1.0
        elif self._max_balance(makes_calls) < 1.0:
            # The part of a token is used up either way, so that grants are right on average.
            is_granted = self._random.random() < balance
            self._tokens[bucket] = 0.0
        self._spent += is_granted
        self._denied += not is_granted
        return is_granted

    @property
    def _leaf_ratio_share(self) -> float:
        if not self._service_count:
            return _MIN_LEAF_RATIO_SHARE
        share = 1.0 - _RATIO_RESERVE - _CALLING_RATIO_SHARE * (self._service_count - 1)
        return min(_MAX_LEAF_RATIO_SHARE, max(_MIN_LEAF_RATIO_SHARE, share))

    def _max_balance(self, makes_calls: bool) -> float:
        slack_per_node = self._options.slack / self._node_count
        token_share = _CALLING_TOKEN_SLACK_SHARE if makes_calls else _LEAF_TOKEN_SLACK_SHARE
        return max(slack_per_node * _SLACK_SHARE, min(1.0, slack_per_node * token_share))


def create_retry_budget(options: RetryBudgetOptions, seed: int) -> RetryBudget:
    """Create a budget without tokens, with a seeded random generator."""
    return RetryBudget(options, random.Random(seed))
