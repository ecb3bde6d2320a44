"""The tasks that synchronize a node with the store: reads of changes, and writes of its record.

A node watches the store or polls the records, as ``watch_plan`` decides. Whether it watches or not,
it reads the route table when ``table_freshness`` says so. A node that watches the records forwards
their changes to the nodes of its failure domain, each time with the revisions between which these
are all changes. A node that misses some of them notices the gap and reads all records.

Revisions and lease numbers are forgotten when the store comes back from an older copy, which gives
them out again. A call during which that happens counts as failed, whatever its answer.

Lease renewals are cheap and writes are not, so the record is written only when it changes or when
its lease was lost. All delays after failures have jitter, so that not all nodes send requests at
once to a store that has recovered.
"""

import random
from collections.abc import Awaitable
from typing import Final, Protocol, TypeVar

import attrs
import trio

from gooseberrydock.backoff import Backoff, BackoffPolicy
from gooseberrydock.clock import MS_PER_SECOND, Clock, Millis
from gooseberrydock.errorcodes import (
    CONFIGURATION_CONFLICT,
    LEASE_ENDED,
    STORE_HISTORY_GONE,
    STORE_HISTORY_REPLACED,
    ErrorCode,
)
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.events import (
    LEASE_LOST,
    STORE_BACK,
    STORE_HISTORY_LOST,
    STORE_LOST,
    STORE_RESTORED,
    STORE_SILENT,
    WATCH_ROLE_CHANGED,
)
from gooseberrydock.logs import log, log_and_suppress_errors
from gooseberrydock.members import Member, encode_member
from gooseberrydock.mesh.read_pacing import ReadPacer
from gooseberrydock.mesh.store import Lease, Store, StoreChanges, StoreItem
from gooseberrydock.mesh.table_freshness import TableFreshness
from gooseberrydock.mesh.watch_plan import WatchPlan
from gooseberrydock.mesh.watched_prefix import WatchedPrefix
from gooseberrydock.messages import RecordChange, RecordChanges

_Answer = TypeVar("_Answer")

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
_MIN_WAIT_MS: Final[Millis] = 1.0
"""Shortest wait; the clock may not advance during one below its resolution."""
_SILENCE_TIMEOUT_MS: Final[Millis] = 500.0
"""Time after which a read is repeated on a new connection, as open ones may have gone silent."""
_LEASE_TTL_MS: Final[Millis] = 9_000.0
"""Lease TTL: time after the last renewal for which the record of a failed node remains."""
_EARLIEST_RENEWAL_FRACTION: Final = 0.7
"""Fraction of the renewal interval after which a renewal is made together with other work."""
RETRY_POLICY: Final = BackoffPolicy(
    min_delay_ms=60.0, base_delay_ms=60.0, max_delay_ms=900.0, multiplier=1.7
)
"""Delays after failures; records are written again within two seconds of a store's recovery."""
_GAP_READ_JITTER_MS: Final[Millis] = 400.0
"""Time over which the nodes that missed forwarded changes spread their reads."""
_MAX_RECOVERY_WAIT_MS: Final[Millis] = 5_000.0
"""Time that a watch leaves retries of an unavailable store to the lease renewal. The renewal
retries with the delays above and wakes the watches; this bound covers a renewal that is stuck."""


class StoreSink(Protocol):
    """Receive the contents of the store and its availability."""

    def on_store_items(self, items: tuple[StoreItem, ...], is_snapshot: bool) -> bool:
        """Apply items; a snapshot holds all records, so that those it omits are removed.

        Returns whether an item was removed that may soon be written again and must then be read in
        time.
        """

    def forward_record_changes(self, changes: RecordChanges) -> None:
        """Send changes of records to the nodes of the failure domain, most of which only poll."""

    def report_status(self) -> None:
        """Report to other nodes that the route table was read, or that this node watches."""

    def on_store_availability(self, is_available: bool) -> None:
        """Record whether the store is available to this node."""

    def on_store_restored(self) -> None:
        """Record that the store came back from an older copy."""


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
    _plan: WatchPlan
    _freshness: TableFreshness
    _records: WatchedPrefix = attrs.field(init=False)
    _is_available: bool = True
    _last_success_at: Millis = 0.0
    _record: Member | None = None
    _written_record: Member | None = None
    _revision: int = 0
    _lease: Lease | None = None
    _renewed_at: Millis = 0.0
    _is_removing: bool = False
    _work_available: trio.Event = attrs.field(factory=trio.Event)
    _watch_scopes: set[trio.CancelScope] = attrs.field(factory=set)
    _available_again: trio.Event = attrs.field(factory=trio.Event)
    _era: int | None = None
    _table: WatchedPrefix | None = None

    @_records.default
    def _create_records(self) -> WatchedPrefix:
        return WatchedPrefix(self._node_prefix, _FAST_RECORDS_PAUSE_MS, _SETTLED_RECORDS_PAUSE_MS)

    @property
    def store_calls(self) -> int:
        """Return the number of calls to the store so far."""
        return self._store.calls

    @property
    def watch_age_ms(self) -> Millis:
        """Return the time since a node of the failure domain, or this node, watched the records."""
        if self._records.is_watched and self._is_available:
            return 0.0
        return self._plan.watch_age_ms(self._clock.now_ms())

    def on_watch_report(self, reporter: Member, age_ms: Millis, delay_ms: Millis) -> None:
        """Record when a node of the failure domain was watching the records."""
        now_ms = self._clock.now_ms()
        watching = reporter if age_ms == 0.0 else None
        has_ended = self._plan.on_watch_report(now_ms - age_ms - delay_ms, now_ms, watching)
        if has_ended and not self._plan.watches(now_ms):
            self._restart_watches()

    def set_record(self, member: Member) -> None:
        """Schedule a write of this node's record."""
        self._record = member
        self._work_available.set()

    async def watch_table(self, key: str) -> None:
        """Pass the route table to the sink, at first and after each change."""
        table = self._table = WatchedPrefix(key, fast_ms=0.0, settled_ms=0.0, is_polled=False)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._refresh_table, table)
            await self._follow(table)

    async def watch_records(self) -> None:
        """Pass the node records to the sink, at first and after changes."""
        await self._follow(self._records)

    def on_forwarded_changes(self, changes: RecordChanges) -> None:
        """Apply changes of records that a watching node forwarded, or read all after a gap."""
        records = self._records
        if self._era is None:
            self._era = changes.era
        if changes.era < self._era:
            return
        if changes.era > self._era and changes.after < 0:
            # The other node has read all records of the restored store.
            self._era = changes.era
            self._on_restored()
        if changes.era == self._era and changes.upto <= records.revision:
            if changes.upto < records.revision:
                records.on_lower_revision()
            return
        if changes.era > self._era or changes.after > records.revision:
            records.has_gap = True
            records.woken.set()
            return
        items = tuple(
            StoreItem(records.prefix + item.node_id, item.value or None, item.revision)
            for item in changes.changes
            if item.revision > records.revision
        )
        records.revision = changes.upto
        records.is_unproven = False
        self._apply(items, is_snapshot=False)

    async def _follow(self, prefix: WatchedPrefix) -> None:
        """Pass all items of a prefix to the sink; a pause batches changes into one answer."""
        backoff = Backoff(self._random, RETRY_POLICY)
        while True:
            try:
                if self._plan.watches(self._clock.now_ms()):
                    await self._watch_step(prefix)
                    backoff.reset()
                    pause_ms = self._pacer.pause_ms(
                        self._clock.now_ms(), prefix.fast_ms, prefix.settled_ms
                    )
                    if pause_ms:
                        await trio.sleep(pause_ms / MS_PER_SECOND)
                elif prefix.is_polled:
                    await self._poll_step(prefix)
                    backoff.reset()
                    await self._wait_for_poll(prefix)
                else:
                    self._set_watched(prefix, is_watched=False)
                    await trio.sleep(
                        self._plan.check_interval_ms(self._clock.now_ms()) / MS_PER_SECOND
                    )
            except GooseberrydockError as error:
                # Read all items again: a new watch might miss changes from before the failure.
                prefix.must_read = True
                if error.code is STORE_HISTORY_GONE:
                    log(STORE_HISTORY_LOST, prefix=prefix.prefix, revision=prefix.read_revision)
                self._note_failure(error)
                await self._wait_to_retry(backoff)

    async def _refresh_table(self, table: WatchedPrefix) -> None:
        """Read the route table whenever the latest confirmation of it is too old."""
        backoff = Backoff(self._random, RETRY_POLICY)
        while True:
            wait_ms = self._freshness.read_at - self._clock.now_ms()
            if wait_ms > 0:
                await trio.sleep(max(_MIN_WAIT_MS, wait_ms) / MS_PER_SECOND)
                continue
            try:
                await self._read_table(table)
                backoff.reset()
            except GooseberrydockError as error:
                self._note_failure(error)
                was_unavailable = not self._is_available
                await self._wait_to_retry(backoff)
                if was_unavailable:
                    self._freshness.defer(self._clock.now_ms())

    async def _read_table(self, table: WatchedPrefix) -> None:
        sent_at = self._clock.now_ms()
        changes: StoreChanges | None = None
        with trio.move_on_after(_SILENCE_TIMEOUT_MS / MS_PER_SECOND):
            changes = await self._await_changes(self._store.read_prefix(table.prefix))
        if changes is None:
            log(STORE_SILENT, calls=self._store.calls)
            self._restart_watches()
            sent_at = self._clock.now_ms()
            changes = await self._await_changes(self._store.read_prefix(table.prefix))
        self._check_revision(table, changes)
        table.replace_all(changes)
        self._apply(changes.items, is_snapshot=False)
        self._freshness.on_read(sent_at)
        self._sink.report_status()

    async def _wait_to_retry(self, backoff: Backoff) -> None:
        """Wait after a failure, and longer while the lease renewal retries an unavailable store.

        The backoff delay always applies: a store may refuse reads while it still renews leases.
        """
        await trio.sleep(backoff.next_delay_ms() / MS_PER_SECOND)
        if not self._is_available and self._record is not None:
            with trio.move_on_after(_MAX_RECOVERY_WAIT_MS / MS_PER_SECOND):
                await self._available_again.wait()

    async def _watch_step(self, prefix: WatchedPrefix) -> None:
        """Read all items if that is due, or wait for changes; forward changes of records."""
        if self._set_watched(prefix, is_watched=True):
            prefix.forwarded_revision = prefix.read_revision
            self._sink.report_status()
        if prefix.must_read:
            changes = await self._await_changes(self._store.read_prefix(prefix.prefix))
            self._check_revision(prefix, changes)
            is_first_read = prefix.read_revision < 0
            items = prefix.replace_all(changes)
            self._apply_all(prefix, changes)
        else:
            is_first_read = False
            watched = await self._watch_once(prefix.prefix, prefix.read_revision)
            if watched is None:
                return
            changes, items = watched, watched.items
            prefix.add(changes)
            if items:
                self._apply(items, is_snapshot=False)
        if prefix is self._records and (items or is_first_read):
            self._forward(prefix.forwarded_revision, changes.revision, items)
            prefix.forwarded_revision = changes.revision

    def _set_watched(self, prefix: WatchedPrefix, is_watched: bool) -> bool:
        """Record whether this node watches a prefix; return whether that changed."""
        if prefix.is_watched == is_watched:
            return False
        prefix.is_watched = is_watched
        log(WATCH_ROLE_CHANGED, prefix=prefix.prefix, watches=is_watched)
        return True

    async def _poll_step(self, prefix: WatchedPrefix) -> None:
        """Read all items if that is due."""
        self._set_watched(prefix, is_watched=False)
        now_ms = self._clock.now_ms()
        interval_ms = self._plan.poll_interval_ms(now_ms, prefix.has_items)
        is_due = now_ms - prefix.polled_at >= interval_ms
        if not (is_due or prefix.must_read or prefix.has_gap):
            return
        may_be_old = not (prefix.has_gap or prefix.needs_latest)
        if prefix.has_gap:
            # All nodes of the failure domain may have the gap.
            await trio.sleep(self._random.uniform(0.0, _GAP_READ_JITTER_MS) / MS_PER_SECOND)
        changes = await self._await_changes(self._store.read_prefix(prefix.prefix, may_be_old))
        prefix.polled_at = now_ms
        if not may_be_old:
            self._check_revision(prefix, changes)
        if changes.revision < prefix.revision:
            prefix.on_lower_revision()
            return
        prefix.replace_all(changes, may_be_old)
        self._apply_all(prefix, changes)

    async def _wait_for_poll(self, prefix: WatchedPrefix) -> None:
        """Wait until a poll may be due, or until the changes forwarded to this node have a gap."""
        now_ms = self._clock.now_ms()
        interval_ms = self._plan.poll_interval_ms(now_ms, prefix.has_items)
        due_ms = prefix.polled_at + interval_ms - now_ms
        wait_ms = min(due_ms * self._random.uniform(0.9, 1.1), self._plan.check_interval_ms(now_ms))
        with trio.move_on_after(max(_MIN_WAIT_MS, wait_ms) / MS_PER_SECOND):
            await prefix.woken.wait()
        prefix.woken = trio.Event()

    def _apply_all(self, prefix: WatchedPrefix, changes: StoreChanges) -> None:
        """Apply a read of all items; only one of the records says which records are gone."""
        is_of_records = prefix is self._records
        self._apply(changes.items, is_snapshot=is_of_records)
        if is_of_records:
            self._check_own_record(changes)

    def _apply(self, items: tuple[StoreItem, ...], is_snapshot: bool) -> None:
        with log_and_suppress_errors(self._node_prefix):
            may_reappear = self._sink.on_store_items(items, is_snapshot)
            if may_reappear:
                self._pacer.read_fast(self._clock.now_ms())

    def _forward(self, after: int, upto: int, items: tuple[StoreItem, ...]) -> None:
        """Forward changes of records to the nodes that do not watch."""
        changes = tuple(
            RecordChange(item.key.removeprefix(self._node_prefix), item.value or b"", item.revision)
            for item in items
        )
        self._sink.forward_record_changes(RecordChanges(self._era or 0, after, upto, changes))

    def _check_own_record(self, changes: StoreChanges) -> None:
        """Write this node's record again if the store has removed it."""
        if self._written_record is None:
            return
        own_key = self._node_prefix + self._written_record.node_id
        if all(item.key != own_key for item in changes.items):
            self.on_own_record_removed(changes.revision)

    async def _watch_once(self, prefix: str, revision: int) -> StoreChanges | None:
        """Wait for changes; return None if the store recovers during the wait."""
        with trio.CancelScope() as scope:
            self._watch_scopes.add(scope)
            try:
                return await self._await_changes(
                    self._store.watch(prefix, revision, _WATCH_WAIT_MS)
                )
            finally:
                self._watch_scopes.discard(scope)
        return None

    async def _await_changes(self, call: Awaitable[StoreChanges]) -> StoreChanges:
        changes = await self._call(call)
        self._note_success()
        return changes

    async def _call(self, call: Awaitable[_Answer]) -> _Answer:
        """Return the answer of the store, unless it or the question is from an earlier era."""
        era = self._era
        try:
            answer = await call
        finally:
            self._check_era()
        if era is not None and self._era != era:
            raise GooseberrydockError(STORE_HISTORY_REPLACED, Step.STORE)
        return answer

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
        """Remove the record if the store answers before the timeout; it is not written again.

        Its lease is left to expire: after a restore of the store, another node may hold the number.
        """
        self._is_removing = True
        if self._lease is None or self._record is None:
            return
        key = self._node_prefix + self._record.node_id
        with trio.move_on_after(timeout_ms / MS_PER_SECOND):
            try:
                await self._remove_key(key)
            except GooseberrydockError as error:
                # The record is still removed when its lease expires, only later.
                self._note_failure(error)

    async def _remove_key(self, key: str) -> None:
        try:
            await self._call(self._store.remove(key, self._revision))
        except GooseberrydockError as error:
            if error.code not in (CONFIGURATION_CONFLICT, STORE_HISTORY_REPLACED):
                raise
            await self._read_own_revision(key)
            if self._revision:
                await self._call(self._store.remove(key, self._revision))

    async def _maintenance_step(self) -> None:
        """Perform the steps that are due: renew the lease, grant one, write the record."""
        lease = self._lease
        if lease is not None and self._is_renewal_due(lease):
            await self._renew(lease)
        if self._record is None or self._is_removing:
            return
        if self._lease is None:
            ttl_ms = max(_LEASE_TTL_MS, self._lease_min_ms)
            self._lease = await self._call(self._store.grant_lease(ttl_ms))
            self._renewed_at = self._clock.now_ms()
            self._written_record = None
        if self._written_record is not self._record and not self._is_removing:
            await self._write(self._record, self._lease)

    async def _renew(self, lease: Lease) -> None:
        try:
            await self._call(self._store.renew_lease(lease.lease_id))
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
            self._revision = await self._call(
                self._store.write(key, encode_member(record), lease.lease_id, self._revision)
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
        item = await self._call(self._store.read(key))
        self._revision = item.revision if item is not None else 0

    async def _wait_for_work(self) -> None:
        """Wait until the record changes or a lease renewal is due."""
        if self._written_record is not self._record and not self._is_removing:
            return
        lease = self._lease
        wait_ms = lease.ttl_ms * _RENEWAL_FRACTION if lease is not None else _LEASE_TTL_MS
        with trio.move_on_after(wait_ms * self._random.uniform(0.8, 1.0) / MS_PER_SECOND):
            await self._work_available.wait()
        self._work_available = trio.Event()

    def _is_renewal_due(self, lease: Lease) -> bool:
        due_ms = lease.ttl_ms * _RENEWAL_FRACTION * _EARLIEST_RENEWAL_FRACTION
        return not self._is_available or self._clock.now_ms() - self._renewed_at >= due_ms

    def on_own_record_removed(self, revision: int) -> None:
        """Schedule a new write if the store removed this node's record after its last write."""
        if revision < self._revision:
            return
        self._schedule_write(expected_revision=0)

    def _check_era(self) -> None:
        """Notice that the store has come back from an older copy since the last answer."""
        era, known_era = self._store.era, self._era
        if era is None or (known_era is not None and era <= known_era):
            return
        self._era = era
        if known_era is not None:
            self._on_restored()

    def _check_revision(self, prefix: WatchedPrefix, changes: StoreChanges) -> None:
        """Notice the same by a latest revision that is lower than before, if no era is named."""
        if changes.revision < prefix.read_revision:
            self._on_restored()

    def _on_restored(self) -> None:
        """Forget all revisions and the lease, whose numbers the store may give out again."""
        log(STORE_RESTORED, era=self._era, calls=self._store.calls)
        for prefix in (self._records, self._table):
            if prefix is not None:
                prefix.forget_revisions()
        # The copy mostly has this node's record, at the revision of its last write.
        self._schedule_write(self._revision)
        self._pacer.read_fast(self._clock.now_ms())
        self._restart_watches()
        self._sink.on_store_restored()

    def _restart_watches(self) -> None:
        """Send waiting watches again, since they may never be answered."""
        for scope in self._watch_scopes:
            scope.cancel()

    def _schedule_write(self, expected_revision: int) -> None:
        """Schedule a new write of this node's record under a new lease."""
        self._written_record = None
        self._revision = expected_revision
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
            self._restart_watches()
            log(STORE_BACK, away_ms=round(now_ms - self._last_success_at))
            self._sink.on_store_availability(is_available=True)
        self._last_success_at = now_ms


_AVAILABLE_STORE_ERRORS: Final[frozenset[ErrorCode]] = frozenset(
    (STORE_HISTORY_GONE, STORE_HISTORY_REPLACED, CONFIGURATION_CONFLICT, LEASE_ENDED)
)
"""Errors that show that the store is available."""
