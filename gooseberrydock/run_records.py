"""What an owner remembers about each idempotency key, so that its request runs at most once.

A record is running, done with its answer, or sealed. A sealed key was refused as "not run" and
never runs after that, so that the refusal stays true when delayed copies of the request arrive.
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
_MAX_ANSWER_BYTES: Final = 32 * 1024 * 1024
_PURGE_PERIOD_MS: Final[Millis] = 10_000.0


class RecordState(enum.Enum):
    """Say what happened to a key."""

    RUNNING = "running"
    DONE = "done"
    SEALED = "sealed"


@attrs.frozen
class Waiter:
    """Name a call that waits for the end of another with the same key."""

    link_id: str
    call_id: int
    credit: int


@attrs.define
class RunRecord:
    """Hold one key's record."""

    state: RecordState
    fingerprint: int
    run_id: int = 0
    answer: Answer | None = None
    waiters: list[Waiter] = attrs.field(factory=list)


@attrs.define
class RunRecords:
    """Keep the records of all keys that this node decided about."""

    _records: dict[str, RunRecord] = attrs.field(factory=dict)
    _answers: OrderedDict[str, int] = attrs.field(factory=OrderedDict)
    _answer_bytes: int = 0
    _purge_at: Millis = 0.0

    def __len__(self) -> int:
        return len(self._records)

    def find(self, key: str) -> RunRecord | None:
        """Return the record of a key."""
        return self._records.get(key)

    def begin(self, key: str, fingerprint: int, run_id: int) -> RunRecord:
        """Record that a key's request is about to run."""
        record = RunRecord(RecordState.RUNNING, fingerprint, run_id)
        self._records[key] = record
        return record

    def seal(self, key: str, fingerprint: int) -> RunRecord:
        """Record that a key's request never runs; return the record with its waiters."""
        record = self._records.get(key) or RunRecord(RecordState.SEALED, fingerprint)
        record.state = RecordState.SEALED
        self._records[key] = record
        return record

    def finish(self, key: str, answer: Answer) -> RunRecord:
        """Record the answer of a key's request; old answers make room, their records stay."""
        record = self._records[key]
        record.state = RecordState.DONE
        record.answer = answer
        self._answers[key] = len(answer.body)
        self._answer_bytes += len(answer.body)
        while self._answer_bytes > _MAX_ANSWER_BYTES:
            self._drop_oldest_answer()
        return record

    def purge(self, wall_ms: Millis) -> None:
        """Forget keys that are too old to be decided about any more."""
        if wall_ms < self._purge_at:
            return
        self._purge_at = wall_ms + _PURGE_PERIOD_MS
        oldest = wall_ms - _RETENTION_MS
        expired = [
            key
            for key, record in self._records.items()
            if record.state is not RecordState.RUNNING and key_time_ms(key) < oldest
        ]
        for key in expired:
            del self._records[key]
            self._answer_bytes -= self._answers.pop(key, 0)

    def _drop_oldest_answer(self) -> None:
        key, size = self._answers.popitem(last=False)
        self._answer_bytes -= size
        self._records[key].answer = None
