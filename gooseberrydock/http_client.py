"""HTTP/1.1 client for targets and the platform, with ``h11`` on non-blocking streams.

Each connection has one task that reads it for as long as it is open. A connection returns to the
pool only after a complete answer with no bytes left over; in every other case it is closed.
"""

from collections.abc import Callable
from functools import partial
from typing import Final

import attrs
import h11
import trio

from gooseberrydock import defaults
from gooseberrydock.errorcodes import (
    TARGET_LOST,
    TARGET_OVERSIZE,
    TARGET_PROTOCOL,
    TARGET_TRUNCATED,
    TARGET_UNREACHABLE,
    ErrorCode,
)
from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.logs import log_and_suppress_errors
from gooseberrydock.members import Address
from gooseberrydock.stream import Stream, connect

_MAX_STATUS: Final = 599
ResponseHandler = Callable[[HttpResponse], None]
FailureHandler = Callable[[ErrorCode], None]


@attrs.define(eq=False)
class ClientConnection:
    """Client side of one connection, which carries one request at a time."""

    _stream: Stream
    _address: Address
    _on_idle: Callable[["ClientConnection"], None]
    _max_body_bytes: int
    _h11: h11.Connection = attrs.field(factory=lambda: h11.Connection(h11.CLIENT))
    _on_response: ResponseHandler | None = None
    _on_failure: FailureHandler | None = None
    _head: h11.Response | None = None
    _body: bytearray = attrs.field(factory=bytearray)
    _received_bytes: int = 0

    @property
    def is_usable(self) -> bool:
        """Return whether an idle connection may carry a request.

        Bytes that arrived while it was idle belong to no request, and must not answer the next one.
        """
        return not self._stream.is_closed and not self._stream.has_unread_bytes

    def start(
        self, request: HttpRequest, on_response: ResponseHandler, on_failure: FailureHandler
    ) -> None:
        """Send a request; exactly one of the handlers is called, unless ``abort`` comes first."""
        self._on_response = on_response
        self._on_failure = on_failure
        self._head = None
        self._body = bytearray()
        self._received_bytes = 0
        headers = [(b"host", str(self._address).encode()), *request.headers]
        headers.append((b"content-length", str(len(request.body)).encode()))
        head = h11.Request(method=request.method, target=request.path, headers=headers)
        data = self._h11.send(head) or b""
        if request.body:
            data += self._h11.send(h11.Data(data=request.body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._stream.send(data)

    def abort(self) -> None:
        """Close the connection without calling a handler."""
        self._on_response = None
        self._on_failure = None
        self._stream.close()

    def fail_pending(self) -> None:
        """Report the pending request as failed, if an error ended its connection."""
        self._stream.close()
        self._fail(TARGET_LOST)

    async def run(self) -> None:
        """Read answers until the connection ends."""
        is_open = True
        while is_open:
            data = await self._stream.receive()
            # Only an orderly end may complete an answer that has no length.
            is_open = bool(data or self._stream.has_ended_orderly) and self._feed(data)
        self._stream.close()
        self._fail(TARGET_TRUNCATED if self._head is not None else TARGET_LOST)

    def _feed(self, data: bytes) -> bool:
        """Parse bytes; return whether the connection stays open."""
        if self._on_response is None:
            # The bytes belong to no request, or an idle connection has ended.
            return False
        self._received_bytes += len(data)
        try:
            self._h11.receive_data(data)
            return self._parse() and not self._exceeds_framing_limit()
        except h11.RemoteProtocolError:
            if data:
                self._fail(TARGET_PROTOCOL)
            return False

    def _parse(self) -> bool:
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                return True
            if isinstance(event, h11.Response):
                if event.status_code > _MAX_STATUS:
                    self._fail(TARGET_PROTOCOL)
                    return False
                self._head = event
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > self._max_body_bytes:
                    self._fail(TARGET_OVERSIZE)
                    return False
            elif isinstance(event, h11.EndOfMessage):
                return self._finish_response()
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                return False

    def _exceeds_framing_limit(self) -> bool:
        """Fail the request if the framing of its answer, with the head, is too long."""
        max_bytes = defaults.MAX_HEADER_BYTES + defaults.MAX_FRAMING_SHARE * self._max_body_bytes
        if self._on_response is None or self._received_bytes - len(self._body) <= max_bytes:
            return False
        self._fail(TARGET_OVERSIZE)
        return True

    def _finish_response(self) -> bool:
        """Pass a complete answer to its handler; return whether the connection can be reused."""
        head, handler = self._head, self._on_response
        if head is None or handler is None:
            return False
        response = HttpResponse(head.status_code, list(head.headers), bytes(self._body))
        self._on_response = None
        self._on_failure = None
        self._head = None
        can_reuse = self._can_reuse()
        if can_reuse:
            self._h11.start_next_cycle()
            self._on_idle(self)
        handler(response)
        return can_reuse

    def _can_reuse(self) -> bool:
        is_cycle_complete = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        return is_cycle_complete and not self._h11.trailing_data[0]

    def _fail(self, code: ErrorCode) -> None:
        handler = self._on_failure
        self._on_response = None
        self._on_failure = None
        if handler is not None:
            handler(code)


@attrs.define(eq=False)
class ClientPool:
    """Pool of connections to one address, which opens more as needed."""

    _address: Address
    _nursery: trio.Nursery
    _max_body_bytes: int = defaults.MAX_BODY_BYTES
    _idle_connections: list[ClientConnection] = attrs.field(factory=list)
    _open_connections: int = 0

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are open."""
        return self._open_connections

    @property
    def address(self) -> Address:
        """Return the address that the pool connects to."""
        return self._address

    def start(
        self, request: HttpRequest, on_response: ResponseHandler, on_failure: FailureHandler
    ) -> "PendingRequest":
        """Send a request on an idle connection, or on a new one."""
        pending = PendingRequest()
        connection = self._take_idle()
        if connection is not None:
            pending.connection = connection
            with log_and_suppress_errors(str(self._address)):
                connection.start(request, on_response, on_failure)
                return pending
            # None of it was sent; the attempt on a new connection reports the failure.
            connection.abort()
        self._nursery.start_soon(
            partial(self._start_on_new_connection, pending, request, on_response, on_failure)
        )
        return pending

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle_connections:
            connection.abort()
        self._idle_connections.clear()

    def _take_idle(self) -> ClientConnection | None:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_usable:
                return connection
            connection.abort()
        return None

    async def _start_on_new_connection(
        self,
        pending: "PendingRequest",
        request: HttpRequest,
        on_response: ResponseHandler,
        on_failure: FailureHandler,
    ) -> None:
        """Open a connection, send the request on it, and read it until it ends."""
        with log_and_suppress_errors(str(self._address)):
            connection = await self._open_connection(pending, on_failure)
            if connection is None:
                return
            try:
                connection.start(request, on_response, on_failure)
                await connection.run()
            finally:
                self._open_connections -= 1
                if connection in self._idle_connections:
                    self._idle_connections.remove(connection)
                connection.fail_pending()

    async def _open_connection(
        self, pending: "PendingRequest", on_failure: FailureHandler
    ) -> ClientConnection | None:
        """Open a connection; return None if its request was aborted, or has failed without one."""
        stream = await connect(self._address, self._nursery, defaults.CONNECT_TIMEOUT_MS)
        if stream is None:
            if not pending.is_aborted:
                on_failure(TARGET_UNREACHABLE)
            return None
        if pending.is_aborted:
            stream.close()
            return None
        connection = ClientConnection(
            stream, self._address, self._idle_connections.append, self._max_body_bytes
        )
        pending.connection = connection
        self._open_connections += 1
        return connection


@attrs.define(eq=False)
class PendingRequest:
    """Request that was started and can be aborted."""

    connection: ClientConnection | None = None
    is_aborted: bool = False

    def abort(self) -> None:
        """Abort the request without calling its handlers."""
        self.is_aborted = True
        if self.connection is not None:
            self.connection.abort()


async def fetch_result(
    pool: ClientPool, request: HttpRequest, timeout_s: float
) -> HttpResponse | ErrorCode | None:
    """Send one request and wait for its answer or failure; return None on a timeout."""
    done = trio.Event()
    results: list[HttpResponse | ErrorCode] = []

    def record_result(result: HttpResponse | ErrorCode) -> None:
        results.append(result)
        done.set()

    pending = pool.start(request, record_result, record_result)
    try:
        with trio.move_on_after(timeout_s):
            await done.wait()
    finally:
        # The request is also aborted if the waiting task is cancelled.
        if not results:
            pending.abort()
    return results[0] if results else None


async def fetch(pool: ClientPool, request: HttpRequest, timeout_s: float) -> HttpResponse | None:
    """Send one request and wait for its answer; return None on a failure or timeout."""
    result = await fetch_result(pool, request, timeout_s)
    return result if isinstance(result, HttpResponse) else None


async def fetch_on_new_connection(
    address: Address,
    nursery: trio.Nursery,
    request: HttpRequest,
    timeout_s: float,
    max_body_bytes: int = defaults.MAX_BODY_BYTES,
) -> HttpResponse | None:
    """Send one request on a separate connection; return None on a failure or timeout."""
    pool = ClientPool(address, nursery, max_body_bytes)
    response = await fetch(pool, request, timeout_s)
    pool.close()
    return response
