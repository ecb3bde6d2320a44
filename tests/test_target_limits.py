"""Tests of what targets state in their answers, with real node processes and stand-ins."""

import tempfile
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final

import attrs
import trio

from tests.platform_fleet import FleetNode, PlatformFleet, make_route_fields, running_platform_fleet

_WINDOW_S: Final = 4.0
_STABLE_WINDOW_S: Final = 3.0
_DRAIN_TIME_S: Final = 2.0
_RATE_LIMIT: Final = 20.0
_LOW_RATE_LIMIT: Final = 10.0
_ALLOWED_IN_WINDOW: Final = 1.5 * _WINDOW_S * _RATE_LIMIT + 5.0
"""Requests that a target may get in a window according to the users' rule on limits."""


@attrs.define
class SteadyLoad:
    """Send requests to a service at a steady rate and count the statuses."""

    fleet: PlatformFleet
    per_s: float
    statuses: Counter[int] = attrs.field(factory=Counter)

    async def run(self, callers: list[FleetNode], seconds: float) -> None:
        """Send for some seconds and wait for the responses."""
        async with trio.open_nursery() as nursery:
            for number in range(int(seconds * self.per_s)):
                nursery.start_soon(self._send, callers[number % len(callers)], number)
                await trio.sleep(1.0 / self.per_s)

    async def _send(self, node: FleetNode, number: int) -> None:
        self.statuses[await self.fleet.status(node, "/look/1", f"r{number}")] += 1


def _most_in_a_window(times_s: list[float]) -> int:
    """Return the largest number of requests in any window of the rule's length."""
    return max(
        (
            sum(1 for at_s in times_s if start_s <= at_s < start_s + _WINDOW_S)
            for start_s in times_s
        ),
        default=0,
    )


class TargetLimitCases(unittest.TestCase):
    """Fleet with two hosts of one service, a third node beside another, and a steady load."""

    def _run(self, scenario: Callable[[PlatformFleet], Awaitable[None]]) -> None:
        async def main() -> None:
            with tempfile.TemporaryDirectory() as name:
                async with running_platform_fleet(Path(name)) as fleet:
                    await fleet.add("shop")
                    await fleet.add("shop", "z2")
                    await fleet.add("web")
                    fleet.configure({"look": make_route_fields("shop", "/look/")}, ["shop", "web"])
                    await fleet.wait_until_known()
                    for node in fleet.nodes:
                        await fleet.wait_until_served(node, "/look/1")
                    await scenario(fleet)

        trio.run(main)

    def test_target_gets_no_more_requests_than_the_limit_that_it_named(self) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            limited = fleet.nodes[0].target
            limited.rate_limit = _RATE_LIMIT
            load = SteadyLoad(fleet, per_s=100.0)
            started_s = trio.current_time()
            await load.run(fleet.nodes, seconds=_STABLE_WINDOW_S + _WINDOW_S + 0.5)
            counted = [at_s for at_s in limited.run_times_s if at_s > started_s + _STABLE_WINDOW_S]
            self.assertLessEqual(_most_in_a_window(counted), _ALLOWED_IN_WINDOW)
            self.assertEqual({200: sum(load.statuses.values())}, dict(load.statuses))

        self._run(scenario)

    def test_target_that_states_its_leaving_gets_no_request_after_the_drain_time(self) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            leaving = fleet.nodes[0].target
            leaving.states_leaving = True
            load = SteadyLoad(fleet, per_s=50.0)
            await load.run(fleet.nodes, seconds=_DRAIN_TIME_S)
            received = len(leaving.runs)
            await load.run(fleet.nodes, seconds=2.0)
            self.assertEqual(received, len(leaving.runs))
            self.assertEqual({200: sum(load.statuses.values())}, dict(load.statuses))

        self._run(scenario)

    def test_limit_named_before_a_restart_of_the_node_beside_the_target_holds_after_it(
        self,
    ) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            limited_node, other, web = fleet.nodes
            limited = limited_node.target
            limited.slots, limited.response_delay_s = 200, 0.8
            limited.rate_limit = _LOW_RATE_LIMIT
            load = SteadyLoad(fleet, per_s=100.0)
            await load.run([other, web], seconds=2.0)
            limited_node.kill()
            other.kill()
            await load.run([web], seconds=0.2)
            restarted_s = trio.current_time()
            limited_node.start(fleet.log)
            await load.run([web], seconds=_WINDOW_S)
            received = [at_s for at_s in limited.run_times_s if at_s > restarted_s]
            self.assertTrue(received)
            self.assertLessEqual(
                _most_in_a_window(received), 1.5 * _WINDOW_S * _LOW_RATE_LIMIT + 5.0
            )

        self._run(scenario)

    def test_target_that_stated_its_leaving_stays_out_after_a_restart_of_its_node(self) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            leaving_node, other, web = fleet.nodes
            leaving_node.target.states_leaving = True
            load = SteadyLoad(fleet, per_s=50.0)
            await load.run([other, web], seconds=_DRAIN_TIME_S + 0.5)
            received = len(leaving_node.target.runs)
            leaving_node.kill()
            leaving_node.start(fleet.log)
            await load.run([other, web], seconds=3.0)
            self.assertEqual(received, len(leaving_node.target.runs))

        self._run(scenario)
