"""The filter chain that a request passes before it is sent to a target's node.

Each filter may fill in what it knows about the exchange, or refuse it. Nothing has run anywhere
while the chain is at work, so every refusal here is truly "not run".
"""

import random
from collections.abc import Callable, Sequence
from typing import Final, Protocol

import attrs

from gooseberrydock import defaults, keys
from gooseberrydock.clock import Millis
from gooseberrydock.configuration import (
    UNDECLARED_STEP,
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

_FIRST_ATTEMPT: Final = "1"


class RequestFilter(Protocol):
    """Check one aspect of a request; ``finish`` undoes what ``admit`` counted."""

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Let an exchange pass, or refuse it."""

    def finish(self, exchange: Exchange) -> None:
        """Note that an exchange which this filter let pass has ended."""


@attrs.define
class FilterChain:
    """Run filters in order and undo them for exchanges that end."""

    _filters: Sequence[RequestFilter]

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Pass an exchange through the chain until a filter refuses it."""
        for request_filter in self._filters:
            refusal = request_filter.admit(now_ms, exchange)
            if refusal is not None:
                return refusal
            exchange.passed_filters += 1
        return None

    def finish(self, exchange: Exchange) -> None:
        """Undo the filters that the exchange passed."""
        for request_filter in self._filters[: exchange.passed_filters]:
            request_filter.finish(exchange)
        exchange.passed_filters = 0


@attrs.define
class _StatelessFilter:
    """Share the empty ``finish`` of filters that count nothing."""

    def finish(self, exchange: Exchange) -> None:
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
        """Take the class that the caller names, if its path fits, or the first that fits."""
        configuration = self._configuration.current
        name = header_value(exchange.request.headers, CLASS_HEADER)
        if not name:
            return configuration.class_for_entry(exchange.service, exchange.operation)
        named = configuration.class_named(name)
        if named is None:
            return None
        entry = (named.entry.service, named.entry.operation)
        return named if entry == (exchange.service, exchange.operation) else None

    def _apply_caller_deadline(self, exchange: Exchange) -> Refusal | None:
        """Shorten the deadline where the caller asks for it."""
        text = header_value(exchange.request.headers, DEADLINE_HEADER)
        if not text:
            return None
        if not text.isascii() or not text.isdigit():
            return Refusal(MALFORMED_REQUEST, "the deadline header is not a number")
        asked = exchange.received_at + float(int(text[:12]))
        exchange.deadline_at = min(exchange.deadline_at, asked)
        return None


@attrs.define
class KeyFilter(_StatelessFilter):
    """Check the idempotency key of a caller, or make one."""

    _new_key: Callable[[], str]

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Set the key of the request."""
        key = header_value(exchange.request.headers, IDEMPOTENCY_KEY_HEADER)
        if key and not keys.is_valid_key(key):
            return Refusal(INVALID_KEY, "expected a UUID of version 7 in lower case")
        exchange.idempotency_key = key or self._new_key()
        attempt = header_value(exchange.request.headers, ATTEMPT_HEADER)
        exchange.is_first_attempt = not key or attempt == _FIRST_ATTEMPT
        exchange.may_replace_key = not key
        return None


@attrs.define
class CallerLimitFilter(_StatelessFilter):
    """Hold each caller to its rate."""

    _limits: CallerLimits

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Use one of the caller's tokens."""
        service_class = exchange.service_class
        if service_class is None:
            return None
        rate = service_class.caller_per_minute
        if self._limits.take(now_ms, exchange.caller, service_class.name, rate):
            return None
        return Refusal(CALLER_LIMIT, exchange.caller)


@attrs.define
class PathLimitFilter:
    """Hold each service class to its concurrency limit."""

    _limits: PathLimits

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Count the request in."""
        service_class = exchange.service_class
        limit = service_class.max_concurrent if service_class is not None else 0
        if self._limits.enter(exchange.class_name, limit):
            return None
        return Refusal(PATH_LIMIT, exchange.class_name)

    def finish(self, exchange: Exchange) -> None:
        """Count the request out."""
        self._limits.leave(exchange.class_name)


@attrs.define
class QuarantineFilter(_StatelessFilter):
    """Refuse requests that crashed targets."""

    _quarantine: QuarantineController

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Refuse a convicted fingerprint, and mark a suspect."""
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
    """Shed a request early where any service on the rest of its path would shed it.

    A small random share passes all the same, so that recovery is noticed.
    """

    _shed_thresholds: ShedThresholds
    _random: random.Random

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Compare the rank with the cut levels along the declared path."""
        for service in self._services_ahead(exchange):
            if exchange.rank > self._shed_thresholds.level(now_ms, service):
                if self._random.random() < defaults.SHED_PROBE_SHARE:
                    return None
                return Refusal(SHED_AT_ENTRY, service)
        return None

    def _services_ahead(self, exchange: Exchange) -> list[str]:
        service_class = exchange.service_class
        if service_class is None or exchange.path_index == UNDECLARED_STEP:
            return [exchange.service]
        return [step.service for step in service_class.path[exchange.path_index :]]


@attrs.define
class DeadlineFilter(_StatelessFilter):
    """Refuse requests whose deadline has passed."""

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Compare the deadline with the time."""
        return Refusal(DEADLINE_EXPIRED) if now_ms >= exchange.deadline_at else None


@attrs.define
class ContextFilter(_StatelessFilter):
    """Tie a target's own call to the run that makes it."""

    _configuration: ConfigurationController
    _find_run: Callable[[str], Run | None]

    def admit(self, now_ms: Millis, exchange: Exchange) -> Refusal | None:
        """Let the call inherit the context of its run."""
        run = self._find_run(header_value(exchange.request.headers, CONTEXT_HEADER))
        if run is None:
            return Refusal(UNKNOWN_CONTEXT)
        # Even a call that is refused here shows that the target has begun to work.
        run.calls_made += 1
        context = run.call.context
        if context.depth + 1 >= defaults.MAX_CALL_DEPTH:
            return Refusal(MALFORMED_REQUEST, "the call chain is too deep")
        exchange.parent = run
        exchange.pool = run.pool
        exchange.request_id = context.request_id
        exchange.class_name = context.class_name
        exchange.service_class = self._configuration.current.class_named(context.class_name)
        exchange.rank = context.rank
        exchange.deadline_at = run.deadline_at
        exchange.is_idempotent = context.is_idempotent
        exchange.caller = context.caller
        exchange.depth = context.depth + 1
        exchange.is_suspect = context.is_suspect
        exchange.path_index = self._position(exchange, context.path_index)
        exchange.idempotency_key = self._derive_key(exchange, run)
        return None

    def _position(self, exchange: Exchange, parent_index: int) -> int:
        """Return the call's position on the path if it is the declared next step."""
        if exchange.service_class is None:
            return UNDECLARED_STEP
        step = exchange.service_class.step_after(parent_index)
        if step is None or not _is_call_of(step, exchange):
            return UNDECLARED_STEP
        return parent_index + 1

    def _derive_key(self, exchange: Exchange, run: Run) -> str:
        """Derive the call's key from the parent's key and the call's ordinal.

        A target that numbers its own calls by an idempotency key is taken at its word. Of calls
        that may not be repeated, those beyond the declared count are taken for repetitions and
        get the last call's key again.
        """
        operation = (exchange.service, exchange.operation)
        ordinal = run.call_ordinals.get(operation, 0)
        run.call_ordinals[operation] = ordinal + 1
        own_key = header_value(exchange.request.headers, IDEMPOTENCY_KEY_HEADER)
        if own_key:
            exchange.is_first_attempt = False
            return keys.derive_key(run.call.context.idempotency_key, *operation, own_key)
        count = self._declared_count(exchange)
        if not exchange.is_idempotent and ordinal >= count:
            exchange.is_first_attempt = False
            ordinal = count - 1
        exchange.may_replace_key = exchange.is_first_attempt
        key = keys.derive_key(run.call.context.idempotency_key, *operation, str(ordinal))
        while key in run.replaced_keys:
            key = run.replaced_keys[key]
        return key

    def _declared_count(self, exchange: Exchange) -> int:
        if exchange.service_class is None or exchange.path_index == UNDECLARED_STEP:
            return 1
        return exchange.service_class.path[exchange.path_index].count


def _is_call_of(step: CallStep, exchange: Exchange) -> bool:
    return (step.service, step.operation) == (exchange.service, exchange.operation)
