"""What targets on other hosts stated in their answers, kept for their nodes.

The node beside a target forgets what the target stated when it restarts, and the target's answers
state it again only after requests. The nodes that passed such answers on still know it, and so do
those to which the node sent that its target is leaving. They send it as the first messages on each
new link to that node. Performs no I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.mesh.left_starts import LeftStarts
from gooseberrydock.messages import LeavingNotice, TargetNotice, TargetReport

_MEMORY_MS: Final[Millis] = 60_000.0
"""Time for which a limit is kept after the last answer, and a leaving after it began; a leaving
target ends long before."""


@attrs.define
class RememberedLimit:
    """Latest rate limit that one start of a target named."""

    start_id: str
    heard_at: Millis
    rate_limit: float


@attrs.define
class StatementMemory:
    """Remember by node what its target stated in answers, and which of its starts have left."""

    _limits: dict[str, RememberedLimit] = attrs.field(factory=dict)
    _left: dict[str, LeftStarts] = attrs.field(factory=dict)

    def on_report(
        self, now_ms: Millis, node_id: str, report: TargetReport, is_answer: bool
    ) -> None:
        """Record the report of a node; one without an answer may come from a restarted node."""
        if report.is_leaving and report.start_id:
            self._add_left(now_ms, node_id, report.start_id, now_ms)
        if report.start_id and report.rate_limit:
            if node_id not in self._limits:
                self._drop_old(now_ms)
            self._limits[node_id] = RememberedLimit(report.start_id, now_ms, report.rate_limit)
        elif report.start_id or is_answer:
            self._limits.pop(node_id, None)

    def on_leaving(self, now_ms: Millis, node_id: str, notice: LeavingNotice) -> None:
        """Record that a node's target is leaving."""
        self._add_left(now_ms, node_id, notice.start_id, now_ms - notice.leaving_for_ms)

    def _add_left(self, now_ms: Millis, node_id: str, start_id: str, leaving_since: Millis) -> None:
        if node_id not in self._left:
            self._drop_old(now_ms)
            self._left[node_id] = LeftStarts()
        self._left[node_id].add(start_id, leaving_since)

    def notices_for(self, now_ms: Millis, node_id: str) -> list[TargetNotice]:
        """Return what a node's target stated lately."""
        self._drop_old(now_ms)
        notices = []
        limit = self._limits.get(node_id)
        if limit is not None:
            notices.append(TargetNotice(limit.start_id, limit.rate_limit, False, 0.0))
        for left in self._left.get(node_id, LeftStarts()).all:
            leaving_for_ms = max(0.0, now_ms - left.leaving_since)
            notices.append(TargetNotice(left.start_id, 0.0, True, leaving_for_ms))
        return notices

    def leaving_nodes(self, now_ms: Millis) -> list[str]:
        """Return the nodes whose target stated lately that it is leaving."""
        self._drop_old(now_ms)
        return list(self._left)

    def _drop_old(self, now_ms: Millis) -> None:
        oldest_ms = now_ms - _MEMORY_MS
        self._limits = {
            node_id: limit for node_id, limit in self._limits.items() if limit.heard_at >= oldest_ms
        }
        for left in self._left.values():
            left.drop_before(oldest_ms)
        self._left = {node_id: left for node_id, left in self._left.items() if left.all}
