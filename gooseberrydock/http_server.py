"""HTTP/1.1 towards callers, local targets and operators, by ``h11`` over non-blocking streams.

The task that reads a connection hands whole requests to a handler. The handler answers now or
later by ``HttpConnection.respond``; the answer is written by whoever calls it, so that no task
needs to be woken. While an answer is pending the task goes on reading, and so notices callers
that go away.
"""

import itertools
import math
from collections.abc import Callable
from typing import Final

import attrs
import h11
import trio

from gooseberrydock import defaults
from gooseberrydock.clock import MS_PER_SECOND
from gooseberrydock.errorcodes import (
    MALFORMED_REQUEST,
    OVERSIZE_REQUEST,
    SLOW_REQUEST,
    ErrorCode,
)
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.http_messages import Headers, HttpRequest, HttpResponse, problem_response
from gooseberrydock.stream import Stream

_SERIALS = itertools.count(1)
_OVERSIZE_STATUS: Final = 431


@attrs.define(eq=False)
class HttpConnection:
    """Serve the requests of one connection, one after the other."""

    _stream: Stream
    _on_request: "RequestHandler"
    _on_gone: "DisconnectHandler"
    _max_body: int
    _is_closing: Callable[[], bool]
    _serial: int = attrs.field(factory=lambda: next(_SERIALS))
    _h11: h11.Connection = attrs.field(init=False)
    _head: h11.Request | None = None
    _body: bytearray = attrs.field(factory=bytearray)
    _is_pending: bool = False
    _read_deadline: float = math.inf
    _tag: int = 0

    @_h11.default
    def _create_h11(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=defaults.MAX_HEADER_BYTES)

    @property
    def connection_id(self) -> int:
        """Return a number that no other connection of the process has."""
        return self._serial

    @property
    def peer_host(self) -> str:
        """Return the caller's IP address."""
        return self._stream.peer_host

    @property
    def request_tag(self) -> int:
        """Return the handler's own mark for the pending request."""
        return self._tag

    @request_tag.setter
    def request_tag(self, value: int) -> None:
        self._tag = value

    async def run(self) -> None:
        """Read until the caller or this side closes the connection."""
        try:
            while not self._stream.is_closed:
                data = await self._receive()
                if data is None or not self._feed(data):
                    return
        finally:
            if self._is_pending:
                self._on_gone(self)

    async def _receive(self) -> bytes | None:
        """Return the next bytes; a request that has begun must be whole in time."""
        has_begun = self._head is not None or bool(self._h11.trailing_data[0])
        if self._is_pending or not has_begun:
            self._read_deadline = math.inf
            return await self._stream.receive()
        if self._read_deadline == math.inf:
            timeout_s = defaults.REQUEST_READ_TIMEOUT_MS / MS_PER_SECOND
            self._read_deadline = trio.current_time() + timeout_s
        with trio.move_on_at(self._read_deadline):
            return await self._stream.receive()
        self._reject(SLOW_REQUEST)
        return None

    def _feed(self, data: bytes) -> bool:
        """Parse bytes; say whether the connection goes on."""
        try:
            self._h11.receive_data(data)
            if not self._is_pending:
                self._parse()
            return bool(data) and not self._stream.is_closed
        except h11.RemoteProtocolError as error:
            too_large = error.error_status_hint == _OVERSIZE_STATUS
            self._reject(OVERSIZE_REQUEST if too_large else MALFORMED_REQUEST, str(error))
        except GooseberrydockError as error:
            self._reject(error.code, error.detail)
        return False

    def _parse(self) -> None:
        """Hand on a request once it is complete."""
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._begin(event)
            elif isinstance(event, h11.Data):
                self._extend(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._hand_on()
                return
            elif isinstance(event, h11.ConnectionClosed):
                self._stream.close()
                return

    def _begin(self, head: h11.Request) -> None:
        self._head = head
        self._body = bytearray()
        if self._h11.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._stream.send(self._h11.send(go_on) or b"")

    def _extend(self, data: bytes | bytearray) -> None:
        self._body += data
        if len(self._body) > self._max_body:
            detail = f"more than {self._max_body} bytes"
            raise GooseberrydockError(OVERSIZE_REQUEST, Step.ENTRY, self.peer_host, detail)

    def _hand_on(self) -> None:
        head = self._head
        if head is None:
            return
        headers: Headers = list(head.headers)
        self._is_pending = True
        request = HttpRequest(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            headers,
            bytes(self._body),
        )
        self._on_request(self, request)

    def respond(self, response: HttpResponse) -> None:
        """Answer the pending request and take up the next one."""
        if not self._is_pending or self._stream.is_closed:
            return
        self._is_pending = False
        self._head = None
        self._send(response)
        if self._h11.our_state is h11.MUST_CLOSE:
            self._stream.close_when_sent()
            return
        self._h11.start_next_cycle()
        if self._h11.trailing_data[0]:
            self._feed_again()

    def _feed_again(self) -> None:
        """Parse a request that arrived before the last one was answered."""
        try:
            self._parse()
        except (h11.RemoteProtocolError, GooseberrydockError) as error:
            self._reject(MALFORMED_REQUEST, str(error))

    def _send(self, response: HttpResponse) -> None:
        headers = [
            *response.headers,
            (b"content-length", str(len(response.body)).encode()),
        ]
        if self._is_closing():
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=response.status, headers=headers)
        data = self._h11.send(head) or b""
        is_bodyless = self._head_method == b"HEAD"
        if response.body and not is_bodyless:
            data += self._h11.send(h11.Data(data=response.body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._stream.send(data)

    @property
    def _head_method(self) -> bytes:
        return self._head.method if self._head is not None else b""

    def _reject(self, code: ErrorCode, detail: str = "") -> None:
        """Answer an invalid request and close the connection."""
        response = problem_response(code, code.outcome, Step.ENTRY.value, "", detail)
        try:
            self._is_closing = lambda: True
            self._send(response)
        except h11.LocalProtocolError:
            # The failure came after an answer had begun, so that none can be sent any more.
            pass
        self._stream.close_when_sent()


RequestHandler = Callable[[HttpConnection, HttpRequest], None]
DisconnectHandler = Callable[[HttpConnection], None]


def ignore_disconnect(connection: HttpConnection) -> None:
    """Do nothing when a caller closes its connection."""


def never_closing() -> bool:
    """Say that connections are kept open."""
    return False


async def serve_http(
    stream: Stream,
    on_request: RequestHandler,
    on_disconnect: DisconnectHandler = ignore_disconnect,
    max_body: int = defaults.MAX_BODY_BYTES,
    is_closing: Callable[[], bool] = never_closing,
) -> None:
    """Serve HTTP on one accepted stream until it ends.

    While ``is_closing`` says so, each answer asks the caller to open a new connection.
    """
    await HttpConnection(stream, on_request, on_disconnect, max_body, is_closing).run()
