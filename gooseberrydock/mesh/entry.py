"""The calling side of a node: from a request read to its final answer.

Chooses route, service and host, sends the call, and decides what to do with each ending: pass the
answer on, try another host, or answer in its own name. Exactly one answer is given to each
request. A request that may not be repeated is sent again only where it surely did not run.
Controller without I/O; ``EntryEffects`` carries out what it decides.
"""

import heapq
import itertools
from collections.abc import Iterator
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.errorcodes import (
    DEADLINE_UNKNOWN,
    MALFORMED_REQUEST,
    NO_CONFIGURATION,
    NO_ROUTE,
    NO_TARGET,
    NODE_LEAVING,
    NOT_DISPATCHED,
    PEER_LOST,
    PEER_UNREACHABLE,
    QUARANTINED,
    SHED_AT_ENTRY,
    TARGET_FAILED,
    TARGET_TIMEOUT,
    TARGET_UNREACHABLE,
    ErrorCode,
    error_code,
)
from gooseberrydock.http_messages import (
    CONNECTION_HEADERS,
    Headers,
    HttpRequest,
    HttpResponse,
)
from gooseberrydock.mesh.call_graph import CallGraph
from gooseberrydock.mesh.directory import Directory
from gooseberrydock.mesh.exchange import Caller, EntryEffects, Exchange
from gooseberrydock.mesh.host_selection import HostSelector
from gooseberrydock.mesh.model import EMPTY_ROUTE, EMPTY_TABLE, Intake, RouteTable
from gooseberrydock.mesh.nested_routes import NestedRoutes
from gooseberrydock.mesh.options import HeaderNames
from gooseberrydock.mesh.retry_budget import RetryBudget
from gooseberrydock.mesh.shares import AdmittedShares
from gooseberrydock.mesh.traffic_split import TrafficSplitter
from gooseberrydock.messages import Cancel, RoutedAnswer, RoutedCall, RunResult, TargetReport

_SERVER_ERROR: Final = 500
_MAX_DEADLINE_MS: Final[Millis] = 600_000.0
"""Longest deadline taken from a caller; longer ones are certainly mistaken."""
_LEAST_RETRY_MS: Final[Millis] = 30.0
"""Time that must be left for another attempt to be of use."""
_MOST_PATIENCE_SHARE: Final = 0.6
"""Part of the time left by which an answer must count as lost for another attempt to be of use."""
_MAX_REFUSALS: Final = 4
"""How many hosts may refuse a request unseen by their target before it is given up."""

_RESTART_MS: Final[Millis] = 1_500.0
"""How long a node is away for a restart: 0.8 s to its next start, as much until its target has
announced itself (incident inc-ddb6)."""
_PARK_SHARE: Final = 0.25
"""Part of the target latency that a request waits for a host to be reached: a node starts within
it, and the request is still in time, or its caller may come back."""
_MOST_PARKED: Final = 256
"""How many requests wait so at once; they are lost with this node."""
_OUT_OF_REACH: Final = frozenset((NO_TARGET, PEER_UNREACHABLE, TARGET_UNREACHABLE))
"""Reasons for which no host had a request that may pass in a moment."""
_TURNED_AWAY: Final = frozenset(
    code.number for code in (NO_TARGET, NODE_LEAVING, TARGET_UNREACHABLE)
)
"""Refusals that say that a node has no target for its calls now."""


@attrs.define(eq=False)
class Entry:
    """Serve the requests that begin on this host."""

    _effects: EntryEffects
    _directory: Directory
    _host_selector: HostSelector
    _budget: RetryBudget
    _shares: AdmittedShares
    _nested: NestedRoutes
    _graph: CallGraph
    _names: HeaderNames
    _own_service: str
    _table: RouteTable = EMPTY_TABLE
    _splits: TrafficSplitter = attrs.field(factory=TrafficSplitter)
    _exchanges: dict[int, Exchange] = attrs.field(factory=dict)
    _calls: dict[int, Exchange] = attrs.field(factory=dict)
    _deadlines: list[tuple[Millis, int]] = attrs.field(factory=list)
    _intake: Intake = Intake.ALL
    _parked: list[Exchange] = attrs.field(factory=list)
    _patience: list[tuple[Millis, int]] = attrs.field(factory=list)
    _inner_routes: set[str] = attrs.field(factory=set)
    _ids: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    _stripped: frozenset[bytes] = attrs.field(init=False)

    @_stripped.default
    def _stripped_headers(self) -> frozenset[bytes]:
        names = self._names
        own = (names.deadline_ms, names.expected_instance, names.caller_service)
        return CONNECTION_HEADERS | frozenset(own)

    @property
    def intake(self) -> Intake:
        """Return what is taken now."""
        return self._intake

    @property
    def in_flight(self) -> int:
        """Return the requests that are not answered yet."""
        return len(self._exchanges)

    @property
    def host_selector(self) -> HostSelector:
        """Return the controller that chooses hosts."""
        return self._host_selector

    def set_table(self, table: RouteTable) -> None:
        """Put a route table in force for requests from now on."""
        self._table = table

    def set_own_service(self, service: str) -> None:
        """Take over the service of the target on this host."""
        self._own_service = service

    def set_intake(self, intake: Intake) -> None:
        """Set what is taken from now on; what was taken goes on."""
        self._intake = intake

    def on_request(self, now_ms: Millis, caller: Caller, request: HttpRequest) -> Exchange | None:
        """Take in a request; return its exchange unless it was answered at once."""
        exchange = self._open(now_ms, caller, request)
        code = self._refusal(now_ms, exchange)
        if code is not None:
            self._refuse(now_ms, exchange, code)
            return None
        if exchange.is_nested:
            self._graph.on_call(now_ms, exchange.route.name)
        exchange.headers = self._forwarded_headers(request.headers)
        self._exchanges[exchange.exchange_id] = exchange
        heapq.heappush(self._deadlines, (exchange.deadline_at, exchange.exchange_id))
        self._budget.on_request(exchange.service, self._makes_calls(exchange))
        self._send(now_ms, exchange)
        return None if exchange.is_done else exchange

    def _refusal(self, now_ms: Millis, exchange: Exchange) -> ErrorCode | None:
        """Find route, service and time limit of a request; return why it is not sent, if so."""
        host, exchange.request_id, limit_text = self._read_headers(exchange.request.headers)
        if self._table.version == 0:
            return NO_CONFIGURATION
        route = self._table.find(host, exchange.request.path)
        if route is None:
            return NO_ROUTE
        limit_ms = _parse_limit(limit_text, route.timeout_ms)
        if limit_ms is None:
            return MALFORMED_REQUEST
        exchange.route = route
        exchange.deadline_at = now_ms + min(limit_ms, route.timeout_ms)
        exchange.is_nested = self._nested.is_nested(route.name)
        if not self._intake.takes(exchange.is_nested):
            return NODE_LEAVING
        exchange.service = self._splits.choose(route)
        if exchange.is_nested or self._shares.admits(now_ms, route.name, route.priority):
            return None
        exchange.inputs = self._shares.explain(now_ms, route.name)
        return SHED_AT_ENTRY

    def on_answer(self, now_ms: Millis, answer: RoutedAnswer) -> None:
        """Take in the answer of a target's node."""
        exchange = self._calls.pop(answer.call_id, None)
        if exchange is None:
            return
        node_id, route = exchange.node_id, exchange.route
        has_failed = answer.result is RunResult.UNKNOWN or (
            answer.result is RunResult.ANSWERED and answer.status >= _SERVER_ERROR
        )
        if answer.code in _TURNED_AWAY:
            self._host_selector.on_unavailable(now_ms, node_id)
        else:
            self._host_selector.on_answer(node_id, route.name, answer.report, has_failed)
        self._learn_report(now_ms, exchange, answer.report)
        exchange.call_id = 0
        if answer.was_sent_to_target:
            is_success = answer.result is RunResult.ANSWERED and not has_failed
            self._shares.on_result(route.name, is_success)
            exchange.offers += 1
        if answer.result is RunResult.ANSWERED:
            self._on_target_answer(now_ms, exchange, answer)
        elif answer.result is RunResult.NOT_RUN:
            self._on_not_run(now_ms, exchange, answer)
        else:
            exchange.may_have_run = True
            self._on_unknown(now_ms, exchange, error_code(answer.code))

    def on_calls_lost(
        self, now_ms: Millis, node_id: str, unsent: list[int], sent: list[int]
    ) -> None:
        """Take in that the link to a node closed; unsent calls surely did not run."""
        if unsent or sent:
            self._host_selector.on_link_lost(now_ms, node_id)
        for call_id in unsent:
            exchange = self._drop_call(call_id)
            if exchange is not None:
                exchange.refusals += 1
                self._try_again(now_ms, exchange, PEER_UNREACHABLE)
        for call_id in sent:
            exchange = self._drop_call(call_id)
            if exchange is not None:
                exchange.may_have_run = True
                exchange.offers += 1
                self._on_unknown(now_ms, exchange, PEER_LOST)

    def on_caller_disconnected(self, exchange: Exchange) -> None:
        """Withdraw a request whose caller left."""
        if not exchange.is_done:
            self._withdraw(exchange)
            self._close(exchange)

    def tick(self, now_ms: Millis) -> None:
        """Answer the requests whose deadline passed, and take up those that wait for a host."""
        self._take_up_parked(now_ms)
        self._repeat_overdue(now_ms)
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            exchange = self._exchanges.get(heapq.heappop(self._deadlines)[1])
            if exchange is None:
                continue
            if exchange.call_id:
                # The call is under way: only its target's node knows whether it began.
                exchange.may_have_run = True
                self._withdraw(exchange)
            code = DEADLINE_UNKNOWN if exchange.may_have_run else NOT_DISPATCHED
            self._refuse(now_ms, exchange, code)

    def _open(self, now_ms: Millis, caller: Caller, request: HttpRequest) -> Exchange:
        return Exchange(
            exchange_id=next(self._ids),
            caller=caller,
            request=request,
            request_id="",
            route=EMPTY_ROUTE,
            service="",
            received_at=now_ms,
            deadline_at=now_ms,
            is_nested=False,
            headers=[],
        )

    def _read_headers(self, headers: Headers) -> tuple[str, str, str]:
        """Return host, request id and deadline as the caller wrote them."""
        host = request_id = deadline = b""
        names = self._names
        for name, value in headers:
            if name == b"host":
                host = value
            elif name == names.request_id:
                request_id = value
            elif name == names.deadline_ms:
                deadline = value
        host_name = host.decode("latin-1").lower()
        if ":" in host_name and not host_name.endswith("]"):
            host_name = host_name.rpartition(":")[0]
        return host_name, request_id.decode("latin-1"), deadline.decode("latin-1").strip()

    def _forwarded_headers(self, headers: Headers) -> Headers:
        """Return the headers that travel on to the target."""
        stripped = self._stripped
        for name, value in headers:
            if name == b"connection" and value.lower() not in (b"close", b"keep-alive"):
                listed = {token.strip().lower() for token in value.split(b",")}
                stripped = stripped | listed
        return [header for header in headers if header[0] not in stripped]

    def _send(self, now_ms: Millis, exchange: Exchange) -> None:
        """Send the call to the best host left, or give the request up."""
        hosts = self._directory.hosts_of(exchange.service)
        host = self._host_selector.choose(now_ms, exchange.route, hosts, exchange.tried)
        if host is None:
            self._give_up(now_ms, exchange)
            return
        if exchange.tried:
            self._effects.on_retry(exchange, exchange.last_code)
        call_id = next(self._ids)
        exchange.call_id = call_id
        exchange.node_id = host.node_id
        exchange.tried.add(host.node_id)
        self._calls[call_id] = exchange
        self._host_selector.on_sent(host.node_id)
        self._limit_patience(now_ms, exchange)
        request, route = exchange.request, exchange.route
        self._effects.send_call(
            host.node_id,
            RoutedCall(
                call_id=call_id,
                route=route.name,
                service=exchange.service,
                caller_service=self._own_service,
                method=request.method,
                target=request.path,
                headers=exchange.headers,
                body=request.body,
                remaining_ms=max(0.0, exchange.deadline_at - now_ms),
                priority=route.priority,
            ),
        )

    def _on_target_answer(self, now_ms: Millis, exchange: Exchange, answer: RoutedAnswer) -> None:
        """Pass an answer on, unless a failure may still be made good elsewhere."""
        # Where runs make calls, a failure is mostly that of a call: a repeat would repeat all.
        is_own_failure = answer.status >= _SERVER_ERROR and not self._makes_calls(exchange)
        if is_own_failure and self._may_repeat(now_ms, exchange):
            exchange.last_code = TARGET_FAILED
            exchange.may_have_run = True
            self._send(now_ms, exchange)
            return
        response = HttpResponse(answer.status, answer.headers, answer.body)
        self._close(exchange)
        self._effects.answer(exchange.caller, exchange, response)

    def _limit_patience(self, now_ms: Millis, exchange: Exchange) -> None:
        """Note when the answer to a call counts as lost, if it could then be had elsewhere."""
        if not exchange.route.is_idempotent:
            return
        response_timeout_ms = self._host_selector.response_timeout_ms(
            exchange.node_id, exchange.route.name
        )
        left_ms = exchange.deadline_at - now_ms
        if response_timeout_ms is not None and response_timeout_ms < left_ms * _MOST_PATIENCE_SHARE:
            heapq.heappush(self._patience, (now_ms + response_timeout_ms, exchange.call_id))

    def _repeat_overdue(self, now_ms: Millis) -> None:
        """Send calls whose answers seem lost to other hosts, unless they may just be waiting."""
        while self._patience and self._patience[0][0] <= now_ms:
            exchange = self._calls.get(heapq.heappop(self._patience)[1])
            if exchange is None or self._may_be_waiting(now_ms, exchange):
                continue
            if self._may_repeat(now_ms, exchange):
                exchange.offers += 1
                exchange.may_have_run = True
                exchange.last_code = TARGET_TIMEOUT
                self._withdraw(exchange)
                self._host_selector.on_response_timeout(exchange.node_id)
                self._send(now_ms, exchange)

    def _may_be_waiting(self, now_ms: Millis, exchange: Exchange) -> bool:
        """Say whether the call of a request may just be waiting for room at its target."""
        is_short = self._shares.share_of(now_ms, exchange.route.name) < 1.0
        return is_short or not self._host_selector.has_capacity(exchange.node_id)

    def _on_not_run(self, now_ms: Millis, exchange: Exchange, answer: RoutedAnswer) -> None:
        code = error_code(answer.code)
        if code is QUARANTINED:
            self._refuse(now_ms, exchange, code)
        elif not answer.was_sent_to_target:
            exchange.refusals += 1
            self._try_again(now_ms, exchange, code)
        elif self._has_attempt(now_ms, exchange) and self._spend(exchange):
            exchange.last_code = code
            self._send(now_ms, exchange)
        else:
            self._refuse(now_ms, exchange, code)

    def _on_unknown(self, now_ms: Millis, exchange: Exchange, code: ErrorCode) -> None:
        exchange.last_code = code
        if self._may_repeat(now_ms, exchange):
            self._send(now_ms, exchange)
        else:
            self._refuse(now_ms, exchange, code)

    def _try_again(self, now_ms: Millis, exchange: Exchange, code: ErrorCode) -> None:
        """Send a request that no target has seen to another host."""
        exchange.last_code = code
        if exchange.refusals <= _MAX_REFUSALS and self._has_time(now_ms, exchange):
            self._send(now_ms, exchange)
        else:
            self._give_up(now_ms, exchange)

    def _may_repeat(self, now_ms: Millis, exchange: Exchange) -> bool:
        """Say whether a request that may have run is sent once more, and pay for it."""
        if not exchange.route.is_idempotent or not self._has_attempt(now_ms, exchange):
            return False
        hosts = self._directory.hosts_of(exchange.service)
        if all(host.node_id in exchange.tried for host in hosts):
            return False
        return self._spend(exchange)

    def _spend(self, exchange: Exchange) -> bool:
        """Pay for a repeat, if the budget of its service allows one."""
        return self._budget.try_spend(exchange.service, self._makes_calls(exchange))

    def _makes_calls(self, exchange: Exchange) -> bool:
        return exchange.route.name in self._inner_routes

    def _learn_report(self, now_ms: Millis, exchange: Exchange, report: TargetReport) -> None:
        """Learn from what a target's node reports with an answer."""
        route = exchange.route.name
        self._shares.on_report(now_ms, route, exchange.node_id, report.admitted_share, report.limit)
        self._nested.on_report(route, report.is_nested)
        if report.makes_calls:
            self._inner_routes.add(route)
        else:
            self._inner_routes.discard(route)

    def _has_attempt(self, now_ms: Millis, exchange: Exchange) -> bool:
        """Say whether a request may be sent to one more target, beside the call under way."""
        offers = exchange.offers + bool(exchange.call_id)
        return offers < exchange.route.max_attempts and self._has_time(now_ms, exchange)

    def _has_time(self, now_ms: Millis, exchange: Exchange) -> bool:
        return exchange.deadline_at - now_ms >= _LEAST_RETRY_MS

    def _give_up(self, now_ms: Millis, exchange: Exchange) -> None:
        """Refuse a request that no host is left for, unless one may be reached in a moment."""
        if self._may_park(now_ms, exchange):
            self._parked.append(exchange)
        else:
            self._refuse(now_ms, exchange, exchange.last_code)

    def _may_park(self, now_ms: Millis, exchange: Exchange) -> bool:
        return (
            exchange.last_code in _OUT_OF_REACH
            and not exchange.offers
            and not exchange.may_have_run
            and self._intake is Intake.ALL
            and len(self._parked) < _MOST_PARKED
            and now_ms < _parked_until(exchange)
        )

    def _take_up_parked(self, now_ms: Millis) -> None:
        """Send the waiting requests that have a host now; the others go on waiting, or end."""
        parked, self._parked = self._parked, []
        for exchange in parked:
            if exchange.is_done:
                continue
            hosts = self._directory.hosts_of(exchange.service)
            if self._host_selector.has_usable(now_ms, hosts):
                exchange.tried.clear()
                exchange.refusals = 0
                self._send(now_ms, exchange)
            else:
                self._give_up(now_ms, exchange)

    def _refuse(self, now_ms: Millis, exchange: Exchange, code: ErrorCode) -> None:
        """Answer in the node's own name; promise "not run" only where that is certain."""
        self._close(exchange)
        if exchange.may_have_run and code.outcome is code.outcome.NOT_RUN:
            code = PEER_LOST
        retry_after_ms = self._retry_after(now_ms, exchange, code)
        self._effects.refuse(exchange.caller, exchange, code, retry_after_ms)

    def _retry_after(self, now_ms: Millis, exchange: Exchange, code: ErrorCode) -> Millis:
        """Return when a refused caller had best come back."""
        wait_ms = self._shares.retry_after(now_ms, exchange.route)
        if code is NODE_LEAVING and self._intake is not Intake.ALL:
            # This node is ending: a caller beside it finds the next start, not this one.
            return max(wait_ms, _RESTART_MS)
        return wait_ms

    def _withdraw(self, exchange: Exchange) -> None:
        if exchange.call_id:
            self._calls.pop(exchange.call_id, None)
            self._host_selector.on_call_abandoned(exchange.node_id)
            self._effects.send_cancel(exchange.node_id, Cancel(exchange.call_id))
            exchange.call_id = 0

    def _drop_call(self, call_id: int) -> Exchange | None:
        exchange = self._calls.pop(call_id, None)
        if exchange is None:
            return None
        self._host_selector.on_call_abandoned(exchange.node_id)
        exchange.call_id = 0
        return exchange

    def _close(self, exchange: Exchange) -> None:
        exchange.is_done = True
        self._exchanges.pop(exchange.exchange_id, None)


def _parked_until(exchange: Exchange) -> Millis:
    """Return until when a request waits for a host that can be reached."""
    route = exchange.route
    return exchange.received_at + _PARK_SHARE * min(route.target_latency_ms, route.timeout_ms)


def _parse_limit(text: str, default_ms: Millis) -> Millis | None:
    """Return the caller's time limit, the default where it names none, or None if malformed."""
    if not text:
        return default_ms
    try:
        limit_ms = float(text)
    except ValueError:
        return None
    return limit_ms if 0 <= limit_ms <= _MAX_DEADLINE_MS else default_ms
