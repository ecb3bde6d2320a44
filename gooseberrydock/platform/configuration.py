"""Decode the operator's configuration, as the platform's store holds it, into a route table."""

import json
from typing import Any, Final

from gooseberrydock.decoding import MALFORMED_INPUT, describe_error, require_string
from gooseberrydock.errorcodes import CONFIGURATION_INVALID
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.mesh.model import (
    CallerLimits,
    RequestKind,
    Route,
    RouteTable,
    ServiceShare,
    create_route_table,
)

TABLE_KEY: Final = "op/config"
_REQUEST_KINDS: Final = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    # A request with a large body.
    "upload": RequestKind.NON_IDEMPOTENT,
}
_VERSION_RADIX: Final = 16


def decode_table(payload: bytes) -> RouteTable:
    """Decode a configuration, raising ``CONFIGURATION_INVALID`` if it is invalid."""
    try:
        fields = json.loads(payload)
        services = fields["services"]
        return create_route_table(
            version=int(fields["version"], _VERSION_RADIX),
            routes=[_decode_route(name, item, services) for name, item in fields["routes"].items()],
            services=services,
            limits=_decode_limits(fields["limits"]),
            unknown_kinds=_find_unknown_kinds(fields["routes"]),
        )
    except MALFORMED_INPUT as error:
        raise GooseberrydockError(
            CONFIGURATION_INVALID, Step.CONFIGURATION, detail=describe_error(error)
        ) from error


def _find_unknown_kinds(routes: dict[str, Any]) -> frozenset[str]:
    """Return the kinds of request that this version does not know."""
    return frozenset(str(route["kind"]) for route in routes.values()) - _REQUEST_KINDS.keys()


def _decode_route(name: str, fields: dict[str, Any], services: dict[str, Any]) -> Route:
    prefix = fields["prefix"]
    if not (isinstance(prefix, str) and prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"route {name}: prefix must begin and end with a slash")
    route = Route(
        name=name,
        host=str(fields["host"]).lower(),
        prefix=prefix,
        kind=_decode_kind(fields["kind"]),
        timeout_ms=_decode_positive(fields["timeoutMs"]),
        target_latency_ms=_decode_positive(fields["targetLatencyMs"]),
        max_attempts=_decode_count(fields["maxAttempts"]),
        priority=int(fields["priority"]),
        shares=_decode_shares(fields),
    )
    if any(share.service not in services for share in route.shares):
        raise ValueError(f"route {name}: a share names an unknown service")
    return route


def _decode_shares(fields: dict[str, Any]) -> tuple[ServiceShare, ...]:
    split = fields.get("trafficSplit")
    if not split:
        return (ServiceShare(str(fields["service"]), 1.0),)
    shares = tuple(
        ServiceShare(str(item["service"]), _decode_weight(item["weight"])) for item in split
    )
    usable = tuple(share for share in shares if share.weight > 0)
    if not usable:
        raise ValueError("no part of trafficSplit has a weight above 0")
    return usable


def _decode_kind(value: Any) -> RequestKind:
    """Return the kind of a route's requests; those of an unknown kind must not be repeated."""
    return _REQUEST_KINDS.get(require_string(value), RequestKind.NON_IDEMPOTENT)


def _decode_limits(fields: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=int(_decode_positive(fields["maxHeaderBytes"])),
        max_body_bytes=int(_decode_positive(fields["maxBodyBytes"])),
        header_timeout_ms=_decode_positive(fields["headerTimeoutMs"]),
        idle_timeout_ms=_decode_positive(fields["idleTimeoutMs"]),
    )


def _decode_count(value: Any) -> int:
    number = _decode_positive(value)
    if number != int(number):
        raise ValueError(f"{value!r} is not a whole number")
    return int(number)


def _decode_weight(value: Any) -> float:
    return 0.0 if value == 0 else _decode_positive(value)


def _decode_positive(value: Any) -> float:
    number = float(value)
    if isinstance(value, bool) or not 0 < number < float("inf"):
        raise ValueError(f"{value!r} is not a positive finite number")
    return number
