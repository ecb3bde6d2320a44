"""Selection of the target for a call, based on the results of this node's own calls.

Health and load endpoints lag or mislead, so targets are rated by the answers, failures and load
reports of calls. Two candidates are compared (power of two choices), one of them from this node's
failure domain if it has any. Failing targets are ejected, but never more than a fixed share of a
service. Targets that just joined receive a growing share of calls (slow start).
"""

import random
from collections.abc import Iterable

import attrs

from gooseberrydock import defaults
from gooseberrydock.clock import Millis
from gooseberrydock.members import Member, MemberState
from gooseberrydock.messages import LoadReport
from gooseberrydock.owner_register import key_score

_MAX_BACKOFF_DOUBLINGS = 10
_LOCAL_COST_TOLERANCE = 1.25
"""Cost ratio up to which a candidate in the own failure domain is preferred to one outside."""


@attrs.define
class TargetStats:
    """Statistics of the calls from this node to one target."""

    joined_at: Millis
    latency_ms: Millis = 0.0
    in_flight: int = 0
    load: LoadReport = LoadReport(0, 0, 1)
    sent_since_report: int = 0
    consecutive_failures: int = 0
    consecutive_unreachable: int = 0
    ejections: int = 0
    ejected_until: Millis = 0.0

    @property
    def load_ratio(self) -> float:
        """Return the estimated share of the target's concurrency limit that is in use."""
        estimated_calls = self.load.in_flight + self.load.queued + self.sent_since_report
        return max(estimated_calls, self.in_flight) / max(1, self.load.limit)

    def slow_start_weight(self, now_ms: Millis) -> float:
        """Return the share of its full load that the target receives during slow start."""
        share = (now_ms - self.joined_at) / defaults.SLOW_START_MS
        return min(1.0, max(defaults.SLOW_START_MIN_WEIGHT, share))

    def cost(self, now_ms: Millis) -> float:
        """Return the estimated cost of one more call; smaller is better."""
        load_penalty = (2.0 * self.load_ratio) ** 3
        latency = self.latency_ms or 1.0
        return latency * (1.0 + load_penalty) / self.slow_start_weight(now_ms)


@attrs.define
class RoutingController:
    """Choose targets and update their statistics from the results of calls."""

    _failure_domain: str
    _random: random.Random
    _members: dict[str, dict[str, Member]] = attrs.field(factory=dict)
    _stats: dict[str, TargetStats] = attrs.field(factory=dict)
    _service_of: dict[str, str] = attrs.field(factory=dict)
    _leaving_members: dict[str, Member] = attrs.field(factory=dict)

    def members_of(self, service: str) -> list[Member]:
        """Return the usable members of a service."""
        return list(self._members.get(service, {}).values())

    def stats_for(self, node_id: str) -> TargetStats | None:
        """Return the statistics of a node's target."""
        return self._stats.get(node_id)

    def on_member(self, now_ms: Millis, member: Member, is_late_joiner: bool) -> None:
        """Record a changed member; one that is cold or joined after startup gets slow start."""
        self._drop_from_other_service(member)
        self._leaving_members.pop(member.node_id, None)
        if member.state is MemberState.LEAVING:
            self._leaving_members[member.node_id] = member
        if not member.is_usable:
            self._members.setdefault(member.service, {}).pop(member.node_id, None)
            self._stats.pop(member.node_id, None)
            if member.state is MemberState.DEAD:
                self._service_of.pop(member.node_id, None)
            return
        self._members.setdefault(member.service, {})[member.node_id] = member
        if member.node_id not in self._stats:
            needs_slow_start = is_late_joiner or member.is_cold
            joined_at = now_ms if needs_slow_start else now_ms - defaults.SLOW_START_MS
            stats = TargetStats(joined_at)
            stats.load = LoadReport(0, 0, max(1, member.slots))
            self._stats[member.node_id] = stats

    def _drop_from_other_service(self, member: Member) -> None:
        """Remove a node from the service under which it was known before."""
        previous_service = self._service_of.get(member.node_id, member.service)
        if previous_service != member.service:
            self._members[previous_service].pop(member.node_id, None)
        self._service_of[member.node_id] = member.service

    def choose(self, now_ms: Millis, service: str, excluded: frozenset[str]) -> Member | None:
        """Return the target for one call, or None if there is none."""
        candidates = [m for m in self.members_of(service) if m.node_id not in excluded]
        candidates = self._without_ejected(now_ms, service, candidates)
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        return self._better_of_two(now_ms, candidates)

    def choose_owner(self, service: str, key: str, excluded: frozenset[str]) -> Member | None:
        """Return the probable owner of a key; the answer of the node corrects a wrong choice."""
        candidates = [m for m in self.members_of(service) if m.node_id not in excluded]
        if not candidates:
            return None
        return max(candidates, key=lambda member: key_score(member.node_id, key))

    def member_by_id(self, service: str, node_id: str) -> Member | None:
        """Return a member by its id, also a leaving one, which still owns keys for a while."""
        return self._members.get(service, {}).get(node_id) or self._leaving_members.get(node_id)

    def _without_ejected(
        self, now_ms: Millis, service: str, candidates: list[Member]
    ) -> list[Member]:
        """Remove ejected targets, up to the share that may be ejected at the same time."""
        ejected = [m for m in candidates if self._stats[m.node_id].ejected_until > now_ms]
        max_ejected = int(len(self._members[service]) * defaults.EJECTION_MAX_SHARE)
        ejected.sort(key=lambda m: self._stats[m.node_id].ejected_until, reverse=True)
        removed_ids = {m.node_id for m in ejected[:max_ejected]}
        remaining = [m for m in candidates if m.node_id not in removed_ids]
        return remaining or candidates

    def _better_of_two(self, now_ms: Millis, candidates: list[Member]) -> Member:
        first = self._local_candidate(candidates)
        second = self._random.choice([m for m in candidates if m is not first])
        first_cost = self._stats[first.node_id].cost(now_ms)
        second_cost = self._stats[second.node_id].cost(now_ms)
        if first.failure_domain == self._failure_domain != second.failure_domain:
            first_cost /= _LOCAL_COST_TOLERANCE
        return first if first_cost <= second_cost else second

    def _local_candidate(self, candidates: list[Member]) -> Member:
        """Return a random candidate of the own failure domain, or any if it has none."""
        local = [m for m in candidates if m.failure_domain == self._failure_domain]
        return self._random.choice(local or candidates)

    def on_sent(self, node_id: str) -> None:
        """Record that a call was sent."""
        stats = self._stats.get(node_id)
        if stats is not None:
            stats.in_flight += 1
            stats.sent_since_report += 1

    def on_answer(self, node_id: str, latency_ms: Millis, load: LoadReport, did_run: bool) -> None:
        """Record an answer; a refusal updates the load but not the latency."""
        stats = self._stats.get(node_id)
        if stats is None:
            return
        stats.in_flight = max(0, stats.in_flight - 1)
        stats.load = load
        stats.sent_since_report = 0
        stats.consecutive_unreachable = 0
        if not did_run:
            return
        stats.consecutive_failures = 0
        stats.ejections = 0
        if stats.latency_ms == 0.0:
            stats.latency_ms = latency_ms
        stats.latency_ms += (latency_ms - stats.latency_ms) * defaults.LATENCY_SMOOTHING_FACTOR

    def on_failure(self, now_ms: Millis, node_id: str, is_unreachable: bool) -> None:
        """Record a failed call; eject after consecutive failures, or at once if unreachable."""
        stats = self._stats.get(node_id)
        if stats is None:
            return
        stats.in_flight = max(0, stats.in_flight - 1)
        stats.consecutive_failures += 1
        if is_unreachable:
            ejection_ms = defaults.UNREACHABLE_EJECTION_BASE_MS * 2**stats.consecutive_unreachable
            eject_until = now_ms + min(ejection_ms, defaults.UNREACHABLE_EJECTION_MAX_MS)
            stats.ejected_until = max(stats.ejected_until, eject_until)
            stats.consecutive_unreachable = min(
                stats.consecutive_unreachable + 1, _MAX_BACKOFF_DOUBLINGS
            )
        if stats.consecutive_failures >= defaults.EJECTION_FAILURES:
            self._eject(now_ms, stats)

    def _eject(self, now_ms: Millis, stats: TargetStats) -> None:
        ejection_ms = defaults.EJECTION_BASE_MS * 2**stats.ejections
        stats.ejected_until = now_ms + min(ejection_ms, defaults.EJECTION_MAX_MS)
        stats.ejections = min(stats.ejections + 1, _MAX_BACKOFF_DOUBLINGS)
        stats.consecutive_failures = 0

    def on_cancelled(self, node_id: str) -> None:
        """Record that a call was cancelled before its answer."""
        stats = self._stats.get(node_id)
        if stats is not None:
            stats.in_flight = max(0, stats.in_flight - 1)

    def services(self) -> Iterable[str]:
        """Return the services with at least one usable member."""
        return [service for service, members in self._members.items() if members]


def create_routing(failure_domain: str, seed: int) -> RoutingController:
    """Create a controller with a seeded random generator."""
    return RoutingController(failure_domain, random.Random(seed))
