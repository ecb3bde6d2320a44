"""A loopback proxy that does harm to the connections through it."""

import enum
from typing import Final

import attrs
import trio

from gooseberrydock.members import Address
from gooseberrydock.stream import Listener, listen

_CHUNK: Final = 65_536
_POLL_S: Final = 0.02


class LinkFault(enum.Enum):
    """Name what happens to connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    CUT_TO = "cut-to"
    CUT_FROM = "cut-from"
    SILENCE = "silence"
    """Open connections pass nothing any more, for good; new ones work."""


@attrs.define(eq=False)
class FaultProxy:
    """Pass bytes between a listener and a target, as long as no fault is set."""

    _target: Address
    _listener: Listener
    _fault: LinkFault = LinkFault.NONE
    _silenced_before: int = 0
    _connections: int = 0
    _scopes: set[trio.CancelScope] = attrs.field(factory=set)

    @property
    def address(self) -> Address:
        """Return where the proxy listens."""
        return self._listener.address

    def set_fault(self, fault: LinkFault) -> None:
        """Do harm from now on, or end it."""
        self._fault = fault
        if fault is LinkFault.RESET:
            for scope in list(self._scopes):
                scope.cancel()
            self._fault = LinkFault.NONE
        elif fault is LinkFault.SILENCE:
            self._silenced_before = self._connections
            self._fault = LinkFault.NONE

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    async def serve(self) -> None:
        """Accept connections."""
        host, port = self.address.host, self.address.port
        self._listener.close()
        await trio.serve_tcp(self._pass_on, port, host=host)

    async def _pass_on(self, near: trio.SocketStream) -> None:
        self._connections += 1
        number = self._connections
        try:
            far = await trio.open_tcp_stream(self._target.host, self._target.port)
        except OSError:
            return
        async with far, trio.open_nursery() as nursery:
            self._scopes.add(nursery.cancel_scope)
            nursery.start_soon(self._copy, nursery, number, near, far, LinkFault.CUT_TO)
            nursery.start_soon(self._copy, nursery, number, far, near, LinkFault.CUT_FROM)
        self._scopes.discard(nursery.cancel_scope)

    async def _copy(
        self,
        nursery: trio.Nursery,
        number: int,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        cut: LinkFault,
    ) -> None:
        try:
            while data := await source.receive_some(_CHUNK):
                while self._fault is cut or number <= self._silenced_before:
                    await trio.sleep(_POLL_S)
                if self._fault is LinkFault.DELAY:
                    await trio.sleep(_POLL_S * 3)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()


def create_fault_proxy(target: Address) -> FaultProxy:
    """Make a proxy on a free port."""
    return FaultProxy(target, listen(Address("127.0.0.1", 0)))
