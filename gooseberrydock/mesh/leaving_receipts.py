"""Decide when a target's leaving is acknowledged to it.

An acknowledgement binds beyond the process that gives it: after a restart, the node must not use
the target again because of an announcement from before. It is therefore sent only once other nodes
have confirmed that they keep it for this node (``statement_memory.py``). A target waits for it
before it ends, so that it is sent without confirmations after a short time. Performs no I/O.
"""

from collections.abc import Callable
from typing import Final

import attrs

from gooseberrydock.clock import Millis

_WANTED_RECEIPTS: Final = 2
"""Nodes that keep a leaving before it is acknowledged; one of them may fail with this node."""
_MAX_WAIT_MS: Final[Millis] = 400.0
"""Longest time for which an acknowledgement is held back; targets wait for a second."""

Acknowledge = Callable[[], None]


@attrs.define
class _PendingLeaving:
    """A leaving that is not acknowledged yet."""

    since: Millis
    wanted_receipts: int
    acknowledge: list[Acknowledge] = attrs.field(factory=list)
    holders: set[str] = attrs.field(factory=set)


@attrs.frozen
class AcknowledgedLeaving:
    """A leaving that may be acknowledged now, and the nodes that keep it."""

    start_id: str
    holders: int
    waited_ms: Millis
    acknowledge: tuple[Acknowledge, ...]


@attrs.define
class LeavingReceipts:
    """Hold acknowledgements of leaving back until other nodes keep them."""

    _pending: dict[str, _PendingLeaving] = attrs.field(factory=dict)

    def hold(
        self, now_ms: Millis, start_id: str, asked_nodes: int, acknowledge: Acknowledge
    ) -> None:
        """Hold an acknowledgement back until some of the asked nodes have confirmed."""
        wanted = min(asked_nodes, _WANTED_RECEIPTS)
        pending = self._pending.setdefault(start_id, _PendingLeaving(now_ms, wanted))
        pending.wanted_receipts = wanted
        pending.acknowledge.append(acknowledge)

    def on_receipt(self, start_id: str, node_id: str) -> None:
        """Record that a node keeps the leaving of a start."""
        pending = self._pending.get(start_id)
        if pending is not None:
            pending.holders.add(node_id)

    def take_due(self, now_ms: Millis) -> list[AcknowledgedLeaving]:
        """Return the leavings to acknowledge now: confirmed ones and those that waited enough."""
        due = []
        for start_id, pending in list(self._pending.items()):
            waited_ms, holders = now_ms - pending.since, len(pending.holders)
            if holders >= pending.wanted_receipts or waited_ms >= _MAX_WAIT_MS:
                del self._pending[start_id]
                acknowledge = tuple(pending.acknowledge)
                due.append(AcknowledgedLeaving(start_id, holders, waited_ms, acknowledge))
        return due
