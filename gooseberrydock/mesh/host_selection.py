"""Load balancing: selects the host with the lowest expected cost for a call.

Handles services whose hosts differ in speed and utilization, or name a request rate that they take.
The cost of a host is its mean run time for the route, plus surcharges for high utilization, for run
times near the timeout, for leaving the failure domain and for failures. Where a surcharge is a
share of the target latency, the timeout is used instead if it is shorter. Hosts with the same cost
share the load according to their speed, because the utilization of faster ones rises later.
Performs no I/O.
"""

import random
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.members import Member
from gooseberrydock.mesh.model import Route
from gooseberrydock.mesh.rate_limiter import burst_of
from gooseberrydock.messages import LoadNotice, TargetReport

_RUN_TIME_WEIGHT: Final = 0.3
"""Weight of a new report in the exponentially weighted moving average of a route's run time. The
reports are means themselves."""
_UTILIZATION_THRESHOLD: Final = 0.6
"""Utilization above which the cost of a host rises."""
_UTILIZATION_SLOPE: Final = 1.0
"""Rise of the cost above the threshold, in target latencies per unit of utilization.

It is steep enough that hosts in other failure domains are used below the utilization at which
targets ask for load shedding."""
_HIGH_UTILIZATION_THRESHOLD: Final = 0.85
_HIGH_UTILIZATION_SLOPE: Final = 4.0
"""The same for a host with nearly all slots in use: no speed makes up for the lack of slots."""
_TAIL_WEIGHT: Final = 3.0
_MAX_TAIL_SHARE: Final = 0.5
"""Surcharge for a mean run time near the timeout: the run time times its share of the timeout times
this weight, limited to this share of the target latency. The slower a host, the more of its runs
exceed the timeout."""
_DOMAIN_SURCHARGE: Final = 0.2
"""Cost of leaving the failure domain, as a share of the target latency."""
_FAILURE_SURCHARGE: Final = 0.5
"""Cost of a host whose requests all fail, as a share of the target latency."""
_FAILURE_WEIGHT: Final = 0.05
"""Weight of one result in the exponentially weighted moving average of a host's failure share."""
_COLD_HOST_FACTOR: Final = 2.0
"""Assumed run time of a cold host relative to the route's mean, until it has reported its own."""
_EJECTION_MS: Final[Millis] = 300.0
"""Time for which a host is ejected after its node could not pass on a call to a target."""
_MAX_EJECTION_MS: Final[Millis] = 3_000.0
"""Upper bound of this time, which doubles with each consecutive refusal of this kind."""
_LINK_LOST_EJECTION_MS: Final[Millis] = 8_000.0
"""Time for which a host is ejected after its link was lost, unless a new link is opened before."""
_RESPONSE_TIMEOUT_FACTOR: Final = 6.0
"""Response timeout of a call, after which its answer counts as lost, as a multiple of the mean run
time. Few runs of a healthy target take even half as long."""
_MIN_RESPONSE_TIMEOUT_MS: Final[Millis] = 60.0
"""Lower bound of the response timeout; it exceeds the time that the network and a pause of a node
add to a short run."""
_RATE_REPORT_RECOVERY_MS: Final[Millis] = 2_000.0
"""Time in which the reported use of a host's rate limit falls from 1 to 0 without a new report, so
that a host which is avoided is tried again."""
_MAX_UTILIZATION_WITH_CAPACITY: Final = 0.9
"""Utilization of a host from which a call may have to wait for a slot there."""
_NEW_HOST_FACTOR: Final = 0.5
"""Assumed run time of a host without reports relative to the route's mean. It is below one so that
the host receives calls and its speed becomes known."""
_MAX_EJECTION_DOUBLINGS: Final = 4
"""Bound of the number of doublings, at which the ejection time has reached its upper bound."""
_OWN_DOMAIN_SAMPLE: Final = 8
_OTHER_DOMAINS_SAMPLE: Final = 4
"""Number of hosts inside and outside the failure domain that are compared in a large service."""


@attrs.define
class HostStats:
    """Statistics of one host, from this node's own calls.

    ``own_calls`` counts the calls of this node in flight there, ``reported_calls`` those of all
    nodes by the last report. ``run_ms_by_route`` is the mean run time by route.
    """

    own_calls: int = 0
    sent_since_report: int = 0
    reported_calls: int = 0
    limit: int = 0
    rate_limit: float = 0.0
    rate_used: float = 0.0
    rate_reported_at: Millis = 0.0
    failure_share: float = 0.0
    ejected_until: Millis = 0.0
    consecutive_refusals: int = 0
    run_ms_by_route: dict[str, Millis] = attrs.field(factory=dict)

    def utilization(self, now_ms: Millis) -> float:
        """Return the used share of the tighter of two limits after one more call is sent.

        They are the concurrency limit, and the burst of the rate that the target takes.
        """
        if not self.limit:
            return 0.0
        in_flight = max(self.own_calls, self.reported_calls + self.sent_since_report)
        return max((in_flight + 1) / self.limit, self._rate_utilization(now_ms))

    def on_load(self, now_ms: Millis, load: TargetReport | LoadNotice) -> None:
        """Record the load that the host reports."""
        self.sent_since_report = 0
        self.reported_calls = load.in_flight
        self.limit = load.limit
        self.rate_limit = load.rate_limit
        self.rate_used = load.rate_used
        self.rate_reported_at = now_ms

    def _rate_utilization(self, now_ms: Millis) -> float:
        if not self.rate_limit:
            return 0.0
        unused = (now_ms - self.rate_reported_at) / _RATE_REPORT_RECOVERY_MS
        used = max(0.0, self.rate_used - unused)
        return used + (self.sent_since_report + 1) / burst_of(self.rate_limit)


@attrs.define
class HostSelector:
    """Select hosts for calls and keep statistics of their results."""

    _failure_domain: str
    _random: random.Random
    _stats: dict[str, HostStats] = attrs.field(factory=dict)
    _mean_run_ms_by_route: dict[str, Millis] = attrs.field(factory=dict)

    @property
    def stats(self) -> dict[str, HostStats]:
        """Return the statistics of each host, by node ID."""
        return self._stats

    def choose(
        self, now_ms: Millis, route: Route, hosts: list[Member], tried: set[str]
    ) -> Member | None:
        """Return the untried host with the lowest expected cost, or None if there is none."""
        best: Member | None = None
        best_cost = float("inf")
        is_small_service = len(hosts) <= _OWN_DOMAIN_SAMPLE + _OTHER_DOMAINS_SAMPLE
        ejected: list[Member] = []
        for host in self._sample(hosts):
            if host.node_id in tried:
                continue
            if self._stats_of(host.node_id).ejected_until > now_ms:
                ejected.append(host)
                continue
            cost = self.cost(now_ms, route, host, is_small_service)
            if cost < best_cost:
                best, best_cost = host, cost
        if best is None:
            best = self._choose_fallback(now_ms, hosts, tried, ejected)
        return best

    def has_usable(self, now_ms: Millis, hosts: list[Member]) -> bool:
        """Return whether any of the hosts is not ejected now."""
        return any(self._stats_of(host.node_id).ejected_until <= now_ms for host in hosts)

    def cost(
        self, now_ms: Millis, route: Route, host: Member, is_small_service: bool = True
    ) -> Millis:
        """Return the expected cost of a call at a host.

        Unknown hosts of other failure domains are tried for their speed in a small service only.
        """
        stats = self._stats_of(host.node_id)
        run_ms = stats.run_ms_by_route.get(route.name)
        if run_ms is None:
            run_ms = self._mean_run_ms_by_route.get(route.name, 0.0)
            if host.is_cold:
                run_ms *= _COLD_HOST_FACTOR
            elif is_small_service or host.failure_domain == self._failure_domain:
                run_ms *= _NEW_HOST_FACTOR
        cost = run_ms
        scale_ms = min(route.target_latency_ms, route.timeout_ms)
        utilization = stats.utilization(now_ms)
        if utilization > _UTILIZATION_THRESHOLD:
            cost += scale_ms * (utilization - _UTILIZATION_THRESHOLD) * _UTILIZATION_SLOPE
        if utilization > _HIGH_UTILIZATION_THRESHOLD:
            cost += scale_ms * (utilization - _HIGH_UTILIZATION_THRESHOLD) * _HIGH_UTILIZATION_SLOPE
        tail_ms = run_ms * run_ms / route.timeout_ms * _TAIL_WEIGHT
        cost += min(tail_ms, _MAX_TAIL_SHARE * scale_ms)
        if host.failure_domain != self._failure_domain:
            cost += _DOMAIN_SURCHARGE * scale_ms
        return cost + _FAILURE_SURCHARGE * scale_ms * stats.failure_share

    def on_sent(self, node_id: str) -> None:
        """Record that a call was sent to a host."""
        stats = self._stats_of(node_id)
        stats.own_calls += 1
        stats.sent_since_report += 1

    def on_answer(
        self, now_ms: Millis, node_id: str, route: str, report: TargetReport, has_failed: bool
    ) -> None:
        """Record an answer of a host and the report sent with it."""
        stats = self._stats_of(node_id)
        stats.own_calls = max(0, stats.own_calls - 1)
        stats.on_load(now_ms, report)
        stats.consecutive_refusals = 0
        stats.failure_share += (has_failed - stats.failure_share) * _FAILURE_WEIGHT
        if report.mean_run_ms > 0:
            stats.run_ms_by_route[route] = report.mean_run_ms
            mean_ms = self._mean_run_ms_by_route.get(route, report.mean_run_ms)
            mean_ms += (report.mean_run_ms - mean_ms) * _RUN_TIME_WEIGHT
            self._mean_run_ms_by_route[route] = mean_ms

    def on_load_notice(self, now_ms: Millis, node_id: str, notice: LoadNotice) -> None:
        """Record the load of a host and its run times, also of routes that were not called there.

        In a large service, a node sends too few calls to learn them from its own answers.
        """
        stats = self._stats_of(node_id)
        stats.on_load(now_ms, notice)
        stats.run_ms_by_route.update(notice.run_ms_by_route)

    def on_unavailable(self, now_ms: Millis, node_id: str) -> None:
        """Eject a host whose node has no target for the call, with exponential backoff."""
        stats = self._stats_of(node_id)
        stats.own_calls = max(0, stats.own_calls - 1)
        ejection_ms = min(_MAX_EJECTION_MS, _EJECTION_MS * 2.0**stats.consecutive_refusals)
        stats.ejected_until = max(stats.ejected_until, now_ms + ejection_ms)
        stats.consecutive_refusals = min(stats.consecutive_refusals + 1, _MAX_EJECTION_DOUBLINGS)

    def on_link_lost(self, now_ms: Millis, node_id: str) -> None:
        """Eject a host whose link was lost, until a new link is open or the ejection expires."""
        self._stats_of(node_id).ejected_until = now_ms + _LINK_LOST_EJECTION_MS

    def response_timeout_ms(self, node_id: str, route: str) -> Millis | None:
        """Return the response timeout of calls to a host, or None if no run time is known."""
        stats = self._stats_of(node_id)
        mean_ms = max(
            stats.run_ms_by_route.get(route, 0.0), self._mean_run_ms_by_route.get(route, 0.0)
        )
        return (
            max(_MIN_RESPONSE_TIMEOUT_MS, mean_ms * _RESPONSE_TIMEOUT_FACTOR) if mean_ms else None
        )

    def has_capacity(self, now_ms: Millis, node_id: str) -> bool:
        """Return whether a host has free slots, so that calls run as soon as they arrive."""
        return self._stats_of(node_id).utilization(now_ms) < _MAX_UTILIZATION_WITH_CAPACITY

    def on_response_timeout(self, node_id: str) -> None:
        """Record that a call to a host exceeded its response timeout."""
        stats = self._stats_of(node_id)
        stats.failure_share += (1.0 - stats.failure_share) * _FAILURE_WEIGHT

    def on_link_opened(self, node_id: str) -> None:
        """End the ejection of a host now that a link to it is open."""
        self._stats_of(node_id).ejected_until = 0.0

    def on_call_abandoned(self, node_id: str) -> None:
        """Record that no answer to a call will arrive."""
        stats = self._stats_of(node_id)
        stats.own_calls = max(0, stats.own_calls - 1)

    def forget(self, node_id: str) -> None:
        """Discard the statistics of a host that restarted or left."""
        self._stats.pop(node_id, None)

    def _stats_of(self, node_id: str) -> HostStats:
        stats = self._stats.get(node_id)
        if stats is None:
            stats = self._stats[node_id] = HostStats()
        return stats

    def _sample(self, hosts: list[Member]) -> list[Member]:
        """Return all hosts of a small service, or a sample from inside and outside the domain."""
        if len(hosts) <= _OWN_DOMAIN_SAMPLE + _OTHER_DOMAINS_SAMPLE:
            return hosts
        own_domain = [host for host in hosts if host.failure_domain == self._failure_domain]
        other_domains = [host for host in hosts if host.failure_domain != self._failure_domain]
        sampled = self._random.sample(own_domain, min(len(own_domain), _OWN_DOMAIN_SAMPLE))
        return sampled + self._random.sample(
            other_domains, min(len(other_domains), _OTHER_DOMAINS_SAMPLE)
        )

    def _choose_fallback(
        self, now_ms: Millis, hosts: list[Member], tried: set[str], ejected: list[Member]
    ) -> Member | None:
        """Choose among all untried hosts, or among the ejected ones if no other is left."""
        untried = [host for host in hosts if host.node_id not in tried]
        usable = [host for host in untried if self._stats_of(host.node_id).ejected_until <= now_ms]
        if usable:
            return self._random.choice(usable)
        candidates = ejected or untried
        if not candidates:
            return None
        return min(candidates, key=lambda host: self._stats_of(host.node_id).ejected_until)


def create_host_selector(failure_domain: str, seed: int) -> HostSelector:
    """Create a host selector with a seeded random generator."""
    return HostSelector(failure_domain, random.Random(seed))
