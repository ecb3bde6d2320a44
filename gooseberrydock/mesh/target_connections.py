"""Manage the connections to the target on this node's host, with one request at a time on each.

A connection is reused only after the whole request was sent and exactly one complete answer
arrived with no unread data after it, and only within the keep-alive timeout that the target states.
"""

import re
from collections.abc import Callable
from typing import Final, Protocol

import attrs
import trio

from gooseberrydock import defaults
from gooseberrydock.clock import Clock, Millis
from gooseberrydock.errorcodes import (
    TARGET_LOST,
    TARGET_OVERSIZE,
    TARGET_UNREACHABLE,
    ErrorCode,
)
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.http_messages import HttpResponse, header_value
from gooseberrydock.http_parsing import ResponseReader
from gooseberrydock.logs import log_and_suppress_errors
from gooseberrydock.members import Address
from gooseberrydock.memory_account import (
    SHORT_BODY_BYTES,
    Claim,
    ClaimKind,
    MemoryAccount,
    Shortage,
)
from gooseberrydock.mesh.body_transfer import RelayedBody
from gooseberrydock.stream import Stream, connect

_MAX_HEADER_BYTES: Final = 64 * 1024
_MAX_ANSWER_BYTES: Final = defaults.MAX_PEER_MESSAGE_BYTES - _MAX_HEADER_BYTES
"""The largest answer; a target in trouble may send without end."""
_DEFAULT_IDLE_MS: Final[Millis] = 4_000.0
"""Time for which an idle connection is kept if the target states no keep-alive timeout."""
_IDLE_MARGIN_MS: Final[Millis] = 1_000.0
"""Time before the end of the keep-alive timeout from which a connection is not reused."""
_MAX_NON_IDEMPOTENT_IDLE_MS: Final[Millis] = 500.0
"""Longest idle time after which a connection is reused for a request that must not be retried."""
_CONNECT_TIMEOUT_MS: Final[Millis] = 1_000.0
"""The target is on this host, so a connection that takes longer will not be established."""
_FIRST_ERROR: Final = 400
_KEEP_ALIVE_TIMEOUT_PATTERN: Final = re.compile(r"timeout\s*=\s*(\d+)")


class RunObserver(Protocol):
    """Receive the outcome of one request to the target."""

    def accepts(self, response: HttpResponse) -> bool:
        """Return whether a response belongs to this request."""

    def on_response(self, response: HttpResponse) -> None:
        """Receive the complete answer."""

    def on_failure(self, code: ErrorCode, was_sent: bool) -> None:
        """Record that no complete answer will arrive."""


@attrs.define(eq=False)
class TargetConnection:
    """Connection to the target."""

    _stream: Stream
    _clock: Clock
    _on_idle: Callable[["TargetConnection"], None]
    _account: MemoryAccount
    _reader: ResponseReader = attrs.field(
        factory=lambda: ResponseReader(_MAX_HEADER_BYTES, _MAX_ANSWER_BYTES)
    )
    _observer: RunObserver | None = None
    _body: RelayedBody | None = None
    _is_reusable: bool = True
    _usable_until: Millis = 0.0
    _used_at: Millis = 0.0
    _claim: Claim | None = None
    _has_room: trio.Event = attrs.field(factory=trio.Event)

    @property
    def is_closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._stream.is_closed

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that belong to no request, or the target has closed."""
        return self._stream.has_unread_bytes

    @property
    def usable_until(self) -> Millis:
        """Return the time until which the target keeps the idle connection, less a margin."""
        return self._usable_until

    @property
    def used_at(self) -> Millis:
        """Return the time of the last answer."""
        return self._used_at

    def start(self, data: bytes, observer: RunObserver, body: RelayedBody | None = None) -> None:
        """Send a request; a body given apart is sent as it arrives."""
        self._observer = observer
        self._body = body
        self._stream.send(data)
        if body is not None:
            body.start(self._stream)

    def abort(self) -> None:
        """Close the connection and abort its current request without notifying the observer."""
        self._observer = None
        self._stream.close()
        self._resume()

    async def run(self) -> None:
        """Read until either side closes the connection."""
        stream = self._stream
        try:
            while data := await stream.receive():
                if not self._feed(data):
                    break
                while self._claim is not None and self._claim.is_waiting and not self.is_closed:
                    # The rest of the answer stays in the sockets until there is room for it.
                    self._has_room = trio.Event()
                    await self._has_room.wait()
            else:
                self._on_stream_end()
        finally:
            self._release_claim()
            self._reader.discard()
        stream.close()

    def _reserve_answer(self) -> None:
        """Reserve memory for the rest of a long answer that has begun to arrive."""
        now_ms = self._clock.now_ms()
        received, announced = self._reader.pending_body_bytes, self._reader.announced_body_bytes
        if max(received, announced or 0) <= SHORT_BODY_BYTES:
            return
        if self._claim is None:
            self._claim = self._account.open_claim(
                now_ms, ClaimKind.ANSWER, self._resume, self._give_up_answer
            )
        if announced is not None:
            max_size = min(_MAX_ANSWER_BYTES, self._account.long_answer_limit)
            self._claim.reserve(now_ms, min(announced, max_size))
        else:
            self._claim.reserve_growth(now_ms, received, _MAX_ANSWER_BYTES)

    def _resume(self) -> None:
        self._has_room.set()

    def _give_up_answer(self, reason: Shortage) -> None:
        self._claim = None
        self._fail(TARGET_OVERSIZE)
        self._resume()

    def _release_claim(self) -> None:
        if self._claim is not None:
            claim, self._claim = self._claim, None
            claim.release()

    def _feed(self, data: bytes) -> bool:
        """Parse bytes; return whether the connection stays open."""
        if self._observer is None:
            # No request is in progress, so the bytes belong to none.
            return False
        try:
            complete = self._reader.feed(data)
        except GooseberrydockError as error:
            self._fail(error.code)
            return False
        if complete:
            self._release_claim()
        if self._reader.pending_body_bytes:
            self._reserve_answer()
        for response in complete:
            if self._observer is not None and self._observer.accepts(response):
                self._finish(response, is_only_answer=len(complete) == 1)
            else:
                self._is_reusable = False
        return self._observer is not None or self._is_reusable

    def _has_read_request(self, response: HttpResponse) -> bool:
        """Return whether the target has read the whole request.

        It may reject a long one before that, and the next request would wait behind the rest, which
        may lie in the buffers of the sockets.
        """
        if self._stream.has_unsent_bytes:
            return False
        return self._body is None or (self._body.is_complete and response.status < _FIRST_ERROR)

    def _finish(self, response: HttpResponse, is_only_answer: bool) -> None:
        observer, self._observer = self._observer, None
        now_ms = self._clock.now_ms()
        self._is_reusable = (
            self._is_reusable
            and is_only_answer
            and not self._reader.has_invalid_data
            and self._reader.is_between_messages
            and self._has_read_request(response)
            and header_value(response.headers, b"connection").lower() != "close"
        )
        if self._is_reusable:
            self._used_at = now_ms
            self._usable_until = now_ms + _idle_timeout(response)
            self._on_idle(self)
        if self._body is not None:
            self._body.end()
            self._body = None
        if observer is not None:
            observer.on_response(response)

    def _on_stream_end(self) -> None:
        """Complete or fail the request after the target closed the connection."""
        if self._observer is None:
            return
        if self._reader.is_between_messages or not self._stream.has_ended_orderly:
            self._fail(TARGET_LOST)
            return
        try:
            response = self._reader.finish()
        except GooseberrydockError as error:
            self._fail(error.code)
            return
        if self._observer.accepts(response):
            observer, self._observer = self._observer, None
            observer.on_response(response)
        else:
            self._fail(TARGET_LOST)

    def fail_pending(self) -> None:
        """Report the request in progress as lost, if an error ended its connection."""
        self._fail(TARGET_LOST)

    def _fail(self, code: ErrorCode) -> None:
        observer, self._observer = self._observer, None
        self._stream.close()
        if observer is not None:
            observer.on_failure(code, was_sent=True)


@attrs.define(eq=False)
class PendingRun:
    """Handle of a request that was passed to the pool and may be aborted."""

    connection: TargetConnection | None = None
    is_aborted: bool = False

    def abort(self) -> None:
        """Abort the request without notifying its observer."""
        self.is_aborted = True
        if self.connection is not None:
            self.connection.abort()


@attrs.define(eq=False)
class TargetPool:
    """Pool of connections to the target, which opens more as needed."""

    _address: Address
    _nursery: trio.Nursery
    _clock: Clock
    _account: MemoryAccount
    _idle: list[TargetConnection] = attrs.field(factory=list)
    _open: int = 0
    _opened: int = 0

    @property
    def address(self) -> Address:
        """Return the address of the target."""
        return self._address

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return self._open

    @property
    def opened(self) -> int:
        """Return the number of connections opened so far."""
        return self._opened

    def start(
        self,
        data: bytes,
        observer: RunObserver,
        is_idempotent: bool,
        body: RelayedBody | None = None,
    ) -> PendingRun:
        """Send a request on the most recently used idle connection, or on a new one."""
        pending = PendingRun()
        connection = self._take_idle(is_idempotent)
        if connection is not None:
            pending.connection = connection
            try:
                connection.start(data, observer, body)
            except Exception:
                connection.abort()
                raise
        else:
            self._nursery.start_soon(self._start_on_new_connection, pending, data, observer, body)
        return pending

    def _return_to_idle(self, connection: TargetConnection) -> None:
        self._idle.append(connection)

    def check(self, on_unreachable: Callable[[], None]) -> None:
        """Find out whether the target accepts a connection, and report if it does not."""
        self._nursery.start_soon(self._check, on_unreachable)

    async def _check(self, on_unreachable: Callable[[], None]) -> None:
        with log_and_suppress_errors(str(self._address)):
            stream = await connect(self._address, self._nursery, _CONNECT_TIMEOUT_MS, is_local=True)
            if stream is not None:
                stream.close()
            else:
                on_unreachable()

    def close_idle(self) -> None:
        """Close all idle connections, as they may lead to another instance."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def close_expired(self) -> None:
        """Close idle connections that are no longer usable, and forget closed ones."""
        now_ms = self._clock.now_ms()
        kept = [item for item in self._idle if not item.is_closed and item.usable_until > now_ms]
        dropped = [item for item in self._idle if item.usable_until <= now_ms]
        self._idle = kept
        for connection in dropped:
            connection.abort()

    def _take_idle(self, is_idempotent: bool) -> TargetConnection | None:
        now_ms = self._clock.now_ms()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_closed or connection.usable_until <= now_ms:
                connection.abort()
                continue
            if not is_idempotent and now_ms - connection.used_at > _MAX_NON_IDEMPOTENT_IDLE_MS:
                # The target may be closing the connection, which leaves unknown whether the request
                # has run.
                self._idle.append(connection)
                return None
            if connection.has_unread_bytes:
                connection.abort()
                continue
            return connection
        return None

    async def _start_on_new_connection(
        self, pending: PendingRun, data: bytes, observer: RunObserver, body: RelayedBody | None
    ) -> None:
        """Open a connection, send the request on it, and read from it until it closes."""
        with log_and_suppress_errors(str(self._address)):
            connection = await self._open_connection(pending, observer)
            if connection is None:
                return
            try:
                connection.start(data, observer, body)
                # This task must not keep the request for as long as the connection is open.
                del pending, data, observer, body
                await connection.run()
            except Exception:
                connection.fail_pending()
                raise
            finally:
                self._open -= 1
                connection.abort()

    async def _open_connection(
        self, pending: PendingRun, observer: RunObserver
    ) -> TargetConnection | None:
        """Open a connection; return None if its request was aborted, or has failed without one."""
        stream = await connect(
            self._address, self._nursery, _CONNECT_TIMEOUT_MS, is_local=True, account=self._account
        )
        if stream is None:
            if not pending.is_aborted:
                observer.on_failure(TARGET_UNREACHABLE, was_sent=False)
            return None
        if pending.is_aborted:
            stream.close()
            return None
        connection = TargetConnection(stream, self._clock, self._return_to_idle, self._account)
        pending.connection = connection
        self._open += 1
        self._opened += 1
        return connection


def _idle_timeout(response: HttpResponse) -> Millis:
    """Return how long a connection may stay idle, according to the target's keep-alive header."""
    match = _KEEP_ALIVE_TIMEOUT_PATTERN.search(header_value(response.headers, b"keep-alive"))
    if match is None:
        return _DEFAULT_IDLE_MS
    return max(0.0, float(match.group(1)) * 1_000.0 - _IDLE_MARGIN_MS)
