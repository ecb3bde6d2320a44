"""Tests of a fleet whose store comes back from an older copy, on a virtual clock."""

import unittest

import attrs
import trio

from tests.mesh_helpers import make_member
from tests.store_fleet import PREFIX, StoreFleet, UnavailableStore, run_store_fleet

_CONFIGURATION_S = 2.0
"""Time within which a change of the route table is to be in force."""
_RECORDS_S = 4.0
_POLL_S = 14.0


async def _let_revisions_rise(fleet: StoreFleet, count: int) -> None:
    """Write records that the restored copy will not have."""
    for number in range(count):
        fleet.store.put(f"{PREFIX}other-{number % 5}", b"%d" % number)
    await trio.sleep(4.0)


class RestoredStoreCases(unittest.TestCase):
    """A fleet of 40 nodes; the store loses the changes of the last seconds, and its numbers."""

    def test_table_changed_after_a_restore_is_in_force_on_watching_nodes_in_time(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            await _let_revisions_rise(fleet, 60)
            fleet.store.restore(age_s=5.0)
            await trio.sleep(0.5)
            fleet.store.put("table", b"2")
            with trio.fail_after(_CONFIGURATION_S):
                while {node.values["table"] for node in fleet.watching} != {b"2"}:
                    await trio.sleep(0.02)

        run_store_fleet(scenario)

    def test_node_that_polls_accepts_the_lower_revisions_of_a_restored_store(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            await _let_revisions_rise(fleet, 60)
            for node in fleet.nodes:
                node.gets_changes = False
            fleet.store.restore(age_s=5.0)
            # No node writes this record again after the restore.
            fleet.store.put(PREFIX + "changed", b"after")
            await fleet.wait_for_record("changed", b"after", within_s=_POLL_S)

        run_store_fleet(scenario)

    def test_change_under_a_revision_given_out_twice_is_not_missed(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            await _let_revisions_rise(fleet, 60)
            fleet.store.restore(age_s=5.0)
            expected = {}
            for number in range(120):
                key = f"{PREFIX}new-{number}"
                expected[key] = b"%d" % number
                fleet.store.put(key, expected[key])
                await trio.sleep(0.01)
            await trio.sleep(_RECORDS_S)
            for node in fleet.watching:
                missed = {key for key, value in expected.items() if node.values.get(key) != value}
                self.assertEqual(set(), missed, node.member.node_id)

        run_store_fleet(scenario)

    def test_lost_records_are_written_again_though_others_hold_the_lease_numbers(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            store = fleet.store
            leases = list(store.leases)
            store.restore(age_s=trio.current_time())
            for lease in leases:
                store.leases[lease] = set()
                store.granted_at_s[lease] = trio.current_time()
            keys = {PREFIX + node.member.node_id for node in fleet.nodes}
            with trio.fail_after(_RECORDS_S):
                while any(store.current(key) is None for key in keys):
                    await trio.sleep(0.05)
            await trio.sleep(_RECORDS_S)
            self.assertEqual([39] * 40, [len(node.records) for node in fleet.nodes])

        run_store_fleet(scenario)

    def test_stop_after_a_restore_leaves_the_records_of_others_alone(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            store, stopping = fleet.store, fleet.nodes[0]
            lease = next(
                lease
                for lease, keys in store.leases.items()
                if PREFIX + stopping.member.node_id in keys
            )
            store.restore(age_s=trio.current_time())
            store.leases[lease] = {PREFIX + "other"}
            store.put(PREFIX + "other", b"of another node")
            await stopping.sync.remove_record(1_000.0)
            stopping.scope.cancel()
            self.assertIsNotNone(store.current(PREFIX + "other"))

        run_store_fleet(scenario)

    def test_restore_costs_each_node_few_calls(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            store = fleet.store
            await _let_revisions_rise(fleet, 60)
            store.restore(age_s=5.0)
            before = store.reads + store.watches
            await trio.sleep(8.0)
            # Each node reads both prefixes once, and once more if a change comes meanwhile.
            self.assertLessEqual(store.reads + store.watches - before, 40 * 2 * 2)

        run_store_fleet(scenario)

    def test_record_that_the_copy_has_is_written_again_without_a_conflict(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            store = fleet.store
            await _let_revisions_rise(fleet, 60)
            writes = store.writes
            store.restore(age_s=5.0)
            await trio.sleep(8.0)
            self.assertEqual((40, 0), (store.writes - writes, store.conflicts))

        run_store_fleet(scenario)

    def test_lower_revision_shows_the_restore_of_a_store_that_names_no_era(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            await _let_revisions_rise(fleet, 60)
            fleet.store.restore(age_s=5.0)
            fleet.store.era = 0
            fleet.store.put("table", b"2")
            await trio.sleep(_POLL_S)
            self.assertEqual({b"2"}, {node.values["table"] for node in fleet.watching})

        run_store_fleet(scenario)

    def test_node_turned_away_by_a_restored_store_hears_of_its_changes(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            rejected = fleet.add(make_member("rejected", domain="d1"), UnavailableStore())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.run_node, rejected)
                rejected.values.update(fleet.nodes[0].values)
                rejected.sync._records.revision = fleet.store.revision
                await _let_revisions_rise(fleet, 60)
                fleet.store.restore(age_s=5.0)
                await trio.sleep(3.0)
                fleet.store.put(PREFIX + "n0", b"forwarded")
                await fleet.wait_for_record("n0", b"forwarded", within_s=4.0)
                rejected.scope.cancel()

        run_store_fleet(scenario)

    def test_old_read_after_a_restore_does_not_hide_later_changes(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            await _let_revisions_rise(fleet, 200)
            fleet.store.restore(age_s=5.0)
            starting = fleet.add(make_member("starting", domain="d0"))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.run_node, starting)
                await trio.sleep(8.0)
                fleet.store.put(PREFIX + "n0", b"changed after the restore")
                await fleet.wait_for_record("n0", b"changed after the restore", within_s=4.0)
                starting.scope.cancel()

        run_store_fleet(scenario)

    def test_second_restore_is_noticed_like_the_first(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            for number in (2, 3):
                await _let_revisions_rise(fleet, 60)
                fleet.store.restore(age_s=5.0)
                await trio.sleep(0.5)
                fleet.store.put("table", b"%d" % number)
                await trio.sleep(_CONFIGURATION_S)
                self.assertEqual(
                    {b"%d" % number}, {node.values["table"] for node in fleet.watching}
                )

        run_store_fleet(scenario)

    def test_record_changed_while_the_store_is_restored_is_in_it_afterwards(self) -> None:
        async def scenario(fleet: StoreFleet) -> None:
            changing = fleet.nodes[0]
            await trio.sleep(5.0)
            fleet.store.set_down(True)
            changed = attrs.evolve(changing.member, version=2)
            changing.sync.set_record(changed)
            await trio.sleep(2.0)
            fleet.store.restore(age_s=6.0)
            await trio.sleep(_RECORDS_S)
            item = fleet.store.current(PREFIX + changing.member.node_id)
            assert item is not None
            self.assertEqual(2, changing.sync._written_record.version)  # type: ignore[union-attr]

        run_store_fleet(scenario)
