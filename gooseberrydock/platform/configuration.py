"""The operator's configuration as the platform's store holds it, read into a route table."""

import json
from typing import Any, Final

from gooseberrydock.errorcodes import CONFIGURATION_INVALID
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.mesh.model import (
    ClientLimits,
    RequestKind,
    Route,
    RouteTable,
    ServiceShare,
    create_route_table,
)
from gooseberrydock.platform.decoding import MALFORMED_INPUT, describe_error

TABLE_KEY: Final = "op/config"
_KINDS: Final = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
}
_VERSION_BASE: Final = 16


def decode_table(payload: bytes) -> RouteTable:
    """Read a configuration, raising ``CONFIGURATION_INVALID`` where it is not a valid one."""
    try:
        fields = json.loads(payload)
        services = fields["services"]
        return create_route_table(
            version=int(fields["version"], _VERSION_BASE),
            routes=[_route(name, item, services) for name, item in fields["routes"].items()],
            services=services,
            limits=_limits(fields["limits"]),
        )
    except MALFORMED_INPUT as error:
        raise GooseberrydockError(
            CONFIGURATION_INVALID, Step.CONFIGURATION, detail=describe_error(error)
        ) from error


def _route(name: str, fields: dict[str, Any], services: dict[str, Any]) -> Route:
    prefix = fields["prefix"]
    if not (isinstance(prefix, str) and prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"route {name}: prefix must begin and end with a slash")
    route = Route(
        name=name,
        host=str(fields["host"]).lower(),
        prefix=prefix,
        kind=_KINDS[fields["kind"]],
        timeout_ms=_positive(fields["timeoutMs"]),
        target_latency_ms=_positive(fields["targetLatencyMs"]),
        max_attempts=int(_positive(fields["maxAttempts"])),
        priority=int(fields["priority"]),
        shares=_shares(fields),
    )
    if any(share.service not in services for share in route.shares):
        raise ValueError(f"route {name}: unknown service")
    return route


def _shares(fields: dict[str, Any]) -> tuple[ServiceShare, ...]:
    split = fields.get("trafficSplit")
    if not split:
        return (ServiceShare(str(fields["service"]), 1.0),)
    shares = tuple(ServiceShare(str(item["service"]), float(item["weight"])) for item in split)
    usable = tuple(share for share in shares if share.weight > 0)
    if not usable:
        raise ValueError("no part of the split has a weight")
    return usable


def _limits(fields: dict[str, Any]) -> ClientLimits:
    return ClientLimits(
        max_header_bytes=int(_positive(fields["maxHeaderBytes"])),
        max_body_bytes=int(_positive(fields["maxBodyBytes"])),
        header_timeout_ms=_positive(fields["headerTimeoutMs"]),
        idle_timeout_ms=_positive(fields["idleTimeoutMs"]),
    )


def _positive(value: Any) -> float:
    number = float(value)
    if isinstance(value, bool) or not 0 < number < float("inf"):
        raise ValueError(f"{value!r} is not a positive number")
    return number
