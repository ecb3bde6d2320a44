"""Tests of a fleet in which a few nodes watch the store for all, on a virtual clock."""

import random
import unittest
from collections.abc import Awaitable, Callable

import attrs
import trio
import trio.testing

from gooseberrydock.clock import MS_PER_SECOND, Clock, Millis
from gooseberrydock.errorcodes import LEASE_ENDED, STORE_HISTORY_GONE, STORE_UNAVAILABLE
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.members import Member
from gooseberrydock.mesh.read_pacing import create_read_pacer
from gooseberrydock.mesh.store import Lease, StoreChanges, StoreItem
from gooseberrydock.mesh.store_sync import StoreSync
from gooseberrydock.mesh.watch_plan import WatchPlan
from gooseberrydock.messages import RecordChanges
from tests.mesh_helpers import make_member

_CLOCK = Clock(
    now_ms=lambda: trio.current_time() * MS_PER_SECOND,
    wall_ms=lambda: trio.current_time() * MS_PER_SECOND,
)
_PREFIX = "nodes/"
_OLD_READ_AGE_S = 2.0
_SETTLED_S = 12.0
"""Time after which a fleet that starts has settled."""


@attrs.define(eq=False)
class _SharedStore:
    """Store of keys with history, whose cheap reads return the state of two seconds ago."""

    history: list[tuple[float, StoreItem]] = attrs.field(factory=list)
    leases: dict[int, set[str]] = attrs.field(factory=dict)
    compacted_revision: int = 0
    is_down: bool = False
    reads: int = 0
    old_reads: int = 0
    watches: int = 0
    writes: int = 0
    era: int = 0
    calls: int = 0
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

    async def read_prefix(self, prefix: str, may_be_old: bool = False) -> StoreChanges:
        await self._answer()
        if may_be_old:
            self.old_reads += 1
        else:
            self.reads += 1
        until = trio.current_time() - (_OLD_READ_AGE_S if may_be_old else 0.0)
        state: dict[str, StoreItem] = {}
        revision = 1
        for changed_at, item in self.history:
            if changed_at <= until:
                state[item.key] = item
                revision = item.revision
        items = (item for key, item in state.items() if key.startswith(prefix))
        return StoreChanges(tuple(item for item in items if item.value is not None), revision)

    async def watch(self, prefix: str, after: int, wait_ms: Millis) -> StoreChanges:
        self.watches += 1
        await self._answer()
        if after < self.compacted_revision:
            raise GooseberrydockError(STORE_HISTORY_GONE, Step.STORE)
        with trio.move_on_after(wait_ms / MS_PER_SECOND):
            while True:
                items = [
                    item
                    for _, item in self.history
                    if item.revision > after and item.key.startswith(prefix)
                ]
                if items:
                    return StoreChanges(tuple(items), self.revision)
                await self.changed.wait()
                if self.is_down:
                    raise GooseberrydockError(STORE_UNAVAILABLE, Step.STORE)
        return StoreChanges((), self.revision)

    async def grant_lease(self, ttl_ms: Millis) -> Lease:
        await self._answer()
        lease = Lease(len(self.leases) + self.revision * 1_000, ttl_ms)
        self.leases[lease.lease_id] = set()
        return lease

    async def renew_lease(self, lease_id: int) -> None:
        await self._answer()
        if lease_id not in self.leases:
            raise GooseberrydockError(LEASE_ENDED, Step.STORE)

    async def end_lease(self, lease_id: int) -> None:
        await self._answer()
        for key in self.leases.pop(lease_id):
            self.put(key, None)

    async def write(self, key: str, value: bytes, lease_id: int, expected_revision: int) -> int:
        await self._answer()
        if lease_id not in self.leases:
            raise GooseberrydockError(LEASE_ENDED, Step.STORE)
        self.writes += 1
        self.leases[lease_id].add(key)
        return self.put(key, value)

    async def read(self, key: str) -> StoreItem | None:
        return None


@attrs.define(eq=False)
class _UnavailableStore:
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
class _Node:
    """A node with the records and the table that it knows."""

    member: Member
    fleet: "_Fleet"
    values: dict[str, bytes] = attrs.field(factory=dict)
    sync: StoreSync = attrs.field(init=False)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    hears_others: bool = True

    def on_store_items(self, items: tuple[StoreItem, ...], is_snapshot: bool) -> bool:
        """Apply items."""
        if is_snapshot:
            self.values = {k: v for k, v in self.values.items() if not k.startswith(_PREFIX)}
        for item in items:
            if item.value is not None:
                self.values[item.key] = item.value
            elif item.key == _PREFIX + self.member.node_id:
                self.sync.on_own_record_removed(item.revision)
            else:
                self.values.pop(item.key, None)
        return any(item.value is None for item in items)

    def forward_record_changes(self, changes: RecordChanges) -> None:
        """Send changes to the other nodes of the failure domain."""
        for node in self.fleet.live:
            is_near = node.member.failure_domain == self.member.failure_domain
            if node is not self and is_near and node.hears_others:
                node.sync.on_forwarded_changes(changes)

    def on_store_availability(self, is_available: bool) -> None:
        """Ignore the availability."""

    @property
    def records(self) -> dict[str, bytes]:
        """Return the known records of other nodes."""
        own_key = _PREFIX + self.member.node_id
        return {k: v for k, v in self.values.items() if k.startswith(_PREFIX) and k != own_key}


@attrs.define(eq=False)
class _Fleet:
    """Nodes that start together on one store."""

    store: _SharedStore
    nodes: list[_Node] = attrs.field(factory=list)

    @property
    def live(self) -> list[_Node]:
        """Return the running nodes."""
        return [node for node in self.nodes if not node.scope.cancel_called]

    @property
    def watching(self) -> list[_Node]:
        """Return the running nodes that watch the store."""
        now_ms = _CLOCK.now_ms()
        return [node for node in self.live if node.sync._plan.watches(now_ms)]

    def add(self, member: Member, store: object | None = None) -> _Node:
        """Add a node that starts now."""
        node = _Node(member, self)
        node.sync = StoreSync(
            store=store or self.store,  # type: ignore[arg-type]
            sink=node,
            clock=_CLOCK,
            random=random.Random(member.node_id),
            node_prefix=_PREFIX,
            lease_min_ms=1_000.0,
            pacer=create_read_pacer(16_000.0, lambda: len(self.nodes), _CLOCK.now_ms()),
            plan=WatchPlan(
                own_record=lambda: member,
                others=lambda: [item.member for item in self.live if item is not node],
                node_count=lambda: len(self.nodes),
                started_at=_CLOCK.now_ms(),
            ),
        )
        self.nodes.append(node)
        return node

    async def run_node(self, node: _Node) -> None:
        """Run the tasks of a node until its scope is cancelled."""
        node.sync.set_record(node.member)
        with node.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.sync.watch_table, "table")
                nursery.start_soon(node.sync.watch_records)
                nursery.start_soon(node.sync.maintain_record)

    async def wait_for_record(self, node_id: str, value: bytes, within_s: float) -> None:
        """Wait until all live nodes know a value of another node's record."""
        key = _PREFIX + node_id
        with trio.fail_after(within_s):
            while any(
                node.values.get(key) != value
                for node in self.live
                if node.member.node_id != node_id
            ):
                await trio.sleep(0.05)


class WatchingNodesCases(unittest.TestCase):
    """A fleet of 40 nodes in two failure domains."""

    def _run(self, scenario: Callable[[_Fleet], Awaitable[None]]) -> None:
        async def main() -> None:
            fleet = _Fleet(_SharedStore())
            fleet.store.put("table", b"1")
            async with trio.open_nursery() as nursery:
                for number in range(40):
                    node = fleet.add(make_member(f"n{number}", domain=f"d{number % 2}"))
                    nursery.start_soon(fleet.run_node, node)
                await trio.sleep(_SETTLED_S)
                await scenario(fleet)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))

    def test_start_and_change_cost_few_reads_and_reach_every_node(self) -> None:
        async def scenario(fleet: _Fleet) -> None:
            store = fleet.store
            self.assertEqual([39] * 40, [len(node.records) for node in fleet.nodes])
            self.assertEqual({b"1"}, {node.values["table"] for node in fleet.nodes})
            self.assertEqual(6, len(fleet.watching))
            self.assertLessEqual(store.reads, 2 * 40)
            before = store.reads + store.watches
            for value in (b"a", b"b", b"c"):
                store.put(_PREFIX + "n0", value)
                await fleet.wait_for_record("n0", value, within_s=4.0)
            # Each watching node reads each change once, and its other watch may time out.
            self.assertLessEqual(store.reads + store.watches - before, 6 * 5)

        self._run(scenario)

    def test_table_that_is_written_after_the_start_costs_few_exact_reads(self) -> None:
        async def scenario(fleet: _Fleet) -> None:
            store = _SharedStore()
            late = _Fleet(store)
            async with trio.open_nursery() as nursery:
                for number in range(40):
                    node = late.add(make_member(f"n{number}", domain=f"d{number % 2}"))
                    nursery.start_soon(late.run_node, node)
                await trio.sleep(2.0)
                store.put("table", b"1")
                await trio.sleep(5.0)
                self.assertEqual([b"1"] * 40, [node.values.get("table") for node in late.nodes])
                # One read of the table by each node, and one of the records after a gap.
                self.assertLessEqual(store.reads, 2 * 40)
                nursery.cancel_scope.cancel()

        self._run(scenario)

    def test_node_that_missed_changes_reads_them_at_the_next_ones(self) -> None:
        async def scenario(fleet: _Fleet) -> None:
            deaf = next(node for node in fleet.live if node not in fleet.watching)
            deaf.hears_others = False
            fleet.store.put(_PREFIX + "n0", b"missed")
            await trio.sleep(4.0)
            deaf.hears_others = True
            fleet.store.put(_PREFIX + "n1", b"heard")
            await fleet.wait_for_record("n0", b"missed", within_s=5.0)
            await fleet.wait_for_record("n1", b"heard", within_s=1.0)

        self._run(scenario)

    def test_node_that_hears_nothing_polls(self) -> None:
        async def scenario(fleet: _Fleet) -> None:
            for node in fleet.nodes:
                node.hears_others = False
            fleet.store.put(_PREFIX + "n0", b"polled")
            await fleet.wait_for_record("n0", b"polled", within_s=16.0)

        self._run(scenario)

    def test_another_node_watches_in_the_place_of_those_that_ended(self) -> None:
        async def scenario(fleet: _Fleet) -> None:
            for node in fleet.watching:
                node.scope.cancel()
            await trio.sleep(2.5)
            self.assertEqual(6, len(fleet.watching))
            changed = fleet.live[0].member.node_id
            fleet.store.put(_PREFIX + changed, b"after")
            await fleet.wait_for_record(changed, b"after", within_s=4.0)

        self._run(scenario)

    def test_records_that_lapsed_in_an_outage_are_back_two_seconds_after_it(self) -> None:
        async def scenario(fleet: _Fleet) -> None:
            store = fleet.store
            await trio.sleep(20.0)
            writes = store.writes
            store.set_down(True)
            await trio.sleep(7.0)
            store.expire_leases()
            store.set_down(False)
            with trio.fail_after(2.0):
                while store.writes < writes + 40:
                    await trio.sleep(0.02)
            await trio.sleep(2.0)
            self.assertEqual([39] * 40, [len(node.records) for node in fleet.nodes])

        self._run(scenario)

    def test_record_removed_at_a_stop_is_not_written_again(self) -> None:
        async def scenario(fleet: _Fleet) -> None:
            stopping = fleet.nodes[0]
            key = _PREFIX + stopping.member.node_id
            changed = attrs.evolve(stopping.member, version=2)
            stopping.sync.set_record(changed)
            await stopping.sync.remove_record(1_000.0)
            stopping.sync.set_record(attrs.evolve(changed, version=3))
            await trio.sleep(20.0)
            writes = [item for _, item in fleet.store.history if item.key == key]
            self.assertIsNone(writes[-1].value)

        self._run(scenario)

    def test_starting_node_does_not_use_a_table_that_was_replaced(self) -> None:
        async def scenario(fleet: _Fleet) -> None:
            fleet.store.put("table", b"2")
            await trio.sleep(_OLD_READ_AGE_S / 2)
            starting = fleet.add(make_member("starting", domain="d0"))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.run_node, starting)
                with trio.fail_after(0.5):
                    while "table" not in starting.values:
                        await trio.sleep(0.01)
                self.assertEqual(b"2", starting.values["table"])
                starting.scope.cancel()

        self._run(scenario)

    def test_lost_history_is_read_again_by_those_that_watch(self) -> None:
        async def scenario(fleet: _Fleet) -> None:
            store = fleet.store
            await trio.sleep(20.0)
            reads = store.reads
            store.put(_PREFIX + "n0", b"a")
            store.put(_PREFIX + "n1", None)
            store.compacted_revision = store.revision
            await fleet.wait_for_record("n0", b"a", within_s=5.0)
            self.assertLessEqual(store.reads - reads, 2 * 6)

        self._run(scenario)

    def test_node_turned_away_by_the_store_hears_of_changes(self) -> None:
        async def scenario(fleet: _Fleet) -> None:
            rejected = fleet.add(make_member("rejected", domain="d1"), _UnavailableStore())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.run_node, rejected)
                rejected.values.update(fleet.nodes[0].values)
                rejected.sync._records.revision = fleet.store.revision
                fleet.store.put(_PREFIX + "n0", b"forwarded")
                await fleet.wait_for_record("n0", b"forwarded", within_s=4.0)
                rejected.scope.cancel()

        self._run(scenario)
