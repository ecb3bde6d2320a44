"""The latest answers in a node's own name, kept in memory for operators.

The log leaves lines out under load. This ring keeps what every refusal was decided on, whatever
their rate, until newer ones take its place.
"""

from collections import deque
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.errorcodes import ErrorCode

_KEPT: Final = 2_000
"""Refusals kept: at a hundred a second they reach back 20 s, in less than 1 MB."""


@attrs.define
class RefusalRecord:
    """Hold one answer in the node's own name and what decided it."""

    at_ms: Millis
    request_id: str
    route: str
    service: str
    code: ErrorCode
    host: str
    took_ms: Millis
    left_ms: Millis
    offers: int
    refusals: int
    is_nested: bool
    retry_after_ms: Millis
    table_version: int
    inputs: dict[str, float]


@attrs.define
class RecentRefusals:
    """Keep the latest refusals."""

    _records: deque[RefusalRecord] = attrs.field(factory=lambda: deque(maxlen=_KEPT))

    @property
    def records(self) -> list[RefusalRecord]:
        """Return what is kept, oldest first."""
        return list(self._records)

    def add(self, record: RefusalRecord) -> None:
        """Keep one more."""
        self._records.append(record)

    def find(self, request_id: str) -> list[RefusalRecord]:
        """Return the refusals of one request."""
        return [record for record in self._records if record.request_id == request_id]
