"""The registry of error codes.

Every refusal and failure that leaves a process carries one of these codes. The hundreds digit
identifies the part of the system: 1 the caller's request, 2 refusals by policy, 3 peers, 4 targets,
5 the platform's key-value service, 6 configuration and sheets, 7 settings.
"""

from typing import Final

import attrs

from gooseberrydock.outcomes import Outcome


@attrs.frozen
class ErrorCode:
    """Definition of one kind of failure; ``outcome`` is what the code implies for the request."""

    number: int
    name: str
    status: int
    outcome: Outcome
    title: str


_REGISTRY: dict[int, ErrorCode] = {}


def _register(number: int, name: str, status: int, outcome: Outcome, title: str) -> ErrorCode:
    """Add a code to the registry; raise ``ValueError`` for a number already in use."""
    if number in _REGISTRY:
        raise ValueError(f"error code {number} is registered twice")
    code = ErrorCode(number, name, status, outcome, title)
    _REGISTRY[number] = code
    return code


def error_code(number: int) -> ErrorCode:
    """Return the code with this number, or ``UNKNOWN_CODE`` for a number sent by a newer peer."""
    return _REGISTRY.get(number, UNKNOWN_CODE)


def all_error_codes() -> list[ErrorCode]:
    """Return every registered code in numeric order."""
    return [_REGISTRY[number] for number in sorted(_REGISTRY)]


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

UNKNOWN_CODE: Final = _register(1, "unknown-code", 502, _UNKNOWN, "Unrecognised error code")

MALFORMED_REQUEST: Final = _register(
    100, "malformed-request", 400, _NOT_RUN, "The request is not valid HTTP"
)
OVERSIZE_REQUEST: Final = _register(
    101, "oversize-request", 413, _NOT_RUN, "The request is larger than the limit"
)
SLOW_REQUEST: Final = _register(
    102, "slow-request", 408, _NOT_RUN, "The request did not arrive in time"
)
UNKNOWN_CONTEXT: Final = _register(
    103, "unknown-context", 409, _NOT_RUN, "The context header names no call in flight"
)
NO_SERVICE_CLASS: Final = _register(
    104, "no-service-class", 404, _NOT_RUN, "No service class is configured for this request"
)
INVALID_KEY: Final = _register(
    105, "invalid-key", 400, _NOT_RUN, "The idempotency key is not a UUID of version 7"
)
INVALID_ANNOUNCEMENT: Final = _register(
    106, "invalid-announcement", 400, _NOT_RUN, "The target's announcement is not valid"
)
NOT_FOUND: Final = _register(107, "not-found", 404, _NOT_RUN, "No such resource")
OVERSIZE_HEADERS: Final = _register(
    108, "oversize-headers", 431, _NOT_RUN, "The request's headers are larger than the limit"
)
NO_ROUTE: Final = _register(
    109, "no-route", 404, _NOT_RUN, "No route is configured for this host and path"
)

SHED_AT_ENTRY: Final = _register(
    200, "shed-at-entry", 503, _NOT_RUN, "Shed: a service on the call path is overloaded"
)
SHED_AT_TARGET: Final = _register(
    201, "shed-at-target", 503, _NOT_RUN, "Shed: the target is overloaded"
)
CALLER_LIMIT: Final = _register(
    202, "caller-limit", 429, _NOT_RUN, "The caller is over its own rate"
)
PATH_LIMIT: Final = _register(
    203, "path-limit", 429, _NOT_RUN, "The call path is over its concurrency limit"
)
DEADLINE_EXPIRED: Final = _register(
    204, "deadline-expired", 504, _NOT_RUN, "The deadline passed before the call was started"
)
CREDIT_EXHAUSTED: Final = _register(
    205, "credit-exhausted", 503, _NOT_RUN, "The request has no retry credit left"
)
NO_CONFIGURATION: Final = _register(
    206, "no-configuration", 503, _NOT_RUN, "This node has no configuration yet"
)
NO_TARGET: Final = _register(207, "no-target", 503, _NOT_RUN, "No target of the service is known")
NODE_LEAVING: Final = _register(208, "node-leaving", 503, _NOT_RUN, "The target is leaving")
QUARANTINED: Final = _register(
    209, "quarantined", 503, _NOT_RUN, "Requests like this one crashed targets"
)
CANCELLED: Final = _register(210, "cancelled", 499, _NOT_RUN, "Cancelled before it was started")
TARGET_SHED: Final = _register(
    211, "target-shed", 503, _NOT_RUN, "The target refused the call before doing any work"
)
KEY_NOT_OWNED: Final = _register(
    212, "key-not-owned", 503, _NOT_RUN, "This node may not decide about the key now"
)
OWNER_LOST: Final = _register(
    213, "owner-lost", 503, _UNKNOWN, "The node that knows about this key cannot be reached"
)
KEY_EXPIRED: Final = _register(
    214, "key-expired", 409, _UNKNOWN, "The idempotency key is too old to be decided"
)
KEY_CONFLICT: Final = _register(
    215, "key-conflict", 422, _NOT_RUN, "The idempotency key was used for another request"
)
KEY_SEALED: Final = _register(
    216, "key-sealed", 409, _NOT_RUN, "A request with this key was refused; use a new key"
)
KEY_ANSWER_GONE: Final = _register(
    217, "key-answer-gone", 409, Outcome.DONE, "The request ran; its answer is no longer kept"
)
TARGET_BUSY: Final = _register(
    218, "target-busy", 503, _NOT_RUN, "The target has no room for the call in time"
)
# Unlike DEADLINE_EXPIRED, where the call was never started, the outcome is unknown.
DEADLINE_PASSED: Final = _register(
    219, "deadline-passed", 504, _UNKNOWN, "The deadline passed while the call may be running"
)
NOT_DISPATCHED: Final = _register(
    220, "not-dispatched", 503, _NOT_RUN, "The deadline passed before the call reached a target"
)
MEMORY_SHORT: Final = _register(
    221, "memory-short", 503, _NOT_RUN, "The node has no memory for the request now"
)
CALL_NOT_STARTED: Final = _register(
    222, "call-not-started", 503, _NOT_RUN, "An error in the node ended the call before its start"
)

PEER_LOST: Final = _register(
    300, "peer-lost", 502, _UNKNOWN, "The link to the target's node closed during the call"
)
PEER_UNREACHABLE: Final = _register(
    301, "peer-unreachable", 503, _NOT_RUN, "The target's node cannot be reached"
)
PEER_PROTOCOL: Final = _register(
    302, "peer-protocol", 502, _UNKNOWN, "The peer broke the protocol between nodes"
)
PEER_REFUSED: Final = _register(
    303, "peer-refused", 503, _NOT_RUN, "The peer failed to authenticate"
)
PEER_TIMEOUT: Final = _register(
    304, "peer-timeout", 504, _UNKNOWN, "No answer arrived before the deadline"
)
PEER_SILENT: Final = _register(
    305, "peer-silent", 502, _UNKNOWN, "The link to the target's node went silent"
)

TARGET_LOST: Final = _register(
    400, "target-lost", 502, _UNKNOWN, "The target closed its connection during the call"
)
TARGET_UNREACHABLE: Final = _register(
    401, "target-unreachable", 503, _NOT_RUN, "The target cannot be reached"
)
TARGET_TRUNCATED: Final = _register(
    402, "target-truncated", 502, _UNKNOWN, "The target's answer ended early"
)
TARGET_PROTOCOL: Final = _register(
    403, "target-protocol", 502, _UNKNOWN, "The target's answer is not valid HTTP"
)
TARGET_TIMEOUT: Final = _register(
    404, "target-timeout", 504, _UNKNOWN, "The target did not answer before the deadline"
)
TARGET_OVERSIZE: Final = _register(
    405, "target-oversize", 502, _UNKNOWN, "The target's answer is larger than the limit"
)
TARGET_MISMATCH: Final = _register(
    406, "target-mismatch", 502, _UNKNOWN, "The target's answer is not its whole own answer"
)
TARGET_FAILED: Final = _register(
    407, "target-failed", 502, _UNKNOWN, "The target answered with a failure of its own"
)
STATEMENT_INVALID: Final = _register(
    408, "statement-invalid", 502, _UNKNOWN, "The target's answer names an invalid request rate"
)
CALL_BROKEN_OFF: Final = _register(
    409, "call-broken-off", 502, _UNKNOWN, "An error in the node ended the call during its run"
)

STORE_UNAVAILABLE: Final = _register(
    500, "store-unavailable", 503, _UNKNOWN, "The key-value service did not answer"
)
STORE_PROTOCOL: Final = _register(
    501, "store-protocol", 502, _UNKNOWN, "The key-value service gave an invalid answer"
)

STORE_REFUSED: Final = _register(
    502, "store-refused", 503, _NOT_RUN, "The key-value service refused the call"
)
STORE_HISTORY_GONE: Final = _register(
    503, "store-history-gone", 410, _NOT_RUN, "The key-value service dropped the asked history"
)
LEASE_ENDED: Final = _register(504, "lease-ended", 404, _NOT_RUN, "The lease has ended")
STORE_HISTORY_REPLACED: Final = _register(
    505,
    "store-history-replaced",
    503,
    _UNKNOWN,
    "The key-value service came back from an older copy during the call",
)

CONFIGURATION_CONFLICT: Final = _register(
    601, "configuration-conflict", 409, _NOT_RUN, "Another operator changed the configuration"
)
CONFIGURATION_INVALID: Final = _register(
    602, "configuration-invalid", 422, _NOT_RUN, "The configuration is not valid"
)

OPTION_INVALID: Final = _register(700, "option-invalid", 400, _NOT_RUN, "A setting is not valid")
