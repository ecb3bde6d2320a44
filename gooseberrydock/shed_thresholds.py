"""Shed thresholds that other services reported, as known on this node.

Answers carry the shed thresholds of the services they passed through. For its own decisions, the
node keeps an exponentially weighted moving average per service. A threshold that no report renews
decays towards no shedding. The node passes the latest report on to its callers, not the average,
so that smoothing happens only once, on the node that decides.
"""

import attrs

from gooseberrydock import defaults
from gooseberrydock.clock import Millis
from gooseberrydock.messages import ShedThresholdReport
from gooseberrydock.ranks import MAX_RANK


@attrs.define
class _ServiceThreshold:
    """State of the shed threshold of one service."""

    threshold: float
    latest_reported: float
    reported_at: Millis


def _smoothing_factor(reported_threshold: float, current_threshold: float) -> float:
    """Return the smoothing factor of a report, which is larger for a rise of the threshold."""
    # A call that one host sheds is sent to another host. Equal weights would therefore shed too
    # much, so the hosts of a service that shed less count more.
    return (
        defaults.SHED_RAISE_SMOOTHING_FACTOR
        if reported_threshold > current_threshold
        else defaults.SHED_LOWER_SMOOTHING_FACTOR
    )


@attrs.define
class ShedThresholds:
    """Keep the shed thresholds of services beyond this node."""

    _thresholds: dict[str, _ServiceThreshold] = attrs.field(factory=dict)

    def observe(self, now_ms: Millis, reports: tuple[ShedThresholdReport, ...]) -> None:
        """Record the shed thresholds that an answer carried."""
        for report in reports:
            state = self._thresholds.get(report.service)
            if state is None:
                self._thresholds[report.service] = _ServiceThreshold(
                    report.threshold, report.threshold, now_ms
                )
                continue
            current_threshold = self._decayed(now_ms, state, state.threshold)
            state.latest_reported = report.threshold
            state.threshold = current_threshold + (
                report.threshold - current_threshold
            ) * _smoothing_factor(report.threshold, current_threshold)
            state.reported_at = now_ms

    def threshold(self, now_ms: Millis, service: str) -> float:
        """Return the rank above which a service is assumed to shed."""
        state = self._thresholds.get(service)
        if state is None:
            return MAX_RANK
        return self._decayed(now_ms, state, state.threshold)

    def reports(self, now_ms: Millis) -> tuple[ShedThresholdReport, ...]:
        """Return the thresholds to pass on to callers, and drop those that shed nothing anymore."""
        reports = []
        for service, state in list(self._thresholds.items()):
            threshold = self._decayed(now_ms, state, state.latest_reported)
            if threshold >= MAX_RANK and now_ms - state.reported_at > defaults.SHED_REPORT_VALID_MS:
                del self._thresholds[service]
                continue
            reports.append(ShedThresholdReport(service, threshold))
        return tuple(reports)

    def _decayed(self, now_ms: Millis, state: _ServiceThreshold, threshold: float) -> float:
        """Return the threshold, which decays linearly towards no shedding without reports."""
        overdue_ms = now_ms - state.reported_at - defaults.SHED_REPORT_VALID_MS
        if overdue_ms <= 0:
            return threshold
        share = min(1.0, overdue_ms / defaults.SHED_REPORT_DECAY_MS)
        return threshold + (MAX_RANK - threshold) * share
