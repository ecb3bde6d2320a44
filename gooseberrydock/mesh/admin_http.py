"""Admin endpoints of a node on the routed call path: its state and its latest refusals.

They are served next to the metrics. All values are read when a request arrives, and nothing is
stored for these endpoints except the ring buffer of refusals.
"""

from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

from gooseberrydock.clock import Millis
from gooseberrydock.connection_limit import Listening
from gooseberrydock.errorcodes import NOT_FOUND
from gooseberrydock.errors import Step
from gooseberrydock.http_messages import (
    HttpRequest,
    HttpResponse,
    json_response,
    problem_response,
)
from gooseberrydock.http_server import HttpConnection, serve_http
from gooseberrydock.members import Member
from gooseberrydock.mesh.decision_log import refusal_fields
from gooseberrydock.mesh.load_view import describe_load, describe_needs
from gooseberrydock.mesh.metrics import render_metrics
from gooseberrydock.mesh.model import Route
from gooseberrydock.mesh.node import MeshNode
from gooseberrydock.stream import Stream

STATE_PATH: Final = "/state"
REFUSALS_PATH: Final = "/refusals"
_METRICS_PATHS: Final = frozenset(("/", "/metrics"))
_MAX_SHOWN_REFUSALS: Final = 50
"""Refusals shown if no request ID is given."""


async def serve_admin(node: MeshNode, stream: Stream) -> None:
    """Serve one connection of a client that reads metrics or state."""

    def on_request(connection: HttpConnection, request: HttpRequest) -> None:
        connection.respond(answer_admin_request(node, node.now_ms(), request.path))

    await serve_http(
        stream,
        on_request,
        limit=node.limits.connections[Listening.ADMIN],
        account=node.limits.service_account,
    )


def answer_admin_request(node: MeshNode, now_ms: Millis, request_target: str) -> HttpResponse:
    """Respond to one admin request."""
    url = urlsplit(request_target)
    if url.path in _METRICS_PATHS:
        content, content_type = render_metrics(node)
        return HttpResponse(200, [(b"content-type", content_type.encode("ascii"))], content)
    if url.path == STATE_PATH:
        return json_response(200, describe_node(node, now_ms))
    if url.path == REFUSALS_PATH:
        request_id = parse_qs(url.query).get("request", [""])[0]
        return json_response(200, {"refusals": describe_refusals(node, now_ms, request_id)})
    return problem_response(NOT_FOUND, NOT_FOUND.outcome, Step.ADMIN.value, "", url.path)


def describe_node(node: MeshNode, now_ms: Millis) -> dict[str, Any]:
    """Return the complete state of a node as plain values."""
    return {
        "node": {
            "node": node.options.node_id,
            "failure_domain": node.options.failure_domain,
            "service": node.controllers.registration.service,
            "instance": node.controllers.registration.instance_id,
            "table": node.table.version,
            "ready": node.is_ready,
            "nodes": node.controllers.directory.node_count,
            "links": len(node.links.open_links),
            "in_flight": node.in_flight,
        },
        "routes": [_describe_route(node, now_ms, route) for route in node.table.routes.values()],
        "hosts": [_describe_host(node, now_ms, member) for member in _all_members(node)],
        "paths": describe_needs(node.controllers.call_graph.needs),
        "limits": _describe_limits(node),
        "budget": _describe_budget(node),
    }


def describe_refusals(node: MeshNode, now_ms: Millis, request_id: str) -> list[dict[str, Any]]:
    """Return the refusals of one request, or the latest refusals, with their ages."""
    recent_refusals = node.decision_log.recent_refusals
    records = (
        recent_refusals.find(request_id)
        if request_id
        else recent_refusals.records[-_MAX_SHOWN_REFUSALS:]
    )
    return [
        {"age_ms": round(now_ms - record.at_ms), **refusal_fields(record)} for record in records
    ]


def _describe_route(node: MeshNode, now_ms: Millis, route: Route) -> dict[str, Any]:
    shares = node.controllers.shares
    return {
        "route": route.name,
        "host": route.host,
        "prefix": route.prefix,
        "kind": route.kind.value,
        "priority": route.priority,
        "timeout_ms": route.timeout_ms,
        "target_latency_ms": route.target_latency_ms,
        "max_attempts": route.max_attempts,
        "services": {share.service: share.weight for share in route.shares},
        "call_of_target": node.controllers.nested_routes.is_nested(route.name),
        **shares.decision_inputs(now_ms, route.name),
    }


def _describe_host(node: MeshNode, now_ms: Millis, member: Member) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "host": member.node_id,
        "service": member.service,
        "failure_domain": member.failure_domain,
        "state": member.state.name.lower(),
        "slots": member.slots,
        "cold": member.is_cold,
    }
    stats = node.entry.host_selector.stats.get(member.node_id)
    if stats is not None:
        fields |= {
            "own_calls": stats.own_calls,
            "reported_calls": stats.reported_calls,
            "limit": stats.limit,
            "failure_share": round(stats.failure_share, 3),
            "held_ms": max(0, round(stats.ejected_until - now_ms)),
            "service_ms": {
                route: round(time_ms, 1) for route, time_ms in stats.run_ms_by_route.items()
            },
        }
    return fields


def _all_members(node: MeshNode) -> list[Member]:
    return sorted([node.fleet.record, *node.controllers.directory.others], key=lambda m: m.node_id)


def _describe_limits(node: MeshNode) -> dict[str, Any]:
    return {
        **describe_load(node.admission_queue),
        "convicted_fingerprints": [
            f"{item:016x}" for item in node.controllers.crash_watch.quarantined
        ],
    }


def _describe_budget(node: MeshNode) -> dict[str, Any]:
    budget = node.controllers.budget
    tokens = {service: round(balance, 2) for service, balance in budget.tokens.items()}
    return {"spent": budget.spent, "denied": budget.denied, "tokens": tokens}
