"""Tests of a fleet in which a few nodes watch the store for all, on a virtual clock."""

import unittest

import attrs
import trio

from tests.mesh_helpers import make_member
from tests.store_fleet import (
    CLOCK,
    OLD_READ_AGE_S,
    PREFIX,
    SharedStore,
    StoreFleet,
    UnavailableStore,
    run_store_fleet,
)


class WatchingNodesCases(unittest.TestCase):
    """A fleet of 40 nodes in two failure domains."""

    def test_start_and_change_cost_few_reads_and_reach_every_node(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            store = fleet.store
            self.assertEqual([39] * 40, [len(node.records) for node in fleet.nodes])
            self.assertEqual({b"1"}, {node.values["table"] for node in fleet.nodes})
            self.assertEqual(6, len(fleet.watching))
            self.assertLessEqual(store.reads, 2 * 40)
            before = store.reads + store.watches
            for value in (b"a", b"b", b"c"):
                store.put(PREFIX + "n0", value)
                await fleet.wait_for_record("n0", value, within_s=4.0)
            # Each watching node reads each change once, and its other watch may time out.
            self.assertLessEqual(store.reads + store.watches - before, 6 * 5)

        run_store_fleet(scenario)

    def test_table_that_is_written_after_the_start_costs_few_exact_reads(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            store = SharedStore()
            late = StoreFleet(store)
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

        run_store_fleet(scenario)

    def test_node_that_missed_changes_reads_them_at_the_next_ones(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            deaf = next(node for node in fleet.live if node not in fleet.watching)
            deaf.hears_others = False
            fleet.store.put(PREFIX + "n0", b"missed")
            await trio.sleep(4.0)
            deaf.hears_others = True
            fleet.store.put(PREFIX + "n1", b"heard")
            await fleet.wait_for_record("n0", b"missed", within_s=5.0)
            await fleet.wait_for_record("n1", b"heard", within_s=1.0)

        run_store_fleet(scenario)

    def test_node_that_hears_nothing_polls(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            for node in fleet.nodes:
                node.hears_others = False
            fleet.store.put(PREFIX + "n0", b"polled")
            await fleet.wait_for_record("n0", b"polled", within_s=16.0)

        run_store_fleet(scenario)

    def test_another_node_watches_in_the_place_of_those_that_ended(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            for node in fleet.watching:
                node.scope.cancel()
            await trio.sleep(2.5)
            self.assertEqual(6, len(fleet.watching))
            changed = fleet.live[0].member.node_id
            fleet.store.put(PREFIX + changed, b"after")
            await fleet.wait_for_record(changed, b"after", within_s=4.0)

        run_store_fleet(scenario)

    def test_records_that_lapsed_in_an_outage_are_back_two_seconds_after_it(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
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

        run_store_fleet(scenario)

    def test_record_removed_at_a_stop_is_not_written_again(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            stopping = fleet.nodes[0]
            key = PREFIX + stopping.member.node_id
            changed = attrs.evolve(stopping.member, version=2)
            stopping.sync.set_record(changed)
            await stopping.sync.remove_record(1_000.0)
            stopping.sync.set_record(attrs.evolve(changed, version=3))
            await trio.sleep(20.0)
            writes = [item for _, item in fleet.store.history if item.key == key]
            self.assertIsNone(writes[-1].value)

        run_store_fleet(scenario)

    def test_poll_that_is_almost_due_lets_the_clock_advance(self) -> None:
        # Guards against a wait below the clock's resolution, so that a poll went round without end.
        async def scenario(fleet: StoreFleet) -> None:
            node = next(item for item in fleet.nodes if item not in fleet.watching)
            records, plan = node.sync._records, node.sync._plan
            for remaining_ms in (0.0, 1e-13, 1e-9):
                interval_ms = plan.poll_interval_ms(CLOCK.now_ms(), records.has_items)
                records.polled_at = CLOCK.now_ms() - interval_ms + remaining_ms
                records.woken = trio.Event()
                waits_since = CLOCK.now_ms()
                await node.sync._wait_for_poll(records)
                self.assertGreaterEqual(CLOCK.now_ms() - waits_since, 0.5)

        run_store_fleet(scenario)

    def test_starting_node_does_not_use_a_table_that_was_replaced(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            fleet.store.put("table", b"2")
            await trio.sleep(OLD_READ_AGE_S / 2)
            starting = fleet.add(make_member("starting", domain="d0"))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.run_node, starting)
                with trio.fail_after(0.5):
                    while "table" not in starting.values:
                        await trio.sleep(0.01)
                self.assertEqual(b"2", starting.values["table"])
                starting.scope.cancel()

        run_store_fleet(scenario)

    def test_lost_history_is_read_again_by_those_that_watch(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            store = fleet.store
            await trio.sleep(20.0)
            reads = store.reads
            store.put(PREFIX + "n0", b"a")
            store.put(PREFIX + "n1", None)
            store.compacted_revision = store.revision
            await fleet.wait_for_record("n0", b"a", within_s=5.0)
            self.assertLessEqual(store.reads - reads, 2 * 6)

        run_store_fleet(scenario)

    def test_node_turned_away_by_the_store_hears_of_changes(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            rejected = fleet.add(make_member("rejected", domain="d1"), UnavailableStore())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.run_node, rejected)
                rejected.values.update(fleet.nodes[0].values)
                rejected.sync._records.revision = fleet.store.revision
                fleet.store.put(PREFIX + "n0", b"forwarded")
                await fleet.wait_for_record("n0", b"forwarded", within_s=4.0)
                rejected.scope.cancel()

        run_store_fleet(scenario)
