"""Classify a target's answer: its own complete answer, a call not run, or an unknown outcome."""

from typing import Final

import attrs

from gooseberrydock.errorcodes import TARGET_MISMATCH, TARGET_SHED, UNKNOWN_CODE, ErrorCode
from gooseberrydock.http_messages import HttpResponse, header_value
from gooseberrydock.mesh.options import HeaderNames
from gooseberrydock.messages import RunResult

MISDIRECTED_REQUEST: Final = 421
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
"""Statuses from which a caller concludes that its request has not run and never will."""
_MAX_STATUS: Final = 599


@attrs.frozen
class AnswerClassification:
    """Outcome of a request according to the target's answer."""

    result: RunResult
    code: ErrorCode
    is_other_instance: bool = False


_ANSWERED: Final = AnswerClassification(RunResult.ANSWERED, UNKNOWN_CODE)
_NOT_RUN: Final = AnswerClassification(RunResult.NOT_RUN, TARGET_SHED)
_OTHER_INSTANCE: Final = AnswerClassification(
    RunResult.NOT_RUN, TARGET_SHED, is_other_instance=True
)
_UNKNOWN: Final = AnswerClassification(RunResult.UNKNOWN, TARGET_MISMATCH)


def classify_answer(response: HttpResponse, header_names: HeaderNames) -> AnswerClassification:
    """Return the classification of a target's answer."""
    status = response.status
    if status == MISDIRECTED_REQUEST:
        return _OTHER_INSTANCE
    if header_value(response.headers, header_names.not_executed):
        return _NOT_RUN
    if status > _MAX_STATUS or status in _NOT_RUN_STATUSES:
        # The target itself does not guarantee that the call has not run, but the caller would
        # conclude it from the status; other statuses do not exist.
        return _UNKNOWN
    if 200 <= status < 300 and not _is_intact_answer(response, header_names):
        return _UNKNOWN
    return _ANSWERED


def _is_intact_answer(response: HttpResponse, header_names: HeaderNames) -> bool:
    """Return whether a success has the response signature and a body without encoding."""
    if header_names.response_signature and not header_value(
        response.headers, header_names.response_signature
    ):
        return False
    return not header_value(response.headers, b"content-encoding")
