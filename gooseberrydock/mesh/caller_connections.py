"""Caller connections, which answer each request exactly once and in order.

The task that reads a connection passes complete requests to the node and continues reading, so
that it detects callers that disconnect. Responses are written by the task that produces them.
"""

from collections import deque
from collections.abc import Callable
from typing import Final, Protocol

import attrs

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


class RequestSink(Protocol):
    """Receive the requests and disconnects of callers."""

    def on_request(self, connection: "CallerConnection", request: HttpRequest) -> Exchange | None:
        """Handle a complete request; return its exchange unless it was answered immediately."""

    def on_caller_disconnected(self, exchange: Exchange) -> None:
        """Record that the caller of a request disconnected."""


@attrs.define(eq=False)
class CallerConnection:
    """Serve the requests of one connection sequentially."""

    _stream: Stream
    _sink: RequestSink
    _reader: RequestReader
    _clock: Clock
    _is_stopping: Callable[[], bool]
    _waiting_requests: deque[HttpRequest] = attrs.field(factory=deque)
    _current_request: HttpRequest | None = None
    _exchange: Exchange | None = None
    _last_active_at: Millis = 0.0

    @property
    def is_idle(self) -> bool:
        """Return whether everything that was read has been answered."""
        return self._current_request is None and self._reader.is_between_messages

    async def run(self) -> None:
        """Read until the caller or this node closes the connection."""
        stream = self._stream
        self._last_active_at = self._clock.now_ms()
        try:
            while data := await stream.receive():
                self._last_active_at = self._clock.now_ms()
                if not self._feed(data):
                    return
        finally:
            if self._exchange is not None:
                exchange, self._exchange = self._exchange, None
                self._sink.on_caller_disconnected(exchange)

    def respond(self, response: HttpResponse) -> None:
        """Send the response to the current request and start the next one."""
        request = self._current_request
        if request is None or self._stream.is_closed:
            return
        self._current_request = None
        self._exchange = None
        self._last_active_at = self._clock.now_ms()
        is_last = not self._waiting_requests and (self._reader.is_closing or self._is_stopping())
        self._write(response, request.method, is_last)
        if is_last:
            self._stream.close_when_sent()
        elif self._waiting_requests:
            self._start_next_request()

    def close_if_timed_out(self, now_ms: Millis, limits: CallerLimits) -> None:
        """Close the connection if its caller is too slow or has been idle for too long."""
        if self._current_request is not None:
            return
        idle_ms = now_ms - self._last_active_at
        if self._reader.is_in_head and idle_ms > limits.header_timeout_ms:
            self._reject(GooseberrydockError(SLOW_REQUEST, Step.ENTRY, self._stream.peer_host))
        elif idle_ms > limits.idle_timeout_ms:
            self._stream.close()

    def close_if_idle(self) -> None:
        """Close the connection unless it has a request in flight."""
        if self.is_idle:
            self._stream.close()

    def _feed(self, data: bytes) -> bool:
        """Parse received bytes; return whether the connection stays open."""
        try:
            complete = self._reader.feed(data)
        except GooseberrydockError as error:
            self._reject(error)
            return False
        if complete:
            self._waiting_requests.extend(complete)
            if self._current_request is None:
                self._start_next_request()
        if self._reader.wants_continue:
            self._stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        return not self._stream.is_closed

    def _start_next_request(self) -> None:
        request = self._waiting_requests.popleft()
        self._current_request = request
        exchange = self._sink.on_request(self, request)
        if self._current_request is request:
            self._exchange = exchange

    def _write(self, response: HttpResponse, method: str, is_last: bool) -> None:
        parts = [status_line(response.status)]
        for name, value in response.headers:
            if name not in CONNECTION_HEADERS:
                parts += (name, b": ", value, b"\r\n")
        if response.status not in BODILESS_STATUSES:
            parts.append(b"content-length: %d\r\n" % len(response.body))
        if is_last:
            parts.append(_CLOSE_HEADER)
        parts.append(b"\r\n")
        if method != "HEAD":
            parts.append(response.body)
        self._stream.send(b"".join(parts))

    def _reject(self, error: GooseberrydockError) -> None:
        """Respond to an invalid or incomplete request and close the connection."""
        if self._current_request is None and not self._stream.is_closed:
            code = error.code
            response = problem_response(
                code, code.outcome, error.step.value, error.peer, error.detail
            )
            self._write(response, "GET", is_last=True)
            self._stream.close_when_sent()
        else:
            self._stream.close()


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
