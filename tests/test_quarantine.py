"""Tests of the quarantine of requests that crash targets, over several crashes."""

import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.errorcodes import TARGET_LOST
from gooseberrydock.mesh.crash_watch import create_crash_watch
from gooseberrydock.mesh.options import HeaderNames
from gooseberrydock.mesh.target_registration import InstanceAnnouncement, TargetState
from gooseberrydock.mesh.target_run import Run
from gooseberrydock.messages import CrashNotice, QuarantineNotice
from gooseberrydock.quarantine import QUARANTINE_MS, SUSPECT_MS, QuarantineController
from tests.mesh_helpers import make_call
from tests.test_mesh_node import TARGET_ADDRESS, make_node

_BAD = 1
_OTHER = 2


def _crash(quarantine: QuarantineController, now_ms: float, *fingerprints: int) -> list[int]:
    """Lose runs in one crash; return the fingerprints that are quarantined after it."""
    for fingerprint in fingerprints:
        quarantine.on_connection_lost(now_ms, fingerprint, started_at=now_ms)
    return quarantine.on_target_checked(now_ms, is_dead=True)


class QuarantineCases(unittest.TestCase):
    """Suspects and quarantined requests on one node."""

    def test_next_suspect_runs_after_the_last_one_was_cleared(self) -> None:
        quarantine = QuarantineController()
        quarantine.mark_suspect(0.0, _BAD)
        quarantine.on_admitted(0.0, _BAD)
        quarantine.on_answered(_BAD)
        # What the node checks before it records the end of a run.
        self.assertFalse(quarantine.is_empty)
        quarantine.on_ended(_BAD)
        self.assertTrue(quarantine.is_empty)
        quarantine.mark_suspect(1.0, _OTHER)
        self.assertTrue(quarantine.may_run(1.0, _OTHER))

    def test_request_is_quarantined_again_after_its_quarantine(self) -> None:
        quarantine = QuarantineController()
        now_ms = 0.0
        for bystander in range(10, 13):
            self.assertEqual([], _crash(quarantine, now_ms, _BAD, _OTHER))
            self.assertEqual([_BAD], _crash(quarantine, now_ms + 1.0, _BAD, bystander))
            self.assertTrue(quarantine.is_quarantined(now_ms + 2.0, _BAD))
            now_ms += QUARANTINE_MS + SUSPECT_MS

    def test_late_notice_does_not_end_a_quarantine(self) -> None:
        quarantine = QuarantineController()
        quarantine.on_notice(0.0, QuarantineNotice({_BAD: QUARANTINE_MS}))
        quarantine.mark_suspect(1.0, _BAD)
        self.assertTrue(quarantine.is_quarantined(2.0, _BAD))

    def test_equal_requests_lost_in_one_crash_are_no_repeated_crash(self) -> None:
        quarantine = QuarantineController()
        self.assertEqual([], _crash(quarantine, 0.0, _BAD, _BAD, _OTHER, _OTHER))
        self.assertFalse(quarantine.is_quarantined(1.0, _BAD))


class AnsweredRequestCases(unittest.TestCase):
    """Guard against a quarantine of requests that only ran on targets which ended otherwise."""

    def test_request_that_ran_alone_is_not_quarantined_at_its_first_crash(self) -> None:
        quarantine = QuarantineController()
        self.assertEqual([], _crash(quarantine, 0.0, _BAD))
        self.assertEqual([_BAD], _crash(quarantine, 1.0, _BAD))

    def test_runs_that_began_before_a_crash_was_known_are_no_repeated_crash(self) -> None:
        quarantine = QuarantineController()
        quarantine.on_crash_elsewhere(100.0, _BAD)
        quarantine.on_connection_lost(150.0, _BAD, started_at=50.0)
        self.assertEqual([], quarantine.on_target_checked(160.0, is_dead=True))
        quarantine.on_connection_lost(250.0, _BAD, started_at=200.0)
        self.assertEqual([_BAD], quarantine.on_target_checked(260.0, is_dead=True))

    @given(st.lists(st.booleans(), max_size=60))
    def test_request_that_is_answered_between_crashes_is_never_quarantined(
        self, is_elsewhere: list[bool]
    ) -> None:
        quarantine = QuarantineController()
        quarantine.on_answered(_BAD)
        for number, elsewhere in enumerate(is_elsewhere):
            if elsewhere:
                quarantine.on_crash_elsewhere(number, _BAD)
            else:
                self.assertEqual([], _crash(quarantine, number, _BAD))
            quarantine.on_answered(_BAD)
        self.assertEqual({}, quarantine.quarantined)

    def test_request_that_begins_to_crash_targets_is_quarantined_at_its_fifth_crash(self) -> None:
        quarantine = QuarantineController()
        for _ in range(1_000):
            quarantine.on_answered(_BAD)
        crashes = [_crash(quarantine, number, _BAD) for number in range(5)]
        self.assertEqual([[], [], [], [], [_BAD]], crashes)

    def test_crashes_elsewhere_use_up_the_answers_too(self) -> None:
        quarantine = QuarantineController()
        for _ in range(1_000):
            quarantine.on_answered(_BAD)
        for number in range(4):
            quarantine.on_crash_elsewhere(number, _BAD)
        self.assertEqual([_BAD], _crash(quarantine, 10.0, _BAD))

    def test_answer_after_the_conviction_lifts_it(self) -> None:
        quarantine = QuarantineController()
        _crash(quarantine, 0.0, _BAD)
        _crash(quarantine, 1.0, _BAD)
        self.assertFalse(quarantine.on_answered(_OTHER))
        self.assertTrue(quarantine.on_answered(_BAD))
        self.assertFalse(quarantine.is_quarantined(2.0, _BAD))

    def test_node_whose_target_answered_objects_and_others_lift_the_quarantine(self) -> None:
        convicting, answering, idle = (QuarantineController() for _ in range(3))
        answering.on_answered(_BAD)
        _crash(convicting, 0.0, _BAD)
        _crash(convicting, 1.0, _BAD)
        notice = convicting.current_notice(1.0)
        assert notice is not None
        self.assertEqual({_BAD: QUARANTINE_MS}, idle.on_notice(2.0, notice).added)
        received = answering.on_notice(2.0, notice)
        self.assertEqual(({}, {_BAD: 0.0}), (received.added, received.objections))
        objection = received.notice
        assert objection is not None
        for node in (convicting, idle):
            self.assertEqual({_BAD: 0.0}, node.on_notice(3.0, objection).lifted)
            self.assertIsNone(node.current_notice(4.0))
            # What was lifted does not come back with a notice that was on its way.
            self.assertEqual({}, node.on_notice(5.0, notice).added)

    def test_notice_passes_on_the_remaining_time_only(self) -> None:
        first, restarted = QuarantineController(), QuarantineController()
        first.on_notice(0.0, QuarantineNotice({_BAD: QUARANTINE_MS}))
        notice = first.current_notice(QUARANTINE_MS - 100.0)
        assert notice is not None
        restarted.on_notice(0.0, notice)
        self.assertTrue(restarted.is_quarantined(99.0, _BAD))
        self.assertFalse(restarted.is_quarantined(101.0, _BAD))
        self.assertIsNone(first.current_notice(QUARANTINE_MS + 1.0))

    def test_answered_requests_that_are_kept_are_bounded(self) -> None:
        quarantine = QuarantineController()
        quarantine.on_answered(_BAD)
        for fingerprint in range(10_000, 30_000):
            quarantine.on_answered(fingerprint)
            if fingerprint % 1_000 == 0:
                quarantine.on_answered(_OTHER)
        self.assertLess(len(quarantine._offset_crashes), 5_000)
        self.assertEqual(
            [False, True], [item in quarantine._offset_crashes for item in (_BAD, _OTHER)]
        )


class CrashWatchCases(unittest.TestCase):
    """The same on the routed call path, where other nodes report crashes."""

    def test_crash_elsewhere_after_the_quarantine_counts_again(self) -> None:
        watch, elsewhere = create_crash_watch(), create_crash_watch()
        bad, other = make_call("/bad"), make_call("/other")
        now_ms = 0.0
        for _ in range(3):
            watch.on_run_lost(now_ms, bad, started_at=now_ms)
            watch.on_run_lost(now_ms, other, started_at=now_ms)
            notice = watch.on_target_dead(now_ms)
            assert notice is not None
            self.assertEqual((), notice.quarantined)
            elsewhere.on_crash_notice(now_ms, notice)
            elsewhere.on_run_lost(now_ms + 1.0, bad, started_at=now_ms)
            elsewhere.on_run_lost(now_ms + 1.0, make_call("/bystander"), started_at=now_ms)
            second = elsewhere.on_target_dead(now_ms + 1.0)
            assert isinstance(second, CrashNotice)
            watch.on_crash_notice(now_ms + 2.0, second)
            self.assertTrue(watch.refuses(now_ms + 3.0, bad))
            self.assertFalse(watch.refuses(now_ms + 3.0, other))
            now_ms += QUARANTINE_MS + SUSPECT_MS

    def test_target_is_checked_once_after_a_loss_that_nothing_else_explains(self) -> None:
        watch = create_crash_watch()
        self.assertFalse(watch.take_check(0.0))
        watch.on_run_lost(0.0, make_call("/a"), started_at=0.0)
        self.assertEqual([False, True, False], [watch.take_check(at) for at in (100, 700, 800)])
        watch.on_run_lost(1_000.0, make_call("/a"), started_at=900.0)
        watch.on_answered(make_call("/b"), started_at=1_050.0)
        self.assertFalse(watch.take_check(2_000.0))
        self.assertIsNone(watch.on_target_dead(2_000.0))

    def test_answer_to_a_run_from_before_the_loss_does_not_show_that_the_target_lives(self) -> None:
        watch = create_crash_watch()
        watch.on_run_lost(100.0, make_call("/a"), started_at=50.0)
        watch.on_answered(make_call("/b"), started_at=60.0)
        self.assertIsNotNone(watch.on_target_dead(700.0))


class TargetDeathCases(unittest.TestCase):
    """What shows that a target died after a run was lost, without other traffic."""

    def setUp(self) -> None:
        self._node = make_node()
        self._announced = InstanceAnnouncement(
            "i", "shop", TARGET_ADDRESS, 5, 1, TargetState.READY, 10, 0.0
        )
        self._dispatcher = self._node.target_dispatcher
        self._dispatcher.on_announcement(self._announced)

    def _create_run(self, start_id: str = "i@5") -> Run:
        queue = self._node.admission_queue
        ticket = queue.create_ticket(0.0, 1, "link", make_call("/bad"))
        queue.submit(0.0, ticket)
        return Run(ticket, self._dispatcher, HeaderNames(), start_id=start_id)

    def _lose_run(self, start_id: str = "i@5") -> None:
        self._create_run(start_id).on_failure(TARGET_LOST, was_sent=True)

    def _is_put_down_to_runs(self) -> bool:
        """Return whether the death was noticed, so that the lost run is a suspect."""
        return self._node.controllers.crash_watch._lost_runs == {}

    def test_later_start_shows_it(self) -> None:
        self._lose_run()
        self.assertFalse(self._is_put_down_to_runs())
        self._dispatcher.on_announcement(attrs.evolve(self._announced, sequence=2))
        self.assertFalse(self._is_put_down_to_runs())
        self._dispatcher.on_announcement(attrs.evolve(self._announced, started_wall_ms=6))
        self.assertTrue(self._is_put_down_to_runs())

    def test_later_start_that_was_announced_first_shows_it(self) -> None:
        self._dispatcher.on_announcement(attrs.evolve(self._announced, started_wall_ms=6))
        self._lose_run(start_id="i@5")
        self.assertTrue(self._is_put_down_to_runs())

    def test_other_instance_at_the_address_shows_it(self) -> None:
        self._lose_run()
        self._dispatcher.on_other_instance(self._create_run())
        self.assertTrue(self._is_put_down_to_runs())

    def test_refused_connection_shows_it(self) -> None:
        self._lose_run()
        self._dispatcher.on_target_unreachable()
        self.assertTrue(self._is_put_down_to_runs())

    def test_end_of_a_target_that_left_is_no_crash(self) -> None:
        for leave in (
            lambda: self._dispatcher.on_target_leaving("i", 5),
            lambda: self._dispatcher.on_announcement(
                attrs.evolve(self._announced, sequence=3, state=TargetState.LEAVING)
            ),
        ):
            self.setUp()
            leave()
            self._lose_run()
            self.assertEqual({}, self._node.controllers.crash_watch._lost_runs)
            self._dispatcher.on_announcement(attrs.evolve(self._announced, started_wall_ms=6))
            self._lose_run(start_id="i@5")
            self.assertEqual({}, self._node.controllers.crash_watch._lost_runs)
