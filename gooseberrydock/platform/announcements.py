"""HTTP endpoints of a node for its local target and the platform: announcements and readiness.

Announcements, which the platform calls heartbeats, are decoded here and then handled by the node's
registration of the target.
"""

import json
import urllib.parse
from typing import Any, Final

from gooseberrydock.connection_limit import Listening
from gooseberrydock.errorcodes import INVALID_ANNOUNCEMENT, NOT_FOUND, PEER_UNREACHABLE
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.http_messages import HttpRequest, HttpResponse, json_response
from gooseberrydock.http_server import HttpConnection, serve_http
from gooseberrydock.members import parse_address
from gooseberrydock.mesh.node import MeshNode
from gooseberrydock.mesh.target_registration import InstanceAnnouncement, TargetState
from gooseberrydock.platform.decoding import MALFORMED_INPUT, describe_error, require_string
from gooseberrydock.stream import Stream

_READY_PATH: Final = "/-/readyz"
_INSTANCES_PATH_PREFIX: Final = "/-/instances/"
_TARGET_STATES: Final = {"ready": TargetState.READY, "draining": TargetState.LEAVING}
_MAX_SLOTS: Final = 1_000_000
_MAX_WHOLE_NUMBER: Final = 2**63 - 1
_MAX_COLD_LEFT_MS: Final = 600_000.0


def decode_announcement(instance_id: str, body: bytes) -> InstanceAnnouncement:
    """Decode a heartbeat, raising ``INVALID_ANNOUNCEMENT`` if a field is missing or invalid."""
    try:
        fields = json.loads(body)
        cold_left_ms = fields["coldLeftMs"]
        if isinstance(cold_left_ms, bool) or not 0 <= float(cold_left_ms) <= _MAX_COLD_LEFT_MS:
            raise ValueError("coldLeftMs is not a duration in milliseconds within its limit")
        return InstanceAnnouncement(
            instance_id=require_string(instance_id),
            service=require_string(fields["service"]),
            address=parse_address(require_string(fields["address"])),
            # The platform's "born" is the start time of the process, not of the host.
            started_wall_ms=_decode_whole_number(fields.get("born", 0)),
            sequence=_decode_whole_number(fields["sequence"]),
            state=_TARGET_STATES[fields["state"]],
            slots=_decode_slots(fields["slots"]),
            cold_left_ms=float(cold_left_ms),
        )
    except MALFORMED_INPUT as error:
        raise GooseberrydockError(
            INVALID_ANNOUNCEMENT, Step.TARGET, detail=describe_error(error)
        ) from error


async def serve_control(node: MeshNode, stream: Stream) -> None:
    """Serve heartbeats and deregistrations of the local target."""

    def on_request(connection: HttpConnection, request: HttpRequest) -> None:
        _handle_target_request(node, connection, request)

    await serve_http(
        stream,
        on_request,
        limit=node.limits.connections[Listening.TARGET],
        account=node.limits.service_account,
    )


async def serve_readiness(node: MeshNode, stream: Stream) -> None:
    """Serve the readiness check, which returns whether callers should send requests to a node."""

    def on_request(connection: HttpConnection, request: HttpRequest) -> None:
        if request.path != _READY_PATH:
            connection.respond(_create_empty_response(NOT_FOUND.status))
        else:
            connection.respond(_create_empty_response(200 if node.is_ready else 503))

    await serve_http(
        stream,
        on_request,
        limit=node.limits.connections[Listening.READINESS],
        account=node.limits.service_account,
    )


def _handle_target_request(
    node: MeshNode, connection: HttpConnection, request: HttpRequest
) -> None:
    instance_id = urllib.parse.unquote(request.path.removeprefix(_INSTANCES_PATH_PREFIX))
    is_known_path = request.path.startswith(_INSTANCES_PATH_PREFIX) and bool(instance_id)
    if is_known_path and request.method == "PUT":
        _handle_heartbeat(node, connection, instance_id, request.body)
    elif is_known_path and request.method == "DELETE":
        started_wall_ms = _decode_start_time(request.body)
        start_id = node.target_dispatcher.on_target_leaving(instance_id, started_wall_ms)
        _answer_leaving(node, connection, start_id)
    else:
        connection.respond(_create_empty_response(NOT_FOUND.status))


def _handle_heartbeat(
    node: MeshNode, connection: HttpConnection, instance_id: str, body: bytes
) -> None:
    try:
        announcement = decode_announcement(instance_id, body)
    except GooseberrydockError as error:
        node.target_dispatcher.on_invalid_announcement(error.detail)
        connection.respond(_create_empty_response(error.code.status))
        return
    is_accepted = node.target_dispatcher.on_announcement(announcement)
    if is_accepted and announcement.state is TargetState.LEAVING:
        _answer_leaving(node, connection, announcement.start_id)
    else:
        status = 200 if is_accepted else INVALID_ANNOUNCEMENT.status
        connection.respond(_create_empty_response(status))


def _answer_leaving(node: MeshNode, connection: HttpConnection, start_id: str) -> None:
    def answer(is_acknowledged: bool) -> None:
        status = 200 if is_acknowledged else PEER_UNREACHABLE.status
        connection.respond(_create_empty_response(status))

    node.leavings.answer(start_id, answer)


def _decode_start_time(body: bytes) -> int | None:
    """Return the start time of the process that a deregistration states, if any."""
    try:
        return _decode_whole_number(json.loads(body)["born"])
    except MALFORMED_INPUT:
        return None


def _create_empty_response(status: int) -> HttpResponse:
    return json_response(status, {})


def _decode_whole_number(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= _MAX_WHOLE_NUMBER:
        raise ValueError(f"{value!r} is not a whole number from 0 to {_MAX_WHOLE_NUMBER}")
    return value


def _decode_slots(value: Any) -> int:
    slots = _decode_whole_number(value)
    if not 0 < slots <= _MAX_SLOTS:
        raise ValueError(f"{slots} slots are out of range")
    return slots
