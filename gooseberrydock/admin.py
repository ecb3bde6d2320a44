"""The HTTP endpoint of a node for operators: health, metrics, status, state dump and drain."""

import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

import attrs

from gooseberrydock.connection_limit import Listening
from gooseberrydock.errorcodes import NOT_FOUND
from gooseberrydock.errors import Step
from gooseberrydock.http_messages import HttpRequest, HttpResponse, problem_response
from gooseberrydock.http_server import HttpConnection, serve_http
from gooseberrydock.members import Member
from gooseberrydock.metrics import render_metrics
from gooseberrydock.stream import Stream

if TYPE_CHECKING:
    from gooseberrydock.node import Node

_OK: Final = 200
_ACCEPTED: Final = 202
_UNAVAILABLE: Final = 503


@attrs.define(eq=False)
class AdminEndpoint:
    """Serve the requests of operators."""

    _node: "Node"

    async def serve(self, stream: Stream) -> None:
        """Serve one operator's connection."""
        await serve_http(
            stream,
            self._on_request,
            limit=self._node.limits.connections[Listening.ADMIN],
            account=self._node.limits.service_account,
        )

    def _on_request(self, connection: HttpConnection, request: HttpRequest) -> None:
        routes: dict[tuple[str, str], Callable[[], HttpResponse]] = {
            ("GET", "/health"): self._health,
            ("GET", "/metrics"): self._metrics,
            ("GET", "/state"): self._state,
            ("GET", "/status"): self._status,
            ("POST", "/drain"): self._drain,
        }
        route = routes.get((request.method, request.path))
        if route is None:
            detail = f"{request.method} {request.path}"
            connection.respond(
                problem_response(NOT_FOUND, NOT_FOUND.outcome, Step.ADMIN.value, "", detail)
            )
            return
        connection.respond(route())

    def _health(self) -> HttpResponse:
        """Report whether the node is ready: it has a configuration and is not leaving."""
        core = self._node.core
        is_ready = core.configuration.generation > 0 and not core.inbound.is_leaving
        return _json_response(_OK if is_ready else _UNAVAILABLE, {"ready": is_ready})

    def _metrics(self) -> HttpResponse:
        content, content_type = render_metrics(self._node)
        return HttpResponse(_OK, [(b"content-type", content_type.encode())], content)

    def _state(self) -> HttpResponse:
        return _json_response(_OK, dump_state(self._node))

    def _status(self) -> HttpResponse:
        return _json_response(_OK, status_summary(self._node))

    def _drain(self) -> HttpResponse:
        self._node.stop.request()
        return _json_response(_ACCEPTED, {"leaving": True})


def status_summary(node: "Node") -> dict[str, Any]:
    """Return the summary of a node that operators see on one line."""
    core = node.core
    local_member = core.membership.local_member
    admission = core.inbound.admission
    return {
        "node": local_member.node_id,
        "service": local_member.service,
        "failure_domain": local_member.failure_domain,
        "state": local_member.state.name.lower(),
        "generation": core.configuration.generation,
        "members": len(core.membership.live_members()) + 1,
        "in_flight": core.outbound.in_flight,
        "runs": core.inbound.in_flight,
        "slots": local_member.slots,
        "service_ms": round(admission.service_ms, 3) if admission else 0.0,
        "limit": admission.limit.limit if admission else 0,
        "cut_level": round(admission.shed_threshold, 3) if admission else 0.0,
    }


def dump_state(node: "Node") -> dict[str, Any]:
    """Return the whole state of a node as a dictionary for the JSON dump."""
    core = node.core
    stats = core.stats
    return {
        "status": status_summary(node),
        "members": [_member_to_dict(m) for m in core.membership.members.values()],
        "doubt": core.membership.local_health_score,
        "configuration": {
            "generation": core.configuration.generation,
            "write_id": core.configuration.current.write_id,
            "classes": [item.name for item in core.configuration.current.classes],
        },
        "routing": _routing_to_dict(node),
        "cuts": {
            report.service: round(report.threshold, 4)
            for report in core.shed_thresholds.reports(node.now_ms())
        },
        "paths_in_flight": core.path_limits.in_flight,
        "retry_tokens": {
            name: round(bucket.tokens, 2) for name, bucket in core.outbound.retry_buckets.items()
        },
        "convicted_fingerprints": [f"{item:016x}" for item in core.quarantine.quarantined],
        "links": [
            {"link": link.link_id, "peer": link.node_id, "calls_due": link.unanswered_call_count}
            for link in node.links.open_links
        ],
        "ownership": _ownership_to_dict(node),
        "target_connections": node.target.open_connections,
        "counters": {
            "answered": [[*key, count] for key, count in sorted(stats.answered.items())],
            "dispatches": dict(stats.dispatches),
            "runs": dict(stats.runs),
            "repeats": stats.retries,
            "moves": stats.reroutes,
            "joins": stats.joined_requests,
            "late_answers": stats.late_answers,
            "cancellations": stats.cancellations,
            "crashes": stats.crashes,
            "gossip_bytes_sent": node.gossip.bytes_sent,
            "gossip_bytes_received": node.gossip.bytes_received,
            "link_bytes_sent": node.links.bytes_sent,
            "link_bytes_received": node.links.bytes_received,
            "store_calls": node.store.calls if node.store else 0,
        },
    }


def _member_to_dict(member: Member) -> dict[str, Any]:
    fields = attrs.asdict(member, recurse=False)
    fields["state"] = member.state.name.lower()
    fields["peer_address"] = str(member.peer_address)
    fields["gossip_address"] = str(member.gossip_address)
    return fields


def _ownership_to_dict(node: "Node") -> dict[str, Any]:
    """Return the owner register, and the key time up to which the node may decide (the horizon)."""
    core = node.core
    register = core.ownership.register
    if register is None:
        return {"epoch": 0}
    return {
        "epoch": register.current.number,
        "version": register.version,
        "is_changing": register.pending is not None,
        "owners": sorted(item.node_id for item in register.current.members),
        "horizon_wall_ms": core.ownership.horizon_ms,
        "keys_remembered": core.inbound.deduplication.record_count,
        "calls_held": core.inbound.deduplication.undecided_count,
    }


def _routing_to_dict(node: "Node") -> dict[str, Any]:
    routing = node.core.routing
    stats_by_node: dict[str, Any] = {}
    for service in routing.services():
        for member in routing.members_of(service):
            target_stats = routing.stats_for(member.node_id)
            if target_stats is not None:
                stats_by_node[member.node_id] = {
                    "service": service,
                    "latency_ms": round(target_stats.latency_ms, 3),
                    "in_flight": target_stats.in_flight,
                    "load_ratio": round(target_stats.load_ratio, 3),
                    "is_ejected": target_stats.ejected_until > node.now_ms(),
                }
    return stats_by_node


def _json_response(status: int, value: object) -> HttpResponse:
    body = json.dumps(value, indent=2, default=str).encode() + b"\n"
    return HttpResponse(status, [(b"content-type", b"application/json")], body)
