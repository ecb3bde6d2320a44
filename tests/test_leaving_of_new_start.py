"""Test with real processes a leaving that precedes the first announcement of its start."""

import tempfile
import time
import unittest
from pathlib import Path

import attrs
import trio

from tests.platform_fleet import FleetNode, PlatformFleet, make_route_fields, running_platform_fleet

_DRAIN_TIME_S = 2.0
_RUNS_AFTER_S = 1.0
_MAX_FIRST_RUN_S = 1.0
"""Time until a start that has not left runs a request: an announcement, and a record for others."""


@attrs.frozen
class _Play:
    """What a deregistration states, and how many of the three nodes are killed after it."""

    title: str
    states_born: bool
    kills: int


_PLAYS = (
    _Play("with a start time, the node is killed", states_born=True, kills=1),
    _Play("without a start time", states_born=False, kills=0),
    _Play("without a start time, the node is killed", states_born=False, kills=1),
    _Play("without a start time, all nodes are killed", states_born=False, kills=3),
)


class LeavingOfNewStartCases(unittest.TestCase):
    """A target starts again under its ID, and leaves while its first announcement is on its way."""

    def test_start_that_left_is_not_used_and_the_next_one_is_used_at_once(self) -> None:
        # Guards against review/14: a leaving taken for that of the start before, and not kept.
        for play in _PLAYS:
            with self.subTest(play.title):
                trio.run(self._run, play)

    async def _run(self, play: _Play) -> None:
        with tempfile.TemporaryDirectory() as name:
            async with running_platform_fleet(Path(name)) as fleet:
                for service, domain in (("shop", "z1"), ("shop", "z2"), ("web", "z1")):
                    await fleet.add(service, domain)
                fleet.configure({"look": make_route_fields("shop", "/look/")}, ["shop", "web"])
                await fleet.wait_until_known()
                for node in fleet.nodes:
                    await fleet.wait_until_served(node, "/look/1")
                await self._leave_and_start_again(fleet, play)

    async def _leave_and_start_again(self, fleet: PlatformFleet, play: _Play) -> None:
        node = fleet.nodes[0]
        node.sends_heartbeats = False
        self._start_target(node)
        await trio.sleep(0.2)
        # The target has one try: a store that answers lets the node acknowledge it.
        self.assertEqual(200, await node.target.leave(play.states_born))
        left_at = trio.current_time()
        await trio.sleep(0.1)
        for killed in fleet.nodes[: play.kills]:
            killed.kill()
        for killed in fleet.nodes[: play.kills]:
            killed.start(fleet.log)
        await self._announce(node)
        late = await self._late_runs(fleet, node, left_at)
        self.assertEqual([], late)
        self._start_target(node)
        started_at, runs = trio.current_time(), len(node.target.runs)
        await self._announce(node)
        with trio.fail_after(_MAX_FIRST_RUN_S):
            while len(node.target.runs) == runs:
                await fleet.status(fleet.nodes[2], "/look/next", "next")
        print(f"{play.title}: next start used after {trio.current_time() - started_at:.3f} s")

    def _start_target(self, node: FleetNode) -> None:
        """Let the target begin a start under its ID."""
        node.target.born, node.target.sequence = int(time.time() * 1_000), 0

    async def _announce(self, node: FleetNode) -> None:
        with trio.fail_after(5):
            while await node.target.announce() != 200:
                await trio.sleep(0.05)

    async def _late_runs(
        self, fleet: PlatformFleet, leaving: FleetNode, left_at: float
    ) -> list[float]:
        """Send requests; return the times after the leaving of runs later than allowed."""
        number = 0
        while trio.current_time() < left_at + _DRAIN_TIME_S + _RUNS_AFTER_S:
            for node in fleet.nodes[1:]:
                number += 1
                await fleet.status(node, f"/look/{number}", f"r{number}")
            await trio.sleep(0.02)
        times = [at - left_at for at in leaving.target.run_times_s]
        return [at for at in times if at > _DRAIN_TIME_S]
