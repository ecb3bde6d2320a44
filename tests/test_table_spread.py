"""Tests of the time in which a confirmed change of the route table is in force on every node."""

import unittest

import attrs
import trio

from gooseberrydock.members import encode_member
from tests.store_fleet import CLOCK, PREFIX
from tests.table_fleet import TABLE_KEY, TableFleet, run_table_fleet

_IN_FORCE_S = 2.0
"""Time within which a change of the route table is to be in force."""
_LEASE_S = 9.0
"""Time for which the record of a node outlives it."""
_DOMAINS = ("d0", "d1", "d2")


class TableSpreadCases(unittest.TestCase):
    """A fleet of 30 nodes in three failure domains, nine of which watch the store."""

    async def _change_and_check(self, fleet: TableFleet, version: int) -> None:
        changed_at = await fleet.change_table(version)
        await trio.sleep(_IN_FORCE_S + 0.1)
        self.assertEqual({}, fleet.late_nodes(version, changed_at, _IN_FORCE_S))

    def test_change_reaches_a_settled_fleet_at_once(self) -> None:
        async def scenario(fleet: TableFleet) -> None:
            changed_at = await fleet.change_table(2)
            await trio.sleep(0.5)
            self.assertEqual({}, fleet.late_nodes(2, changed_at, 0.1))

        run_table_fleet(scenario)

    def test_changes_are_in_force_in_time_after_all_nodes_start_while_old_reads_lag(self) -> None:
        async def scenario(fleet: TableFleet) -> None:
            fleet.store.old_read_age_s = 3.0
            await fleet.restart_all()
            await trio.sleep(0.7)
            for version in range(2, 6):
                await self._change_and_check(fleet, version)

        run_table_fleet(scenario)

    def test_changes_are_in_force_in_time_on_nodes_left_when_all_that_watch_lose_power(
        self,
    ) -> None:
        async def scenario(fleet: TableFleet) -> None:
            watching = fleet.watching
            left = [node for node in fleet.on if node not in watching][:4]
            fleet.power_off(node for node in fleet.on if node not in left)
            await trio.sleep(1.5)
            for version in range(2, 6):
                await self._change_and_check(fleet, version)

        run_table_fleet(scenario)

    def test_change_is_in_force_in_time_though_no_watch_is_answered(self) -> None:
        async def scenario(fleet: TableFleet) -> None:
            fleet.store.loses_watches = True
            for version in range(2, 6):
                await self._change_and_check(fleet, version)

        run_table_fleet(scenario)

    def test_change_is_in_force_in_time_though_all_connections_have_gone_silent(self) -> None:
        async def scenario(fleet: TableFleet) -> None:
            fleet.silence_connections()
            await trio.sleep(0.1)
            await self._change_and_check(fleet, 2)

        run_table_fleet(scenario)

    def test_late_reports_from_other_failure_domains_do_not_make_a_change_late(self) -> None:
        async def scenario(fleet: TableFleet) -> None:
            fleet.store.loses_watches = True
            reader = min(fleet.on, key=lambda node: node.freshness.read_at)
            late = next(domain for domain in _DOMAINS if domain != reader.member.failure_domain)
            for domain in _DOMAINS:
                fleet.late_domains[domain, late] = 0.0 if domain == late else 4.0
            await trio.sleep(6.0)
            for version in range(2, 6):
                await self._change_and_check(fleet, version)

        run_table_fleet(scenario)

    def test_fresh_tables_cost_a_fleet_few_reads(self) -> None:
        async def scenario(fleet: TableFleet) -> None:
            before = fleet.store.reads
            await trio.sleep(20.0)
            self.assertLessEqual(fleet.store.reads - before, 2 * 20)

        run_table_fleet(scenario)

    def test_report_that_was_held_up_on_its_link_confirms_only_what_was_read_then(self) -> None:
        async def scenario(fleet: TableFleet) -> None:
            reporting, receiving = fleet.on
            fleet.store.set_down(True)
            fleet.late_domains["d0", "d0"] = 1.5
            reporting.freshness.on_read(CLOCK.now_ms())
            reporting.view.report_status()
            await trio.sleep(1.6)
            self.assertEqual(reporting.freshness.read_id, receiving.freshness.read_id)
            self.assertAlmostEqual(1_600.0, receiving.freshness.age_ms(CLOCK.now_ms()), delta=10.0)

        run_table_fleet(scenario, nodes=2, domains=1)

    def test_table_that_was_spoiled_at_its_first_read_is_in_force_in_time(self) -> None:
        async def scenario(fleet: TableFleet) -> None:
            fleet.store.spoils_values = True
            changed_at = await fleet.change_table(2)
            await trio.sleep(0.3)
            fleet.store.spoils_values = False
            await trio.sleep(_IN_FORCE_S)
            self.assertEqual({}, fleet.late_nodes(2, changed_at, _IN_FORCE_S))

        run_table_fleet(scenario)

    def test_table_that_cannot_be_decoded_is_logged_once_by_each_node(self) -> None:
        async def scenario(fleet: TableFleet) -> None:
            with self.assertLogs("gooseberrydock", "ERROR") as logs:
                fleet.store.put(TABLE_KEY, b"not a table")
                await trio.sleep(20.0)
            self.assertLessEqual(len(logs.output), len(fleet.on))
            self.assertEqual({1}, {node.version for node in fleet.on})
            await self._change_and_check(fleet, 2)

        run_table_fleet(scenario)


class WatchingNodesCases(unittest.TestCase):
    """The same fleet; who watches the records for a failure domain."""

    def test_nodes_left_watch_when_all_that_watched_lose_power(self) -> None:
        async def scenario(fleet: TableFleet) -> None:
            watching = fleet.watching
            left = [node for node in fleet.on if node not in watching][:6]
            fleet.power_off(node for node in fleet.on if node not in left)
            fleet.store.old_read_age_s = 30.0
            changed = attrs.evolve(watching[0].member, version=9)
            fleet.store.put(PREFIX + changed.node_id, encode_member(changed))
            await trio.sleep(_LEASE_S)
            known = {node.node_id: node.directory.find(changed.node_id) for node in left}
            self.assertEqual({node.node_id: changed for node in left}, known)

        run_table_fleet(scenario)

    def test_few_nodes_watch_in_place_of_those_that_lost_power_and_end_when_these_return(
        self,
    ) -> None:
        async def scenario(fleet: TableFleet) -> None:
            watching, before = fleet.watching, fleet.store.watches
            fleet.power_off(watching)
            await trio.sleep(_LEASE_S)
            standing_in = fleet.watching
            self.assertLessEqual(fleet.store.watches - before, 9 * 2 * 2)
            domains = {node.member.failure_domain for node in standing_in}
            self.assertEqual((3, True), (len(domains), len(standing_in) <= 9))
            for node in watching:
                fleet.start(node.node_id, node.member.failure_domain)
            await trio.sleep(_LEASE_S)
            self.assertEqual(
                {node.node_id for node in watching}, {node.node_id for node in fleet.watching}
            )

        run_table_fleet(scenario)

    def test_nodes_that_start_together_do_not_all_watch(self) -> None:
        async def scenario(fleet: TableFleet) -> None:
            await fleet.restart_all()
            before = fleet.store.watches
            for _ in range(80):
                await trio.sleep(0.1)
                self.assertLessEqual(len(fleet.watching), 9)
            # Each of them watches both prefixes, and records that change end some of these watches.
            self.assertLessEqual(fleet.store.watches - before, 9 * 2 * 3)

        run_table_fleet(scenario)

    def test_settled_fleet_has_no_other_watching_nodes(self) -> None:
        async def scenario(fleet: TableFleet) -> None:
            watching = {node.node_id for node in fleet.watching}
            for _ in range(20):
                await trio.sleep(1.0)
                self.assertEqual(watching, {node.node_id for node in fleet.watching})
            self.assertEqual(9, len(watching))

        run_table_fleet(scenario)
