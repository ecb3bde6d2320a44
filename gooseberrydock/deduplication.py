"""Deduplication of non-idempotent calls, before admission control.

Such a call carries an idempotency key. Only the key's owner may decide about it: the owner lets
the first copy proceed, lets further copies wait for the same answer, and replays that answer to
later copies.
"""

from collections.abc import Callable
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.errorcodes import (
    KEY_ANSWER_GONE,
    KEY_CONFLICT,
    KEY_EXPIRED,
    KEY_NOT_OWNED,
    KEY_SEALED,
    OWNER_LOST,
    ErrorCode,
)
from gooseberrydock.exchanges import Run
from gooseberrydock.messages import Answer
from gooseberrydock.owner_register import NodeIdentity
from gooseberrydock.ownership import KeyDecision, KeyStatus, OwnershipController
from gooseberrydock.run_records import RecordState, RunRecord, RunRecords, Waiter

_MAX_UNDECIDED: Final = 1_000


@attrs.frozen
class Proceed:
    """Pass the call to admission control; its key is recorded as running."""


@attrs.frozen
class Seal:
    """Seal the key so that its request never runs; refuse with the code that the call carries."""


@attrs.frozen
class Wait:
    """Keep the call until another copy is answered, or until its key can be decided."""


@attrs.frozen
class Replay:
    """Answer with the recorded answer."""

    answer: Answer


@attrs.frozen
class Refuse:
    """Refuse the call; ``owner`` names the node that may decide, if it is known."""

    code: ErrorCode
    owner: str = ""


DeduplicationDecision = Proceed | Seal | Wait | Replay | Refuse


@attrs.define
class DeduplicationController:
    """Decide about non-idempotent calls by the ownership and the records of their keys."""

    _ownership: OwnershipController
    _wall_ms: Callable[[], Millis]
    _records: RunRecords = attrs.field(factory=RunRecords)
    _undecided: list[Run] = attrs.field(factory=list)

    @property
    def ownership(self) -> OwnershipController:
        """Return the ownership controller."""
        return self._ownership

    @property
    def record_count(self) -> int:
        """Return the number of keys that have a record."""
        return len(self._records)

    @property
    def undecided_count(self) -> int:
        """Return the number of calls that wait until their key can be decided."""
        return len(self._undecided)

    def decide(self, run: Run, is_live: Callable[[NodeIdentity], bool]) -> DeduplicationDecision:
        """Decide about a call, or keep it as undecided; ``is_live`` tests the key's owner."""
        key = run.call.context.idempotency_key
        decision = self._ownership.decide(self._wall_ms(), key)
        if decision.status is KeyStatus.OWN:
            return self._decide_own_key(run, key)
        if decision.status is KeyStatus.UNDECIDED and len(self._undecided) < _MAX_UNDECIDED:
            self._undecided.append(run)
            return Wait()
        return _refusal(decision, is_live)

    def take_undecided(self) -> list[Run]:
        """Remove and return the undecided calls, to be decided again."""
        undecided, self._undecided = self._undecided, []
        return undecided

    def discard_undecided(self, run: Run) -> bool:
        """Remove a call from the undecided calls; return whether it was one of them."""
        if run not in self._undecided:
            return False
        self._undecided.remove(run)
        return True

    def has_waiters(self, run: Run) -> bool:
        """Return whether other calls wait for this run's answer."""
        record = self._records.find(run.call.context.idempotency_key)
        return record is not None and record.run_id == run.run_id and bool(record.waiters)

    def seal(self, run: Run) -> list[Waiter]:
        """Seal the key of a call that did not run; return the calls that wait for its answer."""
        record = self._records.seal(run.call.context.idempotency_key, run.fingerprint)
        return _take_waiters(record)

    def finish(self, run: Run, answer: Answer) -> list[Waiter]:
        """Record the answer of a run; return the calls that wait for it."""
        return _take_waiters(self._records.finish(run.call.context.idempotency_key, answer))

    def purge(self) -> None:
        """Delete the records of expired keys."""
        self._records.purge(self._wall_ms())

    def _decide_own_key(self, run: Run, key: str) -> DeduplicationDecision:
        record = self._records.find(key)
        if record is None:
            if run.call.context.seal_code:
                return Seal()
            self._records.begin(key, run.fingerprint, run.run_id)
            return Proceed()
        if record.fingerprint != run.fingerprint:
            return Refuse(KEY_CONFLICT)
        if record.state is RecordState.SEALED:
            return Refuse(KEY_SEALED)
        if record.state is RecordState.DONE:
            return Replay(record.answer) if record.answer else Refuse(KEY_ANSWER_GONE)
        call = run.call
        record.waiters.append(Waiter(run.link_id, call.call_id, call.context.credit))
        return Wait()


def _refusal(decision: KeyDecision, is_live: Callable[[NodeIdentity], bool]) -> Refuse:
    if decision.status is KeyStatus.EXPIRED:
        return Refuse(KEY_EXPIRED)
    owner = decision.owner
    if owner is None:
        return Refuse(KEY_NOT_OWNED)
    if decision.status is KeyStatus.OTHER and not is_live(owner):
        return Refuse(OWNER_LOST, owner.node_id)
    return Refuse(KEY_NOT_OWNED, owner.node_id)


def _take_waiters(record: RunRecord) -> list[Waiter]:
    waiters, record.waiters = record.waiters, []
    return waiters
