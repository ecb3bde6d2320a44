"""What a target states of itself in its answers: the request rate that it takes, and its leaving.

Announcements arrive every second or so; a statement arrives with each answer and holds from then
on. Performs no I/O.
"""

import math

import attrs

from gooseberrydock.errorcodes import STATEMENT_INVALID
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.http_messages import Headers, header_value
from gooseberrydock.mesh.options import HeaderNames


@attrs.frozen
class TargetStatement:
    """Statement in one answer; ``rate_limit`` is in requests per second, None if none is named."""

    rate_limit: float | None
    is_leaving: bool


def read_statement(headers: Headers, header_names: HeaderNames) -> TargetStatement:
    """Return the statement in an answer, raising ``STATEMENT_INVALID`` if its limit is invalid."""
    text = header_value(headers, header_names.rate_limit).strip()
    is_leaving = header_value(headers, header_names.leaving).strip() == "1"
    return TargetStatement(_parse_rate_limit(text) if text else None, is_leaving)


def _parse_rate_limit(text: str) -> float:
    try:
        rate_limit = float(text)
    except ValueError:
        rate_limit = math.nan
    if not math.isfinite(rate_limit) or rate_limit < 0.0:
        raise GooseberrydockError(
            STATEMENT_INVALID, Step.TARGET, detail=f"{text!r} is not a number of requests a second"
        )
    return rate_limit
