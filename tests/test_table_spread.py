"""Tests of the time in which a confirmed change of the route table is in force on every node."""

import unittest

import trio

from tests.table_fleet import TableFleet, run_table_fleet

_IN_FORCE_S = 2.0
"""Time within which a change of the route table is to be in force."""


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
