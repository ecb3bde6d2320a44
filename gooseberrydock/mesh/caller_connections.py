"""Caller connections, which answer each request exactly once and in order.

The task that reads a connection passes complete requests to the node and continues reading, so
that it detects callers that disconnect. Callers may send further requests before the first one is
answered. Those that may be repeated run at the same time, up to a bound; the others wait for their
turn, so that none of them has run if an earlier answer ends the connection. Responses are written
in the order of the requests by the task that produces the one that is due.
"""

from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import Final, Protocol

import attrs
import trio

from gooseberrydock.clock import Clock, Millis
from gooseberrydock.errorcodes import SLOW_REQUEST
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.http_messages import (
    BODILESS_STATUSES,
    CONNECTION_HEADERS,
    HttpRequest,
    HttpResponse,
    problem_response,
    status_line,
)
from gooseberrydock.http_parsing import RequestReader
from gooseberrydock.mesh.exchange import Exchange
from gooseberrydock.mesh.model import CallerLimits
from gooseberrydock.stream import Stream

_CLOSE_HEADER: Final = b"connection: close\r\n"
_MAX_CONCURRENT_REQUESTS: Final = 8
"""Requests of one connection that run at the same time."""
_MAX_QUEUED_REQUESTS: Final = 64
"""Unanswered requests of one connection above which it is not read."""
_MAX_QUEUED_BYTES: Final = 1024 * 1024
"""Bytes of the bodies of these requests above which the connection is not read."""


class RequestSink(Protocol):
    """Receive the requests and disconnects of callers."""

    def on_request(self, caller: "CallerRequest", request: HttpRequest) -> Exchange | None:
        """Handle a complete request; return its exchange unless it was answered immediately."""

    def may_repeat(self, request: HttpRequest) -> bool:
        """Return whether a request may run more than once."""

    def on_caller_disconnected(self, exchange: Exchange) -> None:
        """Record that the caller of a request disconnected."""


@attrs.define(eq=False)
class CallerRequest:
    """One unanswered request of a connection."""

    _connection: "CallerConnection"
    _request: HttpRequest
    _is_started: bool = False
    _exchange: Exchange | None = None
    _response: HttpResponse | None = None

    @property
    def request(self) -> HttpRequest:
        """Return the request."""
        return self._request

    @property
    def is_started(self) -> bool:
        """Return whether the request was passed to the node."""
        return self._is_started

    @property
    def exchange(self) -> Exchange | None:
        """Return the exchange while the node handles the request."""
        return self._exchange if self._response is None else None

    @property
    def response(self) -> HttpResponse | None:
        """Return the response, once there is one."""
        return self._response

    def start(self, sink: RequestSink) -> None:
        """Pass the request to the node."""
        self._is_started = True
        self._exchange = sink.on_request(self, self._request)

    def respond(self, response: HttpResponse) -> None:
        """Set the response, which is sent after those of all earlier requests."""
        if self._response is None:
            self._response = response
            self._connection.advance()


@attrs.define(eq=False)
class CallerConnection:
    """Serve the requests of one connection."""

    _stream: Stream
    _sink: RequestSink
    _reader: RequestReader
    _clock: Clock
    _is_stopping: Callable[[], bool]
    _requests: deque[CallerRequest] = attrs.field(factory=deque)
    _queued_bytes: int = 0
    _rejection: HttpResponse | None = None
    _is_advancing: bool = False
    _has_room: trio.Event = attrs.field(factory=trio.Event)
    _last_active_at: Millis = 0.0

    @property
    def is_idle(self) -> bool:
        """Return whether everything that was read has been answered."""
        return not self._requests and self._reader.is_between_messages

    async def run(self) -> None:
        """Read until the caller or this node closes the connection."""
        stream = self._stream
        self._last_active_at = self._clock.now_ms()
        try:
            while data := await stream.receive():
                self._last_active_at = self._clock.now_ms()
                if not self._feed(data):
                    return
                while self._is_full and not stream.is_closed:
                    self._has_room = trio.Event()
                    await self._has_room.wait()
        finally:
            self._cancel_requests()

    def advance(self) -> None:
        """Send the responses that are due, and start the requests that may run now."""
        if self._is_advancing:
            # A request was answered while it was being started; the loop below continues.
            return
        self._is_advancing = True
        try:
            self._send_due_responses()
            while (request := self._next_to_start()) is not None:
                request.start(self._sink)
                self._send_due_responses()
        finally:
            self._is_advancing = False
        if not self._is_full:
            self._has_room.set()

    def close_if_timed_out(self, now_ms: Millis, limits: CallerLimits) -> None:
        """Close the connection if its caller is too slow or has been idle for too long."""
        if self._requests:
            return
        idle_ms = now_ms - self._last_active_at
        if self._reader.is_in_head and idle_ms > limits.header_timeout_ms:
            self._reject(GooseberrydockError(SLOW_REQUEST, Step.ENTRY, self._stream.peer_host))
        elif idle_ms > limits.idle_timeout_ms:
            if self.is_idle and not self._stream.is_finishing:
                self.close_if_idle()
            else:
                # The request never ends, or the caller does not read its last response.
                self._stream.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in flight or has reached the socket."""
        if self.is_idle and not self._stream.has_unread_bytes:
            self._stream.finish()

    @property
    def _is_full(self) -> bool:
        return len(self._requests) >= _MAX_QUEUED_REQUESTS or self._queued_bytes > _MAX_QUEUED_BYTES

    def _feed(self, data: bytes) -> bool:
        """Parse received bytes; return whether the connection stays open."""
        if self._rejection is not None:
            # Nothing after an invalid request is read as one.
            return not self._stream.is_closed
        try:
            complete = self._reader.feed(data)
        except GooseberrydockError as error:
            self._reject(error)
            return not self._stream.is_closed
        for request in complete:
            self._queued_bytes += len(request.body)
            self._requests.append(CallerRequest(self, request))
        if self._reader.error is not None:
            self._reject(self._reader.error)
        if complete:
            self.advance()
        if self._reader.wants_continue:
            self._stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        return not self._stream.is_closed

    def _next_to_start(self) -> CallerRequest | None:
        """Return the next request that may run beside the unanswered ones before it."""
        if self._stream.is_closed or self._stream.is_finishing:
            return None
        for position, item in enumerate(islice(self._requests, _MAX_CONCURRENT_REQUESTS)):
            if not item.is_started:
                may_start = position == 0 or self._sink.may_repeat(item.request)
                return item if may_start else None
            if len(self._requests) > 1 and not self._sink.may_repeat(item.request):
                return None
        return None

    def _send_due_responses(self) -> None:
        """Send the responses of the oldest requests, up to the first one without a response."""
        while self._requests:
            item = self._requests[0]
            response = item.response
            if response is None:
                return
            self._requests.popleft()
            self._queued_bytes -= len(item.request.body)
            self._last_active_at = self._clock.now_ms()
            is_last = not self._requests and self._rejection is None
            has_caller_ended = is_last and self._reader.is_closing
            is_closing = is_last and (has_caller_ended or self._is_stopping())
            self._write(response, item.request.method, is_closing)
            if has_caller_ended:
                self._stream.close_when_sent()
            elif is_closing:
                self._stream.finish()
        self._send_rejection()

    def _send_rejection(self) -> None:
        """Respond to an invalid request, once the requests before it are answered."""
        if self._rejection is not None and not self._stream.is_finishing:
            self._write(self._rejection, "GET", is_closing=True)
            self._stream.finish()

    def _write(self, response: HttpResponse, method: str, is_closing: bool) -> None:
        parts = [status_line(response.status)]
        for name, value in response.headers:
            if name not in CONNECTION_HEADERS:
                parts += (name, b": ", value, b"\r\n")
        if response.status not in BODILESS_STATUSES:
            parts.append(b"content-length: %d\r\n" % len(response.body))
        if is_closing:
            parts.append(_CLOSE_HEADER)
        parts.append(b"\r\n")
        if method != "HEAD":
            parts.append(response.body)
        self._stream.send(b"".join(parts))

    def _reject(self, error: GooseberrydockError) -> None:
        """Respond to an invalid or incomplete request after all others, and close."""
        code = error.code
        self._rejection = problem_response(
            code, code.outcome, error.step.value, error.peer, error.detail
        )
        self._send_due_responses()

    def _cancel_requests(self) -> None:
        """Cancel the requests that have no response, since their caller has disconnected."""
        requests, self._requests = self._requests, deque()
        for item in requests:
            if item.exchange is not None:
                self._sink.on_caller_disconnected(item.exchange)


def create_caller_connection(
    stream: Stream,
    sink: RequestSink,
    clock: Clock,
    limits: CallerLimits,
    is_stopping: Callable[[], bool],
) -> CallerConnection:
    """Create the connection of one caller."""
    reader = RequestReader(limits.max_header_bytes, limits.max_body_bytes)
    return CallerConnection(stream, sink, reader, clock, is_stopping)
