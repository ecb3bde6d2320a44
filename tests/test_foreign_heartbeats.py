"""Test with real processes that a heartbeat of another writer names no target to use."""

import tempfile
import unittest
from pathlib import Path
from typing import Any

import trio

from tests.platform_fleet import PlatformFleet, make_route_fields, running_platform_fleet

_ROUTES = {"look": make_route_fields("shop", "/look/")}
_MAX_OUTAGE_S = 2.0
"""Longer than some intervals of heartbeats, and than a record takes to all nodes."""
_FOREIGN: list[tuple[str, str, dict[str, Any], int]] = [
    ("ID not UTF-8", "i-%FF%FE%FD", {}, 400),
    ("ID not Latin-1", "i-%E2%82%AC", {}, 400),
    ("ID with a line end", "i-%0D%0Ax:%20y", {}, 400),
    ("ID that is long", "i" * 14_000, {}, 400),
    ("zone missing", "i-x", {"zone": None}, 400),
    ("version of another type", "i-x", {"version": 7}, 400),
    ("sound, of another instance", "i-x", {}, 200),
    ("sound, of another instance that leaves", "i-z", {"state": "draining"}, 200),
]
"""Title, ID in the path, changes to the fields, and the status of the answer."""


class ForeignHeartbeatCases(unittest.TestCase):
    """Fleet of two nodes of a service; a foreign heartbeat arrives at one of them."""

    def test_sound_target_stays_in_use_and_no_process_ends(self) -> None:
        # Guards against review/12: a foreign heartbeat ended the process, or the use of the target.
        trio.run(self._play)

    async def _play(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            async with running_platform_fleet(Path(name)) as fleet:
                for domain in ("z1", "z2"):
                    await fleet.add("shop", domain)
                fleet.configure(_ROUTES, ["shop", "web"])
                await fleet.wait_until_known()
                for node in fleet.nodes:
                    await fleet.wait_until_served(node, "/look/1")
                for number, (title, path_id, change, status) in enumerate(_FOREIGN):
                    with self.subTest(title):
                        changes = {"born": 10_000 + number, **change}
                        answer = await fleet.nodes[0].target.announce_foreign(path_id, changes)
                        self.assertEqual(status, answer)
                        await self._check_use(fleet)

    async def _check_use(self, fleet: PlatformFleet) -> None:
        """Send requests to both nodes; each of them is answered, and the target runs some again."""
        hit = fleet.nodes[0]
        with trio.move_on_after(_MAX_OUTAGE_S):
            while True:
                for node in fleet.nodes:
                    self.assertEqual(200, await fleet.status(node, "/look/x"))
                await trio.sleep(0.02)
        runs_before = len(hit.target.runs)
        for _ in range(20):
            self.assertEqual(200, await fleet.status(hit, "/look/y"))
        self.assertGreater(len(hit.target.runs), runs_before)
        for node in fleet.nodes:
            assert node.process is not None
            self.assertIsNone(node.process.poll())
