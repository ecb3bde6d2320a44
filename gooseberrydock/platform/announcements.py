"""What targets and the platform ask of a node: announcements, readiness."""

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
from gooseberrydock.platform.decoding import MALFORMED_INPUT, describe_error, require_text
from gooseberrydock.stream import Stream

_READY_PATH: Final = "/-/readyz"
_INSTANCES: Final = "/-/instances/"
_STATES: Final = {"ready": TargetState.READY, "draining": TargetState.LEAVING}
_MAX_SLOTS: Final = 1_000_000
_MAX_COLD_MS: Final = 600_000.0


def parse_announcement(instance_id: str, body: bytes) -> InstanceAnnouncement:
    """Read a heartbeat, raising ``INVALID_ANNOUNCEMENT`` where a field is missing or wrong."""
    try:
        fields = json.loads(body)
        cold_left_ms = fields["coldLeftMs"]
        if isinstance(cold_left_ms, bool) or not 0 <= float(cold_left_ms) <= _MAX_COLD_MS:
            raise ValueError("coldLeftMs is not a duration")
        return InstanceAnnouncement(
            instance_id=require_text(instance_id),
            service=require_text(fields["service"]),
            address=parse_address(require_text(fields["address"])),
            # "born" is the start of the process, not of the host.
            started_wall_ms=_whole(fields.get("born", 0)),
            sequence=_whole(fields["sequence"]),
            state=_STATES[fields["state"]],
            slots=_slots(fields["slots"]),
            cold_left_ms=float(cold_left_ms),
        )
    except MALFORMED_INPUT as error:
        raise GooseberrydockError(
            INVALID_ANNOUNCEMENT, Step.TARGET, detail=describe_error(error)
        ) from error


async def serve_control(node: MeshNode, stream: Stream) -> None:
    """Serve heartbeats and farewells of the local target."""

    def on_request(connection: HttpConnection, request: HttpRequest) -> None:
        connection.respond(_control_response(node, request))

    await serve_http(stream, on_request)


async def serve_readiness(node: MeshNode, stream: Stream) -> None:
    """Say whether callers should send requests to a node."""

    def on_request(connection: HttpConnection, request: HttpRequest) -> None:
        if request.path != _READY_PATH:
            connection.respond(_plain(NOT_FOUND.status))
        else:
            connection.respond(_plain(200 if node.is_ready else 503))

    await serve_http(stream, on_request)


def _control_response(node: MeshNode, request: HttpRequest) -> HttpResponse:
    if not request.path.startswith(_INSTANCES):
        return _plain(NOT_FOUND.status)
    instance_id = urllib.parse.unquote(request.path.removeprefix(_INSTANCES))
    if request.method == "PUT":
        return _on_heartbeat(node, instance_id, request.body)
    if request.method == "DELETE":
        node.target.on_target_leaving(instance_id, _start_named(request.body))
        return _plain(200)
    return _plain(NOT_FOUND.status)


def _on_heartbeat(node: MeshNode, instance_id: str, body: bytes) -> HttpResponse:
    try:
        announcement = parse_announcement(instance_id, body)
    except GooseberrydockError as error:
        node.target.on_invalid_announcement(error.detail)
        return _plain(error.code.status)
    is_known = node.target.on_announcement(announcement)
    return _plain(200 if is_known else INVALID_ANNOUNCEMENT.status)


def _start_named(body: bytes) -> int | None:
    """Return the start that a farewell names, if any."""
    try:
        return _whole(json.loads(body)["born"])
    except MALFORMED_INPUT:
        return None


def _plain(status: int) -> HttpResponse:
    return json_response(status, {})


def _whole(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f"{value!r} is not a whole number")
    return value


def _slots(value: Any) -> int:
    slots = _whole(value)
    if not 0 < slots <= _MAX_SLOTS:
        raise ValueError(f"{slots} slots")
    return slots
