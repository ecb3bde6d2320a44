"""The inbound side of a node, which protects the local target.

Calls from peers pass admission control, run on the target, and are answered together with the
target's load and the known shed thresholds. A queued call can be cancelled, and its outcome is
then provably "not run". ``deduplication`` decides about non-idempotent calls before admission.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from typing import Final

import attrs

from gooseberrydock import defaults
from gooseberrydock.admission import (
    AdmissionController,
    Decision,
    Queued,
    RunEnd,
    Shed,
    Started,
    create_admission,
)
from gooseberrydock.attempt_failures import CRASH_CODES
from gooseberrydock.clock import Millis
from gooseberrydock.configuration import ConfigurationController
from gooseberrydock.credit import create_call_pool
from gooseberrydock.deduplication import DeduplicationController, Proceed, Refuse, Replay, Wait
from gooseberrydock.effects import Effects
from gooseberrydock.errorcodes import (
    CANCELLED,
    DEADLINE_EXPIRED,
    KEY_NOT_OWNED,
    NO_TARGET,
    NODE_LEAVING,
    QUARANTINED,
    TARGET_SHED,
    TARGET_TIMEOUT,
    ErrorCode,
    error_code,
)
from gooseberrydock.errors import Step
from gooseberrydock.exchanges import Run
from gooseberrydock.http_messages import (
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
    Headers,
    HttpRequest,
    HttpResponse,
    end_to_end_headers,
    header_value,
)
from gooseberrydock.messages import (
    Answer,
    Call,
    CrashNotice,
    LoadReport,
    QuarantineNotice,
    ShedThresholdReport,
)
from gooseberrydock.outcomes import Outcome
from gooseberrydock.owner_register import NodeIdentity
from gooseberrydock.quarantine import QuarantineController
from gooseberrydock.run_records import Waiter
from gooseberrydock.shed_thresholds import ShedThresholds
from gooseberrydock.stats import NodeStats
from gooseberrydock.stop_plan import StopPlan

NO_LOAD: Final = LoadReport(0, 0, 1)
_TOKEN_BITS: Final = 64


@attrs.define
class InboundController:
    """Track the calls from peers to the local target."""

    _effects: Effects
    _on_run_cancelled: Callable[[int], None]
    _configuration: ConfigurationController
    _shed_thresholds: ShedThresholds
    _quarantine: QuarantineController
    _stats: NodeStats
    _random: random.Random
    _node_id: str
    _deduplication: DeduplicationController
    _is_live: Callable[[NodeIdentity], bool]
    _stop_plan: StopPlan
    _service: str = ""
    _admission: AdmissionController | None = None
    _is_leaving: bool = False
    _runs: dict[int, Run] = attrs.field(factory=dict)
    _by_call: dict[tuple[str, int], Run] = attrs.field(factory=dict)
    _by_token: dict[str, Run] = attrs.field(factory=dict)
    _waiting_suspects: list[Run] = attrs.field(factory=list)
    _deadlines: list[tuple[Millis, int]] = attrs.field(factory=list)
    _run_ids: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))

    @property
    def in_flight(self) -> int:
        """Return the number of calls that run or wait for any reason."""
        return len(self._by_call)

    @property
    def service(self) -> str:
        """Return the service of the local target, or an empty string."""
        return self._service

    @property
    def admission(self) -> AdmissionController | None:
        """Return the admission controller, if a target is announced."""
        return self._admission

    @property
    def deduplication(self) -> DeduplicationController:
        """Return the controller of the non-idempotent calls."""
        return self._deduplication

    @property
    def is_leaving(self) -> bool:
        """Return whether this node is leaving, so that it accepts no new idempotent calls."""
        return self._is_leaving

    def announce(self, service: str, slots: int) -> None:
        """Record the announcement of the local target."""
        self._service = service
        if self._admission is None:
            self._admission = create_admission(slots)
        else:
            self._admission.limit.announce(slots)

    def withdraw(self) -> None:
        """Record that the local target is no longer available."""
        self._service = ""

    def leave(self) -> None:
        """Refuse new idempotent calls from now on."""
        self._is_leaving = True

    def find_run(self, token: str) -> Run | None:
        """Return the run whose token a context header carries."""
        return self._by_token.get(token)

    def on_call(self, now_ms: Millis, link_id: str, call: Call) -> None:
        """Handle a call from a peer."""
        run = self._create_run(now_ms, link_id, call)
        if call.service != self._service:
            self._answer_refusal(now_ms, run, NO_TARGET)
        elif call.context.is_idempotent:
            self._admit(now_ms, run)
        else:
            self._apply_key_decision(now_ms, run)

    def _apply_key_decision(self, now_ms: Millis, run: Run) -> None:
        """Apply the deduplication decision about a non-idempotent call."""
        self._by_call[(run.link_id, run.call.call_id)] = run
        decision = self._deduplication.decide(run, self._is_live)
        if isinstance(decision, Wait):
            return
        if isinstance(decision, Proceed):
            self._admit(now_ms, run)
            return
        self._remove_run(run)
        if isinstance(decision, Replay):
            self._replay(run.link_id, run.call.call_id, run.pool.available, decision.answer)
        elif isinstance(decision, Refuse):
            self._answer_refusal(now_ms, run, decision.code, decision.owner)
        else:
            self._refuse_unstarted(now_ms, run, error_code(run.call.context.seal_code))

    def _admit(self, now_ms: Millis, run: Run) -> None:
        """Submit a call to the checks and to admission control."""
        code = self._check(now_ms, run)
        if code is not None or self._admission is None:
            self._refuse_unstarted(now_ms, run, code or NO_TARGET)
            return
        self._by_call[(run.link_id, run.call.call_id)] = run
        if not self._quarantine.is_empty:
            if not self._quarantine.may_run(now_ms, run.fingerprint):
                self._waiting_suspects.append(run)
                return
            self._quarantine.on_admitted(now_ms, run.fingerprint)
        self._runs[run.run_id] = run
        heapq.heappush(self._deadlines, (run.deadline_at, run.run_id))
        rank = run.call.context.rank
        decisions = self._admission.offer(now_ms, run.run_id, rank, run.deadline_at)
        self._apply_decisions(now_ms, decisions)

    def on_cancel(self, now_ms: Millis, link_id: str, call_id: int) -> None:
        """Handle a cancellation by a peer; acknowledge it if the call had not started."""
        run = self._by_call.get((link_id, call_id))
        if run is None:
            return
        if not run.call.context.is_idempotent:
            self._cancel_non_idempotent(now_ms, run)
        elif run.has_started:
            self._stop_run(now_ms, run, RunEnd.ABANDONED)
        else:
            self._cancel_unstarted(now_ms, run)

    def _cancel_non_idempotent(self, now_ms: Millis, run: Run) -> None:
        """Cancel a non-idempotent call unless it has started or other calls wait for its answer."""
        if self._deduplication.discard_undecided(run):
            self._remove_run(run)
            self._answer_refusal(now_ms, run, KEY_NOT_OWNED)
            return
        is_queued = run.run_id in self._runs and not run.has_started
        if is_queued and not self._deduplication.has_waiters(run):
            self._cancel_unstarted(now_ms, run)

    def _cancel_unstarted(self, now_ms: Millis, run: Run) -> None:
        if self._admission is not None:
            self._admission.cancel(run.run_id)
        self._refuse_unstarted(now_ms, run, CANCELLED)

    def on_link_lost(self, now_ms: Millis, link_id: str) -> None:
        """Cancel the calls that arrived on a lost link, where cancelling is safe."""
        for call_link_id, call_id in list(self._by_call):
            if call_link_id == link_id:
                self.on_cancel(now_ms, link_id, call_id)

    def on_target_answer(self, now_ms: Millis, run_id: int, response: HttpResponse) -> None:
        """Handle the target's answer to a run, or only count it if the run has already ended."""
        run = self._runs.get(run_id)
        if run is None:
            self._stats.late_answers += 1
            return
        did_shed = self._did_target_shed(run, response)
        if did_shed:
            self._refuse_unstarted(now_ms, run, TARGET_SHED)
        else:
            if self._quarantine.on_answered(run.fingerprint):
                self._effects.report_quarantine(QuarantineNotice({run.fingerprint: 0.0}))
            self._remove_run(run)
            self._answer_run(run, self._answer_of_response(now_ms, run, response))
        self._release(now_ms, run, RunEnd.OVERLOADED if did_shed else RunEnd.COMPLETED)

    def on_target_failed(self, now_ms: Millis, run_id: int, code: ErrorCode) -> None:
        """Record that a run received no complete answer from the target."""
        run = self._runs.get(run_id)
        if run is None:
            return
        if code.number in CRASH_CODES:
            self._report_suspect(now_ms, run)
        if code.outcome is Outcome.NOT_RUN:
            self._refuse_unstarted(now_ms, run, code)
        else:
            self._remove_run(run)
            self._answer_run(run, self._answer_of_code(now_ms, run, code))
        self._release(now_ms, run, RunEnd.ABANDONED)

    def on_crash_checked(self, now_ms: Millis, is_reachable: bool) -> list[int]:
        """Record whether the target still accepts connections; return quarantined fingerprints."""
        quarantined = self._quarantine.on_target_checked(now_ms, is_dead=not is_reachable)
        self._stats.crashes += 0 if is_reachable else 1
        if quarantined:
            self._effects.report_crash_suspects(CrashNotice((), tuple(quarantined)))
        return quarantined

    def _admit_waiting_suspects(self, now_ms: Millis) -> None:
        """Retry the waiting suspects; the first is admitted if no suspect is running."""
        waiting, self._waiting_suspects = self._waiting_suspects, []
        for run in waiting:
            if self._by_call.get((run.link_id, run.call.call_id)) is run:
                self._admit(now_ms, run)

    def reevaluate_undecided(self, now_ms: Millis) -> None:
        """Decide again about the undecided calls, and refuse those whose deadline has passed."""
        for run in self._deduplication.take_undecided():
            if now_ms >= run.deadline_at:
                self._remove_run(run)
                self._answer_refusal(now_ms, run, KEY_NOT_OWNED)
            else:
                self._apply_key_decision(now_ms, run)

    def tick(self, now_ms: Millis) -> None:
        """Expire runs whose deadline has passed, and let admission control adapt."""
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            run = self._runs.get(heapq.heappop(self._deadlines)[1])
            if run is not None:
                self._expire(now_ms, run)
        if self._admission is not None:
            self._apply_decisions(now_ms, self._admission.tick(now_ms))
        if self._waiting_suspects:
            self._admit_waiting_suspects(now_ms)
        self.reevaluate_undecided(now_ms)
        self._deduplication.purge()

    def _create_run(self, now_ms: Millis, link_id: str, call: Call) -> Run:
        context = call.context
        service_class = self._configuration.current.find_class(context.class_name)
        next_step = service_class.step_after(context.path_index) if service_class else None
        run_id = next(self._run_ids)
        return Run(
            run_id=run_id,
            link_id=link_id,
            call=call,
            deadline_at=now_ms + context.remaining_ms,
            pool=create_call_pool(context.credit, context.charges_declared_calls, next_step),
            service_class=service_class,
            token=f"{run_id:x}-{self._random.getrandbits(_TOKEN_BITS):x}",
            is_suspect=context.is_suspect,
        )

    def _check(self, now_ms: Millis, run: Run) -> ErrorCode | None:
        """Return the reason to refuse a call before admission, or None."""
        if self._is_leaving and run.call.context.is_idempotent:
            # Non-idempotent calls are still accepted: this node owns its keys until the next
            # epoch, and waits for that epoch, up to a timeout, before it stops.
            return NODE_LEAVING
        if now_ms >= run.deadline_at:
            return DEADLINE_EXPIRED
        if not self._stop_plan.takes_run(now_ms, run.call.context.class_name, run.deadline_at):
            return NODE_LEAVING
        if run.is_suspect:
            self._quarantine.mark_suspect(now_ms, run.fingerprint)
        may_be_quarantined = not self._quarantine.is_empty
        if may_be_quarantined and self._quarantine.is_quarantined(now_ms, run.fingerprint):
            return QUARANTINED
        return None

    def _apply_decisions(self, now_ms: Millis, decisions: list[Decision]) -> None:
        for decision in decisions:
            run = self._runs.get(decision.run_id)
            if run is None or isinstance(decision, Queued):
                continue
            if isinstance(decision, Started):
                self._start(now_ms, run)
            elif isinstance(decision, Shed):
                self._refuse_unstarted(now_ms, run, decision.code)

    def _start(self, now_ms: Millis, run: Run) -> None:
        run.started_at = now_ms
        self._by_token[run.token] = run
        self._stats.runs[run.call.operation] += 1
        self._effects.run_on_target(run.run_id, _request_for_target(now_ms, run))

    def _expire(self, now_ms: Millis, run: Run) -> None:
        if run.has_started:
            self._answer_run(run, self._answer_of_code(now_ms, run, TARGET_TIMEOUT))
            self._stop_run(now_ms, run, RunEnd.OVERLOADED)
            return
        if self._admission is not None:
            self._admission.cancel(run.run_id)
        self._refuse_unstarted(now_ms, run, DEADLINE_EXPIRED)

    def _stop_run(self, now_ms: Millis, run: Run, end: RunEnd) -> None:
        """Stop waiting for the target's answer, and cancel the calls that the run made."""
        self._effects.cancel_on_target(run.run_id)
        self._remove_run(run)
        self._on_run_cancelled(run.run_id)
        self._release(now_ms, run, end)

    def _release(self, now_ms: Millis, run: Run, end: RunEnd) -> None:
        if self._admission is None or not run.has_started:
            return
        service_ms = now_ms - run.started_at
        self._apply_decisions(now_ms, self._admission.release(now_ms, service_ms, end))

    def _remove_run(self, run: Run) -> None:
        was_admitted = self._runs.pop(run.run_id, None) is not None
        if was_admitted and not self._quarantine.is_empty:
            self._quarantine.on_ended(run.fingerprint)
        self._by_call.pop((run.link_id, run.call.call_id), None)
        self._by_token.pop(run.token, None)

    def _report_suspect(self, now_ms: Millis, run: Run) -> None:
        """Mark a request that lost its connection as suspect; notify nodes before it is retried."""
        if self._quarantine.on_connection_lost(now_ms, run.fingerprint, run.started_at):
            self._effects.report_crash_suspects(CrashNotice((run.fingerprint,), ()))

    def _did_target_shed(self, run: Run, response: HttpResponse) -> bool:
        """Return whether the target reports that it refused the run before doing any work.

        The report is ignored if the run made calls, since the target then did some work.
        """
        outcome = header_value(response.headers, OUTCOME_HEADER)
        return outcome == Outcome.NOT_RUN.label and run.calls_made == 0

    def _answer_of_response(self, now_ms: Millis, run: Run, response: HttpResponse) -> Answer:
        """Create the answer of a run; its outcome is unknown if it reports a nested failure."""
        label = header_value(response.headers, OUTCOME_HEADER)
        outcome = Outcome.DONE if label in ("", Outcome.DONE.label) else Outcome.UNKNOWN
        headers = end_to_end_headers(response.headers)
        return self._create_answer(now_ms, run, outcome, 0, response.status, headers, response.body)

    def _answer_of_code(self, now_ms: Millis, run: Run, code: ErrorCode) -> Answer:
        return self._create_answer(now_ms, run, code.outcome, code.number, code.status, [], b"")

    def _answer_run(self, run: Run, answer: Answer) -> None:
        """Answer a run that was started on the target, and all copies that wait for it."""
        self._effects.answer_peer(run.link_id, answer)
        if not run.call.context.is_idempotent:
            self._answer_waiters(self._deduplication.finish(run, answer), answer)

    def _refuse_unstarted(self, now_ms: Millis, run: Run, code: ErrorCode) -> None:
        """Refuse a call that provably did not run, and seal its key so that it never runs."""
        self._remove_run(run)
        answer = self._answer_of_code(now_ms, run, code)
        self._effects.answer_peer(run.link_id, answer)
        if not run.call.context.is_idempotent:
            self._answer_waiters(self._deduplication.seal(run), answer)

    def _answer_waiters(self, waiters: list[Waiter], answer: Answer) -> None:
        """Answer all copies that wait for a run."""
        for waiter in waiters:
            self._replay(waiter.link_id, waiter.call_id, waiter.credit, answer)

    def _replay(self, link_id: str, call_id: int, credit: int, answer: Answer) -> None:
        """Answer a copy of a call with the answer to the first copy."""
        copied_answer = attrs.evolve(answer, call_id=call_id, credit=credit)
        self._by_call.pop((link_id, call_id), None)
        self._effects.answer_peer(link_id, copied_answer)

    def _answer_refusal(self, now_ms: Millis, run: Run, code: ErrorCode, owner: str = "") -> None:
        """Refuse a call without deciding about its key; ``owner`` is the node that may decide."""
        answer = self._answer_of_code(now_ms, run, code)
        answer = attrs.evolve(answer, peer=owner) if owner else answer
        self._effects.answer_peer(run.link_id, answer)

    def _create_answer(
        self,
        now_ms: Millis,
        run: Run,
        outcome: Outcome,
        code: int,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> Answer:
        return Answer(
            call_id=run.call.call_id,
            outcome=outcome,
            code=code,
            status=status,
            headers=headers,
            body=body,
            credit=run.pool.available,
            load=self._admission.load if self._admission is not None else NO_LOAD,
            shed_thresholds=self._shed_threshold_reports(now_ms),
            step=Step.INBOUND.value if code else "",
            peer=self._node_id if code else "",
        )

    def _shed_threshold_reports(self, now_ms: Millis) -> tuple[ShedThresholdReport, ...]:
        """Return the shed threshold of the local service and those known of nested services."""
        if self._admission is None:
            return self._shed_thresholds.reports(now_ms)
        local_report = ShedThresholdReport(self._service, self._admission.shed_threshold)
        nested_reports = [
            report
            for report in self._shed_thresholds.reports(now_ms)
            if report.service != self._service
        ]
        return (local_report, *nested_reports)


def _request_for_target(now_ms: Millis, run: Run) -> HttpRequest:
    """Create the request to the target, with its context, deadline and idempotency key."""
    call = run.call
    remaining_ms = max(0, int(run.deadline_at - now_ms - defaults.DEADLINE_MARGIN_MS))
    replaced_headers = (CONTEXT_HEADER, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER)
    headers = [pair for pair in call.headers if pair[0] not in replaced_headers]
    headers.append((CONTEXT_HEADER, run.token.encode()))
    headers.append((DEADLINE_HEADER, str(remaining_ms).encode()))
    headers.append((IDEMPOTENCY_KEY_HEADER, call.context.idempotency_key.encode()))
    return HttpRequest(call.method, call.path, headers, call.body)
