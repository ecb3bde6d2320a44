"""The route table and the types for requests that all parts of the call path share.

A table is immutable and replaced as a whole. This module does not depend on how a table is encoded
or stored; decoders of external formats create these types once.
"""

import enum
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from gooseberrydock.clock import Millis


class RequestKind(enum.Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class AcceptedWork(enum.Enum):
    """The work that a node still accepts, in the order of the stages of a stop."""

    ALL = "all"
    CALLS_OF_TARGET = "calls of the local target"
    NOTHING = "nothing"

    def accepts(self, is_nested: bool) -> bool:
        """Return whether a request is accepted; ``is_nested`` marks calls of the local target."""
        return self is AcceptedWork.ALL or (is_nested and self is AcceptedWork.CALLS_OF_TARGET)


@attrs.frozen
class ServiceShare:
    """The share of a route's requests that a service receives; weights are relative."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Rules for requests with one host name and path prefix.

    ``target_latency_ms`` is the time within which an answer is desired. ``max_attempts`` is the
    maximum number of targets that a request may be sent to. Priority 0 is shed last.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: Millis
    target_latency_ms: Millis
    max_attempts: int
    priority: int
    shares: tuple[ServiceShare, ...]

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request on this route may be retried."""
        return self.kind is RequestKind.IDEMPOTENT


@attrs.frozen
class CallerLimits:
    """Limits on the size of a caller's requests, on the time to send a header and on idle time."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_ms: Millis = 3_000.0
    idle_timeout_ms: Millis = 15_000.0


DEFAULT_LIMITS: Final = CallerLimits()


@attrs.frozen
class RouteTable:
    """One version of all routes; version 0 means that no table is known yet.

    ``unknown_kinds`` are kinds of request from a later version of the configuration format; their
    routes are in force with the most cautious kind.
    """

    version: int
    routes: Mapping[str, Route]
    services: frozenset[str]
    limits: CallerLimits
    _by_host: Mapping[str, Mapping[str, Route]]
    unknown_kinds: frozenset[str] = frozenset()

    def find(self, host: str, request_target: str) -> Route | None:
        """Return the route of a host name with the longest prefix that matches the path."""
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        path = request_target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def create_route_table(
    version: int,
    routes: Iterable[Route],
    services: Iterable[str],
    limits: CallerLimits = DEFAULT_LIMITS,
    unknown_kinds: frozenset[str] = frozenset(),
) -> RouteTable:
    """Create a route table with its index by host and prefix."""
    by_name = {route.name: route for route in routes}
    by_host: dict[str, dict[str, Route]] = {}
    for route in by_name.values():
        by_host.setdefault(route.host, {})[route.prefix] = route
    return RouteTable(version, by_name, frozenset(services), limits, by_host, unknown_kinds)


EMPTY_TABLE: Final = create_route_table(0, (), ())
EMPTY_ROUTE: Final = Route("", "", "/", RequestKind.NON_IDEMPOTENT, 1_000.0, 1_000.0, 1, 0, ())
"""Placeholder for a request without a matching route."""
