"""The loop that keeps a node's copy of the owner register of its service up to date.

It runs the timers of the ownership controller and performs the I/O that the controller requests:
heartbeats and registers to other members, reads and swaps in the key-value service.
"""

from collections.abc import Callable
from typing import Final

import attrs
import trio

from gooseberrydock.clock import MS_PER_SECOND, Clock, Millis
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.logs import log_and_suppress_errors
from gooseberrydock.messages import OwnerHeartbeat, OwnerRegister, PeerMessage
from gooseberrydock.node_core import NodeCore
from gooseberrydock.owner_register import (
    REGISTER_KEY_PREFIX,
    NodeIdentity,
    decode_register,
    encode_register,
)
from gooseberrydock.ownership import Action, ReadRegister, SendHeartbeat, SendRegister, SwapRegister
from gooseberrydock.store_client import StoreClient

_TICK_MS: Final[Millis] = 100.0


@attrs.define(eq=False)
class OwnershipLoop:
    """Perform the actions that the ownership controller requests."""

    _core: NodeCore
    _clock: Clock
    _nursery: trio.Nursery
    _store: StoreClient | None
    _send: Callable[[str, PeerMessage], None]

    async def run(self) -> None:
        """Run the controller's timers."""
        while True:
            with log_and_suppress_errors(self._key):
                self._perform_actions(self._core.tick_ownership(self._clock.now_ms()))
            await trio.sleep(_TICK_MS / MS_PER_SECOND)

    def on_heartbeat(self, node_id: str, heartbeat: OwnerHeartbeat) -> None:
        """Process another member's heartbeat."""
        sender = NodeIdentity(node_id, heartbeat.incarnation)
        self._perform_actions(
            self._core.ownership.on_heartbeat(self._clock.wall_ms(), sender, heartbeat)
        )

    def on_register(self, node_id: str, message: OwnerRegister) -> None:
        """Process a register that another member sent."""
        register = decode_register(message.payload, node_id)
        actions = self._core.ownership.on_register_from_peer(self._clock.wall_ms(), register)
        self._perform_actions(actions)

    def _perform_actions(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendHeartbeat):
                self._send(action.node_id, action.heartbeat)
            elif isinstance(action, SendRegister):
                self._send(action.node_id, OwnerRegister(encode_register(action.register)))
            elif self._store is None:
                self._core.ownership.on_store_call_failed(self._clock.wall_ms())
            elif isinstance(action, ReadRegister):
                self._nursery.start_soon(self._read, self._store)
            else:
                self._nursery.start_soon(self._swap, self._store, action)

    async def _read(self, store: StoreClient) -> None:
        began_ms = self._clock.wall_ms()
        try:
            stored = await store.read(self._key)
            register = decode_register(stored.value, "store") if stored.value else None
        except GooseberrydockError:
            self._core.ownership.on_store_call_failed(self._clock.wall_ms())
            return
        wall_ms = self._clock.wall_ms()
        with log_and_suppress_errors(self._key):
            actions = self._core.ownership.on_read(wall_ms, began_ms, register, stored.modify_index)
            self._perform_actions(actions)

    async def _swap(self, store: StoreClient, action: SwapRegister) -> None:
        payload = encode_register(action.register)
        try:
            is_done = await store.compare_and_swap(self._key, payload, action.modify_index)
        except GooseberrydockError:
            # The swap may have taken effect; the next read shows it.
            self._core.ownership.on_store_call_failed(self._clock.wall_ms())
            return
        wall_ms = self._clock.wall_ms()
        with log_and_suppress_errors(self._key):
            actions = self._core.ownership.on_swapped(wall_ms, action.register, is_done)
            self._perform_actions(actions)

    @property
    def _key(self) -> str:
        return REGISTER_KEY_PREFIX + self._core.inbound.service
