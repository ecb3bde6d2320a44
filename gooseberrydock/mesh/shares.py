"""Load shedding at the entry: refuses requests while a service downstream is overloaded.

Handles the overload of a whole call path before any work is done on it. Targets' nodes report the
share of a route that they and all services downstream of them can take, and the entry admits that
share of the less important requests. Requests of priority 0 are shed only after nearly all others.
While most requests of a route fail, only a part of them is tried, whatever their priority.
Performs no I/O.
"""

import random
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.mesh.model import Route
from gooseberrydock.messages import ShareNotice

_MAX_REPORT_AGE_DIFFERENCE_MS: Final[Millis] = 1_000.0
"""Reports that are older than the newest one of the route by more than this are ignored."""
_REPORT_VALIDITY_MS: Final[Millis] = 500.0
"""Time for which the newest report is used unchanged, because few reports return while few requests
are admitted."""
_RECOVERY_MS: Final[Millis] = 5_000.0
"""Time in which the share of a route without new reports rises from 0 to 1, once its newest report
is no longer valid."""
_IMPORTANT_SHED_THRESHOLD: Final = 0.12
"""Share of the less important requests below which important ones (of priority 0) are shed too."""
_RESULT_WEIGHT: Final = 0.04
"""Weight of one result in the exponentially weighted moving average of a route's success ratio;
about 25 results show a change."""
_SHARE_PER_SUCCESS_RATIO: Final = 3.0
"""Share of requests tried per success ratio: all are tried while at least one in three succeeds."""
_MIN_SUCCESS_BASED_SHARE: Final = 0.2
"""Share of requests tried while none succeeds, so that a recovery is noticed within a second."""
_MIN_IMPORTANT_SHARE: Final = 0.5
"""Lower bound of the admitted share of important requests; the others are shed first, which frees
the capacity that important ones need."""
_MIN_RETRY_AFTER_SHARE: Final = 0.2
_MAX_RETRY_AFTER_SHARE: Final = 0.5
"""Bounds of the time after which refused callers may retry, as shares of the target latency."""
_RETRY_AFTER_JITTER: Final = 0.3
"""Jitter of this time, as a share of it, so that refused callers do not all retry at once."""
_MIN_ADMITTED_SHARE: Final = 0.05
"""Lower bound of the share admitted, so that a recovery is noticed."""


@attrs.frozen
class ShareReport:
    """Report of one host on the share of a route that it can take."""

    share: float
    capacity: float
    received_at: Millis


@attrs.define
class AdmittedShares:
    """Track the share of each route that its hosts can take, and admit requests by it."""

    _random: random.Random
    _reports: dict[str, dict[str, ShareReport]] = attrs.field(factory=dict)
    _success_ratios: dict[str, float] = attrs.field(factory=dict)

    @property
    def routes(self) -> list[str]:
        """Return the routes with reports of hosts."""
        return list(self._reports)

    def on_report(
        self, now_ms: Millis, route: str, node_id: str, share: float, capacity: float
    ) -> None:
        """Record the report of a host on a route."""
        reports = self._reports.get(route)
        if reports is None:
            reports = self._reports[route] = {}
        reports[node_id] = ShareReport(share, capacity, now_ms)

    def forget(self, node_id: str) -> None:
        """Discard the reports of a host that restarted or left."""
        for reports in self._reports.values():
            reports.pop(node_id, None)

    def on_notice(self, now_ms: Millis, node_id: str, notice: ShareNotice) -> None:
        """Record a host's notice of routes whose share changed."""
        for route, share in notice.admitted_shares.items():
            self.on_report(now_ms, route, node_id, share, notice.limit)

    def on_result(self, route: str, is_success: bool) -> None:
        """Record whether a request that reached a target succeeded."""
        success_ratio = self._success_ratios.get(route, 1.0)
        self._success_ratios[route] = success_ratio + (is_success - success_ratio) * _RESULT_WEIGHT

    def success_based_share(self, route: str) -> float:
        """Return the share of a route's requests to try, which is low if most of them fail."""
        success_ratio = self._success_ratios.get(route, 1.0)
        return min(1.0, max(_MIN_SUCCESS_BASED_SHARE, success_ratio * _SHARE_PER_SUCCESS_RATIO))

    def decision_inputs(self, now_ms: Millis, route: str) -> dict[str, float]:
        """Return the inputs of decisions on a route and the age of its newest report, for logs."""
        received_at = [report.received_at for report in self._reports.get(route, {}).values()]
        inputs = {
            "share": round(self.share_of(now_ms, route), 3),
            "hope": round(self.success_based_share(route), 3),
        }
        if received_at:
            inputs["share_age_ms"] = round(now_ms - max(received_at), 1)
        return inputs

    def share_of(self, now_ms: Millis, route: str) -> float:
        """Return the share of a route to admit: the hosts' mean, weighted by capacity."""
        reports = self._reports.get(route)
        if not reports:
            return 1.0
        newest = max(report.received_at for report in reports.values())
        weight = 0.0
        total = 0.0
        for report in reports.values():
            if report.received_at >= newest - _MAX_REPORT_AGE_DIFFERENCE_MS:
                weight += report.capacity
                total += report.share * report.capacity
        if not weight:
            return 1.0
        recovered_share = max(0.0, now_ms - newest - _REPORT_VALIDITY_MS) / _RECOVERY_MS
        return min(1.0, total / weight + recovered_share)

    def admits(self, now_ms: Millis, route: str, priority: int) -> bool:
        """Return whether to admit one request."""
        success_share = self.success_based_share(route)
        if success_share < 1.0 and self._random.random() >= success_share:
            return False
        share = self.share_of(now_ms, route)
        if share >= 1.0:
            return True
        if priority == 0:
            share = max(_MIN_IMPORTANT_SHARE, min(1.0, share / _IMPORTANT_SHED_THRESHOLD))
        return self._random.random() < max(share, _MIN_ADMITTED_SHARE)

    def retry_after(self, now_ms: Millis, route: Route) -> Millis:
        """Return the time after which a refused caller should retry, within the target latency.

        It grows with the share of requests shed and has jitter, so that retries do not coincide.
        """
        shed_share = 1.0 - self.share_of(now_ms, route.name)
        wait_share = (
            _MIN_RETRY_AFTER_SHARE + (_MAX_RETRY_AFTER_SHARE - _MIN_RETRY_AFTER_SHARE) * shed_share
        )
        jitter = self._random.uniform(1.0 - _RETRY_AFTER_JITTER, 1.0 + _RETRY_AFTER_JITTER)
        return route.target_latency_ms * wait_share * jitter


def create_admitted_shares(seed: int) -> AdmittedShares:
    """Create admitted shares without reports, with a seeded random generator."""
    return AdmittedShares(random.Random(seed))
