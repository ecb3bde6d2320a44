"""A loopback TCP proxy that injects faults into the connections through it."""

import enum
import socket
import struct
from typing import Any, Final

import attrs
import trio

from gooseberrydock.members import Address
from gooseberrydock.stream import Listener, listen

_CHUNK_BYTES: Final = 65_536
_POLL_INTERVAL_S: Final = 0.02


class LinkFault(enum.Enum):
    """A fault of the connections through a proxy."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    """Open connections are reset at once; new connections work."""
    BLOCK_TO_TARGET = "cut-to"
    """Bytes to the target are held back until the fault ends."""
    BLOCK_FROM_TARGET = "cut-from"
    """Bytes from the target are held back until the fault ends."""
    BLACKHOLE_OPEN = "silence"
    """Open connections never transfer data again; new connections work."""


@attrs.define(eq=False)
class FaultProxy:
    """Relay bytes between a listener and a target, subject to the fault that is set."""

    _target: Address
    _listener: Listener
    _fault: LinkFault = LinkFault.NONE
    _blackholed_up_to: int = 0
    """Number of the last connection that transfers no data again; connections count from 1."""
    _connections: int = 0
    _scopes: set[trio.CancelScope] = attrs.field(factory=set)

    @property
    def address(self) -> Address:
        """Return the address on which the proxy listens."""
        return self._listener.address

    def set_fault(self, fault: LinkFault) -> None:
        """Start a fault; ``NONE`` ends a delay or block, but not what a reset or blackhole did."""
        self._fault = fault
        if fault is LinkFault.RESET:
            for scope in list(self._scopes):
                scope.cancel()
            self._fault = LinkFault.NONE
        elif fault is LinkFault.BLACKHOLE_OPEN:
            self._blackholed_up_to = self._connections
            self._fault = LinkFault.NONE

    def close(self) -> None:
        """Close the listener that reserves the port; a proxy that serves is not stopped."""
        self._listener.close()

    async def serve(self) -> None:
        """Accept connections and relay them."""
        host, port = self.address.host, self.address.port
        # The listener only reserved the port; trio opens its own.
        self._listener.close()
        await trio.serve_tcp(self._handle_connection, port, host=host)

    async def _handle_connection(self, caller: trio.SocketStream) -> None:
        self._connections += 1
        number = self._connections
        try:
            target = await trio.open_tcp_stream(self._target.host, self._target.port)
        except OSError:
            return
        async with target:
            orderly_ends: list[trio.SocketStream] = []
            async with trio.open_nursery() as nursery:
                self._scopes.add(nursery.cancel_scope)
                for source, sink, blocking_fault in (
                    (caller, target, LinkFault.BLOCK_TO_TARGET),
                    (target, caller, LinkFault.BLOCK_FROM_TARGET),
                ):
                    nursery.start_soon(
                        self._relay, nursery, number, source, sink, blocking_fault, orderly_ends
                    )
            self._scopes.discard(nursery.cancel_scope)
            if not orderly_ends:
                # A reset of one side, or of the proxy, must not look like an orderly end.
                for stream in (caller, target):
                    reset_on_close(stream.socket)

    async def _relay(
        self,
        nursery: trio.Nursery,
        number: int,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        blocking_fault: LinkFault,
        orderly_ends: list[trio.SocketStream],
    ) -> None:
        try:
            while data := await source.receive_some(_CHUNK_BYTES):
                while self._fault is blocking_fault or number <= self._blackholed_up_to:
                    await trio.sleep(_POLL_INTERVAL_S)
                if self._fault is LinkFault.DELAY:
                    await trio.sleep(_POLL_INTERVAL_S * 3)
                await sink.send_all(data)
            orderly_ends.append(source)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()


def reset_on_close(connection: Any) -> None:
    """Let the close of a socket reset its connection."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def create_fault_proxy(target: Address) -> FaultProxy:
    """Create a proxy on a free port."""
    return FaultProxy(target, listen(Address("127.0.0.1", 0)))
