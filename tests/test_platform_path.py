"""Tests of the whole routed call path, with real node processes and the platform's stand-ins."""

import base64
import signal
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from gooseberrydock.http_messages import HttpRequest, HttpResponse, header_value
from tests.platform_fleet import FleetNode, PlatformFleet, make_route_fields, running_platform_fleet

_ROUTES = {
    "look": make_route_fields("shop", "/look/"),
    "book": make_route_fields("shop", "/book/", kind="non_idempotent", priority=0),
}
_CONFIGURATION_TIMEOUT_S = 2.0
_DRAIN_TIME_S = 2.0
_RECORDS_TIMEOUT_S = 4.0
_PAUSE_S = 2.0
"""Longer than the silence after which a node closes a link, shorter than the routes' timeout."""


async def _run_ctl_calls(node: FleetNode, *arguments: str) -> str:
    """Run ``gooseberrydock-ctl calls`` for a node and return its standard output."""
    command = [sys.executable, "-m", "gooseberrydock.ctl_main", "calls", *arguments]
    result = await trio.run_process(
        [*command, "--metrics", str(node.metrics)], capture_stdout=True, capture_stderr=True
    )
    return result.stdout.decode()


class PlatformPathCases(unittest.TestCase):
    """Fleet with two hosts of one service and one host of another."""

    def _run(self, scenario: Callable[[PlatformFleet], Awaitable[None]]) -> None:
        async def main() -> None:
            with tempfile.TemporaryDirectory() as name:
                async with running_platform_fleet(Path(name)) as fleet:
                    await fleet.add("shop")
                    await fleet.add("shop", "z2")
                    await fleet.add("web")
                    fleet.configure(_ROUTES, ["shop", "web"])
                    await fleet.wait_until_known()
                    for node in fleet.nodes:
                        await fleet.wait_until_served(node, "/look/1")
                    await scenario(fleet)

        trio.run(main)

    def test_request_reaches_the_target_unchanged(self) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            web = fleet.nodes[2]
            response = await fleet.send(web, "/look/a/b?c=%2Fd", "id-7")
            assert response is not None
            self.assertEqual((200, b"shop /look/a/b?c=%2Fd"), (response.status, response.body))
            self.assertTrue(header_value(response.headers, b"server-seal"))
            runs = [run for node in fleet.nodes for run in node.target.runs]
            run = next(item for item in runs if item.path.startswith("/look/a"))
            self.assertEqual("web", header_value(run.headers, b"caller-service"))
            self.assertEqual("id-7", header_value(run.headers, b"request-id"))
            remaining_ms = int(header_value(run.headers, b"deadline-ms"))
            self.assertTrue(2_500 < remaining_ms <= 3_000)
            self.assertEqual(404, await fleet.status(web, "/nothing/"))

        self._run(scenario)

    def test_ctl_prints_state_and_why_a_request_was_refused(self) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            web = fleet.nodes[2]
            self.assertEqual(404, await fleet.status(web, "/nothing/", "id-404"))
            refused = await _run_ctl_calls(web, "why", "id-404")
            self.assertIn("cause=no-route", refused)
            self.assertIn("call_of_target=False", await _run_ctl_calls(web, "routes"))
            hosts_output = await _run_ctl_calls(web, "hosts")
            for node in fleet.nodes:
                self.assertIn(f"host={node.node_id}", hosts_output)
            self.assertIn("admitted_share=1.0", await _run_ctl_calls(web, "limits"))
            self.assertIn("spent=0", await _run_ctl_calls(web, "budget"))
            await _run_ctl_calls(web, "paths")
            with self.assertRaises(subprocess.CalledProcessError):
                await _run_ctl_calls(web, "why", "id-unknown")

        self._run(scenario)

    def test_configuration_is_in_force_in_time_and_kept_without_the_store(self) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            fleet.configure({**_ROUTES, "new": make_route_fields("web", "/new/")}, ["shop", "web"])
            with trio.fail_after(_CONFIGURATION_TIMEOUT_S):
                for node in fleet.nodes:
                    while await fleet.status(node, "/new/1") != 200:
                        await trio.sleep(0.02)
            fleet.store.mode = "down"
            await trio.sleep(1.0)
            for node in fleet.nodes:
                self.assertEqual(200, await fleet.status(node, "/new/1"))

        self._run(scenario)

    def test_confirmed_configuration_stays_and_the_next_is_in_force_after_a_restore(self) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            store = fleet.store
            copy = store.copy()
            confirmed = {**_ROUTES, "new": make_route_fields("web", "/new/")}
            fleet.configure(confirmed, ["shop", "web"])
            written = base64.b64decode(store.items["op/config"]["value"])
            for node in fleet.nodes:
                await fleet.wait_until_served(node, "/new/1")
            store.mode = "down"
            await trio.sleep(0.5)
            store.restore(copy)
            store.mode = "ok"
            for _ in range(20):
                statuses = [await fleet.status(node, "/new/1") for node in fleet.nodes]
                self.assertEqual([200, 200, 200], statuses)
                await trio.sleep(0.05)
            store.put("op/config", written)
            fleet.configure(
                {**confirmed, "next": make_route_fields("shop", "/next/")}, ["shop", "web"]
            )
            with trio.fail_after(_CONFIGURATION_TIMEOUT_S):
                for node in fleet.nodes:
                    while await fleet.status(node, "/next/1") != 200:
                        await trio.sleep(0.02)
            with trio.fail_after(_RECORDS_TIMEOUT_S):
                await fleet.wait_until_known()

        self._run(scenario)

    def test_leaving_target_receives_no_request_after_the_drain_time(self) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            leaving = fleet.nodes[0]
            leaving.sends_heartbeats = False
            leaving.target.state = "draining"
            self.assertEqual(200, await leaving.target.announce())
            await trio.sleep(_DRAIN_TIME_S)
            before = len(leaving.target.runs)
            statuses = [await fleet.status(node, "/look/2") for node in fleet.nodes * 4]
            self.assertEqual([200] * 12, statuses)
            self.assertEqual(before, len(leaving.target.runs))

        self._run(scenario)

    def test_killed_node_is_avoided_and_serves_again_after_its_restart(self) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            killed, other, web = fleet.nodes
            killed.kill()
            for number in range(6):
                self.assertEqual(200, await fleet.status(web, f"/look/{number}"))
            killed.start(fleet.log)
            await fleet.wait_until_served(killed, "/look/9")
            other.kill()
            await fleet.wait_until_served(web, "/look/10")

        self._run(scenario)

    def test_stop_completes_running_requests(self) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            stopping, other, web = fleet.nodes
            for node in (stopping, other):
                node.target.response_delay_s = 1.0
            statuses: list[int] = []

            async def send(node: FleetNode) -> None:
                statuses.append(await fleet.status(node, "/book/1"))

            async with trio.open_nursery() as nursery:
                for node in (stopping, stopping, web, web):
                    nursery.start_soon(send, node)
                await trio.sleep(0.4)
                assert stopping.process is not None
                stopping.process.send_signal(signal.SIGTERM)
                await trio.sleep(0.1)
                self.assertFalse(await fleet.is_ready(stopping))
            self.assertEqual([200] * 4, statuses)
            with trio.fail_after(5):
                while stopping.process.poll() is None:
                    await trio.sleep(0.05)
            self.assertEqual(0, stopping.process.returncode)

        self._run(scenario)

    def test_stop_of_the_last_host_aborts_no_request(self) -> None:
        """Callers keep sending while the node of a service's only host stops."""

        async def scenario(fleet: PlatformFleet) -> None:
            stopping, other, web = fleet.nodes
            other.sends_heartbeats = False
            await other.target.leave()
            await trio.sleep(_DRAIN_TIME_S)
            stopping.target.response_delay_s = 0.3
            assert stopping.process is not None
            stopping.process.send_signal(signal.SIGTERM)
            statuses: list[int] = []

            async def send() -> None:
                statuses.append(await fleet.status(web, "/book/1"))

            async with trio.open_nursery() as nursery:
                while stopping.process.poll() is None:
                    nursery.start_soon(send)
                    await trio.sleep(0.05)
            self.assertEqual({200, 503}, set(statuses))

        self._run(scenario)

    def test_stopping_node_refuses_new_requests_and_aborts_none(self) -> None:
        """Callers keep sending to a stopping node, as they do where most nodes stop at once."""

        async def scenario(fleet: PlatformFleet) -> None:
            stopping, other, _ = fleet.nodes
            for node in (stopping, other):
                node.target.response_delay_s = 0.6
            assert stopping.process is not None
            stopping.process.send_signal(signal.SIGTERM)
            lost: list[float] = []
            refused: list[float] = []
            started_at = trio.current_time()

            async def send() -> None:
                sent_at = trio.current_time() - started_at
                status = await fleet.status(stopping, "/book/1")
                # A connection that fails at once is refused because the node has ended: not a loss.
                if status == 0 and trio.current_time() - started_at - sent_at > 0.1:
                    lost.append(sent_at)
                elif status == 503:
                    refused.append(sent_at)

            async with trio.open_nursery() as nursery:
                while stopping.process.poll() is None:
                    nursery.start_soon(send)
                    await trio.sleep(0.05)
            self.assertEqual([], lost)
            self.assertTrue(refused)

        self._run(scenario)

    def test_booking_at_a_paused_node_is_neither_given_up_nor_repeated(self) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            web = fleet.nodes[2]
            for node in fleet.nodes[:2]:
                node.target.response_delay_s = 0.3
                node.target.runs.clear()
            statuses: list[int] = []

            async def book() -> None:
                statuses.append(await fleet.status(web, "/book/1"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(book)
                with trio.fail_after(2.0):
                    while not any(node.target.runs for node in fleet.nodes):
                        await trio.sleep(0.01)
                for number in (signal.SIGSTOP, signal.SIGCONT):
                    for node in fleet.nodes[:2]:
                        assert node.process is not None
                        node.process.send_signal(number)
                    await trio.sleep(_PAUSE_S if number == signal.SIGSTOP else 0.0)
                    self.assertEqual([], statuses)
            self.assertEqual([200], statuses)
            self.assertEqual(1, sum(len(node.target.runs) for node in fleet.nodes))

        self._run(scenario)

    def test_response_with_another_request_id_is_not_delivered(self) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            def respond_with_other_request_id(request: HttpRequest) -> HttpResponse:
                return HttpResponse(200, [(b"request-id", b"x"), (b"server-seal", b"s")], b"no")

            for node in fleet.nodes[:2]:
                node.target.behaviour = respond_with_other_request_id
            response = await fleet.send(fleet.nodes[2], "/look/1", deadline_ms=500)
            self.assertEqual(504, response.status if response else 0)

        self._run(scenario)

    def test_expired_records_are_restored_after_a_store_outage(self) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            store = fleet.store
            store.mode = "down"
            await trio.sleep(1.0)
            for lease in list(store.leases):
                store.end_lease(lease)
            store.compact()
            web = fleet.nodes[2]
            self.assertEqual(200, await fleet.status(web, "/look/1"))
            store.mode = "ok"
            with trio.fail_after(2.0):
                while sum(key.startswith("gooseberrydock/nodes/") for key in store.items) < 3:
                    await trio.sleep(0.02)
            self.assertEqual(200, await fleet.status(web, "/look/2"))

        self._run(scenario)

    def test_metrics_count_responses_and_their_durations(self) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            web = fleet.nodes[2]
            for number in range(3):
                self.assertEqual(200, await fleet.status(web, f"/look/{number}"))
            page = await fleet.metrics(web)
            self.assertIn('gooseberrydock_request_duration_ms_bucket{le="+Inf",route="look"}', page)
            self.assertRegex(page, r"gooseberrydock_answered(\{\})? [3-9]")

        self._run(scenario)

    def test_invalid_announcements_change_nothing(self) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            target = fleet.nodes[0].target
            for service, slots, state in (
                ("", 5, "ready"),
                ("shop", -1, "ready"),
                ("shop", 5, "x"),
            ):
                target.service, target.slots, target.state = service, slots, state
                self.assertEqual(400, await target.announce())
            target.service, target.slots, target.state = "shop", 20, "ready"
            self.assertEqual(200, await fleet.status(fleet.nodes[2], "/look/1"))

        self._run(scenario)

    def test_disconnected_caller_cancels_the_run(self) -> None:
        async def scenario(fleet: PlatformFleet) -> None:
            for node in fleet.nodes[:2]:
                node.target.response_delay_s = 2.0
            response = await fleet.send(fleet.nodes[2], "/look/1", timeout_s=0.3)
            self.assertIsNone(response)
            with trio.fail_after(0.5):
                while not any(node.target.aborted for node in fleet.nodes):
                    await trio.sleep(0.02)

        self._run(scenario)
