"""Test the registration, the admission queue, nested routes and the classification of answers."""

import unittest
from typing import Any
from unittest import mock

import attrs
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.errorcodes import TARGET_BUSY
from gooseberrydock.http_messages import Headers, HttpResponse
from gooseberrydock.members import Address
from gooseberrydock.mesh.admission_queue import AdmissionQueue, Ticket, create_admission_queue
from gooseberrydock.mesh.downstream import DownstreamCapacity
from gooseberrydock.mesh.nested_routes import NestedRoutes
from gooseberrydock.mesh.options import HeaderNames
from gooseberrydock.mesh.target_answers import classify_answer
from gooseberrydock.mesh.target_registration import (
    InstanceAnnouncement,
    TargetRegistration,
    TargetState,
    create_target_registration,
)
from gooseberrydock.mesh.target_run import Run
from gooseberrydock.messages import RoutedCall, RunResult

_ADDRESS = Address("10.0.0.1", 80)
_DRAIN_MS = 2_000.0
_FIRST = InstanceAnnouncement("i-1", "shop", _ADDRESS, 1_000, 1, TargetState.READY, 10, 0.0)

_FOREIGN = attrs.evolve(_FIRST, instance_id="i-foreign", started_wall_ms=9_000)


def _create_registration() -> TargetRegistration:
    registration = create_target_registration(_ADDRESS, _DRAIN_MS)
    registration.on_announcement(0.0, _FIRST)
    return registration


def _leave(registration: TargetRegistration, started_wall_ms: int | None) -> bool:
    leaving = registration.name_leaving(0.0, 1_500.0, "i-1", started_wall_ms)
    return registration.on_leave(0.0, leaving.start_id)


def _create_announcement(**changes: Any) -> InstanceAnnouncement:
    return attrs.evolve(_FIRST, **changes)


class RegistrationCases(unittest.TestCase):
    """Which instance may receive requests."""

    def test_nothing_is_accepted_before_an_announcement(self) -> None:
        registration = create_target_registration(_ADDRESS, _DRAIN_MS)
        self.assertFalse(registration.accepts(0.0, "shop"))

    def test_another_service_is_not_accepted(self) -> None:
        self.assertFalse(_create_registration().accepts(0.0, "bank"))

    def test_leaving_ends_work_before_the_drain_time(self) -> None:
        registration = _create_registration()
        registration.on_announcement(
            100.0, _create_announcement(state=TargetState.LEAVING, sequence=2)
        )
        self.assertEqual("", registration.service)
        self.assertTrue(registration.accepts(200.0, "shop"))
        self.assertFalse(registration.accepts(100.0 + _DRAIN_MS - 500.0, "shop"))

    def test_leaving_persists_if_a_later_announcement_arrived_first(self) -> None:
        registration = _create_registration()
        registration.on_announcement(10.0, _create_announcement(sequence=5))
        registration.on_announcement(
            20.0, _create_announcement(state=TargetState.LEAVING, sequence=4)
        )
        registration.on_announcement(30.0, _create_announcement(sequence=6))
        self.assertTrue(registration.is_leaving)

    def test_leaving_stated_in_answers_persists_when_announcements_say_ready(self) -> None:
        registration = _create_registration()
        self.assertTrue(registration.on_stated_leaving(100.0, registration.start_id))
        registration.on_announcement(200.0, _create_announcement(sequence=2))
        self.assertEqual("", registration.service)
        self.assertFalse(registration.accepts(100.0 + _DRAIN_MS, "shop"))

    def test_leaving_stated_by_an_earlier_start_does_not_end_the_next(self) -> None:
        registration = _create_registration()
        earlier = registration.start_id
        registration.on_announcement(10.0, _create_announcement(started_wall_ms=2_000))
        self.assertFalse(registration.on_stated_leaving(20.0, earlier))
        self.assertEqual("shop", registration.service)

    def test_leaving_without_notice_ends_work_by_the_drain_time(self) -> None:
        registration = _create_registration()
        self.assertTrue(_leave(registration, None))
        self.assertFalse(registration.accepts(_DRAIN_MS, "shop"))

    def test_leave_of_an_earlier_start_is_ignored(self) -> None:
        registration = _create_registration()
        registration.on_announcement(10.0, _create_announcement(started_wall_ms=2_000))
        leaving_start = registration.name_leaving(0.0, 2_500.0, "i-1", 1_000).start_id
        self.assertFalse(registration.on_leave(20.0, leaving_start))
        self.assertEqual("shop", registration.service)

    def test_late_announcement_of_an_earlier_start_is_ignored(self) -> None:
        registration = _create_registration()
        newer = _create_announcement(instance_id="i-2", started_wall_ms=2_000, sequence=1)
        registration.on_announcement(10.0, newer)
        self.assertFalse(registration.on_announcement(20.0, _create_announcement(sequence=9)))
        self.assertEqual("i-2", registration.instance_id)

    def test_same_id_may_start_again(self) -> None:
        registration = _create_registration()
        _leave(registration, None)
        registration.on_announcement(50.0, _create_announcement(started_wall_ms=2_000))
        self.assertEqual("shop", registration.service)

    def test_another_address_is_ignored(self) -> None:
        registration = create_target_registration(_ADDRESS, _DRAIN_MS)
        registration.on_announcement(0.0, _create_announcement(address=Address("10.0.0.2", 80)))
        self.assertEqual("", registration.service)

    def test_nothing_is_accepted_from_a_mismatch_until_the_next_announcement(self) -> None:
        registration = _create_registration()
        self.assertTrue(registration.on_mismatch("i-1"))
        self.assertFalse(registration.accepts(1.0, "shop"))
        registration.on_announcement(2.0, _create_announcement(sequence=2))
        self.assertTrue(registration.accepts(3.0, "shop"))

    def test_start_that_goes_on_is_used_after_the_target_disowned_a_later_one(self) -> None:
        # Guards against a heartbeat of another writer that keeps a sound target out of use.
        registration = _create_registration()
        registration.on_announcement(1.0, _FOREIGN)
        registration.on_announcement(2.0, _create_announcement(sequence=2))
        self.assertEqual(_FOREIGN.start_id, registration.start_id)
        self.assertTrue(registration.on_disowned(_FOREIGN.start_id))
        self.assertFalse(registration.accepts(3.0, "shop"))
        self.assertTrue(registration.on_announcement(4.0, _create_announcement(sequence=3)))
        self.assertEqual(_FIRST.start_id, registration.start_id)
        self.assertTrue(registration.accepts(5.0, "shop"))

    def test_disowned_start_does_not_replace_one_that_the_target_answers_as(self) -> None:
        # Guards against a second heartbeat of the same other writer.
        registration = _create_registration()
        registration.on_announcement(1.0, _FOREIGN)
        registration.on_disowned(_FOREIGN.start_id)
        registration.on_announcement(2.0, _create_announcement(sequence=2))
        registration.on_announcement(3.0, attrs.evolve(_FOREIGN, sequence=7))
        self.assertEqual(_FIRST.start_id, registration.start_id)
        self.assertTrue(registration.accepts(4.0, "shop"))

    def test_disowned_start_is_used_if_the_other_one_is_gone(self) -> None:
        for end in ("disowned", "unreachable"):
            with self.subTest(end):
                registration = _create_registration()
                registration.on_announcement(1.0, _FOREIGN)
                registration.on_disowned(_FOREIGN.start_id)
                registration.on_announcement(2.0, _create_announcement(sequence=2))
                if end == "disowned":
                    registration.on_disowned(_FIRST.start_id)
                else:
                    registration.on_mismatch("i-1")
                registration.on_announcement(3.0, attrs.evolve(_FOREIGN, sequence=7))
                self.assertEqual(_FOREIGN.start_id, registration.start_id)

    def test_answer_to_a_request_for_an_earlier_instance_disowns_only_that(self) -> None:
        registration = _create_registration()
        registration.on_announcement(1.0, _FOREIGN)
        self.assertFalse(registration.on_disowned(_FIRST.start_id))
        self.assertTrue(registration.accepts(2.0, "shop"))

    def test_start_that_left_is_not_used_after_a_later_one_was_disowned(self) -> None:
        # Guards against a leaving that is undone by the heartbeat of another writer.
        registration = _create_registration()
        registration.on_announcement(1.0, _FOREIGN)
        registration.on_leave(2.0, _FIRST.start_id)
        registration.on_disowned(_FOREIGN.start_id)
        registration.on_announcement(3.0, _create_announcement(sequence=3))
        self.assertEqual("", registration.service)
        self.assertFalse(registration.accepts(3.0 + _DRAIN_MS, "shop"))

    def test_unreachable_target_does_not_bring_an_earlier_start_back(self) -> None:
        # A late heartbeat of a start that crashed says nothing of the one after it.
        registration = _create_registration()
        later = _create_announcement(instance_id="i-2", started_wall_ms=2_000)
        registration.on_announcement(1.0, later)
        registration.on_mismatch("i-2")
        registration.on_announcement(2.0, _create_announcement(sequence=9))
        self.assertEqual(later.start_id, registration.start_id)

    def test_start_that_goes_on_is_used_if_a_later_one_falls_silent(self) -> None:
        # Guards against another writer's heartbeat that no answer of the target disowns.
        of_same_id = attrs.evolve(_FOREIGN, instance_id="i-1")
        for foreign in (of_same_id, _FOREIGN, attrs.evolve(_FOREIGN, service="bank")):
            with self.subTest(foreign):
                registration = _create_registration()
                registration.on_announcement(1.0, foreign)
                for second in range(1, 13):
                    registration.on_announcement(
                        second * 1_000.0, _create_announcement(sequence=1 + second)
                    )
                self.assertEqual(_FIRST.start_id, registration.start_id)
                self.assertTrue(registration.accepts(13_000.0, "shop"))
                self.assertTrue(registration.on_leave(13_000.0, _FIRST.start_id))

    def test_late_announcement_does_not_replace_a_start_that_goes_on(self) -> None:
        registration = _create_registration()
        later = _create_announcement(instance_id="i-2", started_wall_ms=2_000)
        for second in range(1, 30):
            registration.on_announcement(second * 1_000.0, attrs.evolve(later, sequence=second))
            registration.on_announcement(second * 1_000.0, _create_announcement(sequence=second))
            self.assertEqual(later.start_id, registration.start_id)

    def test_leaving_of_another_instance_keeps_the_current_one_out_until_it_goes_on(self) -> None:
        # Guards against another writer's leaving, which ended the use of the target for good.
        registration = _create_registration()
        leaving = attrs.evolve(_FOREIGN, state=TargetState.LEAVING)
        self.assertTrue(registration.on_announcement(1.0, leaving))
        self.assertEqual("", registration.service)
        self.assertFalse(registration.accepts(1.0, "shop"))
        self.assertTrue(registration.on_announcement(2.0, _create_announcement(sequence=2)))
        self.assertTrue(registration.accepts(3.0, "shop"))
        registration.on_announcement(4.0, attrs.evolve(_FOREIGN, sequence=9))
        self.assertFalse(registration.accepts(4.0 + _DRAIN_MS, "shop"))
        registration.on_announcement(5.0, _create_announcement(sequence=3))
        self.assertEqual("shop", registration.service)

    def test_disowned_starts_are_bounded(self) -> None:
        registration = _create_registration()
        for number in range(1_000):
            registration.on_disowned(f"i-x@{number}")
        self.assertLess(len(registration._disowned), 20)


def _create_ticket(
    admission_queue: AdmissionQueue,
    number: int,
    route: str = "a",
    priority: int = 2,
    remaining_ms: float = 1_000.0,
    now_ms: float = 0.0,
    caller_service: str = "web",
) -> Ticket:
    call = RoutedCall(
        number, route, "shop", caller_service, "GET", "/a/", [], b"", remaining_ms, priority
    )
    return admission_queue.create_ticket(now_ms, number, "link", call)


def _create_admission_queue(slots: int = 2) -> AdmissionQueue:
    admission_queue = create_admission_queue(NestedRoutes())
    admission_queue.set_target("shop", slots)
    return admission_queue


class AdmissionQueueCases(unittest.TestCase):
    """Which calls run, which wait, and in which order."""

    def test_no_more_run_than_the_limit(self) -> None:
        admission_queue = _create_admission_queue(slots=10)
        for number in range(30):
            admission_queue.submit(0.0, _create_ticket(admission_queue, number))
        self.assertEqual(admission_queue.limit, len(admission_queue.running))
        self.assertLess(admission_queue.limit, 10)

    def test_waiting_calls_start_by_rank_then_arrival(self) -> None:
        admission_queue = _create_admission_queue(slots=2)
        first = _create_ticket(admission_queue, 0)
        admission_queue.submit(0.0, first)
        for number, priority in ((1, 2), (2, 0), (3, 2), (4, 0)):
            admission_queue.submit(0.0, _create_ticket(admission_queue, number, priority=priority))
        order = []
        running = first
        for _ in range(4):
            admission_queue.finish(10.0, running, has_completed=True)
            running = admission_queue.start_next(10.0)[0][0]
            order.append(running.run_id)
        self.assertEqual([2, 4, 1, 3], order)

    def test_late_call_is_dropped_as_not_run(self) -> None:
        admission_queue = _create_admission_queue(slots=2)
        running = _create_ticket(admission_queue, 0)
        admission_queue.submit(0.0, running)
        admission_queue.submit(0.0, _create_ticket(admission_queue, 1, remaining_ms=50.0))
        self.assertEqual([1], [ticket.run_id for ticket in admission_queue.drop_late(60.0)])
        admission_queue.finish(70.0, running, has_completed=True)
        self.assertEqual(([], []), admission_queue.start_next(70.0))
        self.assertEqual(0, admission_queue.in_flight)

    def test_long_wait_is_refused_at_once(self) -> None:
        admission_queue = _create_admission_queue(slots=2)
        for number in range(40):
            running = _create_ticket(admission_queue, number)
            admission_queue.submit(0.0, running)
            admission_queue.finish(200.0, running, has_completed=True)
        admission_queue.submit(200.0, _create_ticket(admission_queue, 100))
        codes = [
            admission_queue.submit(200.0, _create_ticket(admission_queue, 101 + number))
            for number in range(4)
        ]
        self.assertEqual([None, TARGET_BUSY, TARGET_BUSY, TARGET_BUSY], codes)

    def test_withdrawn_call_never_starts(self) -> None:
        admission_queue = _create_admission_queue(slots=2)
        running, waiting = _create_ticket(admission_queue, 0), _create_ticket(admission_queue, 1)
        admission_queue.submit(0.0, running)
        admission_queue.submit(0.0, waiting)
        admission_queue.finish(1.0, waiting, has_completed=False)
        admission_queue.finish(2.0, running, has_completed=True)
        self.assertEqual(([], []), admission_queue.start_next(2.0))

    def test_overload_lowers_the_share_and_idleness_raises_it(self) -> None:
        admission_queue = _create_admission_queue(slots=10)
        for number in range(30):
            admission_queue.submit(
                number * 0.1, _create_ticket(admission_queue, number, remaining_ms=60_000.0)
            )
        for step in range(40):
            admission_queue.drop_late(step * 50.0)
        low = admission_queue.report(0.0, "a").admitted_share
        self.assertLess(low, 0.3)
        for ticket in list(admission_queue.running.values()):
            admission_queue.finish(2_100.0, ticket, has_completed=True)
            admission_queue.start_next(2_100.0)
        for step in range(200):
            for ticket in list(admission_queue.running.values()):
                admission_queue.finish(2_200.0, ticket, has_completed=True)
                admission_queue.start_next(2_200.0)
            admission_queue.drop_late(2_200.0 + step * 50.0)
        self.assertEqual(1.0, admission_queue.report(0.0, "a").admitted_share)

    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 2)), max_size=60))
    def test_in_flight_count_and_limit_hold(self, steps: list[tuple[int, int]]) -> None:
        """Check both after each step of any order of arrivals, completions and cancellations."""
        admission_queue = _create_admission_queue(slots=4)
        waiting: dict[int, Ticket] = {}
        running: dict[int, Ticket] = {}
        for number, (kind, priority) in enumerate(steps):
            now_ms = number * 20.0
            if kind <= 1:
                ticket = _create_ticket(admission_queue, number, priority=priority, now_ms=now_ms)
                if admission_queue.submit(now_ms, ticket) is None:
                    (running if ticket.has_started else waiting)[number] = ticket
            elif running and kind == 2:
                ticket = running.pop(next(iter(running)))
                admission_queue.finish(now_ms, ticket, has_completed=True)
                started, late = admission_queue.start_next(now_ms)
                for item in started:
                    running[item.run_id] = waiting.pop(item.run_id)
                for item in late:
                    del waiting[item.run_id]
            elif waiting:
                ticket = waiting.pop(next(iter(waiting)))
                admission_queue.finish(now_ms, ticket, has_completed=False)
            self.assertEqual(len(running) + len(waiting), admission_queue.in_flight)
            self.assertLessEqual(len(admission_queue.running), admission_queue.limit)


class DownstreamShareCases(unittest.TestCase):
    """Shares of the services that a route's runs call."""

    def test_share_of_a_route_without_runs_does_not_stay_in_force(self) -> None:
        admission_queue = _create_admission_queue(slots=10)
        admission_queue.set_downstream_capacities({"a": DownstreamCapacity(True, 0.1)})
        self.assertEqual(0.1, admission_queue.report(0.0, "a").admitted_share)
        self.assertTrue(admission_queue.report(0.0, "a").makes_calls)
        admission_queue.set_downstream_capacities({})
        self.assertEqual(1.0, admission_queue.report(0.0, "a").admitted_share)
        self.assertFalse(admission_queue.report(0.0, "a").makes_calls)


class LongRunCases(unittest.TestCase):
    """Overload of a target that runs short and long requests of the same priority."""

    def test_long_runs_are_shed_first(self) -> None:
        admission_queue = _create_admission_queue(slots=10)
        for number in range(200):
            for offset, route, run_ms in ((0, "short", 20.0), (1_000, "long", 360.0)):
                ticket = _create_ticket(admission_queue, number + offset, route=route)
                admission_queue.submit(0.0, ticket)
                admission_queue.finish(run_ms, ticket, has_completed=True)
        for number in range(30):
            admission_queue.submit(
                1_000.0,
                _create_ticket(
                    admission_queue, 5_000 + number, remaining_ms=60_000.0, now_ms=1_000.0
                ),
            )
        for step in range(8):
            admission_queue.drop_late(1_000.0 + step * 50.0)
        short, long = admission_queue.report(0.0, "short"), admission_queue.report(0.0, "long")
        self.assertLess(long.admitted_share, 0.8 * short.admitted_share)


class NestedRoutesCases(unittest.TestCase):
    """Calls of targets are distinguished from requests of callers."""

    def test_route_called_by_one_service_of_four_is_nested(self) -> None:
        nested = NestedRoutes()
        nested.set_service_count(4)
        for _ in range(40):
            nested.on_call("inner", "shop")
            for service in ("web", "shop", "bank", "post"):
                nested.on_call("outer", service)
        self.assertTrue(nested.classify("inner", "bank"))
        self.assertFalse(nested.classify("outer", "bank"))

    def test_route_of_local_callers_is_not_nested_before_all_nodes_are_back(self) -> None:
        """After all nodes restart, requests come from few services, the target's own among them."""
        nested = NestedRoutes()
        nested.set_service_count(4)
        for _ in range(200):
            nested.on_call("outer", "shop")
            nested.on_call("outer", "web")
        self.assertFalse(nested.classify("outer", "shop"))

    def test_report_of_one_new_host_changes_nothing(self) -> None:
        nested = NestedRoutes()
        nested.on_report("inner", True)
        for _ in range(20):
            nested.on_report("inner", True)
            nested.on_report("outer", False)
        nested.on_report("inner", False)
        nested.on_report("outer", True)
        self.assertEqual((True, False), (nested.is_nested("inner"), nested.is_nested("outer")))
        for _ in range(5):
            nested.on_report("inner", False)
        self.assertFalse(nested.is_nested("inner"))

    def test_route_with_few_requests_is_not_classified(self) -> None:
        nested = NestedRoutes()
        nested.set_service_count(4)
        nested.on_call("inner", "shop")
        self.assertFalse(nested.classify("inner", "bank"))


_NAMES = HeaderNames(response_signature=b"seal")
_SIGNATURE = (b"seal", b"1")
_ANSWERS: list[tuple[str, int, Headers, RunResult]] = [
    ("success", 200, [_SIGNATURE], RunResult.ANSWERED),
    ("success without signature", 200, [], RunResult.UNKNOWN),
    ("encoded body", 200, [_SIGNATURE, (b"content-encoding", b"gzip")], RunResult.UNKNOWN),
    ("own failure", 500, [_SIGNATURE], RunResult.ANSWERED),
    ("not executed", 503, [(_NAMES.not_executed, b"1")], RunResult.NOT_RUN),
    ("503 without the not-executed header", 503, [_SIGNATURE], RunResult.UNKNOWN),
    ("429 without the not-executed header", 429, [], RunResult.UNKNOWN),
    ("no status", 999, [_SIGNATURE], RunResult.UNKNOWN),
    ("another instance", 421, [], RunResult.NOT_RUN),
]


_REQUEST_ID, _OTHER, _OWN = _NAMES.request_id, (_NAMES.instance, b"i-2"), (_NAMES.instance, b"i-1")
_OWNERSHIP: list[tuple[str, int, Headers, bool]] = [
    ("the own ID", 200, [(_REQUEST_ID, b"r1")], True),
    ("another ID", 421, [(_REQUEST_ID, b"r0"), _OTHER], False),
    ("no ID, not executed", 503, [(_NAMES.not_executed, b"1")], True),
    ("no ID", 200, [_SIGNATURE], False),
    ("no ID, from another instance", 421, [_OTHER], True),
    ("no ID, maybe a late copy from the expected instance", 421, [_OWN], False),
    ("no ID, from an instance without a name", 421, [], False),
    ("no ID, another instance that does not refuse", 200, [_OTHER], False),
]
"""Responses to the request r1, which was sent to the instance i-1."""


class AnswerCases(unittest.TestCase):
    """What a target's answer says about its request."""

    def test_response_belongs_to_a_request_by_its_id_or_by_the_instance_that_refuses(self) -> None:
        # Guards against a refusal by another instance that is waited for until the deadline.
        ticket = _create_ticket(_create_admission_queue(), 1)
        ticket.request_id = "r1"
        run = Run(ticket, mock.Mock(), _NAMES, start_id="i-1@1000")
        for title, status, headers, expected in _OWNERSHIP:
            with self.subTest(title):
                self.assertIs(expected, run.accepts(HttpResponse(status, headers, b"")))

    def test_answers_are_classified_by_status_and_headers(self) -> None:
        for title, status, headers, expected in _ANSWERS:
            with self.subTest(title):
                classification = classify_answer(HttpResponse(status, headers, b""), _NAMES)
                self.assertEqual(expected, classification.result)
