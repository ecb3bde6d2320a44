"""What a target's answer means: its own whole answer, a call not run, or nothing certain."""

from typing import Final

import attrs

from gooseberrydock.errorcodes import TARGET_MISMATCH, TARGET_SHED, UNKNOWN_CODE, ErrorCode
from gooseberrydock.http_messages import HttpResponse, header_value
from gooseberrydock.mesh.options import HeaderNames
from gooseberrydock.messages import RunResult

_MISDIRECTED: Final = 421
_PROMISES_NOT_RUN: Final = frozenset((408, 421, 429, 503))
"""Statuses that tell a caller that its request has not run and never will."""


@attrs.frozen
class AnswerClassification:
    """State what an answer says of its request."""

    result: RunResult
    code: ErrorCode
    is_other_instance: bool = False


_ANSWERED: Final = AnswerClassification(RunResult.ANSWERED, UNKNOWN_CODE)
_NOT_RUN: Final = AnswerClassification(RunResult.NOT_RUN, TARGET_SHED)
_OTHER_INSTANCE: Final = AnswerClassification(
    RunResult.NOT_RUN, TARGET_SHED, is_other_instance=True
)
_UNCERTAIN: Final = AnswerClassification(RunResult.UNKNOWN, TARGET_MISMATCH)


def classify_answer(response: HttpResponse, names: HeaderNames) -> AnswerClassification:
    """Return what a target's answer says."""
    status = response.status
    if status == _MISDIRECTED:
        return _OTHER_INSTANCE
    if header_value(response.headers, names.not_executed):
        return _NOT_RUN
    if status in _PROMISES_NOT_RUN:
        # The target promises nothing by itself, and the status would promise it to the caller.
        return _UNCERTAIN
    if 200 <= status < 300 and not _is_own_answer(response, names):
        return _UNCERTAIN
    return _ANSWERED


def _is_own_answer(response: HttpResponse, names: HeaderNames) -> bool:
    """Say whether a success bears the target's completion marker and the body as it was made."""
    if names.response_signature and not header_value(response.headers, names.response_signature):
        return False
    return not header_value(response.headers, b"content-encoding")
