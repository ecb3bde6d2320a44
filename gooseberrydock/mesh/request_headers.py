"""Headers of callers' requests: what the entry reads from them, and what it forwards to targets.

Performs no I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.http_messages import CONNECTION_HEADERS, Headers
from gooseberrydock.mesh.options import HeaderNames

_MAX_CALLER_TIMEOUT_MS: Final[Millis] = 600_000.0
"""Longest timeout accepted from a caller. A longer one is certainly a mistake and is replaced by
the route's timeout."""


@attrs.frozen
class RequestFields:
    """What a request's headers say: the host name in lower case without port, ID and timeout."""

    host: str
    request_id: str
    timeout_text: str


@attrs.frozen
class RequestHeaders:
    """Read and filter the headers of requests; ``_stripped`` are those not forwarded."""

    _names: HeaderNames
    _stripped: frozenset[bytes]

    def read(self, headers: Headers) -> RequestFields:
        """Return what the entry needs of the headers; missing ones are empty."""
        host = request_id = deadline = b""
        names = self._names
        for name, value in headers:
            if name == b"host":
                host = value
            elif name == names.request_id:
                request_id = value
            elif name == names.deadline_ms:
                deadline = value
        host_name = host.decode("latin-1").lower()
        if ":" in host_name and not host_name.endswith("]"):
            host_name = host_name.rpartition(":")[0]
        return RequestFields(
            host_name, request_id.decode("latin-1"), deadline.decode("latin-1").strip()
        )

    def forwarded(self, headers: Headers) -> Headers:
        """Return the headers that are forwarded to the target."""
        stripped = self._stripped
        for name, value in headers:
            if name == b"connection" and value.lower() not in (b"close", b"keep-alive"):
                listed = {token.strip().lower() for token in value.split(b",")}
                stripped = stripped | listed
        return [header for header in headers if header[0] not in stripped]


def create_request_headers(names: HeaderNames) -> RequestHeaders:
    """Create the reader of requests with given header names."""
    names_set_by_nodes = (names.deadline_ms, names.expected_instance, names.caller_service)
    return RequestHeaders(names, CONNECTION_HEADERS | frozenset(names_set_by_nodes))


def parse_timeout(text: str, default_ms: Millis) -> Millis | None:
    """Return the caller's timeout, the default if absent or out of range, None if malformed."""
    if not text:
        return default_ms
    try:
        requested_ms = float(text)
    except ValueError:
        return None
    return requested_ms if 0 <= requested_ms <= _MAX_CALLER_TIMEOUT_MS else default_ms
