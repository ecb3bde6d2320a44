"""A fleet of store synchronizations on one store in memory, on a virtual clock."""

import math
import random
from collections.abc import Awaitable, Callable

import attrs
import trio
import trio.testing

from gooseberrydock.clock import MS_PER_SECOND, Clock, Millis
from gooseberrydock.errorcodes import (
    CONFIGURATION_CONFLICT,
    LEASE_ENDED,
    STORE_HISTORY_GONE,
    STORE_UNAVAILABLE,
)
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.members import Member
from gooseberrydock.mesh.read_pacing import create_read_pacer
from gooseberrydock.mesh.store import Lease, StoreChanges, StoreItem
from gooseberrydock.mesh.store_sync import StoreSync
from gooseberrydock.mesh.table_freshness import TableFreshness
from gooseberrydock.mesh.watch_plan import WatchPlan
from gooseberrydock.messages import RecordChanges
from tests.mesh_helpers import make_member

CLOCK = Clock(
    now_ms=lambda: trio.current_time() * MS_PER_SECOND,
    wall_ms=lambda: trio.current_time() * MS_PER_SECOND,
)
PREFIX = "nodes/"
OLD_READ_AGE_S = 2.0
SETTLED_S = 12.0
"""Time after which a fleet that starts has settled."""


@attrs.define(eq=False)
class SharedStore:
    """Store of keys with history, whose cheap reads return the state of two seconds ago."""

    history: list[tuple[float, StoreItem]] = attrs.field(factory=list)
    leases: dict[int, set[str]] = attrs.field(factory=dict)
    granted_at_s: dict[int, float] = attrs.field(factory=dict)
    compacted_revision: int = 0
    is_down: bool = False
    reads: int = 0
    old_reads: int = 0
    watches: int = 0
    writes: int = 0
    conflicts: int = 0
    era: int = 0
    calls: int = 0
    old_read_age_s: float = OLD_READ_AGE_S
    lost_history: list[tuple[float, StoreItem]] = attrs.field(factory=list)
    """The history before the last restore, with which cheap reads are answered for a while."""
    restored_at_s: float = -math.inf
    loses_watches: bool = False
    """Whether watches, also those that wait already, are never answered."""
    spoils_values: bool = False
    """Whether the bytes of all values are wrong."""
    changed: trio.Event = attrs.field(factory=trio.Event)

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self.history[-1][1].revision if self.history else 1

    def put(self, key: str, value: bytes | None) -> int:
        """Change or remove a key."""
        item = StoreItem(key, value, self.revision + 1)
        self.history.append((trio.current_time(), item))
        self.changed.set()
        self.changed = trio.Event()
        return item.revision

    def set_down(self, is_down: bool) -> None:
        """Begin or end an outage, in which every call fails and watches are cut."""
        self.is_down = is_down
        self.changed.set()
        self.changed = trio.Event()

    def restore(self, age_s: float) -> None:
        """Come back from a copy of some seconds ago; later changes and leases are gone."""
        until_s = trio.current_time() - age_s
        self.lost_history, self.restored_at_s = self.history, trio.current_time()
        self.history = [entry for entry in self.history if entry[0] <= until_s]
        self.leases = {
            lease: keys
            for lease, keys in self.leases.items()
            if self.granted_at_s[lease] <= until_s
        }
        self.era += 1
        self.set_down(False)

    def current(self, key: str) -> StoreItem | None:
        """Return the item of a key, or None if the key is absent."""
        items = [item for _, item in self.history if item.key == key]
        return items[-1] if items and items[-1].value is not None else None

    async def _answer(self) -> None:
        await trio.sleep(0.004)
        if self.is_down:
            raise GooseberrydockError(STORE_UNAVAILABLE, Step.STORE)

    def expire_leases(self) -> None:
        """End all leases and remove their keys."""
        leases, self.leases = self.leases, {}
        for keys in leases.values():
            for key in keys:
                self.put(key, None)

    def _spoil(self, changes: StoreChanges) -> StoreChanges:
        if not self.spoils_values:
            return changes
        items = (attrs.evolve(item, value=item.value and b"spoiled") for item in changes.items)
        return attrs.evolve(changes, items=tuple(items))

    async def read_prefix(self, prefix: str, may_be_old: bool = False) -> StoreChanges:
        await self._answer()
        if may_be_old:
            self.old_reads += 1
        else:
            self.reads += 1
        until = trio.current_time() - (self.old_read_age_s if may_be_old else 0.0)
        history = self.history if until >= self.restored_at_s else self.lost_history
        state: dict[str, StoreItem] = {}
        revision = 1
        for changed_at, item in history:
            if changed_at <= until:
                state[item.key] = item
                revision = item.revision
        items = (item for key, item in state.items() if key.startswith(prefix))
        found = tuple(item for item in items if item.value is not None)
        return self._spoil(StoreChanges(found, revision))

    async def watch(self, prefix: str, after: int, wait_ms: Millis) -> StoreChanges:
        self.watches += 1
        await self._answer()
        if not self.compacted_revision <= after <= self.revision:
            raise GooseberrydockError(STORE_HISTORY_GONE, Step.STORE)
        with trio.move_on_after(wait_ms / MS_PER_SECOND):
            while True:
                items = [
                    item
                    for _, item in self.history
                    if item.revision > after and item.key.startswith(prefix)
                ]
                if items and not self.loses_watches:
                    return self._spoil(StoreChanges(tuple(items), self.revision))
                await self.changed.wait()
                if self.is_down:
                    raise GooseberrydockError(STORE_UNAVAILABLE, Step.STORE)
        return StoreChanges((), self.revision)

    async def grant_lease(self, ttl_ms: Millis) -> Lease:
        await self._answer()
        lease = Lease(len(self.leases) + self.revision * 1_000, ttl_ms)
        self.leases[lease.lease_id] = set()
        self.granted_at_s[lease.lease_id] = trio.current_time()
        return lease

    async def renew_lease(self, lease_id: int) -> None:
        await self._answer()
        if lease_id not in self.leases:
            raise GooseberrydockError(LEASE_ENDED, Step.STORE)

    async def write(self, key: str, value: bytes, lease_id: int, expected_revision: int) -> int:
        await self._answer()
        if lease_id not in self.leases:
            raise GooseberrydockError(LEASE_ENDED, Step.STORE)
        item = self.current(key)
        if expected_revision != (item.revision if item is not None else 0):
            self.conflicts += 1
            raise GooseberrydockError(CONFIGURATION_CONFLICT, Step.STORE)
        self.writes += 1
        self.leases[lease_id].add(key)
        return self.put(key, value)

    async def remove(self, key: str, expected_revision: int) -> None:
        await self._answer()
        item = self.current(key)
        if expected_revision != (item.revision if item is not None else 0):
            raise GooseberrydockError(CONFIGURATION_CONFLICT, Step.STORE)
        self.put(key, None)

    async def read(self, key: str) -> StoreItem | None:
        await self._answer()
        return self.current(key)


@attrs.define(eq=False)
class StoreConnection:
    """A node's way to a store, on which connections can go silent while new ones work."""

    store: SharedStore
    timeout_s: float = 1.5
    is_silent: bool = False

    @property
    def era(self) -> int:
        """Return the era of the latest answer."""
        return self.store.era

    @property
    def calls(self) -> int:
        """Return the number of calls of all nodes."""
        return self.store.calls

    async def watch(self, prefix: str, after: int, wait_ms: Millis) -> StoreChanges:
        """Watch the store."""
        return await self.store.watch(prefix, after, wait_ms)

    def __getattr__(self, name: str) -> Callable[..., Awaitable[object]]:
        async def call(*arguments: object, **options: object) -> object:
            if self.is_silent:
                # The connection is given up with this call, so that the next one opens another.
                self.is_silent = False
                await trio.sleep(self.timeout_s)
                raise GooseberrydockError(STORE_UNAVAILABLE, Step.STORE)
            return await getattr(self.store, name)(*arguments, **options)

        return call


@attrs.define(eq=False)
class UnavailableStore:
    """Reject every call, as a store does that turns a host away."""

    calls: int = 0
    era: int = 0

    def __getattr__(self, name: str) -> Callable[..., Awaitable[None]]:
        async def reject(*arguments: object, **options: object) -> None:
            self.calls += 1
            await trio.sleep(0.004)
            raise GooseberrydockError(STORE_UNAVAILABLE, Step.STORE)

        return reject


@attrs.define(eq=False)
class StoreNode:
    """A node with the records and the table that it knows."""

    member: Member
    fleet: "StoreFleet"
    values: dict[str, bytes] = attrs.field(factory=dict)
    sync: StoreSync = attrs.field(init=False)
    freshness: TableFreshness = attrs.field(init=False)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    hears_others: bool = True
    gets_changes: bool = True

    def on_store_items(self, items: tuple[StoreItem, ...], is_snapshot: bool) -> bool:
        """Apply items."""
        if is_snapshot:
            self.values = {k: v for k, v in self.values.items() if not k.startswith(PREFIX)}
        for item in items:
            if item.value is not None:
                self.values[item.key] = item.value
            elif item.key == PREFIX + self.member.node_id:
                self.sync.on_own_record_removed(item.revision)
            else:
                self.values.pop(item.key, None)
        return any(item.value is None for item in items)

    def forward_record_changes(self, changes: RecordChanges) -> None:
        """Send changes to the other nodes of the failure domain."""
        for node in self.fleet.live:
            is_near = node.member.failure_domain == self.member.failure_domain
            if node is not self and is_near and node.hears_others and node.gets_changes:
                node.sync.on_forwarded_changes(changes)

    def report_status(self) -> None:
        """Pass the table on to the other nodes, which need not read it then."""
        now_ms = CLOCK.now_ms()
        read_id, age_ms = self.freshness.read_id, self.freshness.age_ms(now_ms)
        for node in self.fleet.live:
            if node is not self and node.hears_others:
                is_later = node.freshness.on_report(now_ms, read_id, age_ms)
                if is_later and "table" in self.values:
                    node.values["table"] = self.values["table"]
        for watching in self.fleet.watching:
            for node in self.fleet.live:
                is_near = node.member.failure_domain == watching.member.failure_domain
                if node is not watching and is_near and node.hears_others:
                    node.sync.on_watch_report(watching.member, age_ms=0.0, delay_ms=0.0)

    def on_store_availability(self, is_available: bool) -> None:
        """Ignore the availability."""

    def on_store_restored(self) -> None:
        """Ignore the restore."""

    @property
    def records(self) -> dict[str, bytes]:
        """Return the known records of other nodes."""
        own_key = PREFIX + self.member.node_id
        return {k: v for k, v in self.values.items() if k.startswith(PREFIX) and k != own_key}


@attrs.define(eq=False)
class StoreFleet:
    """Nodes that start together on one store."""

    store: SharedStore
    nodes: list[StoreNode] = attrs.field(factory=list)

    @property
    def live(self) -> list[StoreNode]:
        """Return the running nodes."""
        return [node for node in self.nodes if not node.scope.cancel_called]

    @property
    def watching(self) -> list[StoreNode]:
        """Return the running nodes that watch the store."""
        now_ms = CLOCK.now_ms()
        return [node for node in self.live if node.sync._plan.watches(now_ms)]

    def add(self, member: Member, store: object | None = None) -> StoreNode:
        """Add a node that starts now."""
        node = StoreNode(member, self)
        generator = random.Random(member.node_id)
        node.freshness = TableFreshness(generator, lambda: len(self.nodes))
        node.sync = StoreSync(
            store=store or self.store,  # type: ignore[arg-type]
            sink=node,
            clock=CLOCK,
            random=generator,
            node_prefix=PREFIX,
            lease_min_ms=1_000.0,
            pacer=create_read_pacer(16_000.0, lambda: len(self.nodes), CLOCK.now_ms()),
            plan=WatchPlan(
                own_record=lambda: member,
                others=lambda: [item.member for item in self.live if item is not node],
                node_count=lambda: len(self.nodes),
                started_at=CLOCK.now_ms(),
                random=generator,
            ),
            freshness=node.freshness,
        )
        self.nodes.append(node)
        return node

    async def run_node(self, node: StoreNode) -> None:
        """Run the tasks of a node until its scope is cancelled."""
        node.sync.set_record(node.member)
        with node.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.sync.watch_table, "table")
                nursery.start_soon(node.sync.watch_records)
                nursery.start_soon(node.sync.maintain_record)

    async def wait_for_record(self, node_id: str, value: bytes, within_s: float) -> None:
        """Wait until all live nodes know a value of another node's record."""
        key = PREFIX + node_id
        with trio.fail_after(within_s):
            while any(
                node.values.get(key) != value
                for node in self.live
                if node.member.node_id != node_id
            ):
                await trio.sleep(0.05)


def run_store_fleet(scenario: Callable[[StoreFleet], Awaitable[None]]) -> None:
    """Run a scenario with 40 settled nodes in two failure domains."""

    async def main() -> None:
        fleet = StoreFleet(SharedStore())
        fleet.store.put("table", b"1")
        async with trio.open_nursery() as nursery:
            for number in range(40):
                node = fleet.add(make_member(f"n{number}", domain=f"d{number % 2}"))
                nursery.start_soon(fleet.run_node, node)
            await trio.sleep(SETTLED_S)
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))
