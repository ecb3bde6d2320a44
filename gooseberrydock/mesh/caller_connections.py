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

from gooseberrydock import defaults
from gooseberrydock.clock import Clock, Millis
from gooseberrydock.connection_limit import Activity
from gooseberrydock.errorcodes import MEMORY_SHORT, SLOW_REQUEST
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
from gooseberrydock.memory_account import (
    LONG_RECEIVE_BUFFER_BYTES,
    RECEIVE_BUFFER_BYTES,
    SHORT_BODY_BYTES,
    Claim,
    ClaimKind,
    MemoryAccount,
    Shortage,
)
from gooseberrydock.mesh.exchange import Exchange
from gooseberrydock.mesh.model import CallerLimits
from gooseberrydock.rejections import RejectionLog
from gooseberrydock.stream import Stream

_CLOSE_HEADER: Final = b"connection: close\r\n"
_MAX_CONCURRENT_REQUESTS: Final = 8
"""Requests of one connection that run at the same time."""
_MAX_QUEUED_REQUESTS: Final = 64
"""Unanswered requests of one connection above which it is not read."""
_MAX_QUEUED_BYTES: Final = 1024 * 1024
"""Bytes of these requests above which the connection is not read."""
_MAX_UNREAD_BYTES: Final = 256 * 1024
"""Bytes of answers that the caller has not read above which no further request is started."""
_REQUEST_BYTES: Final = 4 * 1024
"""Memory of a request besides its head and body."""


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
    _held_bytes: int
    _is_started: bool = False
    _exchange: Exchange | None = None
    _response: HttpResponse | None = None

    @property
    def request(self) -> HttpRequest:
        """Return the request."""
        return self._request

    @property
    def held_bytes(self) -> int:
        """Return the memory that the request and its response are charged with."""
        return self._held_bytes

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
            self._held_bytes += self._connection.charge(response)
            self._connection.advance()

    def detach(self) -> None:
        """Release the exchange, which refers to this request."""
        self._exchange = None


@attrs.define(eq=False)
class CallerConnection:
    """Serve the requests of one connection."""

    _stream: Stream
    _sink: RequestSink
    _reader: RequestReader
    _clock: Clock
    _account: MemoryAccount
    _is_stopping: Callable[[], bool]
    _body_timeout_ms: Millis = defaults.BODY_TIMEOUT_MS
    _rejections: RejectionLog = attrs.field(factory=RejectionLog)
    _claim: Claim | None = None
    _requests: deque[CallerRequest] = attrs.field(factory=deque)
    _queued_bytes: int = 0
    _rejection: HttpResponse | None = None
    _is_advancing: bool = False
    _has_room: trio.Event = attrs.field(factory=trio.Event)
    _last_active_at: Millis = 0.0
    _message_began_at: Millis = 0.0
    _is_message_timed: bool = False
    _is_paused: bool = False
    _unread_bytes: int = 0
    _unread_since: Millis = 0.0

    @property
    def is_idle(self) -> bool:
        """Return whether everything that was read has been answered."""
        return not self._requests and self._reader.is_between_messages

    async def run(self) -> None:
        """Read until the caller or this node closes the connection."""
        stream = self._stream
        stream.on_drained = self.advance
        self._last_active_at = self._unread_since = self._clock.now_ms()
        try:
            while data := await stream.receive():
                self._last_active_at = self._clock.now_ms()
                if not self._feed(data):
                    return
                if self._must_wait:
                    await self._wait_until_read()
        finally:
            stream.on_drained = None
            self._release_incomplete()
            self._cancel_requests()

    async def _wait_until_read(self) -> None:
        """Wait while the connection must not be read; what arrives is left to its socket."""
        # A body that waits for memory is charged with its buffer already.
        buffer_bytes = RECEIVE_BUFFER_BYTES if self._is_full else 0
        self._account.charge(buffer_bytes)
        self._pause_claim(True)
        self._is_paused = True
        try:
            while self._must_wait and not self._stream.is_closed:
                self._has_room = trio.Event()
                await self._has_room.wait()
        finally:
            self._pause_claim(False)
            # The time in which the connection was not read is not its caller's.
            self._is_paused = False
            self._message_began_at = self._clock.now_ms()
            self._account.charge(-buffer_bytes)

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
        self._has_room.set()

    def charge(self, response: HttpResponse) -> int:
        """Charge the memory of a response until it is written; return its size."""
        self._account.charge(response.body_bytes)
        return response.body_bytes

    def unread_answers(self, now_ms: Millis) -> tuple[int, Millis]:
        """Return the bytes of answers that wait for the caller, and for how long it reads none."""
        unread_bytes = self._stream.unsent_bytes
        if unread_bytes != self._unread_bytes or not unread_bytes:
            self._unread_bytes, self._unread_since = unread_bytes, now_ms
        return unread_bytes, now_ms - self._unread_since

    @property
    def activity(self) -> Activity:
        """Return what the connection does."""
        if self._requests:
            return Activity.SERVING
        if self._stream.unsent_bytes:
            return Activity.SENDING
        if self._stream.is_finishing:
            return Activity.CLOSING
        is_in_body = not self._reader.is_between_messages and not self._reader.is_in_head
        return Activity.READING_BODY if is_in_body else Activity.WAITING_FOR_REQUEST

    @property
    def active_since(self) -> Millis:
        """Return since when the connection waits for its caller."""
        if self.activity is Activity.SENDING:
            return self._unread_since
        return self._message_began_at if self._is_message_timed else self._last_active_at

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that were not read yet."""
        return self._stream.has_unread_bytes

    def close(self) -> None:
        """Close the connection, which cancels its requests."""
        self._stream.close()
        self._has_room.set()

    def close_unread(self) -> None:
        """Close the connection because its caller does not read its answers."""
        self._rejections.on_unread_closed(self._stream.peer_host, self._stream.unsent_bytes)
        self.close()

    def close_if_timed_out(self, now_ms: Millis, limits: CallerLimits) -> None:
        """Close the connection if its caller is too slow or has been idle for too long."""
        if self.unread_answers(now_ms)[1] > limits.idle_timeout_ms:
            self.close_unread()
        if self._requests or self._is_paused:
            return
        idle_ms = now_ms - self._last_active_at
        message_ms = now_ms - self._message_began_at if self._is_message_timed else 0.0
        is_head_late = self._reader.is_in_head and message_ms > limits.header_timeout_ms
        if is_head_late or message_ms > self._body_timeout_ms:
            if self._rejection is not None or self._stream.has_unread_bytes:
                # What has arrived is read first; this process may have been paused.
                return
            self._reject(GooseberrydockError(SLOW_REQUEST, Step.ENTRY, self._stream.peer_host))
        elif idle_ms > limits.idle_timeout_ms and not self._stream.unsent_bytes:
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
        if len(self._requests) < 2:
            # The connection is read beside a single request, to detect that its caller leaves.
            return False
        return (
            len(self._requests) >= _MAX_QUEUED_REQUESTS
            or self._queued_bytes > _MAX_QUEUED_BYTES
            or self._account.is_short
        )

    @property
    def _must_wait(self) -> bool:
        is_waiting = self._claim is not None and self._claim.is_waiting
        return (self._is_full or is_waiting) and self._rejection is None

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
            self._enqueue(request)
        if self._reader.error is not None:
            self._reject(self._reader.error)
        if self._reader.is_between_messages:
            self._is_message_timed = False
        elif self._rejection is None:
            self._track_incomplete(bool(complete))
        if complete:
            self.advance()
        return not self._stream.is_closed

    def _enqueue(self, request: HttpRequest) -> None:
        held_bytes = _memory_of(request)
        self._queued_bytes += held_bytes
        if self._claim is not None:
            claim, self._claim = self._claim, None
            self._stream.set_long_receive_buffer(False)
            claim.complete(held_bytes)
        else:
            self._account.charge(held_bytes)
        self._requests.append(CallerRequest(self, request, held_bytes))

    def _track_incomplete(self, is_new: bool) -> None:
        """Note when the message in progress began, and reserve the memory of its body."""
        now_ms = self._last_active_at
        if is_new or not self._is_message_timed:
            self._message_began_at = now_ms
            self._is_message_timed = True
        if self._reader.is_in_head:
            return
        if self._claim is None:
            self._claim = self._account.open_claim(
                now_ms, ClaimKind.REQUEST, self._resume, self._refuse_incomplete
            )
        received, announced = self._reader.pending_body_bytes, self._reader.announced_body_bytes
        self._claim.on_progress(now_ms, received)
        if announced is not None:
            self._claim.reserve(now_ms, announced)
        else:
            # What lies unread in a long buffer is reserved as well.
            unread = LONG_RECEIVE_BUFFER_BYTES if received > SHORT_BODY_BYTES else 0
            max_bytes = min(self._reader.max_body_bytes + unread, self._account.long_body_limit)
            self._claim.reserve_growth(now_ms, received + unread, max_bytes)
        self._allow_body()

    def _allow_body(self) -> None:
        """Let the body arrive once there is memory for it."""
        claim = self._claim
        if claim is None or claim.is_waiting:
            return
        if self._reader.wants_continue:
            self._stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        is_announced = self._reader.announced_body_bytes is not None
        if claim.size > (SHORT_BODY_BYTES if is_announced else LONG_RECEIVE_BUFFER_BYTES):
            self._stream.set_long_receive_buffer(True)

    def _resume(self) -> None:
        """Read on after memory was granted."""
        self._allow_body()
        self._has_room.set()

    def _refuse_incomplete(self, reason: Shortage) -> None:
        """Refuse the request in progress, which was not passed to the node."""
        self._claim = None
        peer = self._stream.peer_host
        self._reject(GooseberrydockError(MEMORY_SHORT, Step.ENTRY, peer, reason.value))

    def _pause_claim(self, is_paused: bool) -> None:
        if self._claim is not None:
            self._claim.pause(self._clock.now_ms(), is_paused)

    def _release_incomplete(self) -> None:
        """Give up what has arrived of the message in progress."""
        self._reader.discard()
        if self._claim is not None:
            claim, self._claim = self._claim, None
            self._stream.set_long_receive_buffer(False)
            claim.release()

    def _next_to_start(self) -> CallerRequest | None:
        """Return the next request that may run beside the unanswered ones before it."""
        if self._stream.is_closed or self._stream.is_finishing:
            return None
        if self._stream.unsent_bytes > _MAX_UNREAD_BYTES:
            # The caller does not read what it has asked for.
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
            self._drop(item)
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

    def _drop(self, item: CallerRequest) -> None:
        """Give back the memory of a request that is answered or cancelled."""
        item.detach()
        self._queued_bytes -= _memory_of(item.request)
        self._account.charge(-item.held_bytes)

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
            parts.append(b"content-length: %d\r\n" % response.body_bytes)
        if is_closing:
            parts.append(_CLOSE_HEADER)
        parts.append(b"\r\n")
        if method != "HEAD":
            parts.append(response.body)
        self._stream.send(b"".join(parts))
        if method != "HEAD" and response.long_body is not None:
            for block in response.long_body.blocks:
                self._stream.send(block)

    def _reject(self, error: GooseberrydockError) -> None:
        """Respond to an invalid or incomplete request after all others, and close."""
        code = error.code
        self._rejections.on_rejected(code, self._stream.peer_host, error.detail)
        self._release_incomplete()
        self._rejection = problem_response(
            code, code.outcome, error.step.value, error.peer, error.detail
        )
        self._send_due_responses()
        self._has_room.set()

    def _cancel_requests(self) -> None:
        """Cancel the requests that have no response, since their caller has disconnected."""
        requests, self._requests = self._requests, deque()
        for item in requests:
            if item.exchange is not None:
                self._sink.on_caller_disconnected(item.exchange)
            self._drop(item)


def create_caller_connection(
    stream: Stream,
    sink: RequestSink,
    clock: Clock,
    limits: CallerLimits,
    is_stopping: Callable[[], bool],
    account: MemoryAccount,
    body_timeout_ms: Millis = defaults.BODY_TIMEOUT_MS,
    rejections: RejectionLog | None = None,
) -> CallerConnection:
    """Create the connection of one caller."""
    # A body that can never have room is refused like one above the limit.
    max_body_bytes = min(limits.max_body_bytes, account.long_body_limit)
    reader = RequestReader(limits.max_header_bytes, max_body_bytes)
    return CallerConnection(
        stream,
        sink,
        reader,
        clock,
        account,
        is_stopping,
        body_timeout_ms,
        rejections or RejectionLog(),
    )


def _memory_of(request: HttpRequest) -> int:
    return request.body_bytes + request.head_bytes + _REQUEST_BYTES
