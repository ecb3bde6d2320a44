"""The calling side: exactly one final answer, true promises, bounded attempts."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.errorcodes import (
    DEADLINE_UNKNOWN,
    NO_CONFIGURATION,
    NO_ROUTE,
    NODE_LEAVING,
    NOT_DISPATCHED,
    PEER_LOST,
    PEER_UNREACHABLE,
    TARGET_LOST,
    TARGET_SHED,
)
from gooseberrydock.mesh.model import EMPTY_TABLE, Intake, RequestKind
from gooseberrydock.mesh.options import RetryBudgetOptions
from gooseberrydock.messages import RunResult, TargetReport
from gooseberrydock.outcomes import Outcome
from tests.mesh_helpers import (
    IDLE_REPORT,
    EntryFixture,
    make_answer,
    make_entry,
    make_request,
    make_route,
    make_table,
)

_LOOKUP = make_route("lookup")
_BOOKING = make_route("booking", kind=RequestKind.NON_IDEMPOTENT, priority=0)
_TABLE = make_table(1, _LOOKUP, _BOOKING)
_PARK_MS = 125.0
"""A quarter of the routes' target latency of 500 ms."""


def _submit(rig: EntryFixture, path: str, deadline: str = "") -> None:
    rig.entry.on_request(0.0, object(), make_request(path, deadline=deadline))


class RoutingCases(unittest.TestCase):
    """What is answered without any call."""

    def test_no_configuration_is_a_refusal(self) -> None:
        rig = make_entry(EMPTY_TABLE)
        _submit(rig, "/lookup/1")
        self.assertEqual([NO_CONFIGURATION], [code for code, _ in rig.effects.refusals])

    def test_no_route(self) -> None:
        rig = make_entry(_TABLE)
        _submit(rig, "/other/1")
        self.assertEqual([NO_ROUTE], [code for code, _ in rig.effects.refusals])

    def test_longest_prefix_wins(self) -> None:
        outer = make_route("outer", prefix="/a/")
        inner = make_route("inner", prefix="/a/b/")
        table = make_table(1, outer, inner)
        cases = {
            "/a/x": "outer",
            "/a/b/x": "inner",
            "/a/b/": "inner",
            "/a/b": "outer",
            "/a/b/c/d?e=/a/": "inner",
            "/a/?q=/a/b/": "outer",
        }
        for path, name in cases.items():
            with self.subTest(path=path):
                route = table.find("x.example", path)
                self.assertEqual(name, route.name if route else None)
        self.assertIsNone(table.find("y.example", "/a/x"))
        self.assertIsNone(table.find("x.example", "/b/x"))

    def test_least_of_both_limits_travels_on(self) -> None:
        for deadline, expected in (("300", 300.0), ("9000", 1_000.0), ("", 1_000.0)):
            with self.subTest(deadline=deadline):
                rig = make_entry(_TABLE)
                _submit(rig, "/lookup/1", deadline)
                self.assertEqual(expected, rig.effects.calls[0][1].remaining_ms)


class CallResultCases(unittest.TestCase):
    """What becomes of a call."""

    def test_answer_is_passed_on_once(self) -> None:
        rig = make_entry(_TABLE)
        _submit(rig, "/lookup/1")
        answer = make_answer(rig.effects.calls[0][1])
        rig.entry.on_answer(10.0, answer)
        rig.entry.on_answer(11.0, answer)
        rig.entry.tick(5_000.0)
        self.assertEqual(1, rig.effects.final_answers)
        self.assertEqual(0, rig.entry.in_flight)

    def test_unseen_call_moves_to_another_host(self) -> None:
        rig = make_entry(_TABLE)
        _submit(rig, "/booking/1")
        first, call = rig.effects.calls[0]
        refusal = make_answer(call, RunResult.NOT_RUN, 503, NODE_LEAVING.number, False)
        rig.entry.on_answer(1.0, refusal)
        self.assertNotEqual(first, rig.effects.calls[1][0])

    def test_uncertain_booking_is_not_repeated_nor_called_not_run(self) -> None:
        rig = make_entry(_TABLE)
        _submit(rig, "/booking/1")
        unknown = make_answer(rig.effects.calls[0][1], RunResult.UNKNOWN, 502, TARGET_LOST.number)
        rig.entry.on_answer(1.0, unknown)
        self.assertEqual(1, len(rig.effects.calls))
        self.assertEqual([TARGET_LOST], [code for code, _ in rig.effects.refusals])

    def test_lookup_that_may_have_run_is_never_called_not_run(self) -> None:
        rig = make_entry(_TABLE, hosts=2)
        _submit(rig, "/lookup/1")
        rig.entry.on_answer(
            1.0,
            make_answer(rig.effects.calls[0][1], RunResult.UNKNOWN, 502, TARGET_LOST.number),
        )
        rig.entry.on_answer(
            2.0,
            make_answer(rig.effects.calls[1][1], RunResult.NOT_RUN, 503, TARGET_SHED.number),
        )
        self.assertEqual([PEER_LOST], [code for code, _ in rig.effects.refusals])

    def test_failed_lookup_is_repeated_within_attempts(self) -> None:
        rig = make_entry(_TABLE)
        _submit(rig, "/lookup/1")
        for index in range(2):
            rig.entry.on_answer(1.0 + index, make_answer(rig.effects.calls[index][1], status=500))
        self.assertEqual(2, len(rig.effects.calls))
        self.assertEqual([500], [response.status for response in rig.effects.answers])

    def test_deadline_is_answered_and_the_call_withdrawn(self) -> None:
        rig = make_entry(_TABLE)
        _submit(rig, "/lookup/1", "200")
        rig.entry.tick(199.0)
        self.assertEqual(0, rig.effects.final_answers)
        rig.entry.tick(200.0)
        self.assertEqual([DEADLINE_UNKNOWN], [code for code, _ in rig.effects.refusals])
        self.assertEqual(1, len(rig.effects.cancels))

    def test_caller_gone_withdraws_the_call(self) -> None:
        rig = make_entry(_TABLE)
        exchange = rig.entry.on_request(0.0, object(), make_request("/lookup/1"))
        assert exchange is not None
        rig.entry.on_caller_disconnected(exchange)
        rig.entry.tick(9_000.0)
        self.assertEqual((0, 1), (rig.effects.final_answers, len(rig.effects.cancels)))

    def test_lost_link_tells_unsent_from_sent(self) -> None:
        rig = make_entry(_TABLE)
        _submit(rig, "/booking/1")
        _submit(rig, "/booking/2")
        (first_host, first), (_, second) = rig.effects.calls
        rig.entry.on_calls_lost(1.0, first_host, [first.call_id], [second.call_id])
        self.assertEqual(3, len(rig.effects.calls))
        self.assertEqual(first.target, rig.effects.calls[2][1].target)
        self.assertEqual([PEER_LOST], [code for code, _ in rig.effects.refusals])

    def test_no_host_is_a_refusal(self) -> None:
        rig = make_entry(_TABLE, hosts=0)
        _submit(rig, "/booking/1")
        rig.entry.tick(_PARK_MS)
        self.assertEqual(Outcome.NOT_RUN, rig.effects.refusals[0][0].outcome)

    def test_request_waits_a_moment_for_a_host_to_be_reached(self) -> None:
        """All nodes start at once: the first requests come before the first link."""
        rig = make_entry(_TABLE, hosts=1)
        _submit(rig, "/booking/1")
        host, call = rig.effects.calls[0]
        rig.entry.on_calls_lost(10.0, host, [call.call_id], [])
        rig.entry.tick(30.0)
        self.assertEqual((0, 1), (rig.effects.final_answers, len(rig.effects.calls)))
        rig.entry.host_selector.on_link_opened(host)
        rig.entry.tick(50.0)
        self.assertEqual(2, len(rig.effects.calls))

    def test_request_that_no_host_can_have_is_refused_soon_and_truly(self) -> None:
        rig = make_entry(_TABLE, hosts=1)
        _submit(rig, "/booking/1")
        host, call = rig.effects.calls[0]
        rig.entry.on_calls_lost(10.0, host, [call.call_id], [])
        rig.entry.tick(_PARK_MS)
        self.assertEqual([PEER_UNREACHABLE], [code for code, _ in rig.effects.refusals])
        self.assertEqual(Outcome.NOT_RUN, rig.effects.refusals[0][0].outcome)

    def test_caller_refused_by_an_ending_node_returns_after_its_restart(self) -> None:
        rig = make_entry(_TABLE)
        rig.entry.set_intake(Intake.CALLS_OF_TARGET)
        _submit(rig, "/booking/1")
        code, retry_after_ms = rig.effects.refusals[0]
        self.assertEqual(NODE_LEAVING, code)
        self.assertGreaterEqual(retry_after_ms, 1_500.0)

    def test_stopping_node_keeps_nothing_waiting(self) -> None:
        rig = make_entry(_TABLE, hosts=1)
        _submit(rig, "/booking/1")
        host, call = rig.effects.calls[0]
        rig.entry.on_calls_lost(10.0, host, [call.call_id], [])
        rig.entry.set_intake(Intake.CALLS_OF_TARGET)
        rig.entry.tick(20.0)
        self.assertEqual((1, 0), (rig.effects.final_answers, rig.entry.in_flight))

    def test_repeats_stay_within_the_budget(self) -> None:
        rig = make_entry(_TABLE, budget=RetryBudgetOptions(ratio=0.2, slack=4.0))
        for number in range(400):
            _submit(rig, f"/lookup/{number}")
        first_calls = [call for _, call in rig.effects.calls]
        for call in first_calls:
            rig.entry.on_answer(5.0, make_answer(call, status=500))
        repeats = len(rig.effects.calls) - len(first_calls)
        self.assertLessEqual(repeats, 0.2 * len(first_calls) + 4.0)


class ResponseTimeoutCases(unittest.TestCase):
    """Answers that are lost on their way while the target works on."""

    def _rig(self, path: str, report: TargetReport = IDLE_REPORT) -> EntryFixture:
        """Send a request to hosts whose runs take 20 ms."""
        rig = make_entry(_TABLE)
        for number in range(3):
            rig.entry.host_selector.on_answer(f"n{number}", path, report, False)
        _submit(rig, f"/{path}/1")
        return rig

    def test_lookup_goes_to_another_host_once_its_answer_is_overdue(self) -> None:
        rig = self._rig("lookup")
        rig.entry.tick(100.0)
        self.assertEqual(1, len(rig.effects.calls))
        rig.entry.tick(125.0)
        (first, lost), (second, _) = rig.effects.calls
        self.assertNotEqual(first, second)
        self.assertEqual([(first, lost.call_id)], rig.effects.cancels)
        rig.entry.tick(9_000.0)
        self.assertEqual([DEADLINE_UNKNOWN], [code for code, _ in rig.effects.refusals])
        self.assertEqual(2, len(rig.effects.calls))

    def test_booking_waits_for_its_answer(self) -> None:
        rig = self._rig("booking")
        rig.entry.tick(900.0)
        self.assertEqual(1, len(rig.effects.calls))

    def test_call_that_may_just_be_waiting_is_left_alone(self) -> None:
        full = TargetReport(in_flight=10, limit=10, service_ms=20.0, admitted_share=1.0)
        rig = self._rig("lookup", full)
        rig.entry.tick(900.0)
        self.assertEqual(1, len(rig.effects.calls))


_RESULTS = st.sampled_from(
    [
        (RunResult.ANSWERED, 200, 0, True),
        (RunResult.ANSWERED, 500, 0, True),
        (RunResult.NOT_RUN, 503, TARGET_SHED.number, True),
        (RunResult.NOT_RUN, 503, NODE_LEAVING.number, False),
        (RunResult.NOT_RUN, 503, NOT_DISPATCHED.number, False),
        (RunResult.UNKNOWN, 502, TARGET_LOST.number, True),
    ]
)
_EVENTS = st.lists(st.one_of(_RESULTS, st.sampled_from(["unsent", "sent", "tick"])), max_size=8)


class AnyCallResultCases(unittest.TestCase):
    """Whatever happens to the calls of a request."""

    @given(st.booleans(), _EVENTS)
    def test_one_true_final_answer(self, is_booking: bool, events: list[object]) -> None:
        """Give one final answer, promise nothing untrue, and run a booking at most once."""
        rig = make_entry(_TABLE)
        _submit(rig, "/booking/1" if is_booking else "/lookup/1")
        may_have_run = 0
        now_ms = 0.0
        for event in events:
            if rig.effects.final_answers:
                break
            now_ms += 100.0
            host, call = rig.effects.calls[-1]
            if event == "tick":
                rig.entry.tick(now_ms + 5_000.0)
                may_have_run += 1
            elif event == "unsent":
                rig.entry.on_calls_lost(now_ms, host, [call.call_id], [])
            elif event == "sent":
                rig.entry.on_calls_lost(now_ms, host, [], [call.call_id])
                may_have_run += 1
            elif isinstance(event, tuple):
                result, status, code, was_sent_to_target = event
                may_have_run += result is not RunResult.NOT_RUN
                rig.entry.on_answer(
                    now_ms, make_answer(call, result, status, code, was_sent_to_target)
                )
        rig.entry.tick(now_ms + 10_000.0)
        self.assertEqual(1, rig.effects.final_answers)
        self.assertEqual(0, rig.entry.in_flight)
        if is_booking:
            self.assertLessEqual(may_have_run, 1)
        for code, _ in rig.effects.refusals:
            if may_have_run:
                self.assertNotIn(code.status, (408, 421, 429, 503))
