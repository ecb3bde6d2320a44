"""HTTP endpoints of a node for its local target and the platform: announcements and readiness.

Announcements, which the platform calls heartbeats, are decoded here and then handled by the node's
registration of the target.
"""

import json
import urllib.parse
from typing import Any, Final

from gooseberrydock.connection_limit import Listening
from gooseberrydock.decoding import MALFORMED_INPUT, describe_error, require_string
from gooseberrydock.errorcodes import INVALID_ANNOUNCEMENT, NOT_FOUND, PEER_UNREACHABLE
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.http_messages import HttpRequest, HttpResponse, json_response
from gooseberrydock.http_server import HttpConnection, serve_http
from gooseberrydock.members import parse_address
from gooseberrydock.mesh.node import MeshNode
from gooseberrydock.mesh.target_registration import (
    InstanceAnnouncement,
    NamedLeaving,
    TargetState,
)
from gooseberrydock.start_ids import require_instance_id
from gooseberrydock.stream import Stream

_READY_PATH: Final = "/-/readyz"
_INSTANCES_PATH_PREFIX: Final = "/-/instances/"
_TARGET_STATES: Final = {"ready": TargetState.READY, "draining": TargetState.LEAVING}
_UNUSED_FIELDS: Final = ("zone", "version")
_MAX_SLOTS: Final = 1_000_000
_MAX_WHOLE_NUMBER: Final = 2**63 - 1
_MAX_COLD_LEFT_MS: Final = 600_000.0


def decode_instance_id(path: str) -> str:
    """Return the ID in the path of a call, raising ``INVALID_ANNOUNCEMENT`` if it is not one."""
    text = path.removeprefix(_INSTANCES_PATH_PREFIX)
    try:
        return require_instance_id(urllib.parse.unquote(text, errors="strict"))
    except ValueError as error:
        raise _invalid_announcement(error) from error


def decode_announcement(instance_id: str, body: bytes) -> InstanceAnnouncement:
    """Decode a heartbeat, raising ``INVALID_ANNOUNCEMENT`` if a field is missing or invalid."""
    try:
        fields = json.loads(body)
        for name in _UNUSED_FIELDS:
            # Without one of them, the heartbeat is from another writer and names no target.
            if not isinstance(fields[name], str):
                raise TypeError(f"{name} is not a string")
        cold_left_ms = fields["coldLeftMs"]
        if isinstance(cold_left_ms, bool) or not 0 <= float(cold_left_ms) <= _MAX_COLD_LEFT_MS:
            raise ValueError("coldLeftMs is not a duration in milliseconds within its limit")
        return InstanceAnnouncement(
            instance_id=require_instance_id(instance_id),
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
        raise _invalid_announcement(error) from error


def decode_start_time(body: bytes) -> int | None:
    """Return the start time that a deregistration states, or None if it states none.

    Raises ``INVALID_ANNOUNCEMENT`` if it states something else.
    """
    try:
        fields = json.loads(body or b"{}")
        if not isinstance(fields, dict):
            raise TypeError("the body is not an object")
        return _decode_whole_number(fields["born"]) if "born" in fields else None
    except MALFORMED_INPUT as error:
        raise _invalid_announcement(error) from error


def _invalid_announcement(error: Exception) -> GooseberrydockError:
    return GooseberrydockError(INVALID_ANNOUNCEMENT, Step.TARGET, detail=describe_error(error))


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
    is_known_path = request.path.startswith(_INSTANCES_PATH_PREFIX)
    handler = _HANDLERS.get(request.method) if is_known_path else None
    if handler is None:
        connection.respond(_create_empty_response(NOT_FOUND.status))
        return
    try:
        handler(node, connection, decode_instance_id(request.path), request.body)
    except GooseberrydockError as error:
        node.target_dispatcher.on_invalid_announcement(error.detail)
        connection.respond(_create_empty_response(error.code.status))


def _handle_heartbeat(
    node: MeshNode, connection: HttpConnection, instance_id: str, body: bytes
) -> None:
    announcement = decode_announcement(instance_id, body)
    is_accepted = node.target_dispatcher.on_announcement(announcement)
    if is_accepted and announcement.state is TargetState.LEAVING:
        leaving = NamedLeaving(announcement.start_id, announcement.start_id)
        _answer_leaving(node, connection, leaving)
    else:
        status = 200 if is_accepted else INVALID_ANNOUNCEMENT.status
        connection.respond(_create_empty_response(status))


def _handle_leaving(
    node: MeshNode, connection: HttpConnection, instance_id: str, body: bytes
) -> None:
    leaving = node.target_dispatcher.on_target_leaving(instance_id, decode_start_time(body))
    _answer_leaving(node, connection, leaving)


_HANDLERS: Final = {"PUT": _handle_heartbeat, "DELETE": _handle_leaving}


def _answer_leaving(node: MeshNode, connection: HttpConnection, leaving: NamedLeaving) -> None:
    def answer(is_acknowledged: bool) -> None:
        status = 200 if is_acknowledged else PEER_UNREACHABLE.status
        connection.respond(_create_empty_response(status))

    node.leavings.answer(leaving, answer)


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
