"""The tasks that synchronize a node with the store: watches, and writes of the node's record.

Lease renewals are cheap and writes are not, so the record is written only when it changes or when
its lease was lost. All delays after failures have jitter, so that not all nodes send requests at
once to a store that has recovered.
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
"""Wait time of one watch. Lease renewals detect an unresponsive store sooner, but not a single
unresponsive connection; until the wait is over, other nodes forward the changes that this watch
misses."""
_FAST_RECORDS_PAUSE_MS: Final[Millis] = 800.0
"""Time that record changes are batched before they are read; links report them sooner."""
_SETTLED_RECORDS_PAUSE_MS: Final[Millis] = 3_000.0
"""The same in a settled fleet; well below the time span of the store's history, so that no change
is missed."""
_RENEWAL_FRACTION: Final = 0.3
"""Fraction of a lease's TTL after which it is renewed, so that two renewals may fail."""
_LEASE_TTL_MS: Final[Millis] = 9_000.0
"""Lease TTL: time after the last renewal for which the record of a failed node remains."""
_EARLIEST_RENEWAL_FRACTION: Final = 0.7
"""Fraction of the renewal interval after which a renewal is made together with other work."""
RETRY_POLICY: Final = BackoffPolicy(
    min_delay_ms=60.0, base_delay_ms=60.0, max_delay_ms=900.0, multiplier=1.7
)
"""Delays after failures; records are written again within two seconds of a store's recovery."""
_MAX_RECOVERY_WAIT_MS: Final[Millis] = 5_000.0
"""Time that a watch leaves retries of an unavailable store to the lease renewal. The renewal
retries with the delays above and wakes the watches; this bound covers a renewal that is stuck."""


class StoreSink(Protocol):
    """Receive the contents of the store and its availability."""

    def on_store_items(self, items: tuple[StoreItem, ...], is_snapshot: bool) -> bool:
        """Apply items; a snapshot omits removed items.

        Returns whether an item was removed that may soon be written again and must then be read in
        time.
        """

    def on_store_availability(self, is_available: bool) -> None:
        """Record whether the store is available to this node."""


@attrs.define(eq=False)
class StoreSync:
    """Watch the store and maintain the record of this node in it."""

    _store: Store
    _sink: StoreSink
    _clock: Clock
    _random: random.Random
    _node_prefix: str
    _lease_min_ms: Millis
    _pacer: ReadPacer
    _is_available: bool = True
    _last_success_at: Millis = 0.0
    _record: Member | None = None
    _written_record: Member | None = None
    _revision: int = 0
    _lease: Lease | None = None
    _renewed_at: Millis = 0.0
    _work_available: trio.Event = attrs.field(factory=trio.Event)
    _watch_scopes: set[trio.CancelScope] = attrs.field(factory=set)
    _available_again: trio.Event = attrs.field(factory=trio.Event)

    def set_record(self, member: Member) -> None:
        """Schedule a write of this node's record."""
        self._record = member
        self._work_available.set()

    async def watch_table(self, key: str) -> None:
        """Pass the route table to the sink, at first and after each change."""
        await self._watch_prefix(key, fast_ms=0.0, settled_ms=0.0)

    async def watch_records(self) -> None:
        """Pass the node records to the sink, at first and after changes."""
        await self._watch_prefix(
            self._node_prefix, _FAST_RECORDS_PAUSE_MS, _SETTLED_RECORDS_PAUSE_MS
        )

    async def _watch_prefix(self, prefix: str, fast_ms: Millis, settled_ms: Millis) -> None:
        """Pass all items of a prefix to the sink; a pause batches changes into one answer."""
        backoff = Backoff(self._random, RETRY_POLICY)
        revision = -1
        while True:
            try:
                revision = await self._watch_step(prefix, revision)
                backoff.reset()
                pause_ms = self._pacer.pause_ms(self._clock.now_ms(), fast_ms, settled_ms)
                if pause_ms:
                    await trio.sleep(pause_ms / MS_PER_SECOND)
            except GooseberrydockError as error:
                # Read all items again: a new watch might miss changes from before the failure.
                revision = -1
                self._note_failure(error)
                await self._wait_to_retry(backoff)

    async def _wait_to_retry(self, backoff: Backoff) -> None:
        """Wait after a failure, and longer while the lease renewal retries an unavailable store.

        The backoff delay always applies: a store may refuse reads while it still renews leases.
        """
        await trio.sleep(backoff.next_delay_ms() / MS_PER_SECOND)
        if not self._is_available and self._record is not None:
            with trio.move_on_after(_MAX_RECOVERY_WAIT_MS / MS_PER_SECOND):
                await self._available_again.wait()

    async def _watch_step(self, prefix: str, revision: int) -> int:
        """Read all items at first, or wait for changes later; return the last revision seen."""
        if revision < 0:
            changes = await self._await_changes(self._store.read_prefix(prefix))
        else:
            changes = await self._watch_once(prefix, revision)
        if changes.items or revision < 0:
            may_reappear = self._sink.on_store_items(changes.items, is_snapshot=revision < 0)
            if may_reappear:
                self._pacer.read_fast(self._clock.now_ms())
        return max(revision, changes.revision)

    async def _watch_once(self, prefix: str, revision: int) -> StoreChanges:
        """Wait for changes; return none if the store recovers during the wait."""
        with trio.CancelScope() as scope:
            self._watch_scopes.add(scope)
            try:
                return await self._await_changes(
                    self._store.watch(prefix, revision, _WATCH_WAIT_MS)
                )
            finally:
                self._watch_scopes.discard(scope)
        return StoreChanges((), revision)

    async def _await_changes(self, call: Awaitable[StoreChanges]) -> StoreChanges:
        changes = await call
        self._note_success()
        return changes

    async def maintain_record(self) -> None:
        """Keep the record written and its lease renewed."""
        backoff = Backoff(self._random, RETRY_POLICY)
        while True:
            try:
                await self._maintenance_step()
                backoff.reset()
                await self._wait_for_work()
            except GooseberrydockError as error:
                self._note_failure(error)
                await trio.sleep(backoff.next_delay_ms() / MS_PER_SECOND)

    async def remove_record(self, timeout_ms: Millis) -> None:
        """Revoke the lease, and the record with it, if the store answers before the timeout."""
        lease = self._lease
        if lease is None:
            return
        with trio.move_on_after(timeout_ms / MS_PER_SECOND):
            try:
                await self._store.end_lease(lease.lease_id)
            except GooseberrydockError as error:
                # The record is still removed when its lease expires, only later.
                self._note_failure(error)

    async def _maintenance_step(self) -> None:
        """Perform the steps that are due: renew the lease, grant one, write the record."""
        lease = self._lease
        if lease is not None and self._is_renewal_due(lease):
            await self._renew(lease)
        if self._record is None:
            return
        if self._lease is None:
            self._lease = await self._store.grant_lease(max(_LEASE_TTL_MS, self._lease_min_ms))
            self._renewed_at = self._clock.now_ms()
            self._written_record = None
        if self._written_record is not self._record:
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
            self._written_record = record
            self._note_success()
        except GooseberrydockError as error:
            if error.code is CONFIGURATION_CONFLICT:
                await self._read_own_revision(key)
            elif error.code is LEASE_ENDED:
                self._lease = None
            raise

    async def _read_own_revision(self, key: str) -> None:
        """Read the revision of this node's record, after a lost answer or a restart."""
        item = await self._store.read(key)
        self._revision = item.revision if item is not None else 0

    async def _wait_for_work(self) -> None:
        """Wait until the record changes or a lease renewal is due."""
        if self._written_record is not self._record:
            return
        lease = self._lease
        wait_ms = lease.ttl_ms * _RENEWAL_FRACTION if lease is not None else _LEASE_TTL_MS
        with trio.move_on_after(wait_ms * self._random.uniform(0.8, 1.0) / MS_PER_SECOND):
            await self._work_available.wait()
        self._work_available = trio.Event()

    def _is_renewal_due(self, lease: Lease) -> bool:
        due_ms = lease.ttl_ms * _RENEWAL_FRACTION * _EARLIEST_RENEWAL_FRACTION
        return not self._is_available or self._clock.now_ms() - self._renewed_at >= due_ms

    def on_own_record_removed(self) -> None:
        """Record that the store removed this node's record, and schedule a new write."""
        self._written_record = None
        self._revision = 0
        self._lease = None
        self._work_available.set()

    def _note_failure(self, error: GooseberrydockError) -> None:
        if error.code in _AVAILABLE_STORE_ERRORS:
            return
        if self._is_available:
            self._is_available = False
            self._available_again = trio.Event()
            # Wakes the lease renewal, which retries the store from now on.
            self._work_available.set()
            log(STORE_LOST, code=error.code.number, peer=error.peer, detail=error.detail)
            self._sink.on_store_availability(is_available=False)

    def _note_success(self) -> None:
        now_ms = self._clock.now_ms()
        if not self._is_available:
            self._is_available = True
            self._available_again.set()
            self._pacer.read_fast(now_ms)
            for scope in self._watch_scopes:
                # A watch from before the outage may never be answered.
                scope.cancel()
            log(STORE_BACK, away_ms=round(now_ms - self._last_success_at))
            self._sink.on_store_availability(is_available=True)
        self._last_success_at = now_ms


_AVAILABLE_STORE_ERRORS: Final[frozenset[ErrorCode]] = frozenset(
    (STORE_HISTORY_GONE, CONFIGURATION_CONFLICT, LEASE_ENDED)
)
"""Errors that show that the store is available."""
