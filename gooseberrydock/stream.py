"""Non-blocking TCP streams that write to the socket without a task switch where possible.

One task reads a stream. Any code may call ``send``, which writes directly to the socket; only the
bytes that the socket does not accept are buffered until a task flushes them. This saves a task
switch per message, which would be most of the cost of a hop.
"""

import contextlib
import errno
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

import attrs
import trio

from gooseberrydock import defaults
from gooseberrydock.clock import MS_PER_SECOND, Millis, system_clock
from gooseberrydock.events import CONNECT_FAILED, DESCRIPTORS_EXHAUSTED
from gooseberrydock.logs import RepeatedEvent, log_and_suppress_errors
from gooseberrydock.members import Address
from gooseberrydock.memory_account import (
    LONG_RECEIVE_BUFFER_BYTES,
    RECEIVE_BUFFER_BYTES,
    MemoryAccount,
)

_BACKLOG: Final = 1024
_ACCEPT_RETRY_DELAY_S: Final = 0.1
_KEEPALIVE_IDLE_S: Final = 2
_KEEPALIVE_INTERVAL_S: Final = 1
_KEEPALIVE_PROBES: Final = 3
_USER_TIMEOUT_MS: Final = 5_000
_UNSENT_BLOCK_BYTES: Final = 64 * 1024
_MAX_UNSENT_BYTES: Final = 16 * 1024 * 1024
"""Buffered bytes above which a connection is closed, because its peer does not read."""
_FINISH_TIMEOUT_MS: Final[Millis] = 1_000.0
"""Time after the end of the sent stream in which the peer has to close its side too."""


_CLOCK: Final = system_clock()
_DESCRIPTORS_EXHAUSTED: Final = RepeatedEvent(DESCRIPTORS_EXHAUSTED)
_CONNECT_FAILED: Final = RepeatedEvent(CONNECT_FAILED)


@attrs.define(eq=False)
class Stream:
    """One non-blocking TCP connection.

    What it holds unsent is charged to the account. If ``is_read_with_room`` is set, it is not read
    while the account is full. ``on_drained`` is called when the socket has accepted all bytes.
    """

    _socket: socket.socket
    _nursery: trio.Nursery
    _peer_host: str
    _account: MemoryAccount | None = None
    _is_read_with_room: bool = False
    on_drained: Callable[[], None] | None = None
    _unsent: deque[bytearray | bytes | memoryview] = attrs.field(factory=deque)
    _unsent_bytes: int = 0
    _room: trio.Event | None = None
    _has_long_buffer: bool = False
    _is_closed: bool = False
    _is_flushing: bool = False
    _closes_when_flushed: bool = False
    _is_finishing: bool = False
    _has_failed: bool = False
    _has_ended_orderly: bool = False

    @property
    def has_ended_orderly(self) -> bool:
        """Return whether the peer's orderly end was read, and no operation had failed before it."""
        return self._has_ended_orderly

    @property
    def is_closed(self) -> bool:
        """Return whether this side closed the connection, or the connection has failed."""
        return self._is_closed or self._has_failed

    @property
    def is_finishing(self) -> bool:
        """Return whether this side sends nothing more and only waits for the peer to close."""
        return self._is_finishing

    @property
    def peer_host(self) -> str:
        """Return the IP address of the other side."""
        return self._peer_host

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether bytes wait until the socket accepts them."""
        return bool(self._unsent_bytes) and not self.is_closed

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that wait until the socket accepts them."""
        return self._unsent_bytes

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether bytes or the end of the stream have arrived and were not received yet."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            self._fail()
        return True

    async def receive(self) -> bytes:
        """Return the next bytes, or ``b""`` at the end or after a failure of the connection.

        Bytes that arrived before a failure are still returned.
        """
        while not self._is_closed:
            try:
                await trio.lowlevel.wait_readable(self._socket)
                if self._is_read_with_room and not self._is_finishing:
                    await self._wait_for_room()
                data = self._socket.recv(defaults.RECEIVE_BYTES)
                if data and self._is_finishing:
                    continue
                if not data:
                    self._has_ended_orderly = not self._has_failed
                return data
            except BlockingIOError:
                continue
            except OSError:
                self._fail()
                return b""
            except trio.ClosedResourceError:
                return b""
        return b""

    def set_long_receive_buffer(self, is_long: bool) -> None:
        """Let more bytes arrive before they are read, or as few as at first."""
        if is_long == self._has_long_buffer or self.is_closed:
            return
        self._has_long_buffer = is_long
        size = LONG_RECEIVE_BUFFER_BYTES if is_long else RECEIVE_BUFFER_BYTES
        _set_receive_buffer(self._socket, size)

    async def _wait_for_room(self) -> None:
        """Wait until the account has room for what arrives."""
        account = self._account
        while account is not None and account.is_full and not self._is_closed:
            self._room = trio.Event()
            account.call_when_room(self._room.set)
            await self._room.wait()

    def send(self, data: bytes) -> None:
        """Send bytes now or once the socket accepts them."""
        if self.is_closed or self._is_finishing or not data:
            return
        if self._unsent_bytes:
            self._buffer(data)
            return
        try:
            sent = self._socket.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._fail()
            return
        if sent < len(data):
            self._buffer(data[sent:])

    def close(self) -> None:
        """Close the connection; the task that reads it receives the end of the stream."""
        if self._is_closed:
            return
        self._is_closed = True
        self._drop_unsent()
        if self._room is not None:
            self._room.set()
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()

    def close_when_sent(self) -> None:
        """Close the connection once the socket has accepted all bytes.

        Only for a peer that sends nothing more: bytes that it sent and nobody read would reset the
        connection, and the last answer with it.
        """
        if self._is_closed:
            return
        if self._unsent_bytes:
            self._closes_when_flushed = True
            return
        self._shut_down_sending()
        self.close()

    def finish(self) -> None:
        """Send the end of the stream after all bytes, and discard what the peer has still sent."""
        if self.is_closed or self._is_finishing:
            return
        self._is_finishing = True
        if not self._unsent_bytes:
            self._shut_down_sending()
            self._nursery.start_soon(self._close_if_peer_stays)

    def _fail(self) -> None:
        """Record a failure of the connection; what has arrived can still be read.

        The kernel reports a reset to one call only, and an orderly end to all later ones.
        """
        self._has_failed = True
        self._drop_unsent()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def _shut_down_sending(self) -> None:
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)

    async def _close_if_peer_stays(self) -> None:
        await trio.sleep(_FINISH_TIMEOUT_MS / MS_PER_SECOND)
        self.close()

    def _buffer(self, data: bytes) -> None:
        self._count_unsent(len(data))
        last = self._unsent[-1] if self._unsent else b""
        if isinstance(last, bytearray) and len(last) + len(data) <= _UNSENT_BLOCK_BYTES:
            last += data
        elif len(data) < _UNSENT_BLOCK_BYTES // 2:
            # Small pieces are joined, since each one costs a call of the socket.
            self._unsent.append(bytearray(data))
        else:
            self._unsent.append(data)
        if self._unsent_bytes > _MAX_UNSENT_BYTES:
            self._has_failed = True
            self.close()
            return
        if not self._is_flushing:
            self._is_flushing = True
            self._nursery.start_soon(self._flush)

    def _count_unsent(self, change: int) -> None:
        self._unsent_bytes += change
        if self._account is not None:
            self._account.charge(change)

    def _drop_unsent(self) -> None:
        self._unsent.clear()
        self._count_unsent(-self._unsent_bytes)

    def _send_first(self) -> None:
        """Send the first unsent piece, or as much of it as the socket accepts."""
        piece = self._unsent.popleft()
        try:
            sent = self._socket.send(piece)
        except BlockingIOError:
            sent = 0
        if sent < len(piece):
            self._unsent.appendleft(memoryview(piece)[sent:])
        self._count_unsent(-sent)

    async def _flush(self) -> None:
        """Send the buffered bytes as the socket accepts them."""
        try:
            while self._unsent and not self._is_closed:
                await trio.lowlevel.wait_writable(self._socket)
                if self._unsent:
                    self._send_first()
        except trio.ClosedResourceError:
            return
        except OSError:
            self._fail()
        finally:
            self._is_flushing = False
        if self.is_closed:
            return
        if self.on_drained is not None:
            with log_and_suppress_errors(self.peer_host):
                self.on_drained()
        if self._unsent:
            return
        if self._closes_when_flushed:
            self.close_when_sent()
        elif self._is_finishing:
            self._shut_down_sending()
            self._nursery.start_soon(self._close_if_peer_stays)


StreamHandler = Callable[[Stream], Awaitable[None]]


async def connect(
    address: Address,
    nursery: trio.Nursery,
    timeout_ms: Millis,
    is_local: bool = False,
    account: MemoryAccount | None = None,
) -> Stream | None:
    """Open a connection; return None if that fails or times out."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    try:
        new_socket = socket.socket(family, socket.SOCK_STREAM)
    except OSError as error:
        _DESCRIPTORS_EXHAUSTED.log(_CLOCK.now_ms(), peer=str(address), detail=str(error))
        return None
    is_connected = False
    try:
        _configure(new_socket, is_local)
        with trio.move_on_after(timeout_ms / MS_PER_SECOND):
            is_connected = await _connect_socket(new_socket, address)
    except OSError as error:
        _CONNECT_FAILED.log(_CLOCK.now_ms(), peer=str(address), detail=str(error))
    finally:
        if not is_connected:
            new_socket.close()
    return Stream(new_socket, nursery, address.host, account) if is_connected else None


async def _connect_socket(new_socket: socket.socket, address: Address) -> bool:
    error_number = new_socket.connect_ex((address.host, address.port))
    if error_number not in (0, errno.EINPROGRESS):
        return False
    await trio.lowlevel.wait_writable(new_socket)
    return new_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


@attrs.define(eq=False)
class Listener:
    """TCP listener on one address."""

    _socket: socket.socket
    _is_local: bool = False
    _account: MemoryAccount | None = None
    _is_read_with_room: bool = False
    _accept_pending: Callable[[], None] | None = None
    _open_streams: set[Stream] = attrs.field(factory=set)
    _ending_streams: list[Stream] = attrs.field(factory=list)
    _is_closed: bool = False

    @property
    def has_open_connections(self) -> bool:
        """Return whether an accepted connection is open, also if no task serves it yet."""
        return bool(self._open_streams)

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether a connection has bytes to send, also if no task serves it any more."""
        self._drop_ended_streams()
        return bool(self._ending_streams) or any(
            stream.has_unsent_bytes for stream in self._open_streams
        )

    @property
    def address(self) -> Address:
        """Return the address that the listener is bound to."""
        host, port = self._socket.getsockname()[:2]
        return Address(str(host), int(port))

    async def serve(self, handler: StreamHandler) -> None:
        """Accept connections until cancelled or closed, and handle each in its own task."""
        self._socket.listen(_BACKLOG)
        async with trio.open_nursery() as nursery:
            self._accept_pending = partial(self._accept_all, handler, nursery)
            while not self._is_closed:
                try:
                    await trio.lowlevel.wait_readable(self._socket)
                    self._accept_one(handler, nursery)
                except (BlockingIOError, ConnectionAbortedError):
                    continue
                except trio.ClosedResourceError:
                    return
                except OSError as error:
                    if self._is_closed:
                        # Another task closed it between the wake-up and the accept.
                        return
                    # No file descriptor is left; connections that end release some.
                    _DESCRIPTORS_EXHAUSTED.log(_CLOCK.now_ms(), peer="", detail=str(error))
                    await trio.sleep(_ACCEPT_RETRY_DELAY_S)

    def _accept_one(self, handler: StreamHandler, nursery: trio.Nursery) -> None:
        accepted, peer_address = self._socket.accept()
        try:
            _configure(accepted, self._is_local)
        except OSError:
            # The peer has closed the connection already.
            accepted.close()
            return
        stream = Stream(
            accepted, nursery, str(peer_address[0]), self._account, self._is_read_with_room
        )
        self._open_streams.add(stream)
        nursery.start_soon(self._handle, handler, stream)

    async def _handle(self, handler: StreamHandler, stream: Stream) -> None:
        try:
            with log_and_suppress_errors(stream.peer_host):
                await handler(stream)
        finally:
            self._open_streams.discard(stream)
            stream.close_when_sent()
            self._ending_streams.append(stream)
            self._drop_ended_streams()

    def _drop_ended_streams(self) -> None:
        self._ending_streams = [item for item in self._ending_streams if item.has_unsent_bytes]

    def _accept_all(self, handler: StreamHandler, nursery: trio.Nursery) -> None:
        """Accept the connections that the kernel has established already."""
        with contextlib.suppress(OSError):
            while True:
                self._accept_one(handler, nursery)

    def close(self) -> None:
        """Stop accepting connections; open and established ones are not affected."""
        if self._accept_pending is not None:
            self._accept_pending()
        self._is_closed = True
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()


def _configure(new_socket: socket.socket, is_local: bool) -> None:
    """Disable Nagle's algorithm, and let the kernel detect within seconds that the path is lost.

    Connections within one host have no network path to lose, and many of them carry only one
    request, for which these extra system calls cost more than reading the request.
    """
    new_socket.setblocking(False)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if is_local:
        return
    new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)


def _set_receive_buffer(own_socket: socket.socket, size: int) -> None:
    """Bound the bytes that a socket holds unread; the kernel doubles the number."""
    with contextlib.suppress(OSError):
        own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size // 2)


def listen(
    address: Address,
    is_open: bool = True,
    is_local: bool = False,
    account: MemoryAccount | None = None,
    is_read_with_room: bool = False,
) -> Listener:
    """Bind a TCP listener; port 0 selects any free port.

    With ``is_open`` false, connections are refused until ``serve`` is called. With ``is_local``
    true, the listener is for processes on the same host. The connections charge what they hold to
    ``account``; with ``is_read_with_room`` true, they are not read while it is full.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    new_socket = socket.socket(family, socket.SOCK_STREAM)
    new_socket.setblocking(False)
    new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if is_read_with_room:
        # Accepted connections inherit the size. What arrives while they are not read stays there.
        _set_receive_buffer(new_socket, RECEIVE_BUFFER_BYTES)
    new_socket.bind((address.host, address.port))
    if is_open:
        new_socket.listen(_BACKLOG)
    return Listener(new_socket, is_local, account, is_read_with_room)
