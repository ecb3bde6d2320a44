"""HTTP endpoints of a node for its local target and the platform: announcements and readiness.

Announcements, which the platform calls heartbeats, are decoded here and then handled by the node's
registration of the target.
"""

import json
import urllib.parse
from typing import Any, Final

from gooseberrydock.errorcodes import INVALID_ANNOUNCEMENT, NOT_FOUND
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
_MAX_COLD_LEFT_MS: Final = 600_000.0


def decode_announcement(instance_id: str, body: bytes) -> InstanceAnnouncement:
    """Decode a heartbeat, raising ``INVALID_ANNOUNCEMENT`` if a field is missing or invalid."""
    try:
        fields = json.loads(body)
        cold_left_ms = fields["coldLeftMs"]
        if isinstance(cold_left_ms, bool) or not 0 <= float(cold_left_ms) <= _MAX_COLD_LEFT_MS:
            raise ValueError(f"coldLeftMs is not a number from 0 to {_MAX_COLD_LEFT_MS:g}")
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
        connection.respond(_respond_to_target(node, request))

    await serve_http(stream, on_request)


async def serve_readiness(node: MeshNode, stream: Stream) -> None:
    """Serve the readiness check, which returns whether callers should send requests to a node."""

    def on_request(connection: HttpConnection, request: HttpRequest) -> None:
        if request.path != _READY_PATH:
            connection.respond(_create_empty_response(NOT_FOUND.status))
        else:
            connection.respond(_create_empty_response(200 if node.is_ready else 503))

    await serve_http(stream, on_request)


def _respond_to_target(node: MeshNode, request: HttpRequest) -> HttpResponse:
    if not request.path.startswith(_INSTANCES_PATH_PREFIX):
        return _create_empty_response(NOT_FOUND.status)
    instance_id = urllib.parse.unquote(request.path.removeprefix(_INSTANCES_PATH_PREFIX))
    if request.method == "PUT":
        return _respond_to_heartbeat(node, instance_id, request.body)
    if request.method == "DELETE":
        node.target_dispatcher.on_target_leaving(instance_id, _decode_start_time(request.body))
        return _create_empty_response(200)
    return _create_empty_response(NOT_FOUND.status)


def _respond_to_heartbeat(node: MeshNode, instance_id: str, body: bytes) -> HttpResponse:
    try:
        announcement = decode_announcement(instance_id, body)
    except GooseberrydockError as error:
        node.target_dispatcher.on_invalid_announcement(error.detail)
        return _create_empty_response(error.code.status)
    is_accepted = node.target_dispatcher.on_announcement(announcement)
    return _create_empty_response(200 if is_accepted else INVALID_ANNOUNCEMENT.status)


def _decode_start_time(body: bytes) -> int | None:
    """Return the start time of the process that a deregistration states, if any."""
    try:
        return _decode_whole_number(json.loads(body)["born"])
    except MALFORMED_INPUT:
        return None


def _create_empty_response(status: int) -> HttpResponse:
    return json_response(status, {})


def _decode_whole_number(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f"{value!r} is not a whole number of at least 0")
    return value


def _decode_slots(value: Any) -> int:
    slots = _decode_whole_number(value)
    if not 0 < slots <= _MAX_SLOTS:
        raise ValueError(f"slots must be from 1 to {_MAX_SLOTS}, not {slots}")
    return slots
