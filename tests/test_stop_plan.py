"""Test that a stopping node takes no work that it would cut off, and delivers what is ready."""

import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from unittest import mock

import attrs
import trio
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.errorcodes import NODE_LEAVING, TARGET_LOST
from gooseberrydock.events import WORK_CUT
from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.mesh.model import AcceptedWork, RequestKind
from gooseberrydock.mesh.node import MeshNode
from gooseberrydock.mesh.target_connections import PendingRun, TargetPool
from gooseberrydock.mesh.target_registration import InstanceAnnouncement, TargetState
from gooseberrydock.messages import RoutedAnswer, RunResult
from gooseberrydock.stop_plan import StopPlan
from tests.mesh_helpers import (
    EntryFixture,
    make_answer,
    make_call,
    make_entry,
    make_request,
    make_route,
    make_table,
)
from tests.platform_fleet import FleetNode, PlatformFleet, make_route_fields, running_platform_fleet
from tests.test_calls import code_of, create_cluster
from tests.test_mesh_node import TARGET_ADDRESS, make_node

_ENDS_AT = 5_500.0
_NEVER = 1e9


def _plan_after(durations_ms: list[float], kind: str = "a") -> StopPlan:
    """Return the plan of a stop after requests and runs of some durations."""
    plan = StopPlan()
    for duration_ms in durations_ms:
        plan.requests.on_end(0.0, kind, duration_ms)
        plan.runs.on_end(0.0, kind, duration_ms)
    plan.begin(_ENDS_AT)
    return plan


class StopPlanCases(unittest.TestCase):
    """Guard against work that a stop cuts off, by its deadline and by earlier durations."""

    def _assert_takes(self, expected: bool, plan: StopPlan, now_ms: float, deadline: float) -> None:
        self.assertEqual(expected, plan.takes_request(now_ms, "a", deadline))
        self.assertEqual(expected, plan.takes_run(now_ms, "a", deadline))

    def test_everything_is_taken_without_a_stop(self) -> None:
        self._assert_takes(True, StopPlan(), 0.0, _NEVER)

    def test_work_is_taken_if_its_deadline_comes_first(self) -> None:
        self._assert_takes(True, _plan_after([]), 0.0, 5_000.0)
        self._assert_takes(False, _plan_after([]), 0.0, 6_000.0)
        self._assert_takes(True, _plan_after([9_000.0] * 50), 0.0, 5_000.0)

    def test_work_is_taken_if_such_work_ended_in_the_time_left(self) -> None:
        plan = _plan_after([2_000.0] * 50)
        self._assert_takes(True, plan, 3_000.0, _NEVER)
        self._assert_takes(False, plan, 3_600.0, _NEVER)

    def test_longest_of_few_durations_has_a_wider_margin(self) -> None:
        self._assert_takes(False, _plan_after([2_000.0] * 2), 3_000.0, _NEVER)
        self._assert_takes(True, _plan_after([2_000.0] * 2), 2_000.0, _NEVER)

    def test_one_long_duration_counts_until_it_is_old(self) -> None:
        plan = _plan_after([100.0] * 50 + [5_000.0])
        self._assert_takes(False, plan, 1_000.0, _NEVER)
        for at_ms in (30_000.0, 60_000.0):
            plan.requests.on_end(at_ms, "a", 100.0)
            plan.runs.on_end(at_ms, "a", 100.0)
        self._assert_takes(True, plan, 1_000.0, _NEVER)

    def test_kinds_of_work_are_bounded(self) -> None:
        plan = StopPlan()
        for number in range(5_000):
            plan.requests.on_end(0.0, f"kind-{number}", 1.0)
        self.assertIsNone(plan.requests.upper_bound_ms("kind-4999"))
        self.assertIsNotNone(plan.requests.upper_bound_ms("kind-0"))

    @given(st.integers(1, 3_000), st.integers(1, 3_000), st.integers(0, 5_500), st.integers(1, 100))
    def test_calls_of_a_run_that_is_taken_are_taken_too(
        self, own_ms: int, call_ms: int, now_ms: int, count: int
    ) -> None:
        plan = StopPlan()
        for _ in range(count):
            plan.runs.on_end(0.0, "run", own_ms + call_ms)
            plan.requests.on_end(0.0, "call", call_ms)
        plan.begin(_ENDS_AT)
        if plan.takes_run(now_ms, "run", _NEVER):
            self.assertTrue(plan.takes_request(now_ms + own_ms, "call", _NEVER))


_LONG = make_route("long")
_BOOKING = make_route("booking", kind=RequestKind.NON_IDEMPOTENT, priority=0)
_TABLE = make_table(1, _LONG, _BOOKING)


class StoppingEntryCases(unittest.TestCase):
    """Guard against requests that a stopping node takes and breaks off while they run."""

    def _stop(self, fixture: EntryFixture, ends_at: float) -> None:
        fixture.entry.stop_plan.begin(ends_at)
        fixture.entry.set_accepted_work(AcceptedWork.CALLS_OF_TARGET)

    def _submit(self, fixture: EntryFixture, now_ms: float, path: str) -> None:
        fixture.entry.on_request(now_ms, object(), make_request(path))

    def test_call_of_the_target_is_refused_unsent_if_it_would_be_cut(self) -> None:
        for now_ms, expected in ((100.0, []), (600.0, [NODE_LEAVING])):
            with self.subTest(now_ms=now_ms):
                fixture = make_entry(_TABLE)
                fixture.entry._nested_routes.on_report("long", True)
                fixture.entry.stop_plan.requests.on_end(0.0, "long", 200.0)
                self._stop(fixture, 900.0)
                self._submit(fixture, now_ms, "/long/1")
                self.assertEqual(expected, [code for code, _ in fixture.effects.refusals])
                self.assertEqual(not expected, bool(fixture.effects.calls))

    def test_time_of_answered_requests_is_what_later_ones_are_judged_by(self) -> None:
        fixture = make_entry(_TABLE)
        self._submit(fixture, 0.0, "/long/1")
        fixture.entry.on_answer(400.0, make_answer(fixture.effects.calls[0][1]))
        self.assertEqual(800.0, fixture.entry.stop_plan.requests.upper_bound_ms("long"))

    def test_failed_request_is_not_begun_again_if_it_would_be_cut(self) -> None:
        for ends_at, expected_calls in ((5_000.0, 2), (1_000.0, 1)):
            with self.subTest(ends_at=ends_at):
                fixture = make_entry(_TABLE)
                self._submit(fixture, 0.0, "/long/1")
                fixture.entry.stop_plan.requests.on_end(0.0, "long", 900.0)
                fixture.entry.stop_plan.begin(ends_at)
                call = fixture.effects.calls[0][1]
                lost = make_answer(call, RunResult.UNKNOWN, 502, TARGET_LOST.number)
                fixture.entry.on_answer(500.0, lost)
                self.assertEqual(expected_calls, len(fixture.effects.calls))

    def test_request_waits_for_the_last_host_of_a_service_as_if_it_had_ended(self) -> None:
        fixture = make_entry(_TABLE, hosts=1)
        self._submit(fixture, 0.0, "/booking/1")
        refusal = make_answer(
            fixture.effects.calls[0][1], RunResult.NOT_RUN, 503, NODE_LEAVING.number, False
        )
        fixture.entry.on_answer(1.0, refusal)
        self.assertEqual([], fixture.effects.refusals)
        fixture.entry.tick(200.0)
        self.assertEqual([NODE_LEAVING], [code for code, _ in fixture.effects.refusals])


class StoppingTargetNodeCases(unittest.TestCase):
    """Guard against runs of the local target that begin too late in a stop."""

    def test_runs_that_would_be_cut_are_refused_also_if_they_waited(self) -> None:
        node = make_node()
        dispatcher = node.target_dispatcher
        dispatcher.on_announcement(
            InstanceAnnouncement("i-1", "shop", TARGET_ADDRESS, 1, 1, TargetState.READY, 1, 0.0)
        )
        answers: list[RoutedAnswer] = []
        first, waiting, late = (attrs.evolve(make_call(), call_id=number) for number in (1, 2, 3))
        with (
            mock.patch.object(
                MeshNode, "answer_call", lambda self, link_id, answer: answers.append(answer)
            ),
            mock.patch.object(TargetPool, "start", lambda *arguments: PendingRun()),
            self.assertLogs("gooseberrydock", "INFO") as logs,
        ):
            dispatcher.on_call("link-1", first)
            dispatcher.on_call("link-1", waiting)
            node.controllers.stop_plan.runs.on_end(0.0, first.route, 5_000.0)
            node.begin_stop(node.now_ms() + 100.0)
            dispatcher.on_call("link-1", late)
            self.assertEqual([3], [answer.call_id for answer in answers])
            node.log_cut_work()
            run = next(run for run in dispatcher.runs if run.ticket.call is first)
            run.on_response(HttpResponse(200, [(b"server-seal", b"s")], b""))
        self.assertEqual([3, 1, 2], [answer.call_id for answer in answers])
        results = {answer.call_id: answer.result for answer in answers}
        self.assertEqual((RunResult.NOT_RUN, RunResult.NOT_RUN), (results[2], results[3]))
        cut = [vars(line) for line in logs.records if vars(line)["event"] == WORK_CUT.number]
        self.assertEqual([True, False], [line["run_has_started"] for line in cut])


class OwnInterfaceCases(unittest.TestCase):
    """Guard the product's own interface against requests that its stop cuts off."""

    def test_request_is_refused_unsent_if_it_would_be_cut(self) -> None:
        for left_ms, expected in ((1_000.0, NODE_LEAVING.number), (600_000.0, 0)):
            with self.subTest(left_ms=left_ms):
                cluster = create_cluster()
                entry = cluster.nodes["entry-1"]
                entry.core.stop_plan.begin(cluster.now_ms + left_ms)
                exchange = entry.request("/shop/look")
                cluster.run_until_idle()
                self.assertEqual(expected, code_of(entry, exchange))

    def test_request_is_taken_if_such_requests_ended_in_the_time_left(self) -> None:
        cluster = create_cluster()
        entry = cluster.nodes["entry-1"]
        for _ in range(10):
            entry.request("/shop/look")
            cluster.run_until_idle()
        entry.core.stop_plan.begin(cluster.now_ms + 1_000.0)
        exchange = entry.request("/shop/look")
        cluster.run_until_idle()
        self.assertEqual("done", entry.outcome(exchange))


_OWN_WORK_S = 1.0
_CALL_WORK_S = 2.2
_WARM_UP_S = 6.0
_REQUEST_INTERVAL_S = 0.2
_ANSWER_BYTES = 8_000_000
_READER_PAUSE_S = 4.4
"""Pause of a reader, which ends more than a second before the grace time of 6 s."""


class StopPathCases(unittest.TestCase):
    """Stops of real node processes."""

    def _run(self, scenario: Callable[[PlatformFleet], Awaitable[None]]) -> None:
        async def main() -> None:
            with tempfile.TemporaryDirectory() as name:
                async with running_platform_fleet(Path(name)) as fleet:
                    for service in ("front", "back", "web"):
                        await fleet.add(service)
                    routes = {
                        "look": make_route_fields("front", "/look/", timeoutMs=6_000),
                        "plan": make_route_fields("back", "/plan/", timeoutMs=6_000),
                    }
                    fleet.configure(routes, ["front", "back", "web"])
                    await fleet.wait_until_known()
                    for node in fleet.nodes:
                        await fleet.wait_until_served(node, "/look/1")
                        await fleet.wait_until_served(node, "/plan/1")
                    await scenario(fleet)

        trio.run(main)

    def test_no_call_of_the_target_is_broken_off_at_its_server(self) -> None:
        """Guard against calls that are taken late in a stop and cut while their targets work."""

        async def scenario(fleet: PlatformFleet) -> None:
            stopping, back, web = fleet.nodes
            calls: list[tuple[str, int]] = []

            async def make_call(request: HttpRequest) -> None:
                call_id = f"call-{len(calls)}"
                calls.append((call_id, 0))
                number = len(calls) - 1
                response = await fleet.send(
                    stopping, "/plan/1", call_id, timeout_s=8.0, deadline_ms=6_000
                )
                calls[number] = (call_id, response.status if response is not None else 0)

            stopping.target.response_delay_s = _OWN_WORK_S
            stopping.target.make_call = make_call
            back.target.response_delay_s = _CALL_WORK_S
            statuses: list[int] = []

            async def send() -> None:
                response = await fleet.send(web, "/look/1", timeout_s=8.0, deadline_ms=6_000)
                statuses.append(response.status if response is not None else 0)

            async with trio.open_nursery() as nursery:
                stopped_at = trio.current_time() + _WARM_UP_S
                has_stopped = False
                assert stopping.process is not None
                while stopping.process.poll() is None:
                    nursery.start_soon(send)
                    await trio.sleep(_REQUEST_INTERVAL_S)
                    if not has_stopped and trio.current_time() > stopped_at:
                        has_stopped = True
                        stopping.process.send_signal(signal.SIGTERM)
            ran = {
                value.decode()
                for run in back.target.runs
                for name, value in run.headers
                if name == b"request-id"
            }
            cut = [call for call in calls if call[0] in ran and call[1] != 200]
            self.assertEqual([], cut)
            self.assertGreater(statuses.count(200), _WARM_UP_S / _REQUEST_INTERVAL_S / 2)

        self._run(scenario)

    def test_slow_reader_gets_answers_that_were_ready(self) -> None:
        """Guard against answers that are dropped while grace time is left."""

        async def scenario(fleet: PlatformFleet) -> None:
            stopping, back, _ = fleet.nodes
            back.target.behaviour = lambda request: HttpResponse(
                200, back.target.default_response(request).headers, b"x" * _ANSWER_BYTES
            )
            process = stopping.process
            assert process is not None
            received = await trio.to_thread.run_sync(_read_late, stopping, process)
            self.assertGreaterEqual(received, 2 * _ANSWER_BYTES)

        self._run(scenario)

    def test_reload_signals_during_the_start_do_not_end_the_process(self) -> None:
        """Guard against a process that ends because it does not handle the signal yet."""

        async def scenario(fleet: PlatformFleet) -> None:
            node = fleet.nodes[2]
            node.kill()
            node.start(fleet.log)
            assert node.process is not None
            with trio.fail_after(10):
                while not _handles_reload(node.process.pid):
                    self.assertIsNone(node.process.poll())
                    await trio.sleep(0.001)
            for _ in range(200):
                node.process.send_signal(signal.SIGHUP)
                await trio.sleep(0.002)
            await fleet.wait_until_served(node, "/plan/2")
            self.assertIsNone(node.process.poll())

        self._run(scenario)
        program = "import sys, gooseberrydock.platform.__main__; sys.exit('trio' in sys.modules)"
        subprocess.run([sys.executable, "-c", program], check=True)


def _read_late(node: FleetNode, process: "subprocess.Popen[bytes]") -> int:
    """Request two large answers, stop the node, and read late; return the bytes received."""
    received = 0
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        connection.settimeout(10.0)
        connection.connect((node.entry.host, node.entry.port))
        request = f"GET /plan/1 HTTP/1.1\r\nhost: {node.entry.host}\r\ndeadline-ms: 4000\r\n\r\n"
        connection.sendall(request.encode() * 2)
        received += len(connection.recv(65_536))
        process.send_signal(signal.SIGTERM)
        time.sleep(_READER_PAUSE_S)
        while data := connection.recv(65_536):
            received += len(data)
    return received


def _handles_reload(pid: int) -> bool:
    """Return whether a process ignores or catches the signal."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    masks = [
        line.split()[1] for line in status.splitlines() if line.startswith(("SigIgn", "SigCgt"))
    ]
    return any(int(mask, 16) & (1 << (signal.SIGHUP - 1)) for mask in masks)
