"""HTTP requests and responses as plain data, and the names of the headers that nodes use."""

import http
import json
from typing import Final

import attrs

from gooseberrydock.clock import MS_PER_SECOND, Millis
from gooseberrydock.errorcodes import ErrorCode
from gooseberrydock.long_body import LongBody
from gooseberrydock.outcomes import Outcome

Headers = list[tuple[bytes, bytes]]
"""Pairs of a header name in lower case and its value, in the order received."""

CONTEXT_HEADER: Final = b"gooseberrydock-context"
OUTCOME_HEADER: Final = b"gooseberrydock-outcome"
CLASS_HEADER: Final = b"gooseberrydock-class"
CALLER_HEADER: Final = b"gooseberrydock-caller"
CODE_HEADER: Final = b"gooseberrydock-code"
DEADLINE_HEADER: Final = b"gooseberrydock-deadline-ms"
IDEMPOTENCY_KEY_HEADER: Final = b"idempotency-key"
ATTEMPT_HEADER: Final = b"gooseberrydock-attempt"
"""The caller's attempt number for an idempotency key; "1" means that it was never sent before."""
RETRY_AFTER_HEADER: Final = b"retry-after"
JSON_HEADER: Final = (b"content-type", b"application/json")
PROBLEM_CONTENT_TYPE: Final = b"application/problem+json"
_DEFAULT_RETRY_AFTER_MS: Final[Millis] = 1_000.0
"""Default delay after which a refused caller may retry."""

CONNECTION_HEADERS: Final = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Headers that apply to a single connection and its framing."""

HOP_BY_HOP_HEADERS: Final = CONNECTION_HEADERS | {b"host"}
"""Headers not forwarded through ``http_client``, which sends the host of the next hop itself."""

BODILESS_STATUSES: Final = frozenset((204, 304))
"""Statuses of responses that have no body, regardless of their headers."""

GOOSEBERRYDOCK_REQUEST_HEADERS: Final = frozenset(
    (CONTEXT_HEADER, CLASS_HEADER, CALLER_HEADER, ATTEMPT_HEADER)
)
"""Request headers that a node processes itself and does not forward unchanged."""


@attrs.frozen
class HttpRequest:
    """One complete request; the path includes the query.

    A body above the size of a block is in ``long_body``, and ``body`` is empty. ``head_bytes`` is
    the size of the request line and headers as received.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    long_body: LongBody | None = None
    head_bytes: int = attrs.field(default=0, eq=False)

    @property
    def body_bytes(self) -> int:
        """Return the size of the body."""
        return self.long_body.size if self.long_body is not None else len(self.body)


@attrs.frozen
class HttpResponse:
    """One complete response; a body above the size of a block is in ``long_body``."""

    status: int
    headers: Headers
    body: bytes
    long_body: LongBody | None = None

    @property
    def body_bytes(self) -> int:
        """Return the size of the body."""
        return self.long_body.size if self.long_body is not None else len(self.body)


def header_value(headers: Headers, name: bytes) -> str:
    """Return the first value of a header, or an empty string."""
    for header_name, value in headers:
        if header_name == name:
            return value.decode("latin-1")
    return ""


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers to forward, without those for this connection or for the node."""
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in GOOSEBERRYDOCK_REQUEST_HEADERS
    ]


def json_response(status: int, value: object) -> HttpResponse:
    """Create a response with a value as its JSON body."""
    return HttpResponse(status, [JSON_HEADER], json.dumps(value).encode())


def status_line(status: int) -> bytes:
    """Return the status line of a response."""
    line = _STATUS_LINES.get(status)
    return line if line is not None else b"HTTP/1.1 %d Unknown\r\n" % status


_STATUS_LINES: Final = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode("ascii")
    for status in http.HTTPStatus
}


def problem_response(
    code: ErrorCode,
    outcome: Outcome,
    step: str,
    peer: str,
    detail: str = "",
    retry_after_ms: Millis = _DEFAULT_RETRY_AFTER_MS,
) -> HttpResponse:
    """Create a response that reports a refusal or failure as problem details (RFC 9457)."""
    problem = {
        "type": f"urn:gooseberrydock:error:{code.name}",
        "title": code.title,
        "status": code.status,
        "code": code.number,
        "outcome": outcome.label,
        "step": step,
        "peer": peer,
        "detail": detail,
    }
    headers: Headers = [
        (b"content-type", PROBLEM_CONTENT_TYPE),
        (OUTCOME_HEADER, outcome.label.encode()),
        (CODE_HEADER, str(code.number).encode()),
    ]
    if code.status in (429, 503):
        headers.append((RETRY_AFTER_HEADER, b"%g" % (round(retry_after_ms) / MS_PER_SECOND)))
    return HttpResponse(code.status, headers, json.dumps(problem).encode())
