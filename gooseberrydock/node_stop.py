"""The graceful stop of a node: no new work, nothing in flight cut off."""

import signal
from typing import Final

import attrs
import trio

from gooseberrydock import defaults
from gooseberrydock.clock import MS_PER_SECOND, Clock, Millis
from gooseberrydock.events import NODE_STOPPED, NODE_STOPPING, STOP_TIMED_OUT
from gooseberrydock.gossip_socket import GossipSocket
from gooseberrydock.http_messages import HttpResponse
from gooseberrydock.http_server import HttpConnection
from gooseberrydock.logs import log
from gooseberrydock.node_core import NodeCore
from gooseberrydock.peer_links import PeerLinks
from gooseberrydock.stream import Listener

_CHECK_MS: Final[Millis] = 20.0
_EMPTY_RESPONSE: Final = HttpResponse(204, [], b"")


@attrs.define(eq=False)
class GracefulStop:
    """Wait until a stop is asked for, and carry it out."""

    _core: NodeCore
    _clock: Clock
    _links: PeerLinks
    _gossip: GossipSocket
    _entry: Listener
    _timeout_ms: Millis
    _waiting: list[HttpConnection] = attrs.field(factory=list)
    _asked: trio.Event = attrs.field(factory=trio.Event)

    def request(self, connection: HttpConnection | None = None) -> None:
        """Begin a stop; a target that asked is answered last, when it gets no more work."""
        if connection is not None:
            self._waiting.append(connection)
        self._asked.set()

    async def wait_for_signal(self) -> None:
        """Turn SIGTERM and SIGINT into a stop."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.request()

    async def run(self) -> None:
        """Leave once asked, and return when every call in flight has ended."""
        await self._asked.wait()
        log(NODE_STOPPING, in_flight=self._core.outbound.in_flight)
        self._links.broadcast(self._core.leave(self._clock.now_ms()))
        self._gossip.send(self._core.membership.announce_self())
        await trio.sleep(defaults.LEAVE_PROPAGATION_MS / MS_PER_SECOND)
        await self._wait_for_release()
        self._entry.close()
        await self._wait_until_idle()
        for connection in self._waiting:
            connection.respond(_EMPTY_RESPONSE)
        log(NODE_STOPPED)

    async def _wait_for_release(self) -> None:
        """Wait until other nodes own all new keys; without the store that may not come."""
        with trio.move_on_after(defaults.KEY_HANDOVER_TIMEOUT_MS / MS_PER_SECOND):
            while not self._core.ownership.is_released(self._clock.wall_ms()):
                await trio.sleep(_CHECK_MS / MS_PER_SECOND)

    async def _wait_until_idle(self) -> None:
        with trio.move_on_after(self._timeout_ms / MS_PER_SECOND) as scope:
            while self._core.is_busy:
                await trio.sleep(_CHECK_MS / MS_PER_SECOND)
        if scope.cancelled_caught:
            log(STOP_TIMED_OUT, in_flight=self._core.outbound.in_flight)
