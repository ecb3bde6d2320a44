"""One log line for each decision about a request, bounded so that load cannot fill the log.

Refusals, retries and failures are logged up to a rate for each event; of the answers passed on,
fewer. What is left out is counted and the count logged, so that a gap shows as one.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.errorcodes import ErrorCode
from gooseberrydock.events import (
    CALL_FAILED,
    CALL_REFUSED,
    LINES_SUPPRESSED,
    REQUEST_ANSWERED,
    REQUEST_REFUSED,
    REQUEST_RETRIED,
    LogEvent,
)
from gooseberrydock.logs import log
from gooseberrydock.mesh.admission_queue import Ticket
from gooseberrydock.mesh.exchange import Exchange
from gooseberrydock.mesh.latency import LatencyHistogram
from gooseberrydock.mesh.refusals import RecentRefusals, RefusalRecord
from gooseberrydock.messages import RoutedCall
from gooseberrydock.token_bucket import TokenBucket

_LINES_PER_SECOND: Final = 8.0
"""Lines a second of each event: enough to trace a failure, cheap against serving it."""
_ANSWERED_PER_SECOND: Final = 1.0
"""The same for answers passed on, which explain no failure."""
_BURST_SECONDS: Final = 3.0
"""How many seconds' lines may come at once after a quiet time."""


@attrs.define
class LineBudget:
    """Bound the lines of one event."""

    per_second: float
    bucket: TokenBucket
    suppressed: int = 0

    def take(self, now_ms: Millis) -> bool:
        """Say whether a line may be written, and count it if not."""
        if self.bucket.take(now_ms, self.per_second, self.per_second * _BURST_SECONDS):
            return True
        self.suppressed += 1
        return False


def _create_budgets() -> dict[int, LineBudget]:
    events = (CALL_FAILED, CALL_REFUSED, REQUEST_REFUSED, REQUEST_RETRIED)
    rates = {event.number: _LINES_PER_SECOND for event in events}
    rates[REQUEST_ANSWERED.number] = _ANSWERED_PER_SECOND
    return {number: LineBudget(rate, TokenBucket(rate)) for number, rate in rates.items()}


@attrs.define
class DecisionLog:
    """Write the lines and count decisions."""

    _budgets: dict[int, LineBudget] = attrs.field(factory=_create_budgets)
    _refused: dict[int, int] = attrs.field(factory=dict)
    _answered: int = 0
    _durations: dict[str, LatencyHistogram] = attrs.field(factory=dict)
    _recent_refusals: RecentRefusals = attrs.field(factory=RecentRefusals)

    @property
    def refused(self) -> dict[int, int]:
        """Return the answers given in the node's own name, by error code."""
        return self._refused

    @property
    def answered(self) -> int:
        """Return the answers of targets passed on."""
        return self._answered

    @property
    def durations(self) -> dict[str, LatencyHistogram]:
        """Return how long answers took from the request on, by route."""
        return self._durations

    @property
    def recent_refusals(self) -> RecentRefusals:
        """Return the latest answers in the node's own name."""
        return self._recent_refusals

    def on_answered(self, now_ms: Millis, exchange: Exchange, status: int) -> None:
        """Note a target's answer passed on."""
        self._answered += 1
        self._observe(now_ms, exchange)
        if self._take(now_ms, REQUEST_ANSWERED):
            log(
                REQUEST_ANSWERED,
                request=exchange.request_id,
                route=exchange.route.name,
                status=status,
                host=exchange.node_id,
                took_ms=round(now_ms - exchange.received_at, 1),
                offers=exchange.offers,
            )

    def on_retried(self, now_ms: Millis, exchange: Exchange, code: ErrorCode) -> None:
        """Note that a request is sent to another host."""
        if self._take(now_ms, REQUEST_RETRIED):
            log(
                REQUEST_RETRIED,
                request=exchange.request_id,
                route=exchange.route.name,
                service=exchange.service,
                code=code.number,
                cause=code.name,
                host=exchange.node_id,
                offers=exchange.offers,
                refusals=exchange.refusals,
                left_ms=round(exchange.deadline_at - now_ms, 1),
            )

    def on_refused(
        self,
        now_ms: Millis,
        exchange: Exchange,
        code: ErrorCode,
        retry_after_ms: Millis,
        table_version: int,
    ) -> None:
        """Note an answer in the node's own name."""
        self._refused[code.number] = self._refused.get(code.number, 0) + 1
        record = RefusalRecord(
            at_ms=now_ms,
            request_id=exchange.request_id,
            route=exchange.route.name,
            service=exchange.service,
            code=code,
            host=exchange.node_id,
            took_ms=now_ms - exchange.received_at,
            left_ms=exchange.deadline_at - now_ms,
            offers=exchange.offers,
            refusals=exchange.refusals,
            is_nested=exchange.is_nested,
            retry_after_ms=retry_after_ms,
            table_version=table_version,
            inputs=exchange.inputs,
        )
        self._recent_refusals.add(record)
        if self._take(now_ms, REQUEST_REFUSED):
            log(REQUEST_REFUSED, **refusal_fields(record))

    def on_call_refused_before_admission(
        self, now_ms: Millis, call: RoutedCall, request_id: str, code: ErrorCode
    ) -> None:
        """Note a call that the target may not have, whatever room it has."""
        if self._take(now_ms, CALL_REFUSED):
            log(
                CALL_REFUSED,
                request=request_id,
                route=call.route,
                code=code.number,
                cause=code.name,
                left_ms=round(call.remaining_ms, 1),
            )

    def on_call_refused(self, now_ms: Millis, ticket: Ticket, code: ErrorCode) -> None:
        """Note a call turned away or dropped at the target's node."""
        if self._take(now_ms, CALL_REFUSED):
            log(CALL_REFUSED, **self._ticket_fields(now_ms, ticket, code))

    def on_call_failed(self, now_ms: Millis, ticket: Ticket, code: ErrorCode, status: int) -> None:
        """Note a call whose target gave no usable answer."""
        if self._take(now_ms, CALL_FAILED):
            log(CALL_FAILED, status=status, **self._ticket_fields(now_ms, ticket, code))

    def _observe(self, now_ms: Millis, exchange: Exchange) -> None:
        histogram = self._durations.get(exchange.route.name)
        if histogram is None:
            histogram = self._durations[exchange.route.name] = LatencyHistogram()
        histogram.observe(now_ms - exchange.received_at)

    def _ticket_fields(self, now_ms: Millis, ticket: Ticket, code: ErrorCode) -> dict[str, object]:
        started_at = ticket.started_at if ticket.has_started else now_ms
        return {
            "request": ticket.request_id,
            "route": ticket.call.route,
            "code": code.number,
            "cause": code.name,
            "rank": ticket.rank,
            "nested": ticket.is_nested,
            "waited_ms": round(started_at - ticket.arrived_at, 1),
            "ran_ms": round(now_ms - started_at, 1),
            "left_ms": round(ticket.expires_at - now_ms, 1),
        }

    def _take(self, now_ms: Millis, event: LogEvent) -> bool:
        budget = self._budgets[event.number]
        if not budget.take(now_ms):
            return False
        if budget.suppressed:
            log(LINES_SUPPRESSED, of_event=event.number, lines=budget.suppressed)
            budget.suppressed = 0
        return True


def refusal_fields(record: RefusalRecord) -> dict[str, object]:
    """Return a refusal as it is logged and shown to operators."""
    return {
        "request": record.request_id,
        "route": record.route,
        "service": record.service,
        "code": record.code.number,
        "cause": record.code.name,
        "status": record.code.status,
        "host": record.host,
        "took_ms": round(record.took_ms, 1),
        "left_ms": round(record.left_ms, 1),
        "offers": record.offers,
        "refusals": record.refusals,
        "nested": record.is_nested,
        "retry_after_ms": round(record.retry_after_ms),
        "table": record.table_version,
        **record.inputs,
    }
