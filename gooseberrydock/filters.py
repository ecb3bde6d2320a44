"""The filter chain that a request passes before it is sent to a target's node.

Each filter may set fields of the exchange, or refuse it. The chain runs before the exchange is
dispatched to any node, so a refused exchange has provably not run itself. An earlier copy with the
same idempotency key may have run; ``OutboundController`` decides which outcome can be proved.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final, Protocol

import attrs

from gooseberrydock import defaults, keys
from gooseberrydock.clock import Millis
from gooseberrydock.configuration import (
    UNDECLARED_PATH_INDEX,
    CallStep,
    ConfigurationController,
    ServiceClass,
)
from gooseberrydock.credit import create_entry_pool
from gooseberrydock.entry_limits import CallerLimits, PathLimits
from gooseberrydock.errorcodes import (
    CALLER_LIMIT,
    DEADLINE_EXPIRED,
    INVALID_KEY,
    MALFORMED_REQUEST,
    NO_CONFIGURATION,
    NO_SERVICE_CLASS,
    NODE_LEAVING,
    PATH_LIMIT,
    QUARANTINED,
    SHED_AT_ENTRY,
    UNKNOWN_CONTEXT,
)
from gooseberrydock.exchanges import Exchange, Refusal, Run
from gooseberrydock.fingerprint import request_fingerprint
from gooseberrydock.http_messages import (
    ATTEMPT_HEADER,
    CLASS_HEADER,
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    header_value,
)
from gooseberrydock.quarantine import QuarantineController
from gooseberrydock.ranks import request_rank
from gooseberrydock.shed_thresholds import ShedThresholds
from gooseberrydock.stop_plan import StopPlan

_FIRST_ATTEMPT: Final = "1"


class RequestFilter(Protocol):
    """Interface to check one aspect of a request; ``release`` undoes what ``admit`` counted."""

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Return a refusal, or None to admit the exchange."""

    def release(self, exchange: Exchange) -> None:
        """Undo what ``admit`` counted for an exchange that has ended."""


@attrs.define
class FilterChain:
    """Run filters in order, and undo their counts when an exchange ends."""

    _filters: Sequence[RequestFilter]

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Run the filters on an exchange until one refuses it."""
        for request_filter in self._filters:
            refusal = request_filter.admit(now_ms, exchange)
            if refusal is not None:
                return refusal
            exchange.admitted_filter_count += 1
        return None

    def release(self, exchange: Exchange) -> None:
        """Undo the counts of the filters that admitted the exchange."""
        for request_filter in self._filters[: exchange.admitted_filter_count]:
            request_filter.release(exchange)
        exchange.admitted_filter_count = 0


@attrs.define
class _StatelessFilter:
    """Base class of filters that count nothing, with an empty ``release``."""

    def release(self, exchange: Exchange) -> None:
        """Do nothing."""


@attrs.define
class ClassFilter(_StatelessFilter):
    """Find the service class of a caller's request and set its rank, deadline and credit."""

    _configuration: ConfigurationController
    _new_request_id: Callable[[], str]

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Classify the request."""
        if self._configuration.generation == 0:
            return Refusal(NO_CONFIGURATION)
        service_class = self._find_class(exchange)
        if service_class is None:
            return Refusal(NO_SERVICE_CLASS, f"{exchange.service}/{exchange.operation}")
        exchange.service_class = service_class
        exchange.class_name = service_class.name
        exchange.request_id = self._new_request_id()
        exchange.rank = request_rank(service_class.priority, exchange.request_id)
        exchange.is_idempotent = service_class.is_idempotent
        exchange.path_index = 0
        exchange.pool = create_entry_pool(service_class.retry_allowance, service_class.entry)
        exchange.deadline_at = exchange.received_at + service_class.deadline_ms
        return self._apply_caller_deadline(exchange)

    def _find_class(self, exchange: Exchange) -> ServiceClass | None:
        """Return the class named by the caller if its path matches, or else the first match."""
        configuration = self._configuration.current
        class_name = header_value(exchange.request.headers, CLASS_HEADER)
        if not class_name:
            return configuration.class_for_entry(exchange.service, exchange.operation)
        requested_class = configuration.find_class(class_name)
        if requested_class is None:
            return None
        entry = (requested_class.entry.service, requested_class.entry.operation)
        return requested_class if entry == (exchange.service, exchange.operation) else None

    def _apply_caller_deadline(self, exchange: Exchange) -> Refusal | None:
        """Shorten the deadline if the caller requests an earlier one."""
        text = header_value(exchange.request.headers, DEADLINE_HEADER)
        if not text:
            return None
        if not text.isascii() or not text.isdigit():
            return Refusal(MALFORMED_REQUEST, "the deadline header is not a decimal integer")
        # int() rejects very long strings; 12 digits are about 31 years, longer than any deadline.
        digits = text.lstrip("0")[:12] or "0"
        requested_deadline_at = exchange.received_at + float(int(digits))
        exchange.deadline_at = min(exchange.deadline_at, requested_deadline_at)
        return None


@attrs.define
class KeyFilter(_StatelessFilter):
    """Validate the idempotency key of a caller's request, or create one."""

    _new_key: Callable[[], str]

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Set the idempotency key of the request."""
        key = header_value(exchange.request.headers, IDEMPOTENCY_KEY_HEADER)
        if key and not keys.is_valid_key(key):
            return Refusal(INVALID_KEY, "expected a version 7 UUID in lower case")
        exchange.idempotency_key = key or self._new_key()
        attempt = header_value(exchange.request.headers, ATTEMPT_HEADER)
        exchange.is_first_attempt = not key or attempt == _FIRST_ATTEMPT
        exchange.may_replace_key = not key
        return None


@attrs.define
class StopFilter(_StatelessFilter):
    """Refuse requests that a stopping node would cut off."""

    _stop_plan: StopPlan

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Refuse the request unless it surely ends before the process."""
        is_taken = self._stop_plan.takes_request(now_ms, exchange.class_name, exchange.deadline_at)
        return None if is_taken else Refusal(NODE_LEAVING)


@attrs.define
class CallerLimitFilter(_StatelessFilter):
    """Enforce the rate limit of each caller."""

    _limits: CallerLimits

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Take one token from the caller's bucket, or refuse the request."""
        service_class = exchange.service_class
        if service_class is None:
            return None
        rate = service_class.caller_per_minute
        if self._limits.take(now_ms, exchange.caller, service_class.name, rate):
            return None
        return Refusal(CALLER_LIMIT, exchange.caller)


@attrs.define
class PathLimitFilter:
    """Enforce the concurrency limit of each service class."""

    _limits: PathLimits

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Increment the count of requests in flight, or refuse the request."""
        service_class = exchange.service_class
        limit = service_class.max_concurrent if service_class is not None else 0
        if self._limits.enter(exchange.class_name, limit):
            return None
        return Refusal(PATH_LIMIT, exchange.class_name)

    def release(self, exchange: Exchange) -> None:
        """Decrement the count of requests in flight."""
        self._limits.leave(exchange.class_name)


@attrs.define
class QuarantineFilter(_StatelessFilter):
    """Refuse requests whose fingerprint is quarantined for crashing targets."""

    _quarantine: QuarantineController

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Refuse a quarantined request, and mark a suspect one."""
        if self._quarantine.is_empty:
            return None
        request = exchange.request
        fingerprint = request_fingerprint(
            exchange.service, request.method, exchange.target_path, request.body
        )
        if self._quarantine.is_quarantined(now_ms, fingerprint):
            return Refusal(QUARANTINED)
        if self._quarantine.is_suspect(now_ms, fingerprint):
            exchange.is_suspect = True
        return None


@attrs.define
class ShedThresholdFilter(_StatelessFilter):
    """Shed a request early if any service on the rest of its path would shed it.

    A small random share is admitted anyway, so that recovery is detected.
    """

    _shed_thresholds: ShedThresholds
    _random: random.Random

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Compare the rank with the shed thresholds along the declared path."""
        for service in self._remaining_services(exchange):
            if exchange.rank > self._shed_thresholds.threshold(now_ms, service):
                if self._random.random() < defaults.SHED_PROBE_SHARE:
                    return None
                return Refusal(SHED_AT_ENTRY, service)
        return None

    def _remaining_services(self, exchange: Exchange) -> list[str]:
        service_class = exchange.service_class
        if service_class is None or exchange.path_index == UNDECLARED_PATH_INDEX:
            return [exchange.service]
        return [step.service for step in service_class.path[exchange.path_index :]]


@attrs.define
class DeadlineFilter(_StatelessFilter):
    """Refuse requests whose deadline has passed."""

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Compare the deadline with the current time."""
        return Refusal(DEADLINE_EXPIRED) if now_ms >= exchange.deadline_at else None


@attrs.define
class ContextFilter(_StatelessFilter):
    """Associate a call that the local target makes with the run that makes it."""

    _configuration: ConfigurationController
    _find_run: Callable[[str], Run | None]

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Copy the context of the run to the call."""
        run = self._find_run(header_value(exchange.request.headers, CONTEXT_HEADER))
        if run is None:
            return Refusal(UNKNOWN_CONTEXT)
        # Refused calls count too: any call shows that the target has started to work on the run.
        run.calls_made += 1
        context = run.call.context
        if context.depth + 1 >= defaults.MAX_CALL_DEPTH:
            return Refusal(MALFORMED_REQUEST, "the call chain is too deep")
        exchange.parent = run
        exchange.pool = run.pool
        exchange.request_id = context.request_id
        exchange.class_name = context.class_name
        exchange.service_class = self._configuration.current.find_class(context.class_name)
        exchange.rank = context.rank
        exchange.deadline_at = run.deadline_at
        exchange.is_idempotent = context.is_idempotent
        exchange.caller = context.caller
        exchange.depth = context.depth + 1
        exchange.is_suspect = context.is_suspect
        exchange.path_index = self._find_path_index(exchange, context.path_index)
        exchange.idempotency_key = self._derive_key(exchange, run)
        return None

    def _find_path_index(self, exchange: Exchange, parent_index: int) -> int:
        """Return the call's index on the path if it is the declared next step."""
        if exchange.service_class is None:
            return UNDECLARED_PATH_INDEX
        step = exchange.service_class.step_after(parent_index)
        if step is None or not _is_call_of(step, exchange):
            return UNDECLARED_PATH_INDEX
        return parent_index + 1

    def _derive_key(self, exchange: Exchange, run: Run) -> str:
        """Derive the call's key from the parent's key and the call's ordinal.

        An idempotency key that the target sets on its call is used instead of the ordinal.
        Non-idempotent calls beyond the declared count are treated as retries and get the key of
        the last declared call.
        """
        operation = (exchange.service, exchange.operation)
        ordinal = run.call_ordinals.get(operation, 0)
        run.call_ordinals[operation] = ordinal + 1
        key_from_target = header_value(exchange.request.headers, IDEMPOTENCY_KEY_HEADER)
        if key_from_target:
            exchange.is_first_attempt = False
            return keys.derive_key(run.call.context.idempotency_key, *operation, key_from_target)
        declared_count = self._declared_count(exchange)
        if not exchange.is_idempotent and ordinal >= declared_count:
            exchange.is_first_attempt = False
            ordinal = declared_count - 1
        exchange.may_replace_key = exchange.is_first_attempt
        key = keys.derive_key(run.call.context.idempotency_key, *operation, str(ordinal))
        while key in run.replaced_keys:
            key = run.replaced_keys[key]
        return key

    def _declared_count(self, exchange: Exchange) -> int:
        if exchange.service_class is None or exchange.path_index == UNDECLARED_PATH_INDEX:
            return 1
        return exchange.service_class.path[exchange.path_index].count


def _is_call_of(step: CallStep, exchange: Exchange) -> bool:
    return (step.service, step.operation) == (exchange.service, exchange.operation)
