"""Classify routes as nested: calls that targets make while they run a request.

Nothing on the wire links a call to the request that it is made for. However, callers send their
requests to nodes next to targets of every service, whereas a target sends its calls only to the
node on its own host. A target's node therefore classifies a route as nested if its requests begin
at nodes next to targets of only a few services, its own service not among them, and reports this
to the nodes that send the requests. Requests of callers on its own host go to its target first, so
that its own service is among the origins as soon as these callers exist. Performs no I/O.
"""

from typing import Final

import attrs

from gooseberrydock.mesh.route_flags import RouteFlags

_MIN_REQUESTS: Final = 40
"""Number of requests of a route that must arrive before the route is classified."""
_MIN_ORIGIN_SHARE: Final = 0.04
"""Minimum share of a route's requests from which a service counts as one of their origins."""
_MAX_ORIGINS_SHARE: Final = 0.5
"""Maximum number of origins of a nested route, as a share of all services; the requests of callers
begin at all nodes evenly."""
_CLASSIFY_INTERVAL_REQUESTS: Final = 16
"""Requests between classifications of a route: each call needs the result, which rarely changes."""
_HALVING_TOTAL: Final = 4_000
"""Total at which all counts are halved, so that a change of the call graph takes effect."""


@attrs.define
class RouteOrigins:
    """Number of requests of one route by the service whose target is next to the sending node.

    ``classified_total`` is the total at the last classification, 0 if a new one is due.
    """

    by_service: dict[str, int] = attrs.field(factory=dict)
    total: int = 0
    classified_total: int = 0
    is_nested: bool = False

    def add(self, service: str) -> None:
        """Count one request."""
        self.by_service[service] = self.by_service.get(service, 0) + 1
        self.total += 1
        if self.total >= _HALVING_TOTAL:
            self.by_service = {name: count // 2 for name, count in self.by_service.items()}
            self.total = sum(self.by_service.values())
            self.classified_total = 0

    def origins(self) -> set[str]:
        """Return the services next to whose targets the requests begin."""
        min_count = self.total * _MIN_ORIGIN_SHARE
        return {name for name, count in self.by_service.items() if count >= min_count}


@attrs.define
class NestedRoutes:
    """Classify routes by the origins of the requests that reach this node's target."""

    _service_count: int = 0
    _origins: dict[str, RouteOrigins] = attrs.field(factory=dict)
    _reported: RouteFlags = attrs.field(factory=RouteFlags)

    def set_service_count(self, count: int) -> None:
        """Set the number of services in the route table."""
        self._service_count = count

    def on_call(self, route: str, caller_service: str) -> None:
        """Count a request that reached this node."""
        origins = self._origins.get(route)
        if origins is None:
            origins = self._origins[route] = RouteOrigins()
        origins.add(caller_service)

    def classify(self, route: str, own_service: str) -> bool:
        """Return whether requests of a route to the own service are calls of other targets."""
        origins = self._origins.get(route)
        if origins is None or origins.total < _MIN_REQUESTS or self._service_count < 2:
            return False
        if (
            origins.total >= origins.classified_total + _CLASSIFY_INTERVAL_REQUESTS
            or not origins.classified_total
        ):
            services = origins.origins()
            has_few_origins = len(services) <= self._service_count * _MAX_ORIGINS_SHARE
            origins.is_nested = has_few_origins and own_service not in services
            origins.classified_total = origins.total
        return origins.is_nested

    def on_report(self, route: str, is_nested: bool) -> None:
        """Record how a target's node classified a route."""
        self._reported.on_report(route, is_nested)

    def is_nested(self, route: str) -> bool:
        """Return whether requests of a route that begin at this node are calls of its target."""
        return self._reported.is_set(route)
