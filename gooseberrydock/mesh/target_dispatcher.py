"""Dispatch calls to the local target and return its answers.

Connects the decisions of ``target_registration``, ``admission_queue`` and ``crash_watch`` to the
connections to the target on this node's host. The owner sends the answers and notifies other nodes
of changes.
"""

from collections.abc import Iterable
from typing import Final, Protocol

import attrs

from gooseberrydock.clock import Clock, Millis
from gooseberrydock.errorcodes import (
    CALL_BROKEN_OFF,
    CALL_NOT_STARTED,
    MEMORY_SHORT,
    NO_TARGET,
    NODE_LEAVING,
    NOT_DISPATCHED,
    QUARANTINED,
    TARGET_TIMEOUT,
    ErrorCode,
)
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.events import (
    ANNOUNCEMENT_REFUSED,
    CALL_FAULT,
    QUARANTINE_LIFTED,
    REQUEST_QUARANTINED,
    STATEMENT_REFUSED,
    TARGET_CHANGED,
    TARGET_CRASHED,
    TARGET_DISOWNED,
    TARGET_LEAVING,
    TARGET_RATE_LIMIT_CHANGED,
    TARGET_STATE_RECOVERED,
    TARGET_STATES_LEAVING,
)
from gooseberrydock.http_messages import Headers, header_value
from gooseberrydock.logs import log, log_fault
from gooseberrydock.memory_account import MemoryAccount
from gooseberrydock.mesh.admission_queue import Ticket
from gooseberrydock.mesh.body_transfer import WINDOW_BYTES, RelayedBody
from gooseberrydock.mesh.controllers import NodeControllers
from gooseberrydock.mesh.decision_log import DecisionLog
from gooseberrydock.mesh.model import AcceptedWork
from gooseberrydock.mesh.options import HeaderNames
from gooseberrydock.mesh.target_connections import TargetPool
from gooseberrydock.mesh.target_registration import InstanceAnnouncement, NamedLeaving
from gooseberrydock.mesh.target_run import Run, request_bytes
from gooseberrydock.mesh.target_statements import read_statement
from gooseberrydock.messages import (
    BodyCredit,
    BodyPart,
    Cancel,
    CrashNotice,
    QuarantineNotice,
    RoutedAnswer,
    RoutedCall,
    RunResult,
    ShareNotice,
    TargetNotice,
    TargetReport,
)
from gooseberrydock.quarantine import QUARANTINE_MS, ReceivedQuarantines

_RUN_GRACE_MS: Final[Millis] = 150.0
"""Grace period between a run's deadline and its abort, so that the target can end it first."""


class TargetDispatcherOwner(Protocol):
    """Receive the dispatcher's answers and notices; implemented by the node."""

    def answer_call(self, link_id: str, answer: RoutedAnswer) -> None:
        """Send the answer to a call on the link that the call arrived on."""

    def request_body(self, link_id: str, credit: BodyCredit) -> None:
        """Ask for the next bytes of a call's body."""

    def publish(self, write_to_store: bool = True) -> None:
        """Notify other nodes of a change of the target's state."""

    def report_crash(self, notice: CrashNotice) -> None:
        """Notify other nodes of the requests that may have crashed the target."""

    def report_quarantine(self, notice: QuarantineNotice) -> None:
        """Notify other nodes of what is quarantined, or no longer is."""

    def store_quarantine(self, notice: QuarantineNotice) -> None:
        """Store what this node decided to quarantine, or to quarantine no longer."""

    def notify_shares(self, link_id: str, notice: ShareNotice) -> None:
        """Send the currently admitted shares to a node that recently sent calls."""

    def may_serve(self, service: str) -> bool:
        """Return whether the local target may serve a service; true before a table is known."""

    def is_idempotent(self, route: str) -> bool:
        """Return whether requests of a route may be retried."""


@attrs.define(eq=False)
class TargetDispatcher:
    """Dispatch calls to the local target."""

    _owner: TargetDispatcherOwner
    _clock: Clock
    _controllers: NodeControllers
    _pool: TargetPool
    _header_names: HeaderNames
    _decision_log: DecisionLog
    _account: MemoryAccount
    _runs: dict[int, Run] = attrs.field(factory=dict)
    _run_ids_by_call: dict[tuple[str, int], int] = attrs.field(factory=dict)
    _next_run_id: int = 0
    _sent: int = 0
    _crashes: int = 0

    @property
    def is_closed(self) -> bool:
        """Return whether new calls are refused."""
        return self._controllers.entry.accepted_work is not AcceptedWork.ALL

    @property
    def in_flight(self) -> int:
        """Return the number of calls that run or wait."""
        return len(self._runs)

    @property
    def runs(self) -> list[Run]:
        """Return the calls that run or wait."""
        return list(self._runs.values())

    @property
    def sent(self) -> int:
        """Return the number of calls sent to the target so far."""
        return self._sent

    @property
    def crashes(self) -> int:
        """Return the number of deaths of the target with runs in flight."""
        return self._crashes

    @property
    def pool(self) -> TargetPool:
        """Return the connections to the target."""
        return self._pool

    # Calls.

    def on_call(self, link_id: str, call: RoutedCall) -> None:
        """Submit or refuse a call that arrived on a link."""
        now_ms = self._clock.now_ms()
        request_id = header_value(call.headers, self._header_names.request_id)
        code = self._refusal_code(now_ms, call)
        if code is not None:
            self._decision_log.on_call_refused_before_admission(now_ms, call, request_id, code)
            self._refuse(link_id, call, code)
            return
        self._next_run_id += 1
        admission_queue = self._controllers.admission_queue
        self._controllers.share_notices.on_call(now_ms, call.route, link_id)
        ticket = admission_queue.create_ticket(now_ms, self._next_run_id, link_id, call, request_id)
        code = admission_queue.submit(now_ms, ticket)
        if code is not None:
            self._decision_log.on_call_refused(now_ms, ticket, code)
            self._refuse(link_id, call, code)
            return
        run = Run(ticket, self, self._header_names)
        self._runs[ticket.run_id] = run
        self._run_ids_by_call[(link_id, call.call_id)] = ticket.run_id
        if ticket.has_started:
            self._start_run(run)

    def on_body_part(self, link_id: str, part: BodyPart) -> None:
        """Pass a part of a call's body on to the target."""
        run_id = self._run_ids_by_call.get((link_id, part.call_id))
        run = self._runs.get(run_id) if run_id is not None else None
        if run is not None and run.body is not None:
            run.body.on_part(part.data)

    def on_cancel(self, link_id: str, cancel: Cancel) -> None:
        """Cancel a call whose answer is no longer needed."""
        run_id = self._run_ids_by_call.get((link_id, cancel.call_id))
        run = self._runs.get(run_id) if run_id is not None else None
        if run is not None:
            self._abandon_run(run)
            self._start_waiting_calls()

    def on_link_lost(self, link_id: str) -> None:
        """Abandon the calls that arrived on a lost link, except running ones that end only once.

        A request that must not be repeated is not broken off in the middle, although nobody gets
        its answer; one whose body has not arrived whole cannot go on.
        """
        self._controllers.share_notices.on_link_lost(link_id)
        lost = [run for run in self._runs.values() if run.ticket.link_id == link_id]
        for run in lost:
            has_whole_body = run.body is None or run.body.is_complete
            is_idempotent = self._owner.is_idempotent(run.ticket.call.route)
            if not run.ticket.has_started or is_idempotent or not has_whole_body:
                self._abandon_run(run)
        if lost:
            self._start_waiting_calls()

    def _refusal_code(self, now_ms: Millis, call: RoutedCall) -> ErrorCode | None:
        """Return why the target must not receive a call, whatever its free capacity."""
        if self.is_closed:
            return NODE_LEAVING
        registration = self._controllers.registration
        if not registration.accepts(now_ms, call.service):
            return NODE_LEAVING if registration.is_leaving else NO_TARGET
        deadline_at = now_ms + call.remaining_ms
        if not self._controllers.stop_plan.takes_run(now_ms, call.route, deadline_at):
            return NODE_LEAVING
        return QUARANTINED if self._controllers.crash_watch.refuses(now_ms, call) else None

    def _refuse(self, link_id: str, call: RoutedCall, code: ErrorCode) -> None:
        """Answer a call that has not been sent to the target."""
        self._answer_without_target(link_id, call, code, was_sent=False)

    def _answer_without_target(
        self, link_id: str, call: RoutedCall, code: ErrorCode, was_sent: bool
    ) -> None:
        """Answer a call with a code of this node, as not run unless it may have been sent."""
        result = RunResult.UNKNOWN if was_sent else RunResult.NOT_RUN
        report = self._report(call.route)
        answer = RoutedAnswer(
            call.call_id, result, code.number, code.status, [], b"", was_sent, report
        )
        self._owner.answer_call(link_id, answer)

    # Runs.

    def _start_run(self, run: Run) -> None:
        """Send a run to the target; an error ends this run only and gives its slot back."""
        try:
            self._send_run(run)
        except Exception as error:
            self._end_faulty(run, error)

    def on_run_fault(self, run: Run, error: Exception) -> None:
        """End a run because of an error in this program, and start waiting calls."""
        self._end_faulty(run, error)
        self._start_waiting_calls()

    def _end_faulty(self, run: Run, error: Exception) -> None:
        """Log an error, release the slot of its run and answer the call, unless it has ended."""
        ticket = run.ticket
        log_fault(CALL_FAULT, error, request=ticket.request_id, route=ticket.call.route)
        if ticket.run_id not in self._runs:
            return
        if run.pending is not None:
            run.pending.abort()
        self._remove_run(run, has_completed=False)
        if run.was_started:
            self._answer_without_target(ticket.link_id, ticket.call, CALL_BROKEN_OFF, was_sent=True)
        else:
            self._refuse(ticket.link_id, ticket.call, CALL_NOT_STARTED)

    def _send_run(self, run: Run) -> None:
        """Send a run to the target, or refuse it if the target no longer accepts it."""
        now_ms = self._clock.now_ms()
        call = run.ticket.call
        registration = self._controllers.registration
        self._controllers.call_graph.on_start(now_ms, call.route)
        takes_run = self._controllers.stop_plan.takes_run(
            now_ms, call.route, run.ticket.deadline_at
        )
        if not takes_run or not registration.accepts(now_ms, call.service):
            # The target left, or the node began to stop, while the call waited.
            self._remove_run(run, has_completed=False)
            self._decision_log.on_call_refused(now_ms, run.ticket, NODE_LEAVING)
            self._refuse(run.ticket.link_id, call, NODE_LEAVING)
            return
        if call.body_bytes and self._account.is_full:
            self._remove_run(run, has_completed=False)
            self._decision_log.on_call_refused(now_ms, run.ticket, MEMORY_SHORT)
            self._refuse(run.ticket.link_id, call, MEMORY_SHORT)
            return
        remaining_ms = run.ticket.deadline_at - now_ms
        data = request_bytes(call, self._header_names, registration.instance_id, remaining_ms)
        run.start_id = registration.start_id
        if call.body_bytes:
            run.body = self._create_body(run.ticket)
            self._account.charge(WINDOW_BYTES)
        self._sent += 1
        run.was_started = True
        is_idempotent = self._owner.is_idempotent(call.route)
        run.pending = self._pool.start(data, run, is_idempotent, run.body)

    def _create_body(self, ticket: Ticket) -> RelayedBody:
        link_id, call_id = ticket.link_id, ticket.call.call_id

        def request_more(size: int) -> None:
            self._owner.request_body(link_id, BodyCredit(call_id, False, size))

        return RelayedBody(ticket.call.body_bytes, request_more)

    def finish_run(self, run: Run, answer: RoutedAnswer) -> None:
        """Answer a run's call and start waiting calls."""
        ticket = run.ticket
        has_ended = answer.result is RunResult.ANSWERED or answer.code == TARGET_TIMEOUT.number
        if has_ended and ticket.has_started:
            now_ms = self._clock.now_ms()
            duration_ms = now_ms - ticket.started_at
            self._controllers.stop_plan.runs.on_end(now_ms, ticket.call.route, duration_ms)
        if answer.result is RunResult.ANSWERED:
            self._controllers.registration.on_answered(run.start_id)
            self._on_answered(ticket)
        self._remove_run(run, has_completed=answer.result is RunResult.ANSWERED)
        answer.report = self._report(run.ticket.call.route)
        self._owner.answer_call(run.ticket.link_id, answer)
        self._start_waiting_calls()

    def _on_answered(self, ticket: Ticket) -> None:
        notice = self._controllers.crash_watch.on_answered(ticket.call, ticket.started_at)
        if notice is not None:
            _log_lifted(notice.remaining_ms)
            self._owner.report_quarantine(notice)
            self._owner.store_quarantine(notice)

    def on_call_failed(self, ticket: Ticket, code: ErrorCode, status: int) -> None:
        """Log that the target gave no usable answer to a call."""
        self._decision_log.on_call_failed(self._clock.now_ms(), ticket, code, status)

    def _abandon_run(self, run: Run) -> None:
        """Abort a run whose answer is no longer needed."""
        if run.pending is not None:
            run.pending.abort()
        self._remove_run(run, has_completed=False)

    def _remove_run(self, run: Run, has_completed: bool) -> None:
        """Remove a run and release its slot."""
        now_ms = self._clock.now_ms()
        ticket = run.ticket
        if ticket.has_started:
            self._controllers.call_graph.on_end(now_ms, ticket.call.route)
        if run.body is not None:
            run.body.end()
            run.body = None
            self._account.charge(-WINDOW_BYTES)
        self._runs.pop(ticket.run_id, None)
        self._run_ids_by_call.pop((ticket.link_id, ticket.call.call_id), None)
        self._controllers.admission_queue.finish(now_ms, ticket, has_completed)

    def _start_waiting_calls(self) -> None:
        """Start waiting calls until no slot is free; a call refused at its start frees its slot."""
        now_ms = self._clock.now_ms()
        has_started = True
        while has_started:
            started, late = self._controllers.admission_queue.start_next(now_ms)
            self._refuse_late(now_ms, late)
            has_started = bool(started)
            for ticket in started:
                run = self._runs.get(ticket.run_id)
                if run is not None:
                    self._start_run(run)

    def _refuse_late(self, now_ms: Millis, late: list[Ticket]) -> None:
        for ticket in late:
            run = self._runs.get(ticket.run_id)
            if run is not None:
                self._remove_run(run, has_completed=False)
                self._decision_log.on_call_refused(now_ms, ticket, NOT_DISPATCHED)
                self._refuse(ticket.link_id, ticket.call, NOT_DISPATCHED)

    # The target.

    def on_announcement(self, announcement: InstanceAnnouncement) -> bool:
        """Process an announcement; return whether it names a target that this node may serve."""
        registration = self._controllers.registration
        if announcement.address != self._pool.address:
            self.on_invalid_announcement(
                f"not the address of the local target: {announcement.address}"
            )
            return False
        if not self._owner.may_serve(announcement.service):
            self.on_invalid_announcement(
                f"neither in the route table nor this node's own service: {announcement.service}"
            )
            return False
        previous = registration.current
        if registration.on_announcement(self._clock.now_ms(), announcement):
            if previous is None or registration.instance_id != previous.instance_id:
                self._pool.close_idle()
                self._controllers.admission_queue.reset_run_times()
            current = registration.current or announcement
            if previous is not None and current.is_later_start(previous):
                self._on_target_dead("later start")
            self._controllers.admission_queue.set_rate_limit(
                self._clock.now_ms(), registration.rate_limit
            )
            self._controllers.admission_queue.set_target(current.service, current.slots)
            log(
                TARGET_CHANGED,
                instance=announcement.instance_id,
                state=announcement.state.value,
                slots=announcement.slots,
                sequence=announcement.sequence,
            )
            self._owner.publish()
        return True

    def on_target_leaving(self, instance_id: str, started_wall_ms: int | None) -> NamedLeaving:
        """Record that a target deregisters; return which starts this means."""
        registration = self._controllers.registration
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        leaving = registration.name_leaving(now_ms, wall_ms, instance_id, started_wall_ms)
        if registration.on_leave(now_ms, leaving.start_id):
            log(TARGET_LEAVING, instance=instance_id, start=leaving.start_id)
            self._owner.publish()
        return leaving

    def on_invalid_announcement(self, detail: str) -> None:
        """Log an announcement that is invalid or names no target of this node."""
        log(ANNOUNCEMENT_REFUSED, detail=detail)

    def on_answer_headers(self, run: Run, headers: Headers, is_intact: bool) -> None:
        """Process what the target states of itself; an answer that is not intact may omit it."""
        try:
            statement = read_statement(headers, self._header_names)
        except GooseberrydockError as error:
            log(STATEMENT_REFUSED, code=error.code.number, detail=error.detail)
            return
        if is_intact or statement.rate_limit is not None:
            self._set_rate_limit(run.start_id, statement.rate_limit)
        if statement.is_leaving:
            self._set_leaving(run.start_id)

    def _set_rate_limit(self, start_id: str, rate_limit: float | None) -> None:
        registration = self._controllers.registration
        if registration.on_rate_limit(start_id, rate_limit):
            self._controllers.admission_queue.set_rate_limit(self._clock.now_ms(), rate_limit)
            log(
                TARGET_RATE_LIMIT_CHANGED,
                instance=registration.instance_id,
                rate_limit=rate_limit,
                sent=self._sent,
            )

    def _set_leaving(self, start_id: str) -> None:
        registration = self._controllers.registration
        if registration.on_stated_leaving(self._clock.now_ms(), start_id):
            log(TARGET_STATES_LEAVING, instance=registration.instance_id)
            self._owner.publish()

    def on_target_notice(self, notice: TargetNotice) -> None:
        """Record what another node knows of the target from before this node's start."""
        registration = self._controllers.registration
        now_ms = self._clock.now_ms()
        if registration.on_notice(now_ms, notice):
            self._controllers.admission_queue.set_rate_limit(now_ms, registration.rate_limit)
            log(
                TARGET_STATE_RECOVERED,
                instance=registration.instance_id,
                rate_limit=registration.rate_limit,
                is_leaving=registration.is_leaving,
            )
            self._owner.publish()

    def _report(self, route: str) -> TargetReport:
        """Return the report that is sent with an answer."""
        registration = self._controllers.registration
        report = self._controllers.admission_queue.report(self._clock.now_ms(), route)
        report.is_leaving = registration.is_leaving
        if registration.is_leaving or registration.rate_limit is not None:
            report.start_id = registration.start_id
        return report

    def on_other_instance(self, run: Run) -> None:
        """Record that the target is another instance than the one that a run was sent to."""
        if self._controllers.registration.on_disowned(run.start_id):
            log(TARGET_DISOWNED, start=run.start_id)
            self._withdraw_target()

    def _withdraw_target(self) -> None:
        """Stop using a target that is not at its address, until it announces itself."""
        self._on_target_dead("other instance")
        self._pool.close_idle()
        self._owner.publish()

    def on_target_unreachable(self) -> None:
        """Record a failed connection attempt; a target with open connections may merely be full."""
        if self._pool.open_connections:
            return
        self._on_target_dead("refused connection")
        registration = self._controllers.registration
        if registration.on_mismatch(registration.instance_id):
            self._withdraw_target()

    def on_run_lost(self, run: Run) -> None:
        """Record that a run lost its connection and may have crashed the target."""
        registration = self._controllers.registration
        if registration.has_left(run.start_id):
            # The target ends as planned.
            return
        ticket = run.ticket
        self._controllers.crash_watch.on_run_lost(
            self._clock.now_ms(), ticket.call, ticket.started_at
        )
        if run.start_id != registration.start_id:
            self._on_target_dead("later start")

    def _on_target_dead(self, sign: str) -> None:
        """Put the death of the target down to the runs that were lost just before."""
        notice = self._controllers.crash_watch.on_target_dead(self._clock.now_ms())
        if notice is None:
            return
        self._crashes += 1
        log(
            TARGET_CRASHED,
            sign=sign,
            start=self._controllers.registration.start_id,
            lost_requests=len(notice.suspects),
            quarantined=len(notice.quarantined),
        )
        _log_quarantined(notice.quarantined)
        self._owner.report_crash(notice)
        if notice.quarantined:
            decided = dict.fromkeys(notice.quarantined, QUARANTINE_MS)
            self._owner.store_quarantine(QuarantineNotice(decided))

    def on_crash_notice(self, notice: CrashNotice) -> None:
        """Record the requests that may have crashed a target on another host."""
        self._apply_quarantines(
            self._controllers.crash_watch.on_crash_notice(self._clock.now_ms(), notice)
        )

    def on_quarantine_notice(self, notice: QuarantineNotice) -> None:
        """Record what another node has quarantined, or no longer has."""
        self._apply_quarantines(
            self._controllers.crash_watch.on_quarantine_notice(self._clock.now_ms(), notice)
        )

    def _apply_quarantines(self, received: ReceivedQuarantines) -> None:
        """Log changes and pass them on, since not all nodes are linked with each other."""
        _log_quarantined(received.added)
        _log_lifted(received.lifted)
        if received.notice is not None:
            self._owner.report_quarantine(received.notice)
        if received.objections:
            self._owner.store_quarantine(QuarantineNotice(received.objections))

    # Timers.

    def tick(self, now_ms: Millis) -> None:
        """Start or refuse waiting calls that are due, and abort runs that exceed their deadline."""
        if self._controllers.crash_watch.take_check(now_ms) and not self._pool.open_connections:
            self._pool.check(self.on_target_unreachable)
        self._refuse_late(now_ms, self._controllers.admission_queue.drop_late(now_ms))
        self._start_waiting_calls()
        expired = [
            run for run in self._runs.values() if run.ticket.deadline_at + _RUN_GRACE_MS < now_ms
        ]
        for run in expired:
            if run.pending is not None:
                run.pending.abort()
            run.on_failure(TARGET_TIMEOUT, was_sent=run.ticket.has_started)

    def send_due_notices(self, now_ms: Millis) -> None:
        """Send the notices of changed shares that are due, without waiting for an answer."""
        for link_id, notice in self._controllers.take_due_notices(now_ms).items():
            self._owner.notify_shares(link_id, notice)

    def tick_maintenance(self, now_ms: Millis) -> None:
        """Close connections idle for too long, and clear the lost runs of a live target."""
        self._pool.close_expired()
        self._controllers.crash_watch.tick(now_ms)


def _log_quarantined(fingerprints: Iterable[int]) -> None:
    for fingerprint in fingerprints:
        log(REQUEST_QUARANTINED, fingerprint=f"{fingerprint:016x}")


def _log_lifted(fingerprints: Iterable[int]) -> None:
    for fingerprint in fingerprints:
        log(QUARANTINE_LIFTED, fingerprint=f"{fingerprint:016x}")
