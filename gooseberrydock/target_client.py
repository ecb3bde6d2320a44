"""Connection of a node to its local target: parses announcements and sends requests."""

import ipaddress
import json
from collections.abc import Callable

import attrs
import trio

from gooseberrydock import defaults
from gooseberrydock.clock import Millis
from gooseberrydock.decoding import MALFORMED_INPUT, describe_error
from gooseberrydock.errorcodes import INVALID_ANNOUNCEMENT, ErrorCode
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.http_client import ClientPool, PendingRequest
from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.members import Address, parse_address
from gooseberrydock.node_core import NodeCore
from gooseberrydock.stream import connect

ANNOUNCE_PATH = "/_gooseberrydock/announce"
LEAVE_PATH = "/_gooseberrydock/leave"
ANNOUNCEMENT_LIFETIME_MS: Millis = 5_000.0
"""Time after its last announcement for which a target is regarded as present."""
_MAX_SLOTS = 1_000_000


@attrs.frozen
class Announcement:
    """Content of a target's announcement of itself."""

    service: str
    address: Address
    slots: int
    is_cold: bool


def parse_announcement(body: bytes) -> Announcement:
    """Parse an announcement, raising ``INVALID_ANNOUNCEMENT`` if it is not valid."""
    try:
        fields = json.loads(body)
        service, slots = fields["service"], fields["slots"]
        address = parse_address(fields["address"])
        ipaddress.ip_address(address.host)
        if not isinstance(service, str) or not service or "/" in service:
            raise ValueError("service must be a non-empty string without a slash")
        # The name is sent to other nodes, and a JSON string may have what cannot be encoded.
        service.encode()
        if type(slots) is not int or not 0 < slots <= _MAX_SLOTS:
            raise ValueError("slots must be a positive integer within the allowed range")
        is_cold = fields.get("cold", False)
        if type(is_cold) is not bool:
            raise ValueError("cold must be true or false")
        return Announcement(service, address, slots, is_cold)
    except MALFORMED_INPUT as error:
        detail = describe_error(error)
        raise GooseberrydockError(INVALID_ANNOUNCEMENT, Step.TARGET, detail=detail) from error


@attrs.define(eq=False)
class TargetClient:
    """Client that sends requests to the local target and reports their results."""

    _nursery: trio.Nursery
    _pool: ClientPool | None = None
    _pending_requests: dict[int, PendingRequest] = attrs.field(factory=dict)

    @property
    def open_connections(self) -> int:
        """Return the number of open connections to the target."""
        return self._pool.open_connections if self._pool is not None else 0

    def set_address(self, address: Address, max_body_bytes: int) -> None:
        """Send requests to this address from now on."""
        if self._pool is not None and self._pool.address == address:
            return
        if self._pool is not None:
            self._pool.close()
        self._pool = ClientPool(address, self._nursery, max_body_bytes)

    def run(
        self, core: NodeCore, now_ms: Callable[[], Millis], run_id: int, request: HttpRequest
    ) -> None:
        """Send a request and report its response or failure to the core."""
        pool = self._pool
        if pool is None:
            raise GooseberrydockError(INVALID_ANNOUNCEMENT, Step.TARGET, detail="no target")

        def on_response(response: HttpResponse) -> None:
            self._pending_requests.pop(run_id, None)
            core.on_target_answer(now_ms(), run_id, response)

        def on_failure(code: ErrorCode) -> None:
            self._pending_requests.pop(run_id, None)
            core.on_target_failed(now_ms(), run_id, code)

        self._pending_requests[run_id] = pool.start(request, on_response, on_failure)

    async def is_reachable(self) -> bool:
        """Return whether the target accepts a new connection."""
        if self._pool is None:
            return False
        stream = await connect(self._pool.address, self._nursery, defaults.CONNECT_TIMEOUT_MS)
        if stream is None:
            return False
        stream.close()
        return True

    def cancel(self, run_id: int) -> None:
        """Cancel a request by closing its connection, which the target detects."""
        pending = self._pending_requests.pop(run_id, None)
        if pending is not None:
            pending.abort()
