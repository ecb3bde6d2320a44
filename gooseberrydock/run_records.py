"""Records that an owner keeps about idempotency keys, so that each request runs at most once.

A record is running, done with its answer, or sealed. The request with a sealed key was refused as
"not run" and never runs afterwards, so that the refusal stays true when delayed copies arrive.
"""

import enum
from collections import OrderedDict
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.keys import key_time_ms
from gooseberrydock.messages import Answer
from gooseberrydock.ownership import KEY_LIFETIME_MS, SKEW_MS

_RETENTION_MS: Final[Millis] = KEY_LIFETIME_MS + 2 * SKEW_MS
_MAX_TOTAL_ANSWER_BYTES: Final = 32 * 1024 * 1024
_PURGE_PERIOD_MS: Final[Millis] = 10_000.0


class RecordState(enum.Enum):
    """State of the request with a key."""

    RUNNING = "running"
    DONE = "done"
    SEALED = "sealed"


@attrs.frozen
class Waiter:
    """A call that waits for the answer to another call with the same key."""

    link_id: str
    call_id: int
    credit: int


@attrs.define
class RunRecord:
    """Record of one key."""

    state: RecordState
    fingerprint: int
    run_id: int = 0
    answer: Answer | None = None
    waiters: list[Waiter] = attrs.field(factory=list)


@attrs.define
class RunRecords:
    """Records of all keys that this node has decided about."""

    _records: dict[str, RunRecord] = attrs.field(factory=dict)
    _answer_sizes: OrderedDict[str, int] = attrs.field(factory=OrderedDict)
    _answer_bytes: int = 0
    _purge_at: Millis = 0.0

    def __len__(self) -> int:
        return len(self._records)

    def find(self, key: str) -> RunRecord | None:
        """Return the record of a key."""
        return self._records.get(key)

    def begin(self, key: str, fingerprint: int, run_id: int) -> RunRecord:
        """Record that the request with a key is about to run."""
        record = RunRecord(RecordState.RUNNING, fingerprint, run_id)
        self._records[key] = record
        return record

    def seal(self, key: str, fingerprint: int) -> RunRecord:
        """Record that the request with a key never runs; return the record with its waiters."""
        record = self._records.get(key) or RunRecord(RecordState.SEALED, fingerprint)
        record.state = RecordState.SEALED
        self._records[key] = record
        return record

    def finish(self, key: str, answer: Answer) -> RunRecord:
        """Record an answer; drop the oldest answers over the size limit, but keep their records."""
        record = self._records[key]
        record.state = RecordState.DONE
        record.answer = answer
        self._answer_sizes[key] = len(answer.body)
        self._answer_bytes += len(answer.body)
        while self._answer_bytes > _MAX_TOTAL_ANSWER_BYTES:
            self._drop_oldest_answer()
        return record

    def purge(self, wall_ms: Millis) -> None:
        """Delete the records of keys that are too old to be decided about any more."""
        if wall_ms < self._purge_at:
            return
        self._purge_at = wall_ms + _PURGE_PERIOD_MS
        min_key_time_ms = wall_ms - _RETENTION_MS
        expired = [
            key
            for key, record in self._records.items()
            if record.state is not RecordState.RUNNING and key_time_ms(key) < min_key_time_ms
        ]
        for key in expired:
            del self._records[key]
            self._answer_bytes -= self._answer_sizes.pop(key, 0)

    def _drop_oldest_answer(self) -> None:
        key, size = self._answer_sizes.popitem(last=False)
        self._answer_bytes -= size
        self._records[key].answer = None
