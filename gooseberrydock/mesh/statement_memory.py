"""What targets on other hosts stated in their answers, kept for their nodes.

The node beside a target forgets what the target stated when it restarts, and the target's answers
state it again only after requests. The nodes that passed such answers on still know it, and so do
those to which the node sent that its target is leaving. They send it as the first message on each
new link to that node. Performs no I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.messages import LeavingNotice, TargetNotice, TargetReport

_MEMORY_MS: Final[Millis] = 60_000.0
"""Time after the last answer for which a statement is kept; a leaving target ends long before."""


@attrs.define
class RememberedStatement:
    """Latest statement of one start of a target; ``leaving_since`` is None if it stays."""

    start_id: str
    heard_at: Millis
    rate_limit: float = 0.0
    leaving_since: Millis | None = None


@attrs.define
class StatementMemory:
    """Remember by node what its target stated in answers to this node's requests."""

    _by_node: dict[str, RememberedStatement] = attrs.field(factory=dict)

    def on_report(
        self, now_ms: Millis, node_id: str, report: TargetReport, is_answer: bool
    ) -> None:
        """Record the report of a node; one without an answer may come from a restarted node."""
        if not report.start_id:
            if is_answer:
                self._on_nothing_stated(node_id)
            return
        known = self._statement_of(now_ms, node_id, report.start_id)
        known.rate_limit = report.rate_limit
        if report.is_leaving and known.leaving_since is None:
            known.leaving_since = now_ms

    def on_leaving(self, now_ms: Millis, node_id: str, notice: LeavingNotice) -> None:
        """Record that a node's target is leaving."""
        known = self._statement_of(now_ms, node_id, notice.start_id)
        leaving_since = now_ms - notice.leaving_for_ms
        if known.leaving_since is None or leaving_since < known.leaving_since:
            known.leaving_since = leaving_since

    def _statement_of(self, now_ms: Millis, node_id: str, start_id: str) -> RememberedStatement:
        """Return what is kept of a start, which takes the place of the node's earlier starts."""
        known = self._by_node.get(node_id)
        if known is None or known.start_id != start_id:
            self._drop_old(now_ms)
            known = self._by_node[node_id] = RememberedStatement(start_id, now_ms)
        known.heard_at = now_ms
        return known

    def notice_for(self, now_ms: Millis, node_id: str) -> TargetNotice | None:
        """Return what a node's target stated lately, or None."""
        known = self._by_node.get(node_id)
        if known is None or now_ms - known.heard_at > _MEMORY_MS:
            return None
        is_leaving = known.leaving_since is not None
        leaving_for_ms = now_ms - known.leaving_since if known.leaving_since is not None else 0.0
        return TargetNotice(known.start_id, known.rate_limit, is_leaving, leaving_for_ms)

    def leaving_nodes(self, now_ms: Millis) -> list[str]:
        """Return the nodes whose target stated lately that it is leaving."""
        oldest_ms = now_ms - _MEMORY_MS
        return [
            node_id
            for node_id, known in self._by_node.items()
            if known.leaving_since is not None and known.heard_at >= oldest_ms
        ]

    def _drop_old(self, now_ms: Millis) -> None:
        oldest_ms = now_ms - _MEMORY_MS
        self._by_node = {
            node_id: known
            for node_id, known in self._by_node.items()
            if known.heard_at >= oldest_ms
        }

    def _on_nothing_stated(self, node_id: str) -> None:
        known = self._by_node.get(node_id)
        if known is not None and known.leaving_since is None:
            del self._by_node[node_id]
