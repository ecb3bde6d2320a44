"""HTTP/1.1 server for callers, local targets and operators, with ``h11`` on non-blocking streams.

The task that reads a connection passes complete requests to a handler. The handler answers at once
or later with ``HttpConnection.respond``, which writes the answer in the task that calls it, so that
no other task needs to be woken. While an answer is pending, the reading task continues to read and
thus detects callers that disconnect.
"""

import itertools
import math
from collections.abc import Callable
from typing import Final

import attrs
import h11
import trio

from gooseberrydock import defaults
from gooseberrydock.clock import MS_PER_SECOND, Millis, system_clock
from gooseberrydock.connection_limit import Activity, ConnectionLimit
from gooseberrydock.errorcodes import (
    MALFORMED_REQUEST,
    MEMORY_SHORT,
    OVERSIZE_REQUEST,
    SLOW_REQUEST,
    ErrorCode,
)
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.events import CONNECTIONS_LIMITED
from gooseberrydock.http_messages import Headers, HttpRequest, HttpResponse, problem_response
from gooseberrydock.logs import log
from gooseberrydock.memory_account import Claim, ClaimKind, MemoryAccount, Shortage
from gooseberrydock.rejections import RejectionLog
from gooseberrydock.stream import Stream

_CONNECTION_IDS = itertools.count(1)
_CLOCK: Final = system_clock()
_BODY_COPIES: Final = 4
"""Copies of a body on its way to a target: as received, as a request, as a message, unsent."""
_MAX_UNPARSED_BYTES: Final = 64 * 1024
"""Bytes after a pending request above which the connection is not read."""
_MAX_UNREAD_BYTES: Final = 256 * 1024
"""Bytes of answers that the caller has not read above which the connection is not read."""
_OVERSIZE_STATUS: Final = 431
"""Status that ``h11`` suggests for a request head above its size limit."""


@attrs.define(eq=False)
class HttpConnection:
    """Server side of one connection, which handles one request at a time."""

    _stream: Stream
    _on_request: "RequestHandler"
    _on_disconnect: "DisconnectHandler"
    _max_body_bytes: int
    _is_closing: Callable[[], bool]
    _connection_id: int = attrs.field(factory=lambda: next(_CONNECTION_IDS))
    _h11: h11.Connection = attrs.field(init=False)
    _head: h11.Request | None = None
    _body: bytearray = attrs.field(factory=bytearray)
    _is_request_pending: bool = False
    _read_deadline: float = math.inf
    _request_tag: int = 0
    _waiting_since: Millis = attrs.field(factory=_CLOCK.now_ms)
    _account: MemoryAccount | None = None
    _rejections: RejectionLog | None = None
    _claim: Claim | None = None
    _held_bytes: int = 0
    _unparsed_bytes: int = 0
    _resumed: trio.Event = attrs.field(factory=trio.Event)

    @_h11.default
    def _create_h11(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=defaults.MAX_HEADER_BYTES)

    @property
    def connection_id(self) -> int:
        """Return a number that is unique within the process."""
        return self._connection_id

    @property
    def peer_host(self) -> str:
        """Return the caller's IP address."""
        return self._stream.peer_host

    @property
    def request_tag(self) -> int:
        """Return the number that the handler assigned to the pending request."""
        return self._request_tag

    @request_tag.setter
    def request_tag(self, value: int) -> None:
        self._request_tag = value

    @property
    def is_idle(self) -> bool:
        """Return whether everything that was read has been answered."""
        has_begun = self._head is not None or bool(self._h11.trailing_data[0])
        return not self._is_request_pending and not has_begun

    @property
    def activity(self) -> Activity:
        """Return what the connection does."""
        if self._is_request_pending:
            return Activity.SERVING
        if self._stream.unsent_bytes:
            return Activity.SENDING
        if self._stream.is_finishing:
            return Activity.CLOSING
        return Activity.READING_BODY if self._head is not None else Activity.WAITING_FOR_REQUEST

    @property
    def active_since(self) -> Millis:
        """Return since when the connection waits for its caller."""
        return self._waiting_since

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that were not read yet."""
        return self._stream.has_unread_bytes

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()
        self._resumed.set()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in flight or has reached the socket."""
        if self.is_idle and not self._stream.has_unread_bytes:
            self._stream.finish()

    async def run(self) -> None:
        """Read until the caller or this side closes the connection."""
        self._stream.on_drained = self._resume
        try:
            while not self._stream.is_closed:
                data = await self._receive()
                if self._stream.is_finishing or not self._feed(data):
                    return
                while self._must_wait and not self._stream.is_closed:
                    await self._wait_until_read()
        finally:
            self._stream.on_drained = None
            if self._is_request_pending:
                self._on_disconnect(self)
            self._release_memory()

    @property
    def _must_wait(self) -> bool:
        return (
            (self._claim is not None and self._claim.is_waiting)
            or self._unparsed_bytes > _MAX_UNPARSED_BYTES
            or self._stream.unsent_bytes > _MAX_UNREAD_BYTES
        )

    async def _wait_until_read(self) -> None:
        """Wait while the connection must not be read; close it if its caller reads nothing."""
        unsent_bytes = self._stream.unsent_bytes
        self._resumed = trio.Event()
        with trio.move_on_after(defaults.REQUEST_READ_TIMEOUT_MS / MS_PER_SECOND) as scope:
            await self._resumed.wait()
        is_stuck = unsent_bytes > _MAX_UNREAD_BYTES and self._stream.unsent_bytes >= unsent_bytes
        if scope.cancelled_caught and is_stuck:
            if self._rejections is not None:
                self._rejections.on_unread_closed(self.peer_host, unsent_bytes)
            self._stream.close()

    def _resume(self) -> None:
        self._resumed.set()

    async def _receive(self) -> bytes:
        """Return the next bytes; reject a request that is not complete before its read timeout."""
        if self._is_request_pending or self.is_idle or self._stream.is_finishing:
            self._read_deadline = math.inf
            return await self._stream.receive()
        if self._read_deadline == math.inf:
            timeout_s = defaults.REQUEST_READ_TIMEOUT_MS / MS_PER_SECOND
            self._read_deadline = trio.current_time() + timeout_s
        with trio.move_on_at(self._read_deadline):
            return await self._stream.receive()
        self._reject(SLOW_REQUEST)
        return await self._stream.receive()

    def _feed(self, data: bytes) -> bool:
        """Parse bytes; return whether the connection stays open."""
        try:
            self._h11.receive_data(data)
            if self._is_request_pending:
                self._unparsed_bytes += len(data)
            else:
                self._parse()
                self._reserve_body()
            return bool(data) and not self._stream.is_closed
        except h11.RemoteProtocolError as error:
            self._reject(_protocol_error_code(error), str(error))
        except GooseberrydockError as error:
            self._reject(error.code, error.detail)
        return bool(data) and not self._stream.is_closed

    def _parse(self) -> None:
        """Parse the received bytes and dispatch a request once it is complete."""
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._begin_request(event)
            elif isinstance(event, h11.Data):
                self._add_to_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch_request()
                return
            elif isinstance(event, h11.ConnectionClosed):
                self._stream.close()
                return

    def _begin_request(self, head: h11.Request) -> None:
        self._head = head
        self._body = bytearray()
        announced = _announced_size(head)
        if announced is not None and announced > self._max_body_bytes:
            raise self._oversize()
        if self._h11.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self._stream.send(self._h11.send(continue_response) or b"")

    def _add_to_body(self, data: bytes | bytearray) -> None:
        self._body += data
        if len(self._body) > self._max_body_bytes:
            raise self._oversize()

    def _oversize(self) -> GooseberrydockError:
        detail = f"the body exceeds {self._max_body_bytes} bytes"
        return GooseberrydockError(OVERSIZE_REQUEST, Step.ENTRY, self.peer_host, detail)

    def _reserve_body(self) -> None:
        """Reserve the memory of a body that has begun to arrive."""
        head, account, now_ms = self._head, self._account, _CLOCK.now_ms()
        if head is None or account is None or self._is_request_pending:
            return
        if self._claim is None:
            self._claim = account.open_claim(
                now_ms, ClaimKind.REQUEST, self._resume, self._refuse_incomplete
            )
        self._claim.on_progress(now_ms, len(self._body))
        announced = _announced_size(head)
        if announced is not None:
            self._claim.reserve(now_ms, announced * _BODY_COPIES)
        else:
            received, max_bytes = len(self._body), self._max_body_bytes
            self._claim.reserve_growth(now_ms, received * _BODY_COPIES, max_bytes * _BODY_COPIES)

    def _refuse_incomplete(self, reason: Shortage) -> None:
        """Refuse the request in progress, which was not passed to the handler."""
        self._claim = None
        self._reject(MEMORY_SHORT, reason.value)
        self._resume()

    def _hold_request(self) -> None:
        """Charge a complete request until it is answered."""
        self._held_bytes = len(self._body) * _BODY_COPIES
        if self._claim is not None:
            claim, self._claim = self._claim, None
            claim.complete(self._held_bytes)
        elif self._account is not None:
            self._account.charge(self._held_bytes)

    def _release_memory(self) -> None:
        """Give back the memory of the request in progress or of the pending one."""
        self._body = bytearray()
        if self._claim is not None:
            claim, self._claim = self._claim, None
            claim.release()
        if self._account is not None:
            self._account.charge(-self._held_bytes)
        self._held_bytes = 0

    def _dispatch_request(self) -> None:
        head = self._head
        if head is None:
            return
        headers: Headers = list(head.headers)
        self._is_request_pending = True
        self._hold_request()
        request = HttpRequest(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            headers,
            bytes(self._body),
        )
        self._body = bytearray()
        self._on_request(self, request)

    def respond(self, response: HttpResponse) -> None:
        """Answer the pending request and parse the next one."""
        if not self._is_request_pending or self._stream.is_closed:
            return
        self._is_request_pending = False
        self._waiting_since = _CLOCK.now_ms()
        self._send(response)
        has_caller_ended = self._is_last_request
        self._head = None
        self._unparsed_bytes = 0
        self._release_memory()
        self._resume()
        if self._h11.our_state is h11.MUST_CLOSE:
            if has_caller_ended:
                self._stream.close_when_sent()
            else:
                self._stream.finish()
            return
        self._h11.start_next_cycle()
        if self._h11.trailing_data[0]:
            self._parse_pipelined()

    def _parse_pipelined(self) -> None:
        """Parse a request that arrived before the previous one was answered."""
        try:
            self._parse()
            self._reserve_body()
        except h11.RemoteProtocolError as error:
            self._reject(_protocol_error_code(error), str(error))
        except GooseberrydockError as error:
            self._reject(error.code, error.detail)

    def _send(self, response: HttpResponse) -> None:
        headers = [
            *response.headers,
            (b"content-length", str(len(response.body)).encode()),
        ]
        if self._is_closing():
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=response.status, headers=headers)
        data = self._h11.send(head) or b""
        is_bodiless = self._request_method == b"HEAD"
        if response.body and not is_bodiless:
            data += self._h11.send(h11.Data(data=response.body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._stream.send(data)

    @property
    def _is_last_request(self) -> bool:
        """Return whether the caller has announced that it sends nothing after this request.

        The state of the parser does not show it, as an answer with ``Connection: close`` changes
        that too.
        """
        if self._head is None:
            return False
        options = [value.lower() for name, value in self._head.headers if name == b"connection"]
        is_persistent = self._head.http_version != b"1.0"
        return not is_persistent or any(b"close" in value for value in options)

    @property
    def _request_method(self) -> bytes:
        return self._head.method if self._head is not None else b""

    def _reject(self, code: ErrorCode, detail: str = "") -> None:
        """Answer an invalid request and close the connection."""
        if self._rejections is not None:
            self._rejections.on_rejected(code, self.peer_host, detail)
        response = problem_response(code, code.outcome, Step.ENTRY.value, "", detail)
        try:
            self._is_closing = lambda: True
            self._send(response)
        except h11.LocalProtocolError:
            # The failure occurred after an answer was started, so no other answer can be sent.
            pass
        self._stream.finish()


def _announced_size(head: h11.Request) -> int | None:
    """Return the size of the body that a head announces, None if it is sent in chunks."""
    size: int | None = 0
    for name, value in head.headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            size = int(value)
    return size


def max_body_bytes(account: MemoryAccount) -> int:
    """Return the size of the longest body for which an account can ever have room."""
    return account.long_body_limit // _BODY_COPIES


def _protocol_error_code(error: h11.RemoteProtocolError) -> ErrorCode:
    is_oversize = error.error_status_hint == _OVERSIZE_STATUS
    return OVERSIZE_REQUEST if is_oversize else MALFORMED_REQUEST


RequestHandler = Callable[[HttpConnection, HttpRequest], None]
DisconnectHandler = Callable[[HttpConnection], None]


def ignore_disconnect(connection: HttpConnection) -> None:
    """Do nothing when a caller closes its connection."""


def never_closing() -> bool:
    """Return false, so that connections are kept open."""
    return False


async def serve_http(
    stream: Stream,
    on_request: RequestHandler,
    on_disconnect: DisconnectHandler = ignore_disconnect,
    max_body_bytes: int = defaults.MAX_BODY_BYTES,
    is_closing: Callable[[], bool] = never_closing,
    limit: ConnectionLimit | None = None,
    account: MemoryAccount | None = None,
) -> None:
    """Serve HTTP on one accepted stream until it ends.

    While ``is_closing`` returns true, each answer carries ``Connection: close``, so that the caller
    opens a new connection.
    """
    connection = HttpConnection(
        stream, on_request, on_disconnect, max_body_bytes, is_closing, account=account
    )
    await run_limited(connection, limit)


async def run_limited(connection: HttpConnection, limit: ConnectionLimit | None) -> None:
    """Serve a connection that counts towards a limit."""
    if limit is None:
        await connection.run()
        return
    if limit.add(_CLOCK.now_ms(), connection):
        log(CONNECTIONS_LIMITED, open=limit.open, closed=limit.closed)
    try:
        await connection.run()
    finally:
        limit.remove(connection)
