"""Kinds of attempt failures, and whether each allows a reroute, a retry or a new key."""

from typing import Final

import attrs

from gooseberrydock.errorcodes import (
    KEY_NOT_OWNED,
    NO_TARGET,
    NODE_LEAVING,
    OWNER_LOST,
    PEER_LOST,
    PEER_SILENT,
    PEER_UNREACHABLE,
    SHED_AT_TARGET,
    TARGET_LOST,
    TARGET_SHED,
    TARGET_TRUNCATED,
    TARGET_UNREACHABLE,
    ErrorCode,
    error_code,
)
from gooseberrydock.exchanges import Exchange
from gooseberrydock.messages import Answer
from gooseberrydock.outcomes import Outcome

REROUTABLE_CODES: Final = frozenset(
    (
        SHED_AT_TARGET.number,
        TARGET_SHED.number,
        NO_TARGET.number,
        NODE_LEAVING.number,
        PEER_UNREACHABLE.number,
        TARGET_UNREACHABLE.number,
        KEY_NOT_OWNED.number,
    )
)
SHED_CODES: Final = frozenset((SHED_AT_TARGET.number, TARGET_SHED.number))
RETRYABLE_CODES: Final = frozenset(
    (PEER_LOST.number, PEER_SILENT.number, TARGET_LOST.number, TARGET_TRUNCATED.number)
)
LINK_FAILURE_CODES: Final = frozenset((PEER_LOST.number, PEER_SILENT.number))
KEY_UNDECIDED_CODES: Final = frozenset(
    (
        KEY_NOT_OWNED.number,
        NO_TARGET.number,
        NODE_LEAVING.number,
        PEER_UNREACHABLE.number,
    )
)
"""Refusals that do not decide about the idempotency key of a non-idempotent request."""
KEY_REPLACEABLE_CODES: Final = KEY_UNDECIDED_CODES | {OWNER_LOST.number}
CRASH_CODES: Final = frozenset((TARGET_LOST.number, TARGET_TRUNCATED.number))
MIN_SERVER_ERROR_STATUS: Final = 500


@attrs.frozen
class AttemptFailure:
    """The error code of a failed attempt, the step at which it failed, and the peer."""

    code: ErrorCode
    step: str
    peer: str


def failure_of(answer: Answer) -> AttemptFailure:
    """Return the failure that an answer reports."""
    return AttemptFailure(error_code(answer.code), answer.step, answer.peer)


def is_target_server_error(answer: Answer) -> bool:
    """Return whether the target itself failed, rather than passed on a refusal of a deeper hop."""
    return (
        answer.code == 0
        and answer.status >= MIN_SERVER_ERROR_STATUS
        and answer.outcome is Outcome.DONE
    )


def provable_outcome(exchange: Exchange, code: ErrorCode, is_decided_by_owner: bool) -> Outcome:
    """Return the outcome that can be proved; "not run" requires certainty.

    ``is_decided_by_owner`` is true if the owner of the key decided about the request.
    """
    # Only the owner of its key can state that no copy of a non-idempotent request ran, unless this
    # is the first attempt and no part of it can have arrived anywhere.
    cannot_have_arrived = exchange.is_first_attempt and not exchange.has_unknown_attempt
    if code is OWNER_LOST and cannot_have_arrived:
        return Outcome.NOT_RUN
    if code.outcome is not Outcome.NOT_RUN:
        return code.outcome
    if not exchange.is_idempotent and is_decided_by_owner:
        return Outcome.NOT_RUN
    if exchange.has_unknown_attempt:
        return Outcome.UNKNOWN
    if not exchange.is_idempotent and not exchange.is_first_attempt:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN
