"""Test with real processes which requests are quarantined when targets end without leaving."""

import tempfile
import unittest
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

import attrs
import trio

from gooseberrydock.http_messages import HttpRequest, header_value
from gooseberrydock.members import Address
from gooseberrydock.stream import listen
from tests.platform_fleet import (
    FleetNode,
    PlatformFleet,
    make_route_fields,
    running_platform_fleet,
)

_STABLE_WINDOW_S = 3.0
_MAX_LATE_RETRIES = 3
"""Retries that may reach targets later than the stable window after the third crash."""
_LONG_BODY = b"x" * 300_000
"""A body that is sent to another node in parts."""


@attrs.define(eq=False)
class CrashingTargets:
    """Targets that end without leaving, and start again under the same ID some time later."""

    fleet: PlatformFleet
    down_s: float
    crashes_on: Callable[[HttpRequest], bool] = lambda request: False
    crashed_at_s: list[float] = attrs.field(factory=list)
    runs: list[tuple[float, str]] = attrs.field(factory=list)
    """Time and request ID of each run of a request that crashes targets."""

    def watch(self) -> None:
        """Let targets end when they begin to run a request that crashes them."""
        for node in self.fleet.nodes:
            node.target.max_body_bytes = 2 * len(_LONG_BODY)
            node.target.on_run = partial(self._on_run, node)

    def _on_run(self, node: FleetNode, request: HttpRequest) -> None:
        if self.crashes_on(request):
            self.runs.append((trio.current_time(), header_value(request.headers, b"request-id")))
            self.end(node)

    def end(self, node: FleetNode) -> None:
        """End a target with all its connections, and start it again later."""
        self.crashed_at_s.append(trio.current_time())
        node.sends_heartbeats = False
        listener = node.target.listener
        address = listener.address
        listener.close()
        for stream in list(listener._open_streams):
            stream.close()
        self.fleet.nursery.start_soon(self._start_again, node, address)

    async def _start_again(self, node: FleetNode, address: Address) -> None:
        await trio.sleep(self.down_s)
        node.target.listener = listen(address)
        node.target.born += 1
        node.target.sequence = 0
        self.fleet.nursery.start_soon(node.target.serve)
        node.sends_heartbeats = True
        await node.target.announce()

    @property
    def late_retries(self) -> set[str]:
        """Return the requests that reached a target long after the third crash."""
        if len(self.crashed_at_s) < 3:
            return set()
        allowed_until_s = self.crashed_at_s[2] + _STABLE_WINDOW_S
        return {request_id for at_s, request_id in self.runs if at_s > allowed_until_s}


@asynccontextmanager
async def _running_targets(down_s: float) -> AsyncIterator[CrashingTargets]:
    with tempfile.TemporaryDirectory() as name:
        async with running_platform_fleet(Path(name)) as fleet:
            for service, domain in (("shop", "z1"), ("shop", "z2"), ("shop", "z1"), ("web", "z2")):
                await fleet.add(service, domain)
            fleet.configure({"look": make_route_fields("shop", "/look/")}, ["shop", "web"])
            await fleet.wait_until_known()
            for node in fleet.nodes:
                await fleet.wait_until_served(node, "/look/first")
            targets = CrashingTargets(fleet, down_s)
            targets.watch()
            yield targets


class CrashingRequestCases(unittest.TestCase):
    """Guard against a request that goes on to crash targets while there is no other traffic."""

    def test_crashing_request_is_stopped_beside_no_other_traffic(self) -> None:
        for title, down_s, paths, body in (
            ("without a body", 0.8, ["/look/bad"], b""),
            ("targets are back at once", 0.1, ["/look/bad"], b""),
            ("long body", 0.8, ["/look/bad"], _LONG_BODY),
            ("two requests", 0.8, ["/look/bad", "/look/worse"], b""),
        ):
            with self.subTest(title):
                trio.run(self._send_repeatedly, down_s, paths, body)

    async def _send_repeatedly(self, down_s: float, paths: list[str], body: bytes) -> None:
        async with _running_targets(down_s) as targets:
            targets.crashes_on = lambda request: request.path in paths
            statuses = []
            for number in range(8):
                for path in paths:
                    node = targets.fleet.nodes[number % len(targets.fleet.nodes)]
                    request_id = f"{path}{number}"
                    response = await targets.fleet.send(node, path, request_id, body=body)
                    statuses.append(response.status if response is not None else 0)
                await trio.sleep(1.2)
            self.assertGreaterEqual(len(targets.crashed_at_s), 2)
            self.assertLessEqual(len(targets.late_retries), _MAX_LATE_RETRIES)
            self.assertEqual([503] * len(paths), statuses[-len(paths) :])
            self.assertEqual(200, await targets.fleet.status(targets.fleet.nodes[3], "/look/good"))


class CrashingRequestBeforeRestartCases(unittest.TestCase):
    """Guard against a quarantine that is forgotten when all nodes are killed."""

    def test_crashing_request_is_not_run_again_after_all_nodes_were_killed(self) -> None:
        trio.run(self._send_before_and_after_kills)

    async def _send_before_and_after_kills(self) -> None:
        async with _running_targets(down_s=0.3) as targets:
            fleet = targets.fleet
            targets.crashes_on = lambda request: request.path == "/look/bad"
            status = 0
            for number in range(8):
                if status == 503:
                    break
                status = await fleet.status(fleet.nodes[3], "/look/bad", f"before{number}")
                await trio.sleep(1.0)
            self.assertEqual(503, status)
            crashes = len(targets.crashed_at_s)
            for kill in range(2):
                for node in fleet.nodes:
                    node.kill()
                for node in fleet.nodes:
                    node.start(fleet.log)
                for node in fleet.nodes:
                    await fleet.wait_until_served(node, "/look/good")
                for number in range(4):
                    node = fleet.nodes[number]
                    request_id = f"after{kill}-{number}"
                    self.assertEqual(503, await fleet.status(node, "/look/bad", request_id))
            self.assertEqual(crashes, len(targets.crashed_at_s))


class PopularRequestCases(unittest.TestCase):
    """Guard against a quarantine of a request that only runs when targets end otherwise."""

    def test_popular_request_is_served_on_when_targets_end_for_another_reason(self) -> None:
        trio.run(self._end_targets)

    async def _end_targets(self) -> None:
        async with _running_targets(down_s=0.6) as targets:
            fleet = targets.fleet
            for node in fleet.nodes:
                node.target.response_delay_s = 0.3
            statuses: Counter[int] = Counter()

            async def send(node: FleetNode, request_id: str) -> None:
                statuses[await fleet.status(node, "/look/popular", request_id)] += 1

            async with trio.open_nursery() as nursery:
                for number in range(120):
                    node = fleet.nodes[number % len(fleet.nodes)]
                    nursery.start_soon(send, node, f"p{number}")
                    if number % 15 == 10:
                        targets.end(fleet.nodes[number // 15 % 3])
                    await trio.sleep(0.08)
            self.assertEqual(8, len(targets.crashed_at_s))
            self.assertEqual(0, statuses[503])
            for number in range(20):
                node = fleet.nodes[number % len(fleet.nodes)]
                self.assertEqual(200, await fleet.status(node, "/look/popular", f"after{number}"))
