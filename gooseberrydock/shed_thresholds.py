"""Cut levels that other services reported, as known on this node.

Answers carry the levels of the services they passed through. The board keeps a weighted mean
per service for this node's own decisions, and lets a level relax once no report renews it. To
callers it passes on the latest report, so that only the node which decides smooths.
"""

import attrs

from gooseberrydock import defaults
from gooseberrydock.clock import Millis
from gooseberrydock.messages import ShedThresholdReport
from gooseberrydock.ranks import MAX_RANK


@attrs.define
class _KnownCut:
    """Hold what is known about one service."""

    level: float
    latest: float
    reported_at: Millis


def _weight(reported: float, current: float) -> float:
    """Return the weight of a report; the hosts of a service that shed less count more.

    A call that one host sheds moves to another, so the mean would shed too much.
    """
    return (
        defaults.SHED_RAISE_SMOOTHING_FACTOR
        if reported > current
        else defaults.SHED_LOWER_SMOOTHING_FACTOR
    )


@attrs.define
class ShedThresholds:
    """Remember the cut levels of services beyond this node."""

    _cuts: dict[str, _KnownCut] = attrs.field(factory=dict)

    def observe(self, now_ms: Millis, reports: tuple[ShedThresholdReport, ...]) -> None:
        """Take in the levels that an answer carried."""
        for report in reports:
            known = self._cuts.get(report.service)
            if known is None:
                self._cuts[report.service] = _KnownCut(report.level, report.level, now_ms)
                continue
            current = self._relaxed(now_ms, known, known.level)
            known.latest = report.level
            known.level = current + (report.level - current) * _weight(report.level, current)
            known.reported_at = now_ms

    def level(self, now_ms: Millis, service: str) -> float:
        """Return the rank above which a service is believed to shed."""
        known = self._cuts.get(service)
        if known is None:
            return MAX_RANK
        return self._relaxed(now_ms, known, known.level)

    def reports(self, now_ms: Millis) -> tuple[ShedThresholdReport, ...]:
        """Return the levels to pass on to callers; forget those that no longer cut."""
        reports = []
        for service, known in list(self._cuts.items()):
            level = self._relaxed(now_ms, known, known.latest)
            if level >= MAX_RANK and now_ms - known.reported_at > defaults.SHED_REPORT_VALID_MS:
                del self._cuts[service]
                continue
            reports.append(ShedThresholdReport(service, level))
        return tuple(reports)

    def _relaxed(self, now_ms: Millis, known: _KnownCut, level: float) -> float:
        """Return the level after it relaxed linearly towards no cut at all."""
        overdue_ms = now_ms - known.reported_at - defaults.SHED_REPORT_VALID_MS
        if overdue_ms <= 0:
            return level
        share = min(1.0, overdue_ms / defaults.SHED_REPORT_DECAY_MS)
        return level + (MAX_RANK - level) * share
