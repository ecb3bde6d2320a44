"""Which routes are calls that targets make while they run a request.

Nothing on the wire links a call to the request it is made for. But callers send their requests to
every node, while a target sends its calls only to the node on its own host. A route whose requests
begin on the hosts of some services only, and on all of those, is taken for a call of theirs.
Controller without I/O.
"""

from typing import Final

import attrs

_LEAST_REQUESTS: Final = 12
"""Requests of a route that must have been seen before it is judged."""
_FOREIGN_SHARE: Final = 0.04
"""Share of requests from other services up to which a route still counts as a call."""


@attrs.define
class RouteOrigins:
    """Count where the requests of one route began."""

    by_service: dict[str, int] = attrs.field(factory=dict)
    total: int = 0


@attrs.define
class NestedRoutes:
    """Learn from the services of the hosts where requests begin."""

    _origins: dict[str, RouteOrigins] = attrs.field(factory=dict)
    _nested: frozenset[str] = frozenset()

    @property
    def routes(self) -> frozenset[str]:
        """Return the routes taken for calls of targets."""
        return self._nested

    def is_nested(self, route: str) -> bool:
        """Say whether requests of a route are calls that a target makes."""
        return route in self._nested
