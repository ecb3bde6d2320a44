"""The fleet-wide budget of repeats, kept by each node from its own traffic.

Nodes do not talk about it: each may repeat a small part of what it sent itself, so that all parts
together stay below the bound however traffic is spread. Answers the load that repeats add where a
service already fails: without a bound they grow with each hop of a call path.
"""

from typing import Final

import attrs

from gooseberrydock.mesh.options import RetryBudgetOptions

_LEAF_PART: Final = 0.4
"""Part of the ratio spent on requests whose runs make no calls."""
_INNER_PART: Final = 0.1
"""Part of the ratio spent on requests whose runs make calls. A repeat there repeats them all, so
the parts of all services on a path add up at its end: with six such hops, to the whole ratio."""
_SLACK_PART: Final = 0.12
"""Part of the slack shared out among nodes, for the same reason."""


@attrs.define
class RetryBudget:
    """Count the tokens of each service: requests earn them, repeats spend them."""

    _options: RetryBudgetOptions
    _node_count: int = 1
    _tokens: dict[tuple[str, bool], float] = attrs.field(factory=dict)
    _spent: int = 0
    _denied: int = 0

    @property
    def spent(self) -> int:
        """Return the repeats granted so far."""
        return self._spent

    @property
    def denied(self) -> int:
        """Return the repeats denied so far."""
        return self._denied

    @property
    def tokens(self) -> dict[str, float]:
        """Return the repeats that each service may still be sent, by service."""
        totals: dict[str, float] = {}
        for (service, _), balance in self._tokens.items():
            totals[service] = totals.get(service, 0.0) + balance
        return totals

    def set_node_count(self, count: int) -> None:
        """Share the slack among this many nodes."""
        self._node_count = max(1, count)

    def on_request(self, service: str, makes_calls: bool = False) -> None:
        """Earn a part of a token for a request sent for the first time."""
        earned = self._options.ratio * (_INNER_PART if makes_calls else _LEAF_PART)
        purse = (service, makes_calls)
        self._tokens[purse] = min(self._cap(), self._balance(purse) + earned)

    def try_spend(self, service: str, makes_calls: bool = False) -> bool:
        """Take one token, or say that there is none."""
        purse = (service, makes_calls)
        balance = self._balance(purse)
        if balance < 1.0:
            self._denied += 1
            return False
        self._tokens[purse] = balance - 1.0
        self._spent += 1
        return True

    def _balance(self, purse: tuple[str, bool]) -> float:
        return self._tokens.get(purse, self._cap() / 2)

    def _cap(self) -> float:
        return max(1.0, self._options.slack * _SLACK_PART / self._node_count)


def create_retry_budget(options: RetryBudgetOptions) -> RetryBudget:
    """Make an untouched budget."""
    return RetryBudget(options)
