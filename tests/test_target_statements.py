"""Tests of what targets state of themselves in their answers: a request rate, and their leaving."""

import unittest

import attrs

from gooseberrydock.errorcodes import STATEMENT_INVALID
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.members import Address
from gooseberrydock.mesh.options import HeaderNames
from gooseberrydock.mesh.statement_memory import StatementMemory
from gooseberrydock.mesh.target_registration import (
    InstanceAnnouncement,
    TargetRegistration,
    TargetState,
    create_target_registration,
)
from gooseberrydock.mesh.target_statements import TargetStatement, read_statement
from gooseberrydock.messages import TargetNotice, TargetReport

_NAMES = HeaderNames()
_ADDRESS = Address("10.0.0.1", 80)
_DRAIN_MS = 2_000.0
_ANNOUNCEMENT = InstanceAnnouncement("i-1", "shop", _ADDRESS, 1_000, 1, TargetState.READY, 10, 0.0)
_START_ID = "i-1@1000"


def _report(start_id: str, rate_limit: float = 0.0, is_leaving: bool = False) -> TargetReport:
    return TargetReport(
        1, 10, 20.0, 1.0, rate_limit=rate_limit, is_leaving=is_leaving, start_id=start_id
    )


class ReadStatementCases(unittest.TestCase):
    """Statements as they stand in the headers of answers."""

    def test_statements_are_read(self) -> None:
        cases = (
            ((), TargetStatement(None, False)),
            (((_NAMES.rate_limit, b"36.2"),), TargetStatement(36.2, False)),
            (((_NAMES.rate_limit, b" 0 "),), TargetStatement(0.0, False)),
            (((_NAMES.leaving, b"1"),), TargetStatement(None, True)),
            (((_NAMES.leaving, b"0"),), TargetStatement(None, False)),
        )
        for headers, expected in cases:
            with self.subTest(headers=headers):
                self.assertEqual(expected, read_statement(list(headers), _NAMES))

    def test_limit_that_is_no_rate_is_refused(self) -> None:
        for value in (b"many", b"-1", b"nan", b"inf", b"1e999"):
            with self.subTest(value=value), self.assertRaises(GooseberrydockError) as raised:
                read_statement([(_NAMES.rate_limit, value)], _NAMES)
            self.assertIs(STATEMENT_INVALID, raised.exception.code)


class StatementMemoryCases(unittest.TestCase):
    """What a node keeps for the node beside a target on another host."""

    def test_latest_statement_is_kept_with_its_age(self) -> None:
        memory = StatementMemory()
        memory.on_report(0.0, "n1", _report(_START_ID, 20.0), is_answer=True)
        memory.on_report(100.0, "n1", _report(_START_ID, 30.0, is_leaving=True), is_answer=True)
        memory.on_report(200.0, "n1", _report(_START_ID, 30.0, is_leaving=True), is_answer=True)
        expected = [
            TargetNotice(_START_ID, 30.0, False, 0.0),
            TargetNotice(_START_ID, 0.0, True, 900.0),
        ]
        self.assertEqual(expected, memory.notices_for(1_000.0, "n1"))
        self.assertEqual([], memory.notices_for(1_000.0, "n2"))

    def test_limit_is_kept_until_an_answer_names_none(self) -> None:
        memory = StatementMemory()
        memory.on_report(0.0, "n1", _report(_START_ID, 20.0), is_answer=True)
        memory.on_report(100.0, "n1", _report(""), is_answer=False)
        self.assertEqual(1, len(memory.notices_for(200.0, "n1")))
        memory.on_report(300.0, "n1", _report(""), is_answer=True)
        self.assertEqual([], memory.notices_for(400.0, "n1"))

    def test_leaving_is_kept_when_the_restarted_node_knows_nothing_of_it(self) -> None:
        memory = StatementMemory()
        memory.on_report(0.0, "n1", _report(_START_ID, is_leaving=True), is_answer=True)
        memory.on_report(100.0, "n1", _report(""), is_answer=True)
        self.assertEqual([True], [item.is_leaving for item in memory.notices_for(200.0, "n1")])

    def test_old_statements_are_dropped(self) -> None:
        memory = StatementMemory()
        memory.on_report(0.0, "n1", _report(_START_ID, 20.0), is_answer=True)
        memory.on_report(0.0, "n1", _report(_START_ID, is_leaving=True), is_answer=True)
        self.assertEqual([], memory.notices_for(120_000.0, "n1"))

    def test_statements_of_nodes_that_are_gone_are_not_kept_forever(self) -> None:
        memory = StatementMemory()
        for number in range(1_000):
            report = _report(_START_ID, 20.0, is_leaving=True)
            memory.on_report(number * 1_000.0, f"n{number}", report, is_answer=True)
        self.assertLess(len(memory._limits), 100)
        self.assertLess(len(memory._left), 100)


class RecoveredStateCases(unittest.TestCase):
    """What a restarted node makes of the notices of others, before and after an announcement."""

    def _register(self, *notices: TargetNotice, is_announced: bool) -> TargetRegistration:
        registration = create_target_registration(_ADDRESS, _DRAIN_MS)
        if is_announced:
            registration.on_announcement(0.0, _ANNOUNCEMENT)
        for notice in notices:
            registration.on_notice(0.0, notice)
        if not is_announced:
            registration.on_announcement(0.0, _ANNOUNCEMENT)
        return registration

    def test_lowest_limit_holds_until_the_target_answers(self) -> None:
        notices = [TargetNotice(_START_ID, limit, False, 0.0) for limit in (30.0, 20.0, 25.0)]
        for is_announced in (False, True):
            with self.subTest(is_announced=is_announced):
                registration = self._register(*notices, is_announced=is_announced)
                self.assertEqual(20.0, registration.rate_limit)
                registration.on_rate_limit(_START_ID, None)
                registration.on_notice(100.0, notices[0])
                self.assertIsNone(registration.rate_limit)

    def test_drain_time_counts_from_the_statement(self) -> None:
        for is_announced in (False, True):
            with self.subTest(is_announced=is_announced):
                notice = TargetNotice(_START_ID, 0.0, True, _DRAIN_MS)
                registration = self._register(notice, is_announced=is_announced)
                self.assertFalse(registration.accepts(1.0, "shop"))

    def test_notice_outlasts_a_late_announcement_of_an_earlier_start(self) -> None:
        registration = create_target_registration(_ADDRESS, _DRAIN_MS)
        earlier = attrs.evolve(_ANNOUNCEMENT, started_wall_ms=500)
        registration.on_announcement(0.0, earlier)
        registration.on_notice(0.0, TargetNotice(_START_ID, 5.0, True, _DRAIN_MS))
        registration.on_announcement(1.0, _ANNOUNCEMENT)
        self.assertEqual(5.0, registration.rate_limit)
        self.assertFalse(registration.accepts(2.0, "shop"))

    def test_notices_of_many_starts_are_bounded(self) -> None:
        registration = create_target_registration(_ADDRESS, _DRAIN_MS)
        for number in range(1_000):
            registration.on_notice(0.0, TargetNotice(f"i-1@{number}", 5.0, False, 0.0))
        self.assertLess(len(registration._limits_of_others), 100)

    def test_notice_of_another_start_changes_nothing(self) -> None:
        for is_announced in (False, True):
            with self.subTest(is_announced=is_announced):
                notice = TargetNotice("i-1@500", 5.0, True, _DRAIN_MS)
                registration = self._register(notice, is_announced=is_announced)
                self.assertIsNone(registration.rate_limit)
                self.assertTrue(registration.accepts(1.0, "shop"))
