"""The task that keeps the leaving of the local target in the store.

Other nodes keep an acknowledged leaving too (``statement_memory.py``), but all of them may end
together with this one. A node therefore writes the starts that left to one key of its own, and
reads that key before it uses its target. The lease of the key is longer than any target takes to
end, and longer than an announcement is on its way, so that no key has to be removed.
"""

import random
from typing import Final, Protocol

import attrs
import cbor2
import trio

from gooseberrydock.clock import Millis
from gooseberrydock.errorcodes import CONFIGURATION_CONFLICT, LEASE_ENDED
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.events import RECORD_REFUSED
from gooseberrydock.logs import log
from gooseberrydock.mesh.left_starts import LeftStarts
from gooseberrydock.mesh.store import Lease, Store, StoreItem
from gooseberrydock.mesh.store_calls import await_answer, repeat_until_done
from gooseberrydock.start_ids import parse_start_id

_LEAVING_TTL_MS: Final[Millis] = 600_000.0
"""Lease TTL of a leaving; it has to outlast a host that is without power for some minutes."""


class LeavingSink(Protocol):
    """Receive what the store has of the local target's leavings."""

    def on_leaving_recovered(self, start_ids: tuple[str, ...]) -> None:
        """Record which starts of the target had left before this node's start."""

    def on_leaving_stored(self, start_id: str) -> None:
        """Record that the store keeps the leaving of a start."""


@attrs.define(eq=False)
class LeavingSync:
    """Recover the leavings of the local target, then store each later one.

    ``_unconfirmed`` has the starts whose leaving was to be kept and is not known to be stored.
    """

    _store: Store
    _sink: LeavingSink
    _random: random.Random
    _key: str
    _wanted: LeftStarts = attrs.field(factory=LeftStarts)
    _stored: LeftStarts = attrs.field(factory=LeftStarts)
    _unconfirmed: dict[str, None] = attrs.field(factory=dict)
    _revision: int = 0
    _lease: Lease | None = None
    _must_write: trio.Event = attrs.field(factory=trio.Event)

    def keep(self, start_id: str) -> None:
        """Store the leaving of a start beside those of other instances, and confirm that."""
        self._wanted.add(start_id, 0.0)
        self._unconfirmed[start_id] = None
        self._confirm_stored()
        if self._unconfirmed:
            self._must_write.set()

    def on_store_restored(self) -> None:
        """Store the leavings again, which the older copy may not have."""
        self._stored = LeftStarts()
        self._lease = None
        self._must_write.set()

    async def run(self) -> None:
        """Recover the leavings from the store, then store those that follow."""
        await repeat_until_done(self._recover, self._key, self._random)
        while True:
            await self._must_write.wait()
            self._must_write = trio.Event()
            await repeat_until_done(self._write_wanted, self._key, self._random)

    async def _recover(self) -> None:
        """Read which starts have left, and keep them with those that leave from now on."""
        item = await self._read()
        start_ids = self._decode(item) if item is not None else ()
        self._stored = LeftStarts()
        for start_id in start_ids:
            self._stored.add(start_id, 0.0)
            self._wanted.add(start_id, 0.0)
        self._sink.on_leaving_recovered(start_ids)
        self._confirm_stored()

    def _confirm_stored(self) -> None:
        for start_id in list(self._unconfirmed):
            if self._stored.find(start_id) is not None:
                del self._unconfirmed[start_id]
                self._sink.on_leaving_stored(start_id)

    async def _write_wanted(self) -> None:
        store, start_ids = self._store, self._wanted.start_ids
        if all(self._stored.find(start_id) is not None for start_id in start_ids):
            return
        try:
            lease = await self._prepare_lease()
            value = cbor2.dumps(list(start_ids))
            self._revision = await await_answer(
                store, store.write(self._key, value, lease.lease_id, self._revision)
            )
        except GooseberrydockError as error:
            if error.code is CONFIGURATION_CONFLICT:
                # The answer to an earlier write was lost, or the key's lease has ended.
                await self._recover()
            elif error.code is LEASE_ENDED:
                self._lease = None
            raise
        self._stored = LeftStarts()
        for start_id in start_ids:
            self._stored.add(start_id, 0.0)
        self._confirm_stored()

    async def _prepare_lease(self) -> Lease:
        """Return a lease that has its whole time left."""
        if self._lease is None:
            self._lease = await await_answer(self._store, self._store.grant_lease(_LEAVING_TTL_MS))
        else:
            await await_answer(self._store, self._store.renew_lease(self._lease.lease_id))
        return self._lease

    async def _read(self) -> StoreItem | None:
        item = await await_answer(self._store, self._store.read(self._key))
        self._revision = item.revision if item is not None else 0
        return item

    def _decode(self, item: StoreItem) -> tuple[str, ...]:
        """Return the starts in a stored value, or none if it is malformed."""
        try:
            start_ids = cbor2.loads(item.value or b"")
            if type(start_ids) is not list:
                raise ValueError("the value is not a list")
            for start_id in start_ids:
                parse_start_id(start_id)
        except Exception as error:
            # The decoder processes untrusted bytes and documents no closed set of exceptions.
            log(RECORD_REFUSED, key=item.key, revision=item.revision, detail=str(error))
            return ()
        return tuple(start_ids)
