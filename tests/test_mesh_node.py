"""Tests of the node without sockets: records, the target, share notices and crashes."""

import random
import unittest
from typing import cast
from unittest import mock

import attrs
import trio

from gooseberrydock.backoff import Backoff
from gooseberrydock.clock import ManualTime, manual_clock
from gooseberrydock.errorcodes import TARGET_UNREACHABLE
from gooseberrydock.events import CALL_REFUSED
from gooseberrydock.members import Address, Member, MemberState, encode_member
from gooseberrydock.mesh.controllers import StoreKeys, create_controllers
from gooseberrydock.mesh.crash_watch import create_crash_watch
from gooseberrydock.mesh.decision_log import DecisionLog
from gooseberrydock.mesh.model import EMPTY_TABLE, create_route_table
from gooseberrydock.mesh.node import MeshNode
from gooseberrydock.mesh.options import (
    HeaderNames,
    MeshOptions,
    RetryBudgetOptions,
    apply_settings,
)
from gooseberrydock.mesh.store import StoreItem
from gooseberrydock.mesh.store_sync import RETRY_POLICY
from gooseberrydock.mesh.target_connections import PendingRun, TargetPool
from gooseberrydock.mesh.target_registration import InstanceAnnouncement, TargetState
from gooseberrydock.mesh.target_run import Run
from gooseberrydock.messages import Cancel, RoutedAnswer, RoutedCall, RunResult
from tests.mesh_helpers import make_call, make_member

TARGET_ADDRESS = Address("10.0.0.1", 80)
_OPTIONS = MeshOptions(
    node_id="me",
    failure_domain="d1",
    service="shop",
    target_address=TARGET_ADDRESS,
    entry_listen=TARGET_ADDRESS,
    peer_listen=TARGET_ADDRESS,
    peer_advertised=TARGET_ADDRESS,
    control_listen=TARGET_ADDRESS,
    ready_listen=TARGET_ADDRESS,
    metrics_listen=None,
    store=TARGET_ADDRESS,
    headers=HeaderNames(),
    retry_budget=RetryBudgetOptions(),
    drain_ms=2_000.0,
    stop_grace_ms=6_000.0,
    lease_min_ms=1_000.0,
    store_reads_per_s=2_000.0,
)


class _FakeNursery:
    """Accept tasks and run none of them."""

    def start_soon(self, *task: object) -> None:
        """Accept a task."""


def make_node(incarnation: int = 100) -> MeshNode:
    controllers = create_controllers(
        _OPTIONS,
        StoreKeys("table", "nodes/", "leavings/", "quarantines/"),
        lambda payload: create_route_table(int(payload), (), ()),
        seed=1,
    )
    node = MeshNode(
        options=_OPTIONS,
        clock=manual_clock(ManualTime()),
        nursery=cast(trio.Nursery, _FakeNursery()),
        controllers=controllers,
        first_record=attrs.evolve(make_member("me", ""), incarnation=incarnation),
        decision_log=DecisionLog(),
    )
    controllers.create_entry(_OPTIONS, node, 1)
    return node


def _own_record(node: MeshNode) -> Member:
    member = node.controllers.directory.find("me")
    assert member is not None
    return member


class RetryBoundsCases(unittest.TestCase):
    """Retry delays stay bounded during short and long outages of the store."""

    def test_waits_stay_bounded_however_long_the_outage(self) -> None:
        backoff = Backoff(random.Random(1), RETRY_POLICY)
        waits = [backoff.next_delay_ms() for _ in range(5_000)]
        self.assertLessEqual(max(waits), 900.0)
        self.assertLess(max(waits[:2]), 200.0)


class NodeCases(unittest.TestCase):
    """How a node handles store contents and events of its target."""

    def test_older_table_is_ignored(self) -> None:
        node = make_node()
        for payload in (b"7", b"5", b"7"):
            node.fleet.on_store_items((StoreItem("table", payload, 1),), is_snapshot=False)
        self.assertEqual(7, node.table.version)
        self.assertIsNot(EMPTY_TABLE, node.table)

    def test_record_of_an_earlier_start_with_a_clock_ahead_is_superseded(self) -> None:
        node = make_node(incarnation=100)
        previous = attrs.evolve(make_member("me", "shop"), incarnation=5_000, version=9)
        node.fleet.on_store_items(
            (StoreItem("nodes/me", encode_member(previous), 3),), is_snapshot=True
        )
        self.assertGreater(_own_record(node).order, previous.order)

    def test_only_the_record_of_a_live_node_may_reappear(self) -> None:
        """The record of a node that is leaving stays removed: no fast second read is needed."""
        node = make_node()
        cases = {MemberState.ALIVE: True, MemberState.LEAVING: False}
        for number, (state, may_reappear) in enumerate(cases.items()):
            with self.subTest(state=state):
                member = attrs.evolve(make_member(f"n{number}"), state=state)
                key = f"nodes/{member.node_id}"
                stored = StoreItem(key, encode_member(member), 2)
                self.assertFalse(node.fleet.on_store_items((stored,), is_snapshot=False))
                removed = StoreItem(key, None, 3)
                self.assertEqual(
                    may_reappear, node.fleet.on_store_items((removed,), is_snapshot=False)
                )

    def test_large_fleet_opens_few_links_before_calls_need_them(self) -> None:
        node = make_node()
        for number in range(300):
            member = make_member(f"n{number}", domain=f"d{number % 3}")
            node.fleet.on_store_items(
                (StoreItem(f"nodes/{member.node_id}", encode_member(member), number),),
                is_snapshot=False,
            )
        self.assertEqual(301, node.controllers.directory.node_count)
        self.assertLessEqual(node.links.linked_node_count, 64)

    def test_node_that_reaches_no_other_is_not_ready(self) -> None:
        node = make_node()
        node.fleet.on_store_items((StoreItem("table", b"7", 1),), is_snapshot=False)
        self.assertTrue(node.is_ready)
        other = StoreItem("nodes/n2", encode_member(make_member("n2")), 2)
        node.fleet.on_store_items((other,), is_snapshot=False)
        self.assertFalse(node.is_ready)

    def test_call_of_a_route_that_only_the_callers_table_has_is_run(self) -> None:
        for version in (b"", b"7"):
            with self.subTest(version=version):
                node = make_node()
                if version:
                    node.fleet.on_store_items((StoreItem("table", version, 1),), is_snapshot=False)
                node.target_dispatcher.on_announcement(
                    InstanceAnnouncement(
                        "i-1", "shop", TARGET_ADDRESS, 1, 1, TargetState.READY, 10, 0.0
                    )
                )
                node.target_dispatcher.on_call("", make_call())
                self.assertEqual(1, node.target_dispatcher.in_flight)

    def test_announcement_of_an_unknown_service_is_rejected(self) -> None:
        node = make_node()
        node.fleet.on_store_items((StoreItem("table", b"7", 1),), is_snapshot=False)
        unknown = InstanceAnnouncement(
            "i-1", "odd", TARGET_ADDRESS, 1, 1, TargetState.READY, 10, 0.0
        )
        self.assertFalse(node.target_dispatcher.on_announcement(unknown))
        self.assertEqual("", _own_record(node).service)
        self.assertTrue(
            node.target_dispatcher.on_announcement(attrs.evolve(unknown, service="shop"))
        )

    def test_call_without_a_target_is_logged_with_its_request(self) -> None:
        node = make_node()
        headers = [(_OPTIONS.headers.request_id, b"r-7")]
        with self.assertLogs("gooseberrydock", "INFO") as logs:
            node.target_dispatcher.on_call("", make_call(headers=headers))
        lines = [vars(record) for record in logs.records]
        refused = next(line for line in lines if line["event"] == CALL_REFUSED.number)
        self.assertEqual(("r-7", "no-target"), (refused["request"], refused["cause"]))

    def test_stopping_node_does_not_notify_shares_of_its_target(self) -> None:
        """Its target becomes idle while other nodes take over its load."""
        for is_stopping in (False, True):
            with self.subTest(is_stopping=is_stopping):
                node = make_node()
                node.target_dispatcher.on_announcement(
                    InstanceAnnouncement(
                        "i-1", "shop", TARGET_ADDRESS, 1, 1, TargetState.READY, 10, 0.0
                    )
                )
                node.controllers.share_notices.on_call(0.0, "look", "link-1")
                node.controllers.call_graph._needs = {"look": {"inner": 1.0}}
                node.controllers.nested_routes.on_report("inner", True)
                node.controllers.shares.on_report(0.0, "inner", "n1", 0.3, 10)
                if is_stopping:
                    node.begin_stop(node.now_ms() + 5_000.0)
                with mock.patch.object(MeshNode, "notify_shares") as notify_shares:
                    node.propagate_shares(100.0)
                self.assertEqual(not is_stopping, notify_shares.called)

    def test_each_changed_setting_takes_effect_or_requires_a_restart(self) -> None:
        wanted = attrs.evolve(
            _OPTIONS,
            service="other",
            drain_ms=100.0,
            stop_grace_ms=9_000.0,
            retry_budget=RetryBudgetOptions(ratio=0.0, slack=0.0),
            entry_listen=Address("10.0.0.1", 81),
            lease_min_ms=2_000.0,
        )
        change = apply_settings(_OPTIONS, wanted)
        self.assertEqual({"entry_listen", "lease_min_ms"}, set(change.restart_required))
        self.assertEqual(
            {"service", "drain_ms", "stop_grace_ms", "retry_budget"}, set(change.applied)
        )
        node = make_node()
        node.set_options(change.options)
        self.assertEqual(_OPTIONS.entry_listen, node.options.entry_listen)
        self.assertEqual(9_000.0, node.options.stop_grace_ms)
        budget, registration = node.controllers.budget, node.controllers.registration
        for _ in range(1_000):
            budget.on_request("shop")
        self.assertFalse(budget.try_spend("shop"))
        registration.on_announcement(
            0.0,
            InstanceAnnouncement("i-1", "shop", TARGET_ADDRESS, 1, 1, TargetState.LEAVING, 2, 0.0),
        )
        self.assertFalse(registration.accepts(0.0, "shop"))

    def test_share_of_a_host_that_restarted_is_forgotten(self) -> None:
        node = make_node()
        node.controllers.shares.on_report(0.0, "look", "other", 0.2, 10)
        self.assertLess(node.controllers.shares.share_of(0.0, "look"), 1.0)
        for incarnation in (1, 2):
            member = attrs.evolve(make_member("other"), incarnation=incarnation)
            item = StoreItem("nodes/other", encode_member(member), incarnation)
            node.fleet.on_store_items((item,), is_snapshot=False)
        self.assertEqual(1.0, node.controllers.shares.share_of(0.0, "look"))

    def test_waiting_calls_are_refused_at_once_when_the_target_leaves(self) -> None:
        node = make_node()
        dispatcher = node.target_dispatcher
        dispatcher.on_announcement(
            InstanceAnnouncement("i-1", "shop", TARGET_ADDRESS, 1, 1, TargetState.READY, 2, 0.0)
        )
        answers: list[RoutedAnswer] = []
        calls = [attrs.evolve(make_call(), call_id=number) for number in range(1, 4)]
        with (
            mock.patch.object(
                MeshNode, "answer_call", lambda self, link_id, answer: answers.append(answer)
            ),
            mock.patch.object(TargetPool, "start", lambda *arguments: PendingRun()),
        ):
            for call in calls:
                dispatcher.on_call("link-1", call)
            self.assertEqual(3, dispatcher.in_flight)
            dispatcher.on_other_instance(dispatcher.runs[0])
            dispatcher.on_cancel("link-1", Cancel(1))
        self.assertEqual([2, 3], [answer.call_id for answer in answers])
        self.assertEqual({RunResult.NOT_RUN}, {answer.result for answer in answers})
        self.assertEqual(0, dispatcher.in_flight)

    def test_lost_link_breaks_off_only_runs_that_may_be_repeated(self) -> None:
        node = make_node()
        dispatcher = node.target_dispatcher
        dispatcher.on_announcement(
            InstanceAnnouncement("i-1", "shop", TARGET_ADDRESS, 1, 1, TargetState.READY, 9, 0.0)
        )
        pending = [PendingRun(), PendingRun()]
        with (
            mock.patch.object(MeshNode, "is_idempotent", lambda self, route: route == "look"),
            mock.patch.object(TargetPool, "start", mock.Mock(side_effect=pending)),
        ):
            for number, route in enumerate(("look", "book"), 1):
                call = attrs.evolve(make_call(), call_id=number, route=route)
                dispatcher.on_call("link-1", call)
            dispatcher.on_link_lost("link-1")
        self.assertEqual([True, False], [run.is_aborted for run in pending])
        self.assertEqual(1, dispatcher.in_flight)

    def test_unreachable_target_is_withdrawn_until_its_next_announcement(self) -> None:
        node = make_node()
        announced = InstanceAnnouncement(
            "i-1", "shop", TARGET_ADDRESS, 1, 1, TargetState.READY, 10, 0.0
        )
        node.target_dispatcher.on_announcement(announced)
        self.assertEqual("shop", _own_record(node).service)
        call = make_call()
        ticket = node.admission_queue.create_ticket(0.0, 1, "link", call)
        node.admission_queue.submit(0.0, ticket)
        Run(ticket, node.target_dispatcher, HeaderNames()).on_failure(
            TARGET_UNREACHABLE, was_sent=False
        )
        self.assertEqual("", _own_record(node).service)
        node.target_dispatcher.on_announcement(attrs.evolve(announced, sequence=2))
        self.assertEqual("shop", _own_record(node).service)

    def test_request_that_crashes_targets_is_refused_after_the_second(self) -> None:
        watch, other = create_crash_watch(), create_crash_watch()
        bad, good = make_call("/bad"), make_call("/good")
        watch.on_run_lost(0.0, bad, started_at=-50.0)
        watch.on_run_lost(0.0, good, started_at=-50.0)
        first = watch.on_target_dead(100.0)
        assert first is not None
        self.assertFalse(watch.refuses(200.0, bad))
        other.on_crash_notice(200.0, first)
        other.on_run_lost(300.0, bad, started_at=250.0)
        third = RoutedCall(2, "a", "b", "c", "GET", "/c", [], b"", 1.0, 2)
        other.on_run_lost(300.0, third, started_at=250.0)
        second = other.on_target_dead(400.0)
        assert second is not None
        watch.on_crash_notice(500.0, second)
        for crash_watch in (watch, other):
            self.assertTrue(crash_watch.refuses(600.0, bad))
            self.assertFalse(crash_watch.refuses(600.0, good))

    def test_lost_connections_of_a_live_target_quarantine_nothing(self) -> None:
        watch = create_crash_watch()
        call = make_call("/a")
        for step in range(4):
            watch.on_run_lost(step * 10_000.0, call, started_at=step * 10_000.0)
            watch.tick(step * 10_000.0 + 5_000.0)
        self.assertIsNone(watch.on_target_dead(60_000.0))
        self.assertFalse(watch.refuses(60_000.0, call))

    def test_malformed_record_is_ignored(self) -> None:
        node = make_node()
        node.fleet.on_store_items((StoreItem("nodes/x", b"\xff\x00", 3),), is_snapshot=True)
        self.assertEqual(1, node.controllers.directory.node_count)
