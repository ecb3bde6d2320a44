"""Test with real processes that a heartbeat of another writer names no target to use."""

import json
import tempfile
import unittest
import urllib.parse
from pathlib import Path
from typing import Any

import trio

from gooseberrydock.http_client import fetch_on_new_connection
from gooseberrydock.http_messages import HttpRequest
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
                for number, (title, instance_id, change, status) in enumerate(_FOREIGN):
                    with self.subTest(title):
                        born = 10_000 + number
                        answer = await self._send_foreign(fleet, instance_id, born, change)
                        self.assertEqual(status, answer)
                        await self._check_use(fleet)

    async def _send_foreign(
        self, fleet: PlatformFleet, instance_id: str, born: int, change: dict[str, Any]
    ) -> int:
        """Send a heartbeat like that of the target at the first node, but for some fields."""
        target = fleet.nodes[0].target
        fields = {
            "service": target.service,
            "address": str(target.address),
            "zone": "z1",
            "version": "v1",
            "slots": target.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": 1,
            "born": born,
            **change,
        }
        path = "/-/instances/" + urllib.parse.quote(urllib.parse.unquote_to_bytes(instance_id))
        request = HttpRequest("PUT", path, [], json.dumps(fields).encode())
        response = await fetch_on_new_connection(target.control, fleet.nursery, request, 1.0)
        return response.status if response is not None else 0

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
