"""What most of the latest reports of hosts say about a route, as yes or no.

A host that has just started does not know a route yet, so that a single report must not replace
those of the others. Performs no I/O.
"""

from typing import Final

import attrs

_REPORT_WEIGHT: Final = 0.2
"""Weight of one report in the exponentially weighted moving average; four in a row change it."""


@attrs.define
class RouteFlags:
    """A property of each route according to the reports of hosts."""

    _shares: dict[str, float] = attrs.field(factory=dict)

    def on_report(self, route: str, is_set: bool) -> None:
        """Record the report of a host about a route; the first one counts fully."""
        share = self._shares.get(route)
        if share is None:
            self._shares[route] = float(is_set)
        else:
            self._shares[route] = share + (is_set - share) * _REPORT_WEIGHT

    def is_set(self, route: str) -> bool:
        """Return whether most of the latest reports say yes."""
        return self._shares.get(route, 0.0) > 0.5
