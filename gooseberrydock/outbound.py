"""The outbound side of a node: requests from callers and from the local target.

A request passes the filter chain, is sent to the node of a chosen target, and is answered. An
attempt that provably did not run is rerouted to another target. An idempotent attempt with an
unknown outcome is retried if credit and the retry bucket allow it. A non-idempotent one is sent
again only if its link failed, and only to the owner of its key.
"""

import heapq
import itertools
from collections.abc import Iterator
from typing import Final

import attrs

from gooseberrydock import defaults
from gooseberrydock.attempt_failures import (
    CRASH_CODES,
    KEY_UNDECIDED_CODES,
    LINK_FAILURE_CODES,
    MIN_SERVER_ERROR_STATUS,
    REROUTABLE_CODES,
    RETRYABLE_CODES,
    SHED_CODES,
    AttemptFailure,
    failure_of,
    is_target_server_error,
    provable_outcome,
)
from gooseberrydock.clock import Millis
from gooseberrydock.credit import DispatchTerms, RetryBucket, create_retry_bucket
from gooseberrydock.effects import Effects
from gooseberrydock.errorcodes import (
    CREDIT_EXHAUSTED,
    DEADLINE_EXPIRED,
    KEY_CONFLICT,
    NO_TARGET,
    OWNER_LOST,
    PEER_TIMEOUT,
    TARGET_UNREACHABLE,
    ErrorCode,
    error_code,
)
from gooseberrydock.errors import Step
from gooseberrydock.exchanges import Attempt, Exchange, Refusal, Source
from gooseberrydock.filters import FilterChain
from gooseberrydock.http_messages import (
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
    HttpResponse,
    end_to_end_headers,
    header_value,
    problem_response,
)
from gooseberrydock.key_routing import choose_target, find_replacement_key, update_owner_hint
from gooseberrydock.messages import Answer, Call, CallContext, Cancel
from gooseberrydock.outcomes import Outcome
from gooseberrydock.ranks import MAX_RANK
from gooseberrydock.routing import RoutingController
from gooseberrydock.shed_thresholds import ShedThresholds
from gooseberrydock.stats import NodeStats
from gooseberrydock.stop_plan import StopPlan

_MAX_REROUTES_AFTER_SHED: Final = 1


@attrs.define
class OutboundController:
    """Track exchanges, and decide after each attempt whether to answer, reroute or retry."""

    _effects: Effects
    _entry_chain: FilterChain
    _local_chain: FilterChain
    _routing: RoutingController
    _shed_thresholds: ShedThresholds
    _stats: NodeStats
    _stop_plan: StopPlan
    _exchanges: dict[int, Exchange] = attrs.field(factory=dict)
    _by_call: dict[int, Exchange] = attrs.field(factory=dict)
    _by_key: dict[tuple[str, str], Exchange] = attrs.field(factory=dict)
    _joined: dict[int, list[Exchange]] = attrs.field(factory=dict)
    _deadlines: list[tuple[Millis, int]] = attrs.field(factory=list)
    _buckets: dict[str, RetryBucket] = attrs.field(factory=dict)
    _call_ids: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))

    @property
    def in_flight(self) -> int:
        """Return the number of exchanges that are not answered yet."""
        return len(self._exchanges)

    def pending_attempts(self) -> list[Attempt]:
        """Return the attempts that are not answered yet."""
        return [item.attempt for item in self._exchanges.values() if item.attempt is not None]

    @property
    def retry_buckets(self) -> dict[str, RetryBucket]:
        """Return the retry buckets by service class."""
        return self._buckets

    def start(self, now_ms: Millis, exchange: Exchange) -> None:
        """Start the exchange of a new request."""
        self._exchanges[exchange.exchange_id] = exchange
        if exchange.source is Source.ENTRY and self._join(exchange):
            return
        chain = self._chain_of(exchange)
        refusal = chain.admit(now_ms, exchange)
        if refusal is not None:
            self._refuse_or_seal(now_ms, exchange, refusal)
            return
        self._register_key(exchange)
        heapq.heappush(self._deadlines, (exchange.deadline_at, exchange.exchange_id))
        terms = exchange.pool.first_dispatch(
            exchange.service, exchange.operation, exchange.subtree_size
        )
        if terms is None:
            self._refuse(exchange, Refusal(CREDIT_EXHAUSTED))
            return
        self._dispatch(now_ms, exchange, terms)

    def on_answer(self, now_ms: Millis, node_id: str, answer: Answer) -> None:
        """Handle an answer from a peer; count and drop it if no attempt waits for it."""
        exchange = self._by_call.get(answer.call_id)
        attempt = exchange.attempt if exchange is not None else None
        if exchange is None or attempt is None or attempt.node_id != node_id:
            self._stats.late_answers += 1
            return
        self._end_attempt(exchange, attempt)
        exchange.pool.refund(min(answer.credit, attempt.terms.credit))
        self._shed_thresholds.observe(now_ms, answer.shed_thresholds)
        self._update_routing(now_ms, attempt, answer)
        if answer.outcome is Outcome.NOT_RUN or answer.code == OWNER_LOST.number:
            self._handle_not_run(now_ms, exchange, attempt, failure_of(answer))
        elif answer.outcome is Outcome.UNKNOWN and answer.code in RETRYABLE_CODES:
            self._handle_unknown_outcome(now_ms, exchange, attempt.terms, failure_of(answer))
        else:
            self._answer_from_target(now_ms, exchange, answer)

    def on_calls_lost(self, now_ms: Millis, call_ids: list[int], code: ErrorCode) -> None:
        """Handle calls that were not sent, or whose link closed before the answer arrived."""
        for call_id in call_ids:
            self._fail_attempt(now_ms, call_id, code)

    def on_caller_disconnected(self, exchange_id: int) -> None:
        """Cancel the request of a caller that closed its connection.

        A non-idempotent request continues, so that a resend finds its answer. So does a request
        that other callers have joined.
        """
        exchange = self._exchanges.get(exchange_id)
        if exchange is None:
            return
        exchange.is_caller_gone = True
        leader = exchange
        if exchange.joined_id is not None:
            leader = self._exchanges[exchange.joined_id]
            self._joined[leader.exchange_id].remove(exchange)
            del self._exchanges[exchange_id]
        if not (leader.is_caller_gone and leader.is_idempotent and not self._is_joined(leader)):
            return
        self._stats.cancellations += 1
        self._abandon(leader)

    def on_run_cancelled(self, run_id: int) -> None:
        """Cancel the calls that a cancelled run of the local target made."""
        for exchange in list(self._exchanges.values()):
            if exchange.parent is not None and exchange.parent.run_id == run_id:
                self._abandon(exchange)

    def tick(self, now_ms: Millis) -> None:
        """Expire exchanges whose deadline has passed."""
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            exchange = self._exchanges.get(heapq.heappop(self._deadlines)[1])
            if exchange is not None:
                self._expire(now_ms, exchange)

    def _refuse_or_seal(self, now_ms: Millis, exchange: Exchange, refusal: Refusal) -> None:
        """Refuse a request; if its key may have been sent before, let the key's owner confirm.

        Only the owner can confirm that no earlier attempt ran.
        """
        is_certain = exchange.is_idempotent or exchange.is_first_attempt
        if is_certain or not exchange.idempotency_key or refusal.code is DEADLINE_EXPIRED:
            self._refuse(exchange, refusal)
            return
        exchange.seal_code = refusal.code.number
        heapq.heappush(self._deadlines, (exchange.deadline_at, exchange.exchange_id))
        self._dispatch(now_ms, exchange, DispatchTerms(0, charges_declared_calls=True))

    def _join(self, exchange: Exchange) -> bool:
        """Join a caller's resend to the exchange in flight with the same key, if there is one."""
        key = header_value(exchange.request.headers, IDEMPOTENCY_KEY_HEADER)
        leader = self._by_key.get((exchange.caller, key)) if key else None
        if leader is None:
            return False
        if not _is_same_request(exchange, leader):
            self._refuse(exchange, Refusal(KEY_CONFLICT))
            return True
        self._stats.joined_requests += 1
        exchange.class_name = leader.class_name
        exchange.joined_id = leader.exchange_id
        self._joined.setdefault(leader.exchange_id, []).append(exchange)
        return True

    def _register_key(self, exchange: Exchange) -> None:
        if exchange.source is Source.ENTRY:
            self._by_key[(exchange.caller, exchange.idempotency_key)] = exchange

    def _chain_of(self, exchange: Exchange) -> FilterChain:
        return self._entry_chain if exchange.source is Source.ENTRY else self._local_chain

    def _dispatch(self, now_ms: Millis, exchange: Exchange, terms: DispatchTerms) -> None:
        """Send an attempt to the node of a chosen target."""
        member = choose_target(now_ms, self._routing, exchange)
        if member is None:
            exchange.pool.refund(terms.credit)
            self._refuse(exchange, Refusal(NO_TARGET, exchange.service))
            return
        call_id = next(self._call_ids)
        exchange.attempt = Attempt(call_id, member.node_id, terms, now_ms)
        exchange.tried_nodes.add(member.node_id)
        self._by_call[call_id] = exchange
        self._routing.on_sent(member.node_id)
        self._stats.dispatches[exchange.service] += 1
        call = _create_call(now_ms, call_id, exchange, terms)
        self._effects.send_to_peer(member.node_id, call)

    def _end_attempt(self, exchange: Exchange, attempt: Attempt) -> None:
        del self._by_call[attempt.call_id]
        exchange.attempt = None

    def _update_routing(self, now_ms: Millis, attempt: Attempt, answer: Answer) -> None:
        """Report to routing what an answer shows about its target."""
        latency_ms = now_ms - attempt.sent_at
        if answer.code == TARGET_UNREACHABLE.number:
            self._routing.on_failure(now_ms, attempt.node_id, is_unreachable=True)
        elif answer.code in RETRYABLE_CODES or is_target_server_error(answer):
            self._routing.on_failure(now_ms, attempt.node_id, is_unreachable=False)
        else:
            did_run = answer.outcome is Outcome.DONE
            self._routing.on_answer(attempt.node_id, latency_ms, answer.load, did_run)

    def _handle_not_run(
        self, now_ms: Millis, exchange: Exchange, attempt: Attempt, failure: AttemptFailure
    ) -> None:
        """Reroute a call that did not run, or answer with the refusal."""
        code = failure.code.number
        if not exchange.is_idempotent:
            update_owner_hint(exchange, attempt.node_id, failure)
        may_reroute = self._may_reroute(now_ms, exchange, code)
        prefers_reroute = (
            exchange.is_idempotent or exchange.owner_hint or not exchange.may_replace_key
        )
        if may_reroute and prefers_reroute:
            exchange.reroutes += 1
            self._stats.reroutes += 1
        else:
            key = find_replacement_key(now_ms, self._routing, exchange, code)
            if not key:
                self._answer_failure(exchange, failure)
                return
            self._replace_key(exchange, key)
        self._dispatch(now_ms, exchange, exchange.pool.reroute_dispatch(attempt.terms))

    def _answer_failure(self, exchange: Exchange, failure: AttemptFailure) -> None:
        is_decided_by_owner = failure.code.number not in KEY_UNDECIDED_CODES
        self._answer_problem(
            exchange,
            failure.code,
            failure.step,
            failure.peer,
            is_decided_by_owner=is_decided_by_owner,
        )

    def _may_reroute(self, now_ms: Millis, exchange: Exchange, code: int) -> bool:
        if code not in REROUTABLE_CODES or now_ms >= exchange.deadline_at:
            return False
        if not exchange.is_idempotent and code not in KEY_UNDECIDED_CODES:
            return False
        limit = _MAX_REROUTES_AFTER_SHED if code in SHED_CODES else defaults.MAX_REROUTES
        if exchange.owner_hint:
            return exchange.reroutes < limit
        untried_members = [
            member
            for member in self._routing.members_of(exchange.service)
            if member.node_id not in exchange.tried_nodes
        ]
        return exchange.reroutes < limit and bool(untried_members)

    def _handle_unknown_outcome(
        self,
        now_ms: Millis,
        exchange: Exchange,
        previous_terms: DispatchTerms,
        failure: AttemptFailure,
    ) -> None:
        """Retry a call whose outcome is unknown if that is safe, or answer with the failure.

        If its link failed, a non-idempotent call is sent again to its key's owner, which joins it
        to the first copy or replays the answer.
        """
        exchange.has_unknown_attempt = True
        if self._may_retry_at_owner(now_ms, exchange, failure.code.number):
            exchange.reroutes += 1
            self._dispatch(now_ms, exchange, exchange.pool.reroute_dispatch(previous_terms))
            return
        exchange.is_suspect = exchange.is_suspect or failure.code.number in CRASH_CODES
        terms = self._retry_terms(now_ms, exchange)
        if terms is None:
            self._answer_problem(exchange, failure.code, failure.step, failure.peer)
            return
        self._stats.retries += 1
        self._dispatch(now_ms, exchange, terms)

    def _replace_key(self, exchange: Exchange, key: str) -> None:
        """Replace the key of an exchange, and record the new key for retries by the parent run."""
        if exchange.parent is not None:
            exchange.parent.replaced_keys[exchange.idempotency_key] = key
        old_key = (exchange.caller, exchange.idempotency_key)
        if self._by_key.get(old_key) is exchange:
            del self._by_key[old_key]
        exchange.idempotency_key = key
        exchange.tried_nodes = set(exchange.unreachable_nodes)
        exchange.key_replacement_count += 1
        exchange.reroutes = 0

    def _may_retry_at_owner(self, now_ms: Millis, exchange: Exchange, code: int) -> bool:
        """Return whether to send a call to its key's owner again; if so, clear the tried nodes."""
        if (
            exchange.is_idempotent
            or code not in LINK_FAILURE_CODES
            or now_ms >= exchange.deadline_at
        ):
            return False
        exchange.tried_nodes.clear()
        return exchange.reroutes < defaults.MAX_REROUTES

    def _retry_terms(self, now_ms: Millis, exchange: Exchange) -> DispatchTerms | None:
        """Take a retry token and return the retry's terms, or None if no retry is allowed."""
        if not exchange.is_idempotent or now_ms >= exchange.deadline_at:
            return None
        if self._shed_thresholds.threshold(now_ms, exchange.service) < MAX_RANK:
            return None
        subtree = exchange.subtree_size
        if exchange.pool.available < max(1, subtree) or not self._retry_bucket(exchange).take():
            return None
        return exchange.pool.retry_dispatch(subtree)

    def _retry_bucket(self, exchange: Exchange) -> RetryBucket:
        bucket = self._buckets.get(exchange.class_name)
        if bucket is None:
            bucket = create_retry_bucket(
                defaults.RETRY_TOKENS_PER_SUCCESS, defaults.RETRY_TOKENS_MAX
            )
            self._buckets[exchange.class_name] = bucket
        return bucket

    def _fail_attempt(self, now_ms: Millis, call_id: int, code: ErrorCode) -> None:
        """Handle the failure of an attempt that its peer will not answer."""
        exchange = self._by_call.get(call_id)
        attempt = exchange.attempt if exchange is not None else None
        if exchange is None or attempt is None:
            return
        self._end_attempt(exchange, attempt)
        is_unreachable = code.outcome is Outcome.NOT_RUN
        self._routing.on_failure(now_ms, attempt.node_id, is_unreachable)
        failure = AttemptFailure(code, Step.PEER_LINK.value, attempt.node_id)
        if is_unreachable:
            exchange.pool.refund(attempt.terms.credit)
            self._handle_not_run(now_ms, exchange, attempt, failure)
        else:
            self._handle_unknown_outcome(now_ms, exchange, attempt.terms, failure)

    def _expire(self, now_ms: Millis, exchange: Exchange) -> None:
        """Answer an exchange whose deadline has passed, and cancel its attempt."""
        attempt = exchange.attempt
        peer = attempt.node_id if attempt is not None else ""
        if attempt is not None:
            self._cancel_attempt(exchange, attempt)
            self._routing.on_failure(now_ms, attempt.node_id, is_unreachable=False)
        self._answer_problem(exchange, PEER_TIMEOUT, Step.OUTBOUND.value, peer)

    def _cancel_attempt(self, exchange: Exchange, attempt: Attempt) -> None:
        self._end_attempt(exchange, attempt)
        self._effects.send_to_peer(attempt.node_id, Cancel(attempt.call_id))

    def _abandon(self, exchange: Exchange) -> None:
        """Drop an exchange that no caller waits for, and cancel its attempt."""
        attempt = exchange.attempt
        if attempt is not None:
            self._cancel_attempt(exchange, attempt)
            self._routing.on_cancelled(attempt.node_id)
        self._remove_exchange(exchange)

    def _is_joined(self, exchange: Exchange) -> bool:
        return bool(self._joined.get(exchange.exchange_id))

    def _refuse(self, exchange: Exchange, refusal: Refusal) -> None:
        step = Step.ENTRY if exchange.source is Source.ENTRY else Step.OUTBOUND
        self._answer_problem(exchange, refusal.code, step.value, "", refusal.detail)

    def _answer_problem(
        self,
        exchange: Exchange,
        code: ErrorCode,
        step: str,
        peer: str,
        detail: str = "",
        is_decided_by_owner: bool = False,
    ) -> None:
        """Answer with a problem response; ``is_decided_by_owner`` is as in ``provable_outcome``."""
        outcome = provable_outcome(exchange, code, is_decided_by_owner)
        response = problem_response(code, outcome, step, peer, detail)
        self._finish(exchange, response, outcome, code.number)

    def _answer_from_target(self, now_ms: Millis, exchange: Exchange, answer: Answer) -> None:
        """Answer with the target's response, or with the problem that its node reports."""
        duration_ms = now_ms - exchange.received_at
        self._stop_plan.requests.on_end(now_ms, exchange.class_name, duration_ms)
        if answer.code:
            code = error_code(answer.code)
            self._answer_problem(exchange, code, answer.step, answer.peer, is_decided_by_owner=True)
            return
        if answer.outcome is Outcome.DONE and answer.status < MIN_SERVER_ERROR_STATUS:
            self._retry_bucket(exchange).on_success()
        headers = end_to_end_headers(answer.headers)
        headers = [pair for pair in headers if pair[0] != OUTCOME_HEADER]
        headers.append((OUTCOME_HEADER, answer.outcome.label.encode()))
        response = HttpResponse(answer.status, headers, answer.body)
        self._finish(exchange, response, answer.outcome, 0)

    def _finish(
        self, exchange: Exchange, response: HttpResponse, outcome: Outcome, code: int
    ) -> None:
        """Answer an exchange and all exchanges that joined it."""
        joined = self._joined.get(exchange.exchange_id, [])
        self._remove_exchange(exchange)
        for finished in [exchange, *joined]:
            self._exchanges.pop(finished.exchange_id, None)
            if finished.source is Source.ENTRY and not finished.is_caller_gone:
                self._stats.answered[(finished.class_name, outcome.label, code)] += 1
            self._effects.answer_caller(finished.exchange_id, response)

    def _remove_exchange(self, exchange: Exchange) -> None:
        self._exchanges.pop(exchange.exchange_id, None)
        self._joined.pop(exchange.exchange_id, None)
        self._chain_of(exchange).release(exchange)
        key = (exchange.caller, exchange.idempotency_key)
        if self._by_key.get(key) is exchange:
            del self._by_key[key]


def _is_same_request(first: Exchange, second: Exchange) -> bool:
    return (
        first.service == second.service
        and first.request.method == second.request.method
        and first.target_path == second.target_path
        and first.request.body == second.request.body
    )


def _create_call(now_ms: Millis, call_id: int, exchange: Exchange, terms: DispatchTerms) -> Call:
    remaining_ms = max(0.0, exchange.deadline_at - now_ms - defaults.DEADLINE_MARGIN_MS)
    context = CallContext(
        request_id=exchange.request_id,
        class_name=exchange.class_name,
        rank=exchange.rank,
        remaining_ms=remaining_ms,
        credit=terms.credit,
        charges_declared_calls=terms.charges_declared_calls,
        idempotency_key=exchange.idempotency_key,
        is_idempotent=exchange.is_idempotent,
        caller=exchange.caller,
        path_index=exchange.path_index,
        depth=exchange.depth,
        is_suspect=exchange.is_suspect,
        seal_code=exchange.seal_code,
    )
    request = exchange.request
    return Call(
        call_id=call_id,
        service=exchange.service,
        operation=exchange.operation,
        method=request.method,
        path=exchange.target_path,
        headers=end_to_end_headers(request.headers),
        body=request.body,
        context=context,
    )
