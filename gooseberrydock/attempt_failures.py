"""How an attempt can fail, and what each kind of failure allows."""

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
"""Refusals that say nothing about the key of a request that may not be repeated."""
KEY_REPLACEABLE_CODES: Final = KEY_UNDECIDED_CODES | {OWNER_LOST.number}
CRASH_CODES: Final = frozenset((TARGET_LOST.number, TARGET_TRUNCATED.number))
MIN_SERVER_ERROR_STATUS: Final = 500


@attrs.frozen
class AttemptFailure:
    """Hold why an attempt failed, where, and at which peer."""

    code: ErrorCode
    step: str
    peer: str


def failure_of(answer: Answer) -> AttemptFailure:
    """Return why an attempt failed, by its answer."""
    return AttemptFailure(error_code(answer.code), answer.step, answer.peer)


def is_target_server_error(answer: Answer) -> bool:
    """Say whether the target failed by itself, rather than passing on a deeper refusal."""
    return (
        answer.code == 0
        and answer.status >= MIN_SERVER_ERROR_STATUS
        and answer.outcome is Outcome.DONE
    )


def provable_outcome(exchange: Exchange, code: ErrorCode, is_decided: bool) -> Outcome:
    """Return the outcome that can be proved; "not run" is said only where it is certain.

    For a request that may not be repeated only the key's owner can say that no copy ran, unless
    this is the first attempt and nothing of it can have arrived anywhere.
    """
    is_unsent = exchange.is_first_attempt and not exchange.has_unknown_attempt
    if code is OWNER_LOST and is_unsent:
        return Outcome.NOT_RUN
    if code.outcome is not Outcome.NOT_RUN:
        return code.outcome
    if not exchange.is_idempotent and is_decided:
        return Outcome.NOT_RUN
    if exchange.has_unknown_attempt:
        return Outcome.UNKNOWN
    if not exchange.is_idempotent and not exchange.is_first_attempt:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN
