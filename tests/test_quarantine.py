"""Tests of the quarantine of requests that crash targets, over several crashes."""

import unittest

from gooseberrydock.mesh.crash_watch import create_crash_watch
from gooseberrydock.messages import CrashNotice
from gooseberrydock.quarantine import QUARANTINE_MS, SUSPECT_MS, QuarantineController
from tests.mesh_helpers import make_call

_BAD = 1
_OTHER = 2


def _crash(quarantine: QuarantineController, now_ms: float, *fingerprints: int) -> list[int]:
    """Lose runs in one crash; return the fingerprints that are quarantined after it."""
    for fingerprint in fingerprints:
        quarantine.on_connection_lost(now_ms, fingerprint)
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
        quarantine.mark_quarantined(0.0, _BAD)
        quarantine.mark_suspect(1.0, _BAD)
        self.assertTrue(quarantine.is_quarantined(2.0, _BAD))

    def test_equal_requests_lost_in_one_crash_are_no_repeated_crash(self) -> None:
        quarantine = QuarantineController()
        self.assertEqual([], _crash(quarantine, 0.0, _BAD, _BAD, _OTHER, _OTHER))
        self.assertFalse(quarantine.is_quarantined(1.0, _BAD))


class CrashWatchCases(unittest.TestCase):
    """The same on the routed call path, where other nodes report crashes."""

    def test_crash_elsewhere_after_the_quarantine_counts_again(self) -> None:
        watch, elsewhere = create_crash_watch(), create_crash_watch()
        bad, other = make_call("/bad"), make_call("/other")
        now_ms = 0.0
        for _ in range(3):
            watch.on_run_lost(now_ms, bad)
            watch.on_run_lost(now_ms, other)
            notice = watch.on_target_dead(now_ms)
            assert notice is not None
            self.assertEqual((), notice.quarantined)
            elsewhere.on_notice(now_ms, notice)
            elsewhere.on_run_lost(now_ms + 1.0, bad)
            elsewhere.on_run_lost(now_ms + 1.0, make_call("/bystander"))
            second = elsewhere.on_target_dead(now_ms + 1.0)
            assert isinstance(second, CrashNotice)
            watch.on_notice(now_ms + 2.0, second)
            self.assertTrue(watch.refuses(now_ms + 3.0, bad))
            self.assertFalse(watch.refuses(now_ms + 3.0, other))
            now_ms += QUARANTINE_MS + SUSPECT_MS
