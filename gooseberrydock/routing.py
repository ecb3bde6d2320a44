"""Choice of the target for a call, by this node's own evidence.

Health and load endpoints lag or mislead, so targets are judged by the answers, failures and
loads that calls bring back. Two candidates are compared (power of two choices); one of them is
taken from the caller's own failure domain. Failing targets are ejected, but never more than a
share of a service. Targets that just joined get work in a growing share (slow start).
"""

import random
from collections.abc import Iterable

import attrs

from gooseberrydock import defaults
from gooseberrydock.clock import Millis
from gooseberrydock.members import Member, MemberState
from gooseberrydock.messages import LoadReport
from gooseberrydock.owner_register import key_score

_MAX_DOUBLINGS = 10
_DOMAIN_TOLERANCE = 1.25
"""How much worse a candidate of the same failure domain may look and still be chosen."""


@attrs.define
class TargetStats:
    """Hold what calls from this node showed about one target."""

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
        """Return the believed share of the target's limit that is in use."""
        known = self.load.in_flight + self.load.queued + self.sent_since_report
        return max(known, self.in_flight) / max(1, self.load.limit)

    def slow_start_weight(self, now_ms: Millis) -> float:
        """Return the share of its work that a target gets during slow start."""
        share = (now_ms - self.joined_at) / defaults.SLOW_START_MS
        return min(1.0, max(defaults.SLOW_START_MIN_WEIGHT, share))

    def cost(self, now_ms: Millis) -> float:
        """Return how costly one more call would be; smaller is better."""
        pressure = (2.0 * self.load_ratio) ** 3
        latency = self.latency_ms or 1.0
        return latency * (1.0 + pressure) / self.slow_start_weight(now_ms)


@attrs.define
class RoutingController:
    """Choose targets and learn from their answers."""

    _failure_domain: str
    _random: random.Random
    _members: dict[str, dict[str, Member]] = attrs.field(factory=dict)
    _evidence: dict[str, TargetStats] = attrs.field(factory=dict)
    _service_of: dict[str, str] = attrs.field(factory=dict)
    _leaving: dict[str, Member] = attrs.field(factory=dict)

    def members_of(self, service: str) -> list[Member]:
        """Return the usable members of a service."""
        return list(self._members.get(service, {}).values())

    def stats_for(self, node_id: str) -> TargetStats | None:
        """Return what is known about a node's target."""
        return self._evidence.get(node_id)

    def on_member(self, now_ms: Millis, member: Member, is_late_joiner: bool) -> None:
        """Take in a changed member record; a late joiner gets slow start."""
        self._drop_from_other_service(member)
        self._leaving.pop(member.node_id, None)
        if member.state is MemberState.LEAVING:
            self._leaving[member.node_id] = member
        if not member.is_usable:
            self._members.setdefault(member.service, {}).pop(member.node_id, None)
            self._evidence.pop(member.node_id, None)
            if member.state is MemberState.DEAD:
                self._service_of.pop(member.node_id, None)
            return
        self._members.setdefault(member.service, {})[member.node_id] = member
        if member.node_id not in self._evidence:
            needs_slow_start = is_late_joiner or member.is_cold
            joined_at = now_ms if needs_slow_start else now_ms - defaults.SLOW_START_MS
            evidence = TargetStats(joined_at)
            evidence.load = LoadReport(0, 0, max(1, member.slots))
            self._evidence[member.node_id] = evidence

    def _drop_from_other_service(self, member: Member) -> None:
        """Forget under which other service a node was known."""
        previous = self._service_of.get(member.node_id, member.service)
        if previous != member.service:
            self._members[previous].pop(member.node_id, None)
        self._service_of[member.node_id] = member.service

    def choose(self, now_ms: Millis, service: str, excluded: frozenset[str]) -> Member | None:
        """Return the target for one call, or None where there is none."""
        candidates = [m for m in self.members_of(service) if m.node_id not in excluded]
        candidates = self._without_ejected(now_ms, service, candidates)
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        return self._better_of_two(now_ms, candidates)

    def choose_owner(self, service: str, key: str, excluded: frozenset[str]) -> Member | None:
        """Return the node that probably owns a key; a wrong guess is corrected by its answer."""
        candidates = [m for m in self.members_of(service) if m.node_id not in excluded]
        if not candidates:
            return None
        return max(candidates, key=lambda member: key_score(member.node_id, key))

    def member_by_id(self, service: str, node_id: str) -> Member | None:
        """Return a member by its id; a leaving one still owns keys for a while."""
        return self._members.get(service, {}).get(node_id) or self._leaving.get(node_id)

    def _without_ejected(
        self, now_ms: Millis, service: str, candidates: list[Member]
    ) -> list[Member]:
        """Leave out ejected targets, but only up to the share that may be ejected at once."""
        ejected = [m for m in candidates if self._evidence[m.node_id].ejected_until > now_ms]
        may_eject = int(len(self._members[service]) * defaults.EJECTION_MAX_SHARE)
        ejected.sort(key=lambda m: self._evidence[m.node_id].ejected_until, reverse=True)
        refused = {m.node_id for m in ejected[:may_eject]}
        healthy = [m for m in candidates if m.node_id not in refused]
        return healthy or candidates

    def _better_of_two(self, now_ms: Millis, candidates: list[Member]) -> Member:
        first = self._local_candidate(candidates)
        second = self._random.choice([m for m in candidates if m is not first])
        first_cost = self._evidence[first.node_id].cost(now_ms)
        second_cost = self._evidence[second.node_id].cost(now_ms)
        if first.failure_domain == self._failure_domain != second.failure_domain:
            first_cost /= _DOMAIN_TOLERANCE
        return first if first_cost <= second_cost else second

    def _local_candidate(self, candidates: list[Member]) -> Member:
        """Return a candidate of this failure domain, or any where there is none."""
        local = [m for m in candidates if m.failure_domain == self._failure_domain]
        return self._random.choice(local or candidates)

    def on_sent(self, node_id: str) -> None:
        """Count a call that was sent."""
        evidence = self._evidence.get(node_id)
        if evidence is not None:
            evidence.in_flight += 1
            evidence.sent_since_report += 1

    def on_answer(self, node_id: str, latency_ms: Millis, load: LoadReport, did_run: bool) -> None:
        """Learn from an answer; refusals tell the load but not the speed."""
        evidence = self._evidence.get(node_id)
        if evidence is None:
            return
        evidence.in_flight = max(0, evidence.in_flight - 1)
        evidence.load = load
        evidence.sent_since_report = 0
        evidence.consecutive_unreachable = 0
        if not did_run:
            return
        evidence.consecutive_failures = 0
        evidence.ejections = 0
        if evidence.latency_ms == 0.0:
            evidence.latency_ms = latency_ms
        evidence.latency_ms += (
            latency_ms - evidence.latency_ms
        ) * defaults.LATENCY_SMOOTHING_FACTOR

    def on_failure(self, now_ms: Millis, node_id: str, is_unreachable: bool) -> None:
        """Learn from a failed call; eject after several in a row or where none gets through."""
        evidence = self._evidence.get(node_id)
        if evidence is None:
            return
        evidence.in_flight = max(0, evidence.in_flight - 1)
        evidence.consecutive_failures += 1
        if is_unreachable:
            hold_ms = defaults.UNREACHABLE_EJECTION_BASE_MS * 2**evidence.consecutive_unreachable
            hold_until = now_ms + min(hold_ms, defaults.UNREACHABLE_EJECTION_MAX_MS)
            evidence.ejected_until = max(evidence.ejected_until, hold_until)
            evidence.consecutive_unreachable = min(
                evidence.consecutive_unreachable + 1, _MAX_DOUBLINGS
            )
        if evidence.consecutive_failures >= defaults.EJECTION_FAILURES:
            self._eject(now_ms, evidence)

    def _eject(self, now_ms: Millis, evidence: TargetStats) -> None:
        duration = defaults.EJECTION_BASE_MS * 2**evidence.ejections
        evidence.ejected_until = now_ms + min(duration, defaults.EJECTION_MAX_MS)
        evidence.ejections += 1
        evidence.consecutive_failures = 0

    def on_cancelled(self, node_id: str) -> None:
        """Forget a call that was cancelled before its answer."""
        evidence = self._evidence.get(node_id)
        if evidence is not None:
            evidence.in_flight = max(0, evidence.in_flight - 1)

    def services(self) -> Iterable[str]:
        """Return the services with at least one usable member."""
        return [service for service, members in self._members.items() if members]


def create_routing(failure_domain: str, seed: int) -> RoutingController:
    """Make a routing controller with its own seeded random generator."""
    return RoutingController(failure_domain, random.Random(seed))
