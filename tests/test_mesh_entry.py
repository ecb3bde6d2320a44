"""Tests of the calling side: exactly one final answer, correct outcomes and bounded attempts."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.errorcodes import (
    DEADLINE_PASSED,
    NO_CONFIGURATION,
    NO_ROUTE,
    NODE_LEAVING,
    NOT_DISPATCHED,
    PEER_LOST,
    PEER_UNREACHABLE,
    TARGET_LOST,
    TARGET_SHED,
)
from gooseberrydock.mesh.model import EMPTY_TABLE, AcceptedWork, RequestKind
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
_DEFER_MS = 125.0
"""A quarter of the routes' target latency of 500 ms."""


def _submit(fixture: EntryFixture, path: str, deadline: str = "") -> None:
    fixture.entry.on_request(0.0, object(), make_request(path, deadline=deadline))


class RoutingCases(unittest.TestCase):
    """Requests that are answered without a call, and the route and deadline of the others."""

    def test_request_without_a_configuration_is_refused(self) -> None:
        fixture = make_entry(EMPTY_TABLE)
        _submit(fixture, "/lookup/1")
        self.assertEqual([NO_CONFIGURATION], [code for code, _ in fixture.effects.refusals])

    def test_request_without_a_route_is_refused(self) -> None:
        fixture = make_entry(_TABLE)
        _submit(fixture, "/other/1")
        self.assertEqual([NO_ROUTE], [code for code, _ in fixture.effects.refusals])

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

    def test_smaller_of_deadline_and_route_timeout_is_forwarded(self) -> None:
        for deadline, expected in (("300", 300.0), ("9000", 1_000.0), ("", 1_000.0)):
            with self.subTest(deadline=deadline):
                fixture = make_entry(_TABLE)
                _submit(fixture, "/lookup/1", deadline)
                self.assertEqual(expected, fixture.effects.calls[0][1].remaining_ms)


class CallResultCases(unittest.TestCase):
    """Results of a call and the response or retry that follows."""

    def test_answer_is_forwarded_once(self) -> None:
        fixture = make_entry(_TABLE)
        _submit(fixture, "/lookup/1")
        answer = make_answer(fixture.effects.calls[0][1])
        fixture.entry.on_answer(10.0, answer)
        fixture.entry.on_answer(11.0, answer)
        fixture.entry.tick(5_000.0)
        self.assertEqual(1, fixture.effects.final_answers)
        self.assertEqual(0, fixture.entry.in_flight)

    def test_undispatched_call_is_retried_on_another_host(self) -> None:
        fixture = make_entry(_TABLE)
        _submit(fixture, "/booking/1")
        first, call = fixture.effects.calls[0]
        refusal = make_answer(call, RunResult.NOT_RUN, 503, NODE_LEAVING.number, False)
        fixture.entry.on_answer(1.0, refusal)
        self.assertNotEqual(first, fixture.effects.calls[1][0])

    def test_booking_with_unknown_result_is_neither_retried_nor_reported_not_run(self) -> None:
        fixture = make_entry(_TABLE)
        _submit(fixture, "/booking/1")
        unknown = make_answer(
            fixture.effects.calls[0][1], RunResult.UNKNOWN, 502, TARGET_LOST.number
        )
        fixture.entry.on_answer(1.0, unknown)
        self.assertEqual(1, len(fixture.effects.calls))
        self.assertEqual([TARGET_LOST], [code for code, _ in fixture.effects.refusals])

    def test_lookup_that_may_have_run_is_never_reported_not_run(self) -> None:
        fixture = make_entry(_TABLE, hosts=2)
        _submit(fixture, "/lookup/1")
        fixture.entry.on_answer(
            1.0,
            make_answer(fixture.effects.calls[0][1], RunResult.UNKNOWN, 502, TARGET_LOST.number),
        )
        fixture.entry.on_answer(
            2.0,
            make_answer(fixture.effects.calls[1][1], RunResult.NOT_RUN, 503, TARGET_SHED.number),
        )
        self.assertEqual([PEER_LOST], [code for code, _ in fixture.effects.refusals])

    def test_failed_lookup_is_retried_within_attempts(self) -> None:
        fixture = make_entry(_TABLE)
        _submit(fixture, "/lookup/1")
        for index in range(2):
            fixture.entry.on_answer(
                1.0 + index, make_answer(fixture.effects.calls[index][1], status=500)
            )
        self.assertEqual(2, len(fixture.effects.calls))
        self.assertEqual([500], [response.status for response in fixture.effects.answers])

    def test_passed_deadline_is_answered_and_the_call_cancelled(self) -> None:
        fixture = make_entry(_TABLE)
        _submit(fixture, "/lookup/1", "200")
        fixture.entry.tick(199.0)
        self.assertEqual(0, fixture.effects.final_answers)
        fixture.entry.tick(200.0)
        self.assertEqual([DEADLINE_PASSED], [code for code, _ in fixture.effects.refusals])
        self.assertEqual(1, len(fixture.effects.cancels))

    def test_call_of_a_disconnected_caller_is_cancelled(self) -> None:
        fixture = make_entry(_TABLE)
        exchange = fixture.entry.on_request(0.0, object(), make_request("/lookup/1"))
        assert exchange is not None
        fixture.entry.on_caller_disconnected(exchange)
        fixture.entry.tick(9_000.0)
        self.assertEqual((0, 1), (fixture.effects.final_answers, len(fixture.effects.cancels)))

    def test_lost_link_distinguishes_unsent_from_sent_calls(self) -> None:
        fixture = make_entry(_TABLE)
        _submit(fixture, "/booking/1")
        _submit(fixture, "/booking/2")
        (first_host, first), (_, second) = fixture.effects.calls
        fixture.entry.on_calls_lost(1.0, first_host, [first.call_id], [second.call_id])
        self.assertEqual(3, len(fixture.effects.calls))
        self.assertEqual(first.request_target, fixture.effects.calls[2][1].request_target)
        self.assertEqual([PEER_LOST], [code for code, _ in fixture.effects.refusals])

    def test_silent_host_keeps_its_booking_and_loses_its_lookup(self) -> None:
        fixture = make_entry(_TABLE)
        _submit(fixture, "/booking/1")
        _submit(fixture, "/lookup/1")
        (host, booking), (_, lookup) = fixture.effects.calls
        awaited = fixture.entry.on_calls_silent(900.0, host, [booking.call_id, lookup.call_id])
        self.assertEqual([booking.call_id], awaited)
        # The lookup is retried on another host; the booking neither, nor is it answered.
        self.assertEqual(["lookup"], [call.route for _, call in fixture.effects.calls[2:]])
        self.assertEqual(0, fixture.effects.final_answers)
        fixture.entry.on_answer(950.0, make_answer(booking))
        self.assertEqual([200], [response.status for response in fixture.effects.answers])

    def test_booking_of_a_host_that_stays_silent_ends_at_its_deadline(self) -> None:
        fixture = make_entry(_TABLE)
        _submit(fixture, "/booking/1")
        host, booking = fixture.effects.calls[0]
        awaited = fixture.entry.on_calls_silent(900.0, host, [booking.call_id])
        self.assertEqual([booking.call_id], awaited)
        fixture.entry.tick(999.0)
        self.assertEqual(0, fixture.effects.final_answers)
        fixture.entry.tick(1_001.0)
        self.assertEqual([DEADLINE_PASSED], [code for code, _ in fixture.effects.refusals])

    def test_request_without_any_host_is_refused_as_not_run(self) -> None:
        fixture = make_entry(_TABLE, hosts=0)
        _submit(fixture, "/booking/1")
        fixture.entry.tick(_DEFER_MS)
        self.assertEqual(Outcome.NOT_RUN, fixture.effects.refusals[0][0].outcome)

    def test_request_is_deferred_until_a_host_is_reachable(self) -> None:
        """If all nodes start at once, the first requests arrive before the first link is open."""
        fixture = make_entry(_TABLE, hosts=1)
        _submit(fixture, "/booking/1")
        host, call = fixture.effects.calls[0]
        fixture.entry.on_calls_lost(10.0, host, [call.call_id], [])
        fixture.entry.tick(30.0)
        self.assertEqual((0, 1), (fixture.effects.final_answers, len(fixture.effects.calls)))
        fixture.entry.host_selector.on_link_opened(host)
        fixture.entry.tick(50.0)
        self.assertEqual(2, len(fixture.effects.calls))

    def test_request_without_a_reachable_host_is_refused_soon_as_not_run(self) -> None:
        fixture = make_entry(_TABLE, hosts=1)
        _submit(fixture, "/booking/1")
        host, call = fixture.effects.calls[0]
        fixture.entry.on_calls_lost(10.0, host, [call.call_id], [])
        fixture.entry.tick(_DEFER_MS)
        self.assertEqual([PEER_UNREACHABLE], [code for code, _ in fixture.effects.refusals])
        self.assertEqual(Outcome.NOT_RUN, fixture.effects.refusals[0][0].outcome)

    def test_caller_refused_by_a_stopping_node_retries_after_its_restart(self) -> None:
        fixture = make_entry(_TABLE)
        fixture.entry.stop_plan.begin(5_000.0)
        fixture.entry.set_accepted_work(AcceptedWork.CALLS_OF_TARGET)
        _submit(fixture, "/booking/1")
        code, retry_after_ms = fixture.effects.refusals[0]
        self.assertEqual(NODE_LEAVING, code)
        self.assertGreaterEqual(retry_after_ms, 1_500.0)

    def test_stopping_node_keeps_no_deferred_request(self) -> None:
        fixture = make_entry(_TABLE, hosts=1)
        _submit(fixture, "/booking/1")
        host, call = fixture.effects.calls[0]
        fixture.entry.on_calls_lost(10.0, host, [call.call_id], [])
        fixture.entry.set_accepted_work(AcceptedWork.CALLS_OF_TARGET)
        fixture.entry.tick(20.0)
        self.assertEqual((1, 0), (fixture.effects.final_answers, fixture.entry.in_flight))

    def test_retries_stay_within_the_budget(self) -> None:
        fixture = make_entry(_TABLE, budget=RetryBudgetOptions(ratio=0.2, slack=4.0))
        for number in range(400):
            _submit(fixture, f"/lookup/{number}")
        first_calls = [call for _, call in fixture.effects.calls]
        for call in first_calls:
            fixture.entry.on_answer(5.0, make_answer(call, status=500))
        retries = len(fixture.effects.calls) - len(first_calls)
        self.assertLessEqual(retries, 0.2 * len(first_calls) + 4.0)


class ResponseTimeoutCases(unittest.TestCase):
    """Answers that are lost on the way while the target continues to run the call."""

    def _submit_to_known_hosts(self, path: str, report: TargetReport = IDLE_REPORT) -> EntryFixture:
        """Submit a request to an entry whose hosts have reported run times of 20 ms."""
        fixture = make_entry(_TABLE)
        for number in range(3):
            fixture.entry.host_selector.on_answer(0.0, f"n{number}", path, report, False)
        _submit(fixture, f"/{path}/1")
        return fixture

    def test_lookup_is_retried_on_another_host_after_its_response_timeout(self) -> None:
        fixture = self._submit_to_known_hosts("lookup")
        fixture.entry.tick(100.0)
        self.assertEqual(1, len(fixture.effects.calls))
        fixture.entry.tick(125.0)
        (first, lost), (second, _) = fixture.effects.calls
        self.assertNotEqual(first, second)
        self.assertEqual([(first, lost.call_id)], fixture.effects.cancels)
        fixture.entry.tick(9_000.0)
        self.assertEqual([DEADLINE_PASSED], [code for code, _ in fixture.effects.refusals])
        self.assertEqual(2, len(fixture.effects.calls))

    def test_booking_waits_for_its_answer(self) -> None:
        fixture = self._submit_to_known_hosts("booking")
        fixture.entry.tick(900.0)
        self.assertEqual(1, len(fixture.effects.calls))

    def test_call_that_may_be_queued_is_not_retried(self) -> None:
        full = TargetReport(in_flight=10, limit=10, mean_run_ms=20.0, admitted_share=1.0)
        fixture = self._submit_to_known_hosts("lookup", full)
        fixture.entry.tick(900.0)
        self.assertEqual(1, len(fixture.effects.calls))


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
    """Any sequence of results of the calls of a request."""

    @given(st.booleans(), _EVENTS)
    def test_exactly_one_correct_final_answer(self, is_booking: bool, events: list[object]) -> None:
        """Give one final answer, and run a booking at most once.

        No answer promises that nothing ran if a call may have run.
        """
        fixture = make_entry(_TABLE)
        _submit(fixture, "/booking/1" if is_booking else "/lookup/1")
        may_have_run = 0
        now_ms = 0.0
        for event in events:
            if fixture.effects.final_answers:
                break
            now_ms += 100.0
            host, call = fixture.effects.calls[-1]
            if event == "tick":
                fixture.entry.tick(now_ms + 5_000.0)
                may_have_run += 1
            elif event == "unsent":
                fixture.entry.on_calls_lost(now_ms, host, [call.call_id], [])
            elif event == "sent":
                fixture.entry.on_calls_lost(now_ms, host, [], [call.call_id])
                may_have_run += 1
            elif isinstance(event, tuple):
                result, status, code, was_sent_to_target = event
                may_have_run += result is not RunResult.NOT_RUN
                fixture.entry.on_answer(
                    now_ms, make_answer(call, result, status, code, was_sent_to_target)
                )
        fixture.entry.tick(now_ms + 10_000.0)
        self.assertEqual(1, fixture.effects.final_answers)
        self.assertEqual(0, fixture.entry.in_flight)
        if is_booking:
            self.assertLessEqual(may_have_run, 1)
        for code, _ in fixture.effects.refusals:
            if may_have_run:
                self.assertNotIn(code.status, (408, 421, 429, 503))
