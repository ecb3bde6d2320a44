"""The task that keeps quarantined requests in the store.

Nodes pass quarantines on to each other, but all of them may end together, and a request that
crashes targets comes again. The node that convicts a request therefore writes its fingerprint to
the store, under a lease that ends with the quarantine, and each node reads all of them when it
starts.
"""

import math
import random
from functools import partial
from typing import Protocol

import attrs
import cbor2
import trio

from gooseberrydock.clock import Clock, Millis
from gooseberrydock.errorcodes import CONFIGURATION_CONFLICT
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.events import RECORD_REFUSED
from gooseberrydock.logs import log
from gooseberrydock.mesh.store import Store, StoreItem
from gooseberrydock.mesh.store_calls import await_answer, repeat_until_done
from gooseberrydock.messages import QuarantineNotice


class QuarantineSink(Protocol):
    """Receive the quarantines that the store has."""

    def on_quarantine_notice(self, notice: QuarantineNotice) -> None:
        """Record the quarantines from before this node's start."""


@attrs.define(eq=False)
class QuarantineSync:
    """Recover the quarantines from the store, then store and remove those that this node decides.

    ``_kept`` has the wall-clock times at which the quarantines that this node stored end.
    """

    _store: Store
    _sink: QuarantineSink
    _clock: Clock
    _random: random.Random
    _prefix: str
    _lease_min_ms: Millis
    _kept: dict[int, Millis] = attrs.field(factory=dict)
    _due: dict[int, None] = attrs.field(factory=dict)
    _has_work: trio.Event = attrs.field(factory=trio.Event)

    def on_decided(self, notice: QuarantineNotice) -> None:
        """Store the quarantines that this node decided, and remove those that it lifted."""
        for fingerprint, remaining_ms in notice.remaining_ms.items():
            if remaining_ms:
                self._kept[fingerprint] = self._clock.wall_ms() + remaining_ms
            else:
                self._kept.pop(fingerprint, None)
            self._schedule(fingerprint)

    def on_lifted_elsewhere(self, notice: QuarantineNotice) -> None:
        """Remove what this node stored and another one lifted, which may come before the write."""
        for fingerprint, remaining_ms in notice.remaining_ms.items():
            if not remaining_ms and self._kept.pop(fingerprint, None) is not None:
                self._schedule(fingerprint)

    def on_store_restored(self) -> None:
        """Store the quarantines again, which the older copy may not have."""
        for fingerprint in self._kept:
            self._schedule(fingerprint)

    def _schedule(self, fingerprint: int) -> None:
        self._due[fingerprint] = None
        self._has_work.set()

    async def run(self) -> None:
        """Recover the quarantines, then keep those in the store that this node decides."""
        await repeat_until_done(self._recover, self._prefix, self._random)
        while True:
            await self._has_work.wait()
            self._has_work = trio.Event()
            while self._due:
                fingerprint, _ = self._due.popitem()
                step = partial(self._update, fingerprint)
                await repeat_until_done(step, self._key_of(fingerprint), self._random)

    async def _recover(self) -> None:
        items = (await await_answer(self._store, self._store.read_prefix(self._prefix))).items
        remaining_ms = {}
        for item in items:
            entry = self._decode(item)
            if entry is not None:
                fingerprint, until_wall_ms = entry
                remaining_ms[fingerprint] = until_wall_ms - self._clock.wall_ms()
        notice = {item: left_ms for item, left_ms in remaining_ms.items() if left_ms > 0}
        if notice:
            self._sink.on_quarantine_notice(QuarantineNotice(notice))

    async def _update(self, fingerprint: int) -> None:
        until_wall_ms = self._kept.get(fingerprint, -math.inf)
        remaining_ms = until_wall_ms - self._clock.wall_ms()
        if remaining_ms > 0:
            await self._write(fingerprint, until_wall_ms, remaining_ms)
        else:
            self._kept.pop(fingerprint, None)
            await self._remove(fingerprint)

    async def _write(self, fingerprint: int, until_wall_ms: Millis, remaining_ms: Millis) -> None:
        store = self._store
        ttl_ms = max(self._lease_min_ms, remaining_ms)
        lease = await await_answer(store, store.grant_lease(ttl_ms))
        key, value = self._key_of(fingerprint), cbor2.dumps([fingerprint, until_wall_ms])
        try:
            await await_answer(store, store.write(key, value, lease.lease_id, 0))
        except GooseberrydockError as error:
            # The answer to an earlier write was lost, or another node has written the same.
            if error.code is not CONFIGURATION_CONFLICT:
                raise

    async def _remove(self, fingerprint: int) -> None:
        key = self._key_of(fingerprint)
        item = await await_answer(self._store, self._store.read(key))
        if item is not None:
            await await_answer(self._store, self._store.remove(key, item.revision))

    def _key_of(self, fingerprint: int) -> str:
        return f"{self._prefix}{fingerprint:016x}"

    def _decode(self, item: StoreItem) -> tuple[int, Millis] | None:
        """Return the fingerprint and the end of a stored quarantine, or None if it is malformed."""
        try:
            fingerprint, until_wall_ms = cbor2.loads(item.value or b"")
            if type(fingerprint) is not int or not math.isfinite(until_wall_ms):
                raise ValueError("a field has the wrong type")
        except Exception as error:
            # The decoder processes untrusted bytes and documents no closed set of exceptions.
            log(RECORD_REFUSED, key=item.key, revision=item.revision, detail=str(error))
            return None
        return fingerprint, float(until_wall_ms)
