"""Connections of callers: requests in, exactly one answer to each, in order.

The task that reads a connection hands whole requests to the node and goes on reading, so that it
notices callers that leave. Answers are written by whoever has them.
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
from gooseberrydock.mesh.model import ClientLimits
from gooseberrydock.stream import Stream

_CLOSE_HEADER: Final = b"connection: close\r\n"


class RequestSink(Protocol):
    """Take what callers send."""

    def on_request(self, connection: "CallerConnection", request: HttpRequest) -> Exchange | None:
        """Take a whole request; return its exchange unless it was answered at once."""

    def on_caller_disconnected(self, exchange: Exchange) -> None:
        """Take in that the caller of a request left."""


@attrs.define(eq=False)
class CallerConnection:
    """Serve the requests of one connection, one after the other."""

    _stream: Stream
    _sink: RequestSink
    _reader: RequestReader
    _clock: Clock
    _is_stopping: Callable[[], bool]
    _requests: deque[HttpRequest] = attrs.field(factory=deque)
    _current: HttpRequest | None = None
    _exchange: Exchange | None = None
    _active_at: Millis = 0.0

    @property
    def is_idle(self) -> bool:
        """Say whether nothing was read that is not answered."""
        return self._current is None and self._reader.is_between_messages

    async def run(self) -> None:
        """Read until the caller or this side closes the connection."""
        stream = self._stream
        self._active_at = self._clock.now_ms()
        try:
            while data := await stream.receive():
                self._active_at = self._clock.now_ms()
                if not self._feed(data):
                    return
        finally:
            if self._exchange is not None:
                exchange, self._exchange = self._exchange, None
                self._sink.on_caller_disconnected(exchange)

    def respond(self, response: HttpResponse) -> None:
        """Answer the request in hand and take up the next one."""
        request = self._current
        if request is None or self._stream.is_closed:
            return
        self._current = None
        self._exchange = None
        self._active_at = self._clock.now_ms()
        is_last = not self._requests and (self._reader.is_closing or self._is_stopping())
        self._write(response, request.method, is_last)
        if is_last:
            self._stream.close_when_sent()
        elif self._requests:
            self._take_next()

    def sweep(self, now_ms: Millis, limits: ClientLimits) -> None:
        """Close the connection if its caller is too slow or idle for too long."""
        if self._current is not None:
            return
        quiet_ms = now_ms - self._active_at
        if self._reader.is_in_head and quiet_ms > limits.header_timeout_ms:
            self._reject(GooseberrydockError(SLOW_REQUEST, Step.ENTRY, self._stream.peer_host))
        elif quiet_ms > limits.idle_timeout_ms:
            self._stream.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is under way on it."""
        if self.is_idle:
            self._stream.close()

    def _feed(self, data: bytes) -> bool:
        """Parse bytes; say whether the connection goes on."""
        try:
            complete = self._reader.feed(data)
        except GooseberrydockError as error:
            self._reject(error)
            return False
        if complete:
            self._requests.extend(complete)
            if self._current is None:
                self._take_next()
        if self._reader.wants_continue:
            self._stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        return not self._stream.is_closed

    def _take_next(self) -> None:
        request = self._requests.popleft()
        self._current = request
        exchange = self._sink.on_request(self, request)
        if self._current is request:
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
        """Answer bytes that are no request, and close the connection."""
        if self._current is None and not self._stream.is_closed:
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
    limits: ClientLimits,
    is_stopping: Callable[[], bool],
) -> CallerConnection:
    """Make the connection of one caller."""
    reader = RequestReader(limits.max_header_bytes, limits.max_body_bytes)
    return CallerConnection(stream, sink, reader, clock, is_stopping)
