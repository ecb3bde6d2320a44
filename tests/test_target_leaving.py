"""Test that an acknowledged leaving of a target binds, whatever else is known and restarted."""

import tempfile
import unittest
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import attrs
import trio
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.members import Address, encode_member
from gooseberrydock.mesh.leaving_receipts import LeavingReceipts
from gooseberrydock.mesh.node import MeshNode
from gooseberrydock.mesh.statement_memory import StatementMemory
from gooseberrydock.mesh.store import StoreItem
from gooseberrydock.mesh.target_registration import (
    InstanceAnnouncement,
    NamedLeaving,
    TargetRegistration,
    TargetState,
    create_target_registration,
)
from gooseberrydock.messages import LeavingNotice, TargetNotice, TargetReport
from tests.mesh_helpers import make_member
from tests.platform_fleet import FleetNode, PlatformFleet, make_route_fields, running_platform_fleet
from tests.test_mesh_node import TARGET_ADDRESS, make_node

_ADDRESS = Address("10.0.0.1", 80)
_DRAIN_MS = 2_000.0
_LATER_MS = 5_000.0
_WALL_MS = 7_000.0
_READY = InstanceAnnouncement("a", "shop", _ADDRESS, 5, 9, TargetState.READY, 10, 0.0)


def _announce(
    instance_id: str, started: int, sequence: int = 9, state: TargetState = TargetState.READY
) -> Callable[[TargetRegistration], None]:
    announcement = attrs.evolve(
        _READY, instance_id=instance_id, started_wall_ms=started, sequence=sequence, state=state
    )
    return lambda registration: _apply(registration, announcement)


def _apply(registration: TargetRegistration, announcement: InstanceAnnouncement) -> None:
    # An announcement of leaving is acknowledged at once, any other one arrives late.
    is_leaving = announcement.state is TargetState.LEAVING
    registration.on_announcement(0.0 if is_leaving else _LATER_MS, announcement)


def _leave(instance_id: str, started: int | None) -> Callable[[TargetRegistration], None]:
    return lambda registration: _apply_leave(registration, instance_id, started)


def _apply_leave(registration: TargetRegistration, instance_id: str, started: int | None) -> None:
    leaving = registration.name_leaving(0.0, _WALL_MS, instance_id, started)
    registration.on_leave(0.0, leaving.start_id)


def _notice(start_id: str) -> Callable[[TargetRegistration], None]:
    notice = TargetNotice(start_id, 0.0, True, _LATER_MS)
    return lambda registration: _apply_notice(registration, notice)


def _apply_notice(registration: TargetRegistration, notice: TargetNotice) -> None:
    registration.on_notice(_LATER_MS, notice)


_LEAVING = TargetState.LEAVING
NOT_USED_AGAIN = [
    ("leave of a start that a restarted node does not know", [_leave("a", 9), _announce("a", 9)]),
    ("the same without a start time", [_leave("a", None), _announce("a", 9)]),
    ("an earlier start is known", [_announce("a", 5), _leave("a", 9), _announce("a", 9)]),
    ("an earlier start of another ID", [_announce("b", 5), _leave("a", 9), _announce("a", 9)]),
    ("announced, then late", [_announce("a", 9, 5, _LEAVING), _announce("a", 9, 3)]),
    ("announced, then a later sequence", [_announce("a", 9, 5, _LEAVING), _announce("a", 9, 7)]),
    ("a start before the one that left", [_leave("a", 9), _announce("a", 8)]),
    ("known too late by another node", [_announce("a", 9), _notice("a@9")]),
    ("known by another node before", [_notice("a@9"), _announce("a", 9)]),
    ("another node knows of a later start", [_announce("a", 8), _notice("a@9")]),
    ("twice", [_leave("a", 9), _announce("a", 9), _leave("a", 9), _announce("a", 9, 20)]),
    ("an earlier start in use", [_announce("a", 5), _leave("a", None), _announce("a", 9)]),
    (
        "an earlier one that left",
        [_announce("a", 5, 5, _LEAVING), _leave("a", None), _announce("a", 9)],
    ),
    ("an older one known later", [_leave("a", 9), _notice("a@5"), _announce("a", 9)]),
    ("another ID known later", [_leave("a", 9), _notice("b@12"), _announce("a", 9)]),
    (
        "in the middle of others",
        [_leave("a", 9), _leave("b", 5), _leave("c", 12), _announce("a", 8)],
    ),
]
"""Events in whose course a start has left; it announces itself late."""
USED = [
    ("a later start of the same ID", [_leave("a", 9), _announce("a", 10)], "a@10"),
    ("after a leave without a start time", [_leave("a", None), _announce("a", 7_001)], "a@7001"),
    ("another ID at the same time", [_leave("a", 9), _announce("b", 9)], "b@9"),
    (
        "another ID at the same time, then the late one",
        [_leave("a", 9), _announce("b", 9), _announce("a", 9)],
        "b@9",
    ),
    (
        "an earlier start leaves late",
        [_announce("a", 9), _announce("a", 5, 9, _LEAVING)],
        "a@9",
    ),
    ("an earlier start has left", [_announce("a", 9), _leave("a", 5)], "a@9"),
    ("another node knows of an earlier start", [_announce("a", 9), _notice("a@8")], "a@9"),
]
"""Events after which a start that has not left is in use."""


class AcknowledgedLeavingCases(unittest.TestCase):
    """Guard against a target that is used again after its leaving was acknowledged."""

    def test_start_that_has_left_is_not_used_again(self) -> None:
        for name, events in NOT_USED_AGAIN:
            with self.subTest(name):
                registration = create_target_registration(_ADDRESS, _DRAIN_MS)
                for event in events:
                    event(registration)
                self.assertEqual("", registration.service)
                self.assertFalse(registration.accepts(_LATER_MS, "shop"))

    def test_start_that_has_not_left_is_used(self) -> None:
        for name, events, start_id in USED:
            with self.subTest(name):
                registration = create_target_registration(_ADDRESS, _DRAIN_MS)
                for event in events:
                    event(registration)
                self.assertEqual(start_id, registration.start_id)
                self.assertTrue(registration.accepts(_LATER_MS, "shop"))

    @given(st.permutations(range(6)), st.integers(0, 2))
    def test_no_order_of_late_announcements_brings_a_start_back(
        self, order: list[int], started: int
    ) -> None:
        registration = create_target_registration(_ADDRESS, _DRAIN_MS)
        registration.on_leave(0.0, f"a@{started}")
        for number in order:
            _announce("a" if number % 2 else "b", number // 2)(registration)
            if registration.instance_id == "a" and registration.accepts(_LATER_MS, "shop"):
                self.assertGreater(registration.start_id, f"a@{started}")

    def test_starts_that_left_are_bounded_and_the_current_one_is_kept(self) -> None:
        registration = create_target_registration(_ADDRESS, _DRAIN_MS)
        _announce("a", 9)(registration)
        registration.on_leave(0.0, "a@9")
        for number in range(1_000):
            registration.on_leave(0.0, f"b{number}@{number}")
            registration.name_leaving(0.0, _WALL_MS, f"b{number}", None)
            registration.on_notice(0.0, TargetNotice(f"b{number}@1", 5.0, False, 0.0))
        self.assertLess(len(registration._left.all), 20)
        self.assertLess(len(registration._deregistrations), 20)
        self.assertLess(len(registration._limits_of_others), 20)
        self.assertEqual("", registration.service)
        _announce("a", 9)(registration)
        self.assertFalse(registration.accepts(_LATER_MS, "shop"))


class NamedLeavingCases(unittest.TestCase):
    """Which starts a deregistration means that does not say when its start began."""

    def setUp(self) -> None:
        self._registration = create_target_registration(_ADDRESS, _DRAIN_MS)

    def _leave(self, now_ms: float) -> NamedLeaving:
        leaving = self._registration.name_leaving(now_ms, _WALL_MS + now_ms, "a", None)
        self._registration.on_leave(now_ms, leaving.start_id)
        return leaving

    def _is_used(self, started: int) -> bool:
        _announce("a", started)(self._registration)
        return self._registration.accepts(_LATER_MS, "shop")

    def test_start_that_has_not_announced_itself_is_bound(self) -> None:
        # Guards against a leaving that is taken for that of the start before.
        _announce("a", 5)(self._registration)
        self.assertEqual(NamedLeaving("a@7000", "a@7000"), self._leave(0.0))
        self.assertFalse(self._is_used(6_900))
        self.assertTrue(self._is_used(7_001))

    def test_repetition_binds_no_later_start(self) -> None:
        # Guards against a late repetition that keeps the next start out of use.
        self._leave(0.0)
        self.assertTrue(self._is_used(7_500))
        for now_ms in (1_300.0, 2_600.0, 5_000.0):
            self.assertEqual("a@7000", self._leave(now_ms).start_id)
        self.assertTrue(self._registration.accepts(_LATER_MS, "shop"))
        self._leave(60_000.0)
        self.assertFalse(self._registration.accepts(60_000.0 + _DRAIN_MS, "shop"))

    def test_start_of_a_clock_ahead_is_bound_too(self) -> None:
        _announce("a", 9_000)(self._registration)
        self.assertEqual("a@9000", self._leave(0.0).start_id)
        self.assertEqual("", self._registration.service)

    def test_announced_leaving_has_to_be_stored_once(self) -> None:
        # Guards against store calls at the end of a leaving that is stored already.
        _announce("a", 5, state=_LEAVING)(self._registration)
        self.assertEqual(NamedLeaving("a@7000", "a@5"), self._leave(0.0))


class KeptLeavingCases(unittest.TestCase):
    """What other nodes keep of a leaving, and what they return to the restarted node."""

    def test_leaving_is_returned_with_the_earliest_time(self) -> None:
        memory = StatementMemory()
        memory.on_leaving(1_000.0, "n1", LeavingNotice("a@9", 300.0))
        memory.on_leaving(2_000.0, "n1", LeavingNotice("a@9", 100.0))
        expected = [TargetNotice("a@9", 0.0, True, 1_800.0)]
        self.assertEqual(expected, memory.notices_for(2_500.0, "n1"))
        self.assertEqual(["n1"], memory.leaving_nodes(2_500.0))
        self.assertEqual([], memory.leaving_nodes(120_000.0))

    def test_leaving_outlives_answers_of_the_restarted_node_that_say_nothing(self) -> None:
        memory = StatementMemory()
        memory.on_leaving(0.0, "n1", LeavingNotice("a@9", 0.0))
        memory.on_report(10.0, "n1", TargetReport(1, 10, 20.0, 1.0), is_answer=True)
        self.assertEqual(["n1"], memory.leaving_nodes(20.0))

    def test_latest_start_of_each_id_that_left_is_returned(self) -> None:
        # Guards against an older leaving, or a later start, that replaces what others keep.
        memory = StatementMemory()
        for start_id in ("a@9", "b@12", "a@7"):
            memory.on_leaving(0.0, "n1", LeavingNotice(start_id, 0.0))
        report = TargetReport(1, 10, 20.0, 1.0, rate_limit=5.0, start_id="b@13")
        memory.on_report(10.0, "n1", report, is_answer=True)
        notices = memory.notices_for(20.0, "n1")
        left = {notice.start_id for notice in notices if notice.is_leaving}
        self.assertEqual({"a@9", "b@12"}, left)
        self.assertIn(TargetNotice("b@13", 5.0, False, 0.0), notices)

    def test_what_a_node_sends_is_each_leaving_of_the_last_minute(self) -> None:
        registration = create_target_registration(_ADDRESS, _DRAIN_MS)
        self.assertEqual([], registration.leaving_notices(0.0))
        registration.on_leave(0.0, "a@9")
        self.assertEqual([LeavingNotice("a@9", 50.0)], registration.leaving_notices(50.0))
        _announce("a", 9)(registration)
        _announce("a", 10)(registration)
        self.assertEqual([LeavingNotice("a@9", 60.0)], registration.leaving_notices(60.0))
        registration.on_leave(30_000.0, "b@12")
        self.assertEqual([LeavingNotice("b@12", 40_000.0)], registration.leaving_notices(70_000.0))

    def test_leaving_from_before_a_restart_is_not_sent_in_place_of_a_newer_one(self) -> None:
        # Guards against an older leaving in the store, which replaced what other nodes keep.
        node = make_node()
        node.leavings.on_leaving_recovered(("a@9",))
        now_ms = node.now_ms()
        self.assertTrue(node.controllers.registration.has_left("a@9"))
        self.assertEqual([], node.controllers.registration.leaving_notices(now_ms))


class LeavingReceiptsCases(unittest.TestCase):
    """When the leaving is acknowledged to the target, and when it is not."""

    def setUp(self) -> None:
        self._receipts = LeavingReceipts()
        self._answers: list[bool] = []

    def _hold(self, now_ms: float, asked_nodes: int, is_alone: bool = False) -> None:
        leaving = NamedLeaving("a@9", "a@9")
        self._receipts.hold(now_ms, leaving, asked_nodes, is_alone, self._answers.append)

    def _answers_at(self, now_ms: float) -> list[bool]:
        for leaving in self._receipts.take_decided(now_ms):
            for answer in leaving.answers:
                answer(leaving.is_acknowledged)
        return self._answers

    def test_two_other_nodes_keep_it_first(self) -> None:
        self._hold(0.0, asked_nodes=5)
        self._receipts.on_stored("a@9")
        for node_id, expected in (("n1", []), ("n1", []), ("n2", [True])):
            self._receipts.on_receipt("a@9", node_id)
            self.assertEqual(expected, self._answers_at(1.0))

    def test_only_nodes_that_were_asked_are_waited_for(self) -> None:
        self._hold(0.0, asked_nodes=1)
        self._receipts.on_stored("a@9")
        self._receipts.on_receipt("a@8", "n1")
        self.assertEqual([], self._answers_at(1.0))
        self._receipts.on_receipt("a@9", "n1")
        self.assertEqual([True], self._answers_at(2.0))

    def test_node_that_knows_no_other_acknowledges_once_it_is_stored(self) -> None:
        self._hold(0.0, asked_nodes=0, is_alone=True)
        self._receipts.on_stored("a@8")
        self.assertEqual([], self._answers_at(0.0))
        self._receipts.on_stored("a@9")
        self.assertEqual([True], self._answers_at(0.0))

    def test_leaving_that_the_store_does_not_keep_is_answered_in_time_and_not_acknowledged(
        self,
    ) -> None:
        for asked_nodes in (0, 2):
            with self.subTest(asked_nodes=asked_nodes):
                self.setUp()
                self._hold(0.0, asked_nodes)
                self._receipts.on_receipt("a@9", "n1")
                self._receipts.on_receipt("a@9", "n2")
                self.assertEqual([], self._answers_at(100.0))
                self.assertEqual([False], self._answers_at(900.0))

    def test_stored_leaving_is_acknowledged_in_time_when_other_nodes_are_silent(self) -> None:
        for asked_nodes in (0, 2):
            with self.subTest(asked_nodes=asked_nodes):
                self.setUp()
                self._hold(0.0, asked_nodes)
                self._receipts.on_stored("a@9")
                self._receipts.on_receipt("a@9", "n1")
                self.assertEqual([], self._answers_at(100.0) if asked_nodes else [])
                self.assertEqual([True], self._answers_at(900.0))

    def test_repeated_calls_are_all_answered(self) -> None:
        self._hold(0.0, asked_nodes=2)
        self._hold(50.0, asked_nodes=2)
        self._receipts.on_stored("a@9")
        self._receipts.on_receipt("a@9", "n1")
        self._receipts.on_receipt("a@9", "n2")
        self.assertEqual([True, True], self._answers_at(60.0))
        self.assertEqual([True, True], self._answers_at(900.0))


class LeavingWithoutOthersCases(unittest.TestCase):
    """Guard against an acknowledgement by a node that has only lost sight of the others."""

    def _answers(self, node: MeshNode) -> list[bool]:
        answers: list[bool] = []
        node.controllers.registration.on_leave(node.now_ms(), "a@9")
        node.leavings.answer(NamedLeaving("a@9", "a@9"), answers.append)
        return answers

    def test_node_that_no_store_has_told_of_others_acknowledges_once_it_is_stored(self) -> None:
        node = make_node()
        self.assertEqual([], self._answers(node))
        node.fleet.on_store_items((), is_snapshot=True)
        answers = self._answers(node)
        self.assertEqual([], answers)
        node.leavings.on_leaving_stored("a@9")
        self.assertEqual([True], answers)

    def test_leaving_of_a_start_that_is_not_in_use_is_stored_first_too(self) -> None:
        # Guards against an early acknowledgement of what nothing keeps.
        for started, instance_id in ((5, "a"), (5, "b"), (20, "a"), (20, "b")):
            with self.subTest(started=started, instance_id=instance_id):
                node, answers = make_node(), list[bool]()
                node.fleet.on_store_items((), is_snapshot=True)
                node.target_dispatcher.on_announcement(
                    attrs.evolve(_READY, started_wall_ms=10, address=TARGET_ADDRESS)
                )
                leaving = node.target_dispatcher.on_target_leaving(instance_id, started)
                node.leavings.answer(leaving, answers.append)
                node.leavings.tick(node.now_ms() + 100.0)
                self.assertEqual([], answers)
                node.leavings.on_leaving_stored(leaving.kept_start_id)
                self.assertEqual([True], answers)

    def test_node_that_has_forgotten_the_others_does_not(self) -> None:
        node = make_node()
        node.fleet.on_store_items((), is_snapshot=True)
        member = make_member("other")
        item = StoreItem("nodes/other", encode_member(member), 1)
        node.fleet.on_store_items((item,), is_snapshot=True)
        node.fleet.on_store_items((), is_snapshot=True)
        for second in range(60):
            node.fleet.tick_maintenance(node.now_ms() + second * 1_000.0)
        self.assertEqual([], node.controllers.directory.others)
        answers = self._answers(node)
        node.leavings.on_leaving_stored("a@9")
        self.assertEqual([], answers)


_DRAIN_TIME_S = 2.0
_RUNS_AFTER_S = 2.0


@attrs.frozen
class LeavingBeforeKill:
    """How a target leaves, and what ends after its leaving was answered."""

    title: str
    state: str = "ready"
    has_store: bool = True
    keeps_store: bool = True
    kills: int = 1
    kills_all: bool = False
    is_orderly: bool = False
    """Whether the processes are stopped by a signal that lets them finish."""


_LEAVINGS_BEFORE_KILL = (
    LeavingBeforeKill("leave"),
    LeavingBeforeKill("announced", state="draining"),
    LeavingBeforeKill("leave, the store is away afterwards", keeps_store=False),
    LeavingBeforeKill("leave, the store is away", has_store=False),
)
_LEAVINGS_BEFORE_KILL_OF_ALL = (
    LeavingBeforeKill("leave, all nodes end", kills_all=True),
    LeavingBeforeKill("announced, all nodes end", state="draining", kills_all=True),
    LeavingBeforeKill("leave, all nodes end twice", kills=2, kills_all=True),
    LeavingBeforeKill("leave, all nodes are stopped", kills_all=True, is_orderly=True),
)


class LeavingBeforeRestartCases(unittest.TestCase):
    """Guard against an acknowledged leaving that is forgotten when nodes are killed after it."""

    def test_target_is_not_used_again_after_a_late_announcement(self) -> None:
        for leaving in _LEAVINGS_BEFORE_KILL:
            with self.subTest(leaving.title):
                self.assertEqual([], trio.run(self._leave_before_kill, leaving))

    def test_target_is_not_used_again_after_all_nodes_were_killed(self) -> None:
        # Guards against an acknowledged leaving that only processes keep, which may all end.
        for leaving in _LEAVINGS_BEFORE_KILL_OF_ALL:
            with self.subTest(leaving.title):
                self.assertEqual([], trio.run(self._leave_before_kill, leaving))

    def test_later_start_is_used_after_all_nodes_were_killed(self) -> None:
        # Guards against a stored leaving that also keeps the next start out of use.
        trio.run(self._replace_after_kill)

    async def _replace_after_kill(self) -> None:
        async with self._running_fleet() as fleet:
            leaving = fleet.nodes[0]
            target, left_start = leaving.target, leaving.target.born
            leaving.sends_heartbeats = False
            self.assertEqual(200, await target.leave())
            await self._kill(fleet, LeavingBeforeKill("", kills_all=True))
            target.born += 1
            runs_before = len(target.runs)
            await self._announce_late(leaving)
            self.assertEqual(200, await target.announce_late(left_start, sequence=99))
            with trio.fail_after(_RUNS_AFTER_S):
                while len(target.runs) == runs_before:
                    await fleet.status(fleet.nodes[2], "/look/later", "later")

    async def _leave_before_kill(self, leaving: LeavingBeforeKill) -> list[float]:
        """Return the times after the acknowledgement of runs that began later than allowed."""
        async with self._running_fleet() as fleet:
            node = fleet.nodes[0]
            for other in fleet.nodes:
                await fleet.wait_until_served(other, "/look/1")
            if not leaving.has_store:
                fleet.store.mode = "down"
            node.sends_heartbeats = False
            target = node.target
            target.state = leaving.state
            is_announced = leaving.state == "draining"
            status = await (target.announce() if is_announced else target.leave())
            # A leaving that nothing lasting keeps is not acknowledged.
            self.assertEqual(200 if leaving.has_store else 503, status)
            answered_at = trio.current_time()
            if not leaving.keeps_store:
                fleet.store.mode = "down"
            await self._kill(fleet, leaving)
            await self._announce_late(node)
            await self._send_requests(fleet, answered_at)
            allowed_until = answered_at + _DRAIN_TIME_S
            return [at - answered_at for at in target.run_times_s if at > allowed_until]

    @asynccontextmanager
    async def _running_fleet(self) -> AsyncIterator[PlatformFleet]:
        with tempfile.TemporaryDirectory() as name:
            async with running_platform_fleet(Path(name)) as fleet:
                for service, domain in (("shop", "z1"), ("shop", "z2"), ("web", "z1")):
                    await fleet.add(service, domain)
                fleet.configure({"look": make_route_fields("shop", "/look/")}, ["shop", "web"])
                await fleet.wait_until_known()
                yield fleet

    async def _kill(self, fleet: PlatformFleet, leaving: LeavingBeforeKill) -> None:
        """Kill the node of the leaving target, or all nodes; each starts again."""
        killed = fleet.nodes if leaving.kills_all else fleet.nodes[:1]
        for _ in range(leaving.kills):
            for node in killed:
                if leaving.is_orderly and node.process is not None:
                    node.process.terminate()
                else:
                    node.kill()
            for node in killed:
                if node.process is not None:
                    await trio.to_thread.run_sync(node.process.wait)
            for node in killed:
                node.start(fleet.log)
            if leaving.kills_all:
                for node in fleet.nodes[1:]:
                    await fleet.wait_until_served(node, "/look/1")

    async def _announce_late(self, leaving: FleetNode) -> None:
        leaving.target.state = "ready"
        leaving.target.sequence = 0
        with trio.fail_after(5):
            while await leaving.target.announce() != 200:
                await trio.sleep(0.05)

    async def _send_requests(self, fleet: PlatformFleet, answered_at: float) -> None:
        number = 0
        while trio.current_time() < answered_at + _DRAIN_TIME_S + _RUNS_AFTER_S:
            for node in fleet.nodes[1:]:
                number += 1
                self.assertEqual(200, await fleet.status(node, f"/look/{number}", f"r{number}"))
            await trio.sleep(0.02)
