"""Which requests the entry turns away when a service on their path is short of room.

Answers a whole path's overload before any work is done on it: targets' nodes report how much of a
route they and everything below them can take, and the entry admits that share of the less
important requests. Requests of priority 0 pass until nothing else is left to turn away.
Controller without I/O.
"""

import random
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.mesh.model import Route
from gooseberrydock.messages import ShareNotice

_REPORT_LIFETIME_MS: Final[Millis] = 1_000.0
"""How much older than the newest report of a route another one may be to count."""
_REPORT_HOLD_MS: Final[Millis] = 500.0
"""How long the newest report counts in full; where few requests pass, few reports come back."""
_RELAX_MS: Final[Millis] = 5_000.0
"""Time in which a route without new reports is trusted again."""
_IMPORTANT_FLOOR: Final = 0.12
"""Share of the others below which important requests are turned away too."""
_ENDING_WEIGHT: Final = 0.04
"""Weight of one ending in a route's share of successes: some 25 endings show a change."""
_HOPE_PER_SUCCESS: Final = 3.0
"""All requests are tried as long as one in three succeeds."""
_LEAST_HOPE: Final = 0.2
"""Share tried where nothing succeeds, so that recovery shows within a second."""
_IMPORTANT_LEAST: Final = 0.5
"""Share of important requests always admitted: what they lack, others have given up before."""
_RETURN_MIN_SHARE: Final = 0.2
_RETURN_MAX_SHARE: Final = 0.5
"""Shares of the target latency after which refused callers may return."""
_RETURN_SPREAD: Final = 0.3
"""Largest part by which a caller's wait differs from that, so that returns do not come at once."""
_PROBE_SHARE: Final = 0.05
"""Least share admitted, so that recovery shows."""


@attrs.frozen
class ShareReport:
    """Hold what one host reported of a route."""

    share: float
    limit: int
    received_at: Millis


@attrs.define
class AdmittedShares:
    """Keep the share of each route that its hosts can take, and decide by it."""

    _random: random.Random
    _reports: dict[str, dict[str, ShareReport]] = attrs.field(factory=dict)
    _success: dict[str, float] = attrs.field(factory=dict)

    @property
    def routes(self) -> list[str]:
        """Return the routes that hosts reported of."""
        return list(self._reports)

    def on_report(self, now_ms: Millis, route: str, node_id: str, share: float, limit: int) -> None:
        """Take in what a host reported of a route."""
        reports = self._reports.get(route)
        if reports is None:
            reports = self._reports[route] = {}
        reports[node_id] = ShareReport(share, limit, now_ms)

    def on_notice(self, now_ms: Millis, node_id: str, notice: ShareNotice) -> None:
        """Take in what a host told of routes whose share changed."""
        for route, share in notice.admitted_shares.items():
            self.on_report(now_ms, route, node_id, share, notice.limit)

    def on_result(self, route: str, is_success: bool) -> None:
        """Take in how a request that reached a target ended."""
        known = self._success.get(route, 1.0)
        self._success[route] = known + (is_success - known) * _ENDING_WEIGHT

    def success_based_share(self, route: str) -> float:
        """Return the share of a route worth trying: few, where nearly all fail."""
        success = self._success.get(route, 1.0)
        return min(1.0, max(_LEAST_HOPE, success * _HOPE_PER_SUCCESS))

    def explain(self, now_ms: Millis, route: str) -> dict[str, float]:
        """Return what decides about requests of a route now, with its age, for the log."""
        received_at = [report.received_at for report in self._reports.get(route, {}).values()]
        inputs = {
            "share": round(self.share_of(now_ms, route), 3),
            "hope": round(self.success_based_share(route), 3),
        }
        if received_at:
            inputs["share_age_ms"] = round(now_ms - max(received_at), 1)
        return inputs

    def share_of(self, now_ms: Millis, route: str) -> float:
        """Return the share of a route to admit: the hosts' mean, weighted by their slots."""
        reports = self._reports.get(route)
        if not reports:
            return 1.0
        newest = max(report.received_at for report in reports.values())
        weight = 0
        total = 0.0
        for report in reports.values():
            if report.received_at >= newest - _REPORT_LIFETIME_MS:
                weight += report.limit
                total += report.share * report.limit
        if not weight:
            return 1.0
        relaxed = max(0.0, now_ms - newest - _REPORT_HOLD_MS) / _RELAX_MS
        return min(1.0, total / weight + relaxed)

    def admits(self, now_ms: Millis, route: str, priority: int) -> bool:
        """Decide about one request."""
        hope = self.success_based_share(route)
        if hope < 1.0 and self._random.random() >= hope:
            return False
        share = self.share_of(now_ms, route)
        if share >= 1.0:
            return True
        if priority == 0:
            share = max(_IMPORTANT_LEAST, min(1.0, share / _IMPORTANT_FLOOR))
        return self._random.random() < max(share, _PROBE_SHARE)

    def retry_after(self, now_ms: Millis, route: Route) -> Millis:
        """Return when a refused caller had best come back: soon enough to be in time still.

        The less room there is, the later; spread, so that the refused do not return together.
        """
        shortage = 1.0 - self.share_of(now_ms, route.name)
        wait_share = _RETURN_MIN_SHARE + (_RETURN_MAX_SHARE - _RETURN_MIN_SHARE) * shortage
        spread = self._random.uniform(1.0 - _RETURN_SPREAD, 1.0 + _RETURN_SPREAD)
        return route.target_latency_ms * wait_share * spread


def create_admitted_shares(seed: int) -> AdmittedShares:
    """Make a controller with its own seeded random generator."""
    return AdmittedShares(random.Random(seed))
