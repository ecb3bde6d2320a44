"""Which routes are calls that targets make while they run a request.

Nothing on the wire links a call to the request it is made for. But callers send their requests to
nodes beside targets of every service, while a target sends its calls only to the node on its own
host. So a target's node takes a route for a call where its requests begin beside targets of few
services only, none of them its own, and tells the nodes that send them. Callers on its own host
use its target first, so that it sees them as soon as there are any. Controller without I/O.
"""

from typing import Final

import attrs

_LEAST_REQUESTS: Final = 40
"""Requests of a route that must have been seen before it is judged."""
_STRAY_SHARE: Final = 0.04
"""Share of a route's requests below which a service does not count as their origin."""
_MOST_ORIGINS_SHARE: Final = 0.5
"""Share of the services that the calls of targets may come from; callers use all nodes alike."""
_JUDGE_EVERY: Final = 16
"""After how many more requests a route is judged anew: each call asks, and little changes."""
_HALVE_AT: Final = 4_000
"""Counts are halved at this total, so that a changed call graph shows."""


@attrs.define
class RouteOrigins:
    """Count beside which services the requests of one route began."""

    by_service: dict[str, int] = attrs.field(factory=dict)
    total: int = 0
    classified_at: int = 0
    is_nested: bool = False

    def add(self, service: str) -> None:
        """Count one request."""
        self.by_service[service] = self.by_service.get(service, 0) + 1
        self.total += 1
        if self.total >= _HALVE_AT:
            self.by_service = {name: count // 2 for name, count in self.by_service.items()}
            self.total = sum(self.by_service.values())
            self.classified_at = 0

    def origins(self) -> set[str]:
        """Return the services that the requests begin beside."""
        least = self.total * _STRAY_SHARE
        return {name for name, count in self.by_service.items() if count >= least}


@attrs.define
class NestedRoutes:
    """Judge routes by the requests that reach this node's target."""

    _service_count: int = 0
    _origins: dict[str, RouteOrigins] = attrs.field(factory=dict)
    _told: dict[str, bool] = attrs.field(factory=dict)

    def set_service_count(self, count: int) -> None:
        """Take over how many services have hosts."""
        self._service_count = count

    def on_call(self, route: str, caller_service: str) -> None:
        """Count a request that reached this node."""
        origins = self._origins.get(route)
        if origins is None:
            origins = self._origins[route] = RouteOrigins()
        origins.add(caller_service)

    def classify(self, route: str, own_service: str) -> bool:
        """Say whether the requests seen beside a target of a service are calls of other targets."""
        origins = self._origins.get(route)
        if origins is None or origins.total < _LEAST_REQUESTS or self._service_count < 2:
            return False
        if origins.total >= origins.classified_at + _JUDGE_EVERY or not origins.classified_at:
            services = origins.origins()
            few = len(services) <= self._service_count * _MOST_ORIGINS_SHARE
            origins.is_nested = few and own_service not in services
            origins.classified_at = origins.total
        return origins.is_nested

    def on_report(self, route: str, is_nested: bool) -> None:
        """Take over what a target's node judged of a route."""
        self._told[route] = is_nested

    def is_nested(self, route: str) -> bool:
        """Say whether requests of a route that begin here are calls of the local target."""
        return self._told.get(route, False)
