"""The tasks that keep a node and the store in step: watches, and the node's own record.

Renewals of a lease are cheap and writes are not, so a record is written only when it changes or
when its lease was lost. All waits between failures are random, so that a store that comes back is
not met by all nodes at once.
"""

import random
from collections.abc import Awaitable
from typing import Final, Protocol

import attrs
import trio

from gooseberrydock.backoff import Backoff, BackoffPolicy
from gooseberrydock.clock import MS_PER_SECOND, Clock, Millis
from gooseberrydock.errorcodes import (
    CONFIGURATION_CONFLICT,
    LEASE_ENDED,
    STORE_HISTORY_GONE,
    ErrorCode,
)
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.events import LEASE_LOST, STORE_BACK, STORE_LOST
from gooseberrydock.logs import log
from gooseberrydock.members import Member, encode_member
from gooseberrydock.mesh.read_pacing import ReadPacer
from gooseberrydock.mesh.store import Lease, Store, StoreChanges, StoreItem

_WATCH_WAIT_MS: Final[Millis] = 25_000.0
"""How long one watch waits. A store that went silent is noticed sooner by renewals of the lease; a
single silent connection is not, and until then other nodes hand on what it misses."""
_RECORDS_FAST_MS: Final[Millis] = 800.0
"""How long changed records gather before they are read; links tell them sooner."""
_RECORDS_SETTLED_MS: Final[Millis] = 3_000.0
"""The same in a settled fleet: well below the store's history, which a slower reader would lose."""
_RENEW_SHARE: Final = 0.3
"""Part of a lease's time after which it is renewed, so that two renewals may fail."""
_LEASE_MS: Final[Millis] = 9_000.0
"""How long a node's record outlives the node."""
_EARLIEST_RENEWAL: Final = 0.7
"""Part of the time to a renewal from which one is made when there is other work anyway."""
RETRY_POLICY: Final = BackoffPolicy(
    min_delay_ms=60.0, base_delay_ms=60.0, max_delay_ms=900.0, multiplier=1.7
)
"""Waits after failures: records are back within two seconds of a store's return."""
_LEFT_TO_RENEWAL_MS: Final[Millis] = 5_000.0
"""How long a watch leaves it to the renewal of the lease to try a store that is away. The renewal
tries at the pace above and wakes the watches; this is for the case that it stands still."""


class StoreSink(Protocol):
    """Take what the store holds."""

    def on_store_items(self, items: tuple[StoreItem, ...], is_snapshot: bool) -> bool:
        """Take items; a complete set leaves out what is gone.

        Say whether an item ended that may soon be there again, and must then be seen in time.
        """

    def on_store_availability(self, is_available: bool) -> None:
        """Take in whether the store answers this node."""


@attrs.define(eq=False)
class StoreSync:
    """Follow the store and keep the node's own record in it."""

    _store: Store
    _sink: StoreSink
    _clock: Clock
    _random: random.Random
    _node_prefix: str
    _lease_min_ms: Millis
    _pacer: ReadPacer
    _is_available: bool = True
    _answered_at: Millis = 0.0
    _record: Member | None = None
    _written: Member | None = None
    _revision: int = 0
    _lease: Lease | None = None
    _renewed_at: Millis = 0.0
    _changed: trio.Event = attrs.field(factory=trio.Event)
    _watches: set[trio.CancelScope] = attrs.field(factory=set)
    _back: trio.Event = attrs.field(factory=trio.Event)

    def set_record(self, member: Member) -> None:
        """Have this node's record written."""
        self._record = member
        self._changed.set()

    async def follow_table(self, key: str) -> None:
        """Hand the route table to the sink, now and whenever it changes."""
        await self._follow(key, fast_ms=0.0, settled_ms=0.0)

    async def follow_records(self) -> None:
        """Hand the nodes' records to the sink, now and when they change."""
        await self._follow(self._node_prefix, _RECORDS_FAST_MS, _RECORDS_SETTLED_MS)

    async def _follow(self, prefix: str, fast_ms: Millis, settled_ms: Millis) -> None:
        """Hand everything under a prefix to the sink; a pause gathers changes into one answer."""
        backoff = Backoff(self._random, RETRY_POLICY)
        revision = -1
        while True:
            try:
                revision = await self._follow_step(prefix, revision)
                backoff.reset()
                pause_ms = self._pacer.pause_ms(self._clock.now_ms(), fast_ms, settled_ms)
                if pause_ms:
                    await trio.sleep(pause_ms / MS_PER_SECOND)
            except GooseberrydockError as error:
                # Read anew: what changed before a watch was cut need not be told to the next one.
                revision = -1
                self._note_failure(error)
                await self._wait_to_retry(backoff)

    async def _wait_to_retry(self, backoff: Backoff) -> None:
        """Wait after a failure, and on while the store is away and this node's record tries it.

        The first wait holds in any case: a store may refuse reads and renew leases all the same.
        """
        await trio.sleep(backoff.next_delay_ms() / MS_PER_SECOND)
        if not self._is_available and self._record is not None:
            with trio.move_on_after(_LEFT_TO_RENEWAL_MS / MS_PER_SECOND):
                await self._back.wait()

    async def _follow_step(self, prefix: str, revision: int) -> int:
        """Read all once, then wait for changes; return the revision seen."""
        if revision < 0:
            changes = await self._timed(self._store.read_prefix(prefix))
        else:
            changes = await self._watch(prefix, revision)
        if changes.items or revision < 0:
            is_unsettling = self._sink.on_store_items(changes.items, is_snapshot=revision < 0)
            if is_unsettling:
                self._pacer.read_fast(self._clock.now_ms())
        return max(revision, changes.revision)

    async def _watch(self, prefix: str, revision: int) -> StoreChanges:
        """Wait for changes; return none where the store came back meanwhile."""
        with trio.CancelScope() as scope:
            self._watches.add(scope)
            try:
                return await self._timed(self._store.watch(prefix, revision, _WATCH_WAIT_MS))
            finally:
                self._watches.discard(scope)
        return StoreChanges((), revision)

    async def _timed(self, call: Awaitable[StoreChanges]) -> StoreChanges:
        changes = await call
        self._note_success()
        return changes

    async def maintain_record(self) -> None:
        """Keep the record written and its lease alive."""
        backoff = Backoff(self._random, RETRY_POLICY)
        while True:
            try:
                await self._keep_step()
                backoff.reset()
                await self._wait_for_work()
            except GooseberrydockError as error:
                self._note_failure(error)
                await trio.sleep(backoff.next_delay_ms() / MS_PER_SECOND)

    async def remove_record(self, timeout_ms: Millis) -> None:
        """End the lease, and the record with it, if the store answers in time."""
        lease = self._lease
        if lease is None:
            return
        with trio.move_on_after(timeout_ms / MS_PER_SECOND):
            try:
                await self._store.end_lease(lease.lease_id)
            except GooseberrydockError as error:
                # The record ends with its lease anyway, only later.
                self._note_failure(error)

    async def _keep_step(self) -> None:
        """Do what is due: renew, get a lease, write."""
        lease = self._lease
        if lease is not None and self._renewal_due(lease):
            await self._renew(lease)
        if self._record is None:
            return
        if self._lease is None:
            self._lease = await self._store.grant_lease(max(_LEASE_MS, self._lease_min_ms))
            self._renewed_at = self._clock.now_ms()
            self._written = None
        if self._written is not self._record:
            await self._write(self._record, self._lease)

    async def _renew(self, lease: Lease) -> None:
        try:
            await self._store.renew_lease(lease.lease_id)
            self._renewed_at = self._clock.now_ms()
            self._note_success()
        except GooseberrydockError as error:
            if error.code is not LEASE_ENDED:
                raise
            log(LEASE_LOST, lease=lease.lease_id, code=error.code.number)
            self._lease = None

    async def _write(self, record: Member, lease: Lease) -> None:
        key = self._node_prefix + record.node_id
        try:
            self._revision = await self._store.write(
                key, encode_member(record), lease.lease_id, self._revision
            )
            self._written = record
            self._note_success()
        except GooseberrydockError as error:
            if error.code is CONFIGURATION_CONFLICT:
                await self._learn_revision(key)
            elif error.code is LEASE_ENDED:
                self._lease = None
            raise

    async def _learn_revision(self, key: str) -> None:
        """Find out at which revision the own record is, after a lost answer or a restart."""
        item = await self._store.read(key)
        self._revision = item.revision if item is not None else 0

    async def _wait_for_work(self) -> None:
        """Wait until the record changes or the lease is to be renewed."""
        if self._written is not self._record:
            return
        lease = self._lease
        wait_ms = lease.ttl_ms * _RENEW_SHARE if lease is not None else _LEASE_MS
        with trio.move_on_after(wait_ms * self._random.uniform(0.8, 1.0) / MS_PER_SECOND):
            await self._changed.wait()
        self._changed = trio.Event()

    def _renewal_due(self, lease: Lease) -> bool:
        due_ms = lease.ttl_ms * _RENEW_SHARE * _EARLIEST_RENEWAL
        return not self._is_available or self._clock.now_ms() - self._renewed_at >= due_ms

    def on_own_record_removed(self) -> None:
        """Take in that the store dropped this node's record; write it again."""
        self._written = None
        self._revision = 0
        self._lease = None
        self._changed.set()

    def _note_failure(self, error: GooseberrydockError) -> None:
        if error.code in _HARMLESS:
            return
        if self._is_available:
            self._is_available = False
            self._back = trio.Event()
            # The renewal of the lease tries the store from now on.
            self._changed.set()
            log(STORE_LOST, code=error.code.number, peer=error.peer, detail=error.detail)
            self._sink.on_store_availability(is_available=False)

    def _note_success(self) -> None:
        now_ms = self._clock.now_ms()
        if not self._is_available:
            self._is_available = True
            self._back.set()
            self._pacer.read_fast(now_ms)
            for scope in self._watches:
                # What waits since before the outage may never be answered.
                scope.cancel()
            log(STORE_BACK, away_ms=round(now_ms - self._answered_at))
            self._sink.on_store_availability(is_available=True)
        self._answered_at = now_ms


_HARMLESS: Final[frozenset[ErrorCode]] = frozenset(
    (STORE_HISTORY_GONE, CONFIGURATION_CONFLICT, LEASE_ENDED)
)
"""Failures that say the store works."""
