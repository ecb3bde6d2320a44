"""The choice of a host for a call: the one expected to finish it soonest at least cost.

Answers the load of a service whose hosts differ in speed and fill up unevenly: a host's cost is
its own mean time for the route, stretched as it fills up, plus a surcharge for leaving the failure
domain and for failures. Hosts with the same cost share the load by their speed, because faster
ones fill up later. Controller without I/O.
"""

import random
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.members import Member
from gooseberrydock.mesh.model import Route
from gooseberrydock.messages import TargetReport

_SERVICE_TIME_WEIGHT: Final = 0.3
"""Weight of a new report against the mean so far; reports are means themselves."""
_FILL_START: Final = 0.6
"""Share of the slots in use from which a host's cost rises."""
_FILL_SLOPE: Final = 1.0
"""Shares of the target latency that a host costs more per share of its slots beyond the start.

Other failure domains must be used before the fill at which targets call for less work."""
_FULL_START: Final = 0.85
_FULL_SLOPE: Final = 4.0
"""The same from where a host is nearly full: no speed makes up for that."""
_TAIL_WEIGHT: Final = 3.0
_TAIL_MOST: Final = 0.5
"""Weight of the part of the time limit that a host's mean time takes, and the most it may count,
as a share of the target latency: the slower the host, the more of its runs end at the limit."""
_DOMAIN_SURCHARGE: Final = 0.2
"""Share of the target latency that leaving the failure domain is taken to cost."""
_FAILURE_SURCHARGE: Final = 0.5
"""Share of the target latency that a host is taken to cost where all its requests fail."""
_FAILURE_WEIGHT: Final = 0.05
"""Weight of one more result in a host's share of failures."""
_COLD_FACTOR: Final = 2.0
"""How much slower a host is taken to be while it is cold, until reports say otherwise."""
_HOLD_MS: Final[Millis] = 300.0
"""How long a host is left out after its node could not hand on a call."""
_MAX_HOLD_MS: Final[Millis] = 3_000.0
"""The longest such time; it doubles with each failure in a row."""
_UNREACHED_HOLD_MS: Final[Millis] = 8_000.0
"""How long a host is left out whose link was lost, unless a new link is open before."""
_PATIENCE_FACTOR: Final = 6.0
"""How many mean run times a call may take before its answer is taken for lost: few runs of a sound
target last half as long."""
_PATIENCE_MIN_MS: Final[Millis] = 60.0
"""Least such time, above what the network and a pause of a node add to a short run."""
_ROOMY_FILL: Final = 0.9
"""Fill of a host from which a call may just be waiting there."""
_NEW_HOST_FACTOR: Final = 0.5
"""How much faster than others a host is taken to be that nothing is known of, so that it gets
work and shows how fast it is."""
_MAX_DOUBLINGS: Final = 4
_SAMPLE_OWN: Final = 3
_SAMPLE_OTHER: Final = 2
"""How many hosts inside and outside the failure domain are compared in a large service."""


@attrs.define
class HostStats:
    """Hold what this node's own calls showed of one host."""

    own_calls: int = 0
    sent_since_report: int = 0
    reported_calls: int = 0
    limit: int = 0
    failure_share: float = 0.0
    ejected_until: Millis = 0.0
    consecutive_refusals: int = 0
    service_ms: dict[str, Millis] = attrs.field(factory=dict)

    @property
    def utilization(self) -> float:
        """Return the share of the slots in use once one more call is sent."""
        if not self.limit:
            return 0.0
        in_flight = max(self.own_calls, self.reported_calls + self.sent_since_report)
        return (in_flight + 1) / self.limit


@attrs.define
class HostSelector:
    """Choose hosts and learn from what became of the calls."""

    _failure_domain: str
    _random: random.Random
    _stats: dict[str, HostStats] = attrs.field(factory=dict)
    _route_ms: dict[str, Millis] = attrs.field(factory=dict)

    @property
    def stats(self) -> dict[str, HostStats]:
        """Return what is known of each host, by node id."""
        return self._stats

    def choose(
        self, now_ms: Millis, route: Route, hosts: list[Member], tried: set[str]
    ) -> Member | None:
        """Return the host with the least expected cost, or None where none is left."""
        best: Member | None = None
        best_cost = float("inf")
        held: list[Member] = []
        for host in self._sample(hosts):
            if host.node_id in tried:
                continue
            if self._of(host.node_id).ejected_until > now_ms:
                held.append(host)
                continue
            cost = self.cost(route, host)
            if cost < best_cost:
                best, best_cost = host, cost
        if best is None:
            best = self._choose_rest(now_ms, hosts, tried, held)
        return best

    def has_usable(self, now_ms: Millis, hosts: list[Member]) -> bool:
        """Say whether some host is not left out now."""
        return any(self._of(host.node_id).ejected_until <= now_ms for host in hosts)

    def cost(self, route: Route, host: Member) -> Millis:
        """Return what a call is expected to cost at a host."""
        stats = self._of(host.node_id)
        known_ms = stats.service_ms.get(route.name)
        if known_ms is None:
            known_ms = self._route_ms.get(route.name, 0.0)
            known_ms *= _COLD_FACTOR if host.is_cold else _NEW_HOST_FACTOR
        cost = known_ms
        scale_ms = min(route.target_latency_ms, route.timeout_ms)
        utilization = stats.utilization
        if utilization > _FILL_START:
            cost += scale_ms * (utilization - _FILL_START) * _FILL_SLOPE
        if utilization > _FULL_START:
            cost += scale_ms * (utilization - _FULL_START) * _FULL_SLOPE
        tail_ms = known_ms * known_ms / route.timeout_ms * _TAIL_WEIGHT
        cost += min(tail_ms, _TAIL_MOST * scale_ms)
        if host.failure_domain != self._failure_domain:
            cost += _DOMAIN_SURCHARGE * scale_ms
        return cost + _FAILURE_SURCHARGE * scale_ms * stats.failure_share

    def on_sent(self, node_id: str) -> None:
        """Count a call that was sent to a host."""
        stats = self._of(node_id)
        stats.own_calls += 1
        stats.sent_since_report += 1

    def on_answer(self, node_id: str, route: str, report: TargetReport, has_failed: bool) -> None:
        """Learn from an answer of a host."""
        stats = self._of(node_id)
        stats.own_calls = max(0, stats.own_calls - 1)
        stats.sent_since_report = 0
        stats.reported_calls = report.in_flight
        stats.limit = report.limit
        stats.consecutive_refusals = 0
        stats.failure_share += (has_failed - stats.failure_share) * _FAILURE_WEIGHT
        if report.service_ms > 0:
            stats.service_ms[route] = report.service_ms
            mean_ms = self._route_ms.get(route, report.service_ms)
            mean_ms += (report.service_ms - mean_ms) * _SERVICE_TIME_WEIGHT
            self._route_ms[route] = mean_ms

    def on_unavailable(self, now_ms: Millis, node_id: str) -> None:
        """Leave a host out for a while whose node has no target for the call."""
        stats = self._of(node_id)
        stats.own_calls = max(0, stats.own_calls - 1)
        hold_ms = min(_MAX_HOLD_MS, _HOLD_MS * 2.0**stats.consecutive_refusals)
        stats.ejected_until = max(stats.ejected_until, now_ms + hold_ms)
        stats.consecutive_refusals = min(stats.consecutive_refusals + 1, _MAX_DOUBLINGS)

    def on_link_lost(self, now_ms: Millis, node_id: str) -> None:
        """Leave a host out whose link was lost, until a new one is open."""
        self._of(node_id).ejected_until = now_ms + _UNREACHED_HOLD_MS

    def response_timeout_ms(self, node_id: str, route: str) -> Millis | None:
        """Return after which time the answer of a host counts as lost, if that can be told."""
        stats = self._of(node_id)
        mean_ms = max(stats.service_ms.get(route, 0.0), self._route_ms.get(route, 0.0))
        return max(_PATIENCE_MIN_MS, mean_ms * _PATIENCE_FACTOR) if mean_ms else None

    def has_capacity(self, node_id: str) -> bool:
        """Say whether calls run at a host as soon as they arrive."""
        return self._of(node_id).utilization < _ROOMY_FILL

    def on_response_timeout(self, node_id: str) -> None:
        """Learn that a host's answer counts as lost."""
        stats = self._of(node_id)
        stats.failure_share += (1.0 - stats.failure_share) * _FAILURE_WEIGHT

    def on_link_opened(self, node_id: str) -> None:
        """Use a host again, now that a link to it is open."""
        self._of(node_id).ejected_until = 0.0

    def on_call_abandoned(self, node_id: str) -> None:
        """Forget a call whose answer will not come."""
        stats = self._of(node_id)
        stats.own_calls = max(0, stats.own_calls - 1)

    def forget(self, node_id: str) -> None:
        """Forget a host that restarted or left."""
        self._stats.pop(node_id, None)

    def _of(self, node_id: str) -> HostStats:
        stats = self._stats.get(node_id)
        if stats is None:
            stats = self._stats[node_id] = HostStats()
        return stats

    def _sample(self, hosts: list[Member]) -> list[Member]:
        """Return all hosts of a small service, or some inside and some outside the domain."""
        if len(hosts) <= _SAMPLE_OWN + _SAMPLE_OTHER:
            return hosts
        own = [host for host in hosts if host.failure_domain == self._failure_domain]
        other = [host for host in hosts if host.failure_domain != self._failure_domain]
        sampled = self._random.sample(own, min(len(own), _SAMPLE_OWN))
        return sampled + self._random.sample(other, min(len(other), _SAMPLE_OTHER))

    def _choose_rest(
        self, now_ms: Millis, hosts: list[Member], tried: set[str], held: list[Member]
    ) -> Member | None:
        """Choose among hosts outside the sample, and at last among those left out."""
        rest = [host for host in hosts if host.node_id not in tried]
        usable = [host for host in rest if self._of(host.node_id).ejected_until <= now_ms]
        if usable:
            return self._random.choice(usable)
        candidates = held or rest
        if not candidates:
            return None
        return min(candidates, key=lambda host: self._of(host.node_id).ejected_until)


def create_host_selector(failure_domain: str, seed: int) -> HostSelector:
    """Make a placement controller with its own seeded random generator."""
    return HostSelector(failure_domain, random.Random(seed))
