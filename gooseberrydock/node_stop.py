"""The graceful stop of a node, which accepts no new work and lets calls in flight finish."""

import signal
from collections.abc import Callable
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

_CHECK_INTERVAL_MS: Final[Millis] = 20.0
_EMPTY_RESPONSE: Final = HttpResponse(204, [], b"")


@attrs.define(eq=False)
class GracefulStop:
    """Wait for a stop request, then stop the node."""

    _core: NodeCore
    _clock: Clock
    _links: PeerLinks
    _gossip: GossipSocket
    _entry: Listener
    _close_idle_callers: Callable[[], None]
    _timeout_ms: Millis
    _waiting_connections: list[HttpConnection] = attrs.field(factory=list)
    _requested: trio.Event = attrs.field(factory=trio.Event)

    def request(self, connection: HttpConnection | None = None) -> None:
        """Request a stop; a connection given here is answered once the target gets no more work."""
        if connection is not None:
            self._waiting_connections.append(connection)
        self._requested.set()

    async def wait_for_signal(self) -> None:
        """Request a stop on each SIGTERM or SIGINT."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.request()

    async def run(self) -> None:
        """Wait for a request, leave, and return once no call is in flight or a timeout expires."""
        await self._requested.wait()
        log(NODE_STOPPING, in_flight=self._core.outbound.in_flight)
        self._links.broadcast(self._core.leave(self._clock.now_ms()))
        self._gossip.send(self._core.membership.notify_of_local_change())
        await trio.sleep(defaults.LEAVE_PROPAGATION_MS / MS_PER_SECOND)
        await self._wait_for_key_handover()
        self._entry.close()
        await self._wait_until_idle()
        for connection in self._waiting_connections:
            connection.respond(_EMPTY_RESPONSE)
        log(NODE_STOPPED)

    async def _wait_for_key_handover(self) -> None:
        """Wait, up to a timeout, until other nodes own all new keys.

        Without the store, this may never happen.
        """
        with trio.move_on_after(defaults.KEY_HANDOVER_TIMEOUT_MS / MS_PER_SECOND):
            while not self._core.ownership.owns_no_new_keys(self._clock.wall_ms()):
                await trio.sleep(_CHECK_INTERVAL_MS / MS_PER_SECOND)

    async def _wait_until_idle(self) -> None:
        self._core.stop_plan.begin(self._clock.now_ms() + self._timeout_ms)
        with trio.move_on_after(self._timeout_ms / MS_PER_SECOND) as scope:
            # A connection without a request is closed only now: until then, a caller's next request
            # is answered, and the answer tells it to open a connection to another node.
            while self._entry.has_open_connections or self._core.is_busy:
                self._close_idle_callers()
                await trio.sleep(_CHECK_INTERVAL_MS / MS_PER_SECOND)
        if scope.cancelled_caught:
            log(STOP_TIMED_OUT, in_flight=self._core.outbound.in_flight)
