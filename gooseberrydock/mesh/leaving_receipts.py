"""Decide when, and whether, a target's leaving is acknowledged to it.

An acknowledgement binds beyond the process that gives it: after a restart, the node must not use
the target again because of an announcement from before. It is therefore sent only once the store
keeps the leaving (``leaving_sync.py``), which outlives all nodes. Other nodes keep it as well
(``statement_memory.py``), for a restart during which the store does not answer or has come back
from an older copy; their receipts are waited for, but not required. If the store does not keep the
leaving in time, it is not acknowledged; this node stops using the target all the same, and the
target repeats its call or ends without an acknowledgement. Performs no I/O.
"""

from collections.abc import Callable
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.mesh.target_registration import NamedLeaving
from gooseberrydock.start_ids import binds

_WANTED_RECEIPTS: Final = 2
"""Nodes whose receipts are waited for; one of them may fail with this node."""
_MAX_WAIT_MS: Final[Millis] = 600.0
"""Longest time for which an answer is held back; targets wait for a second."""

LeavingAnswer = Callable[[bool], None]
"""Answers a call of the target: whether its leaving is acknowledged."""


@attrs.define
class _PendingLeaving:
    """A leaving that is not answered yet."""

    kept_start_id: str
    since: Millis
    wanted_receipts: int
    answers: list[LeavingAnswer] = attrs.field(factory=list)
    keepers: set[str] = attrs.field(factory=set)
    is_stored: bool = False


@attrs.frozen
class DecidedLeaving:
    """A leaving to be answered now; ``kept_by`` is the number of other nodes that keep it."""

    start_id: str
    is_acknowledged: bool
    """Whether the store keeps the leaving."""
    kept_by: int
    waited_ms: Millis
    answers: tuple[LeavingAnswer, ...]


@attrs.define
class LeavingReceipts:
    """Hold the answers to leaving targets back until the store and other nodes keep it."""

    _pending: dict[str, _PendingLeaving] = attrs.field(factory=dict)

    def hold(
        self,
        now_ms: Millis,
        leaving: NamedLeaving,
        asked_nodes: int,
        is_alone: bool,
        answer: LeavingAnswer,
    ) -> None:
        """Hold an answer back until the leaving is kept; no other node is known if alone."""
        # A link that opens in the meantime brings a receipt too.
        wanted = 0 if is_alone else max(1, min(asked_nodes, _WANTED_RECEIPTS))
        new = _PendingLeaving(leaving.kept_start_id, now_ms, wanted)
        pending = self._pending.setdefault(leaving.start_id, new)
        pending.wanted_receipts = wanted
        pending.answers.append(answer)

    def on_receipt(self, start_id: str, node_id: str) -> None:
        """Record that a node keeps the leaving of a start."""
        pending = self._pending.get(start_id)
        if pending is not None:
            pending.keepers.add(node_id)

    def on_stored(self, start_id: str) -> None:
        """Record that the store keeps the leaving of a start."""
        for pending in self._pending.values():
            if binds(start_id, pending.kept_start_id):
                pending.is_stored = True

    def take_decided(self, now_ms: Millis) -> list[DecidedLeaving]:
        """Return the leavings to be answered now: confirmed ones and those that waited enough."""
        decided = []
        for start_id, pending in list(self._pending.items()):
            waited_ms, kept_by = now_ms - pending.since, len(pending.keepers)
            is_kept = pending.is_stored and kept_by >= pending.wanted_receipts
            if is_kept or waited_ms >= _MAX_WAIT_MS:
                del self._pending[start_id]
                answers = tuple(pending.answers)
                decided.append(
                    DecidedLeaving(start_id, pending.is_stored, kept_by, waited_ms, answers)
                )
        return decided
