"""Membership and failure detection by gossip: which nodes are alive, suspect, leaving or dead.

Performs no I/O. The controller follows SWIM (Das, Gupta, Motivala 2002) with the suspicion
timeouts and the local health score of Lifeguard (Dadgar, Phillips, Currey 2018). In each period a
node probes one other member. If no answer arrives, it requests indirect probes from helpers; if
these fail too, it suspects the member. A suspect that does not refute the suspicion in time is
declared dead. Changes are piggybacked on probes and acknowledgements.

The view of a single observer is not sufficient. A node that fails to reach most of its probe
targets raises its local health score and, once that score reaches a limit, declares no suspect
dead. A suspect is declared dead only with a second reporter, unless there is no third node that
could be one.
"""

import math
import random
import zlib

import attrs

from gooseberrydock import defaults
from gooseberrydock.clock import Millis
from gooseberrydock.gossip import GossipKind, GossipMessage, MemberUpdate
from gooseberrydock.members import Address, Member, MemberState, encode_member

_MAX_LOCAL_HEALTH_SCORE = 8
_LOCAL_HEALTH_SCORE_LIMIT = 4
"""From this local health score on, a node declares no suspect dead."""
_SUSPICION_MAX_FACTOR = 3.0
"""Ratio of the longest suspicion timeout, without confirmations, to the shortest."""
_SYNC_BUCKETS = 32
_DEAD_MEMBER_PROBE_SHARE = 0.1
"""The share of periods in which a node also probes a dead member, if there is one."""


@attrs.frozen
class SendGossip:
    """Request to send a datagram."""

    address: Address
    gossip: GossipMessage


@attrs.define
class _Probe:
    """State of one probe that this node started itself."""

    probed_node_id: str
    started_at: Millis
    has_requested_helpers: bool = False


@attrs.define
class _Suspicion:
    """State of one suspicion, with the nodes that reported it."""

    started_at: Millis
    reporters: set[str]


@attrs.frozen
class _IndirectProbe:
    """State of one indirect probe, with the node that requested it."""

    address: Address
    sequence: int
    expires_at: Millis


@attrs.define
class MembershipController:
    """Maintain the member table and decide which gossip to send."""

    _local_member: Member
    _random: random.Random
    _members: dict[str, Member] = attrs.field(factory=dict)
    _suspicions: dict[str, _Suspicion] = attrs.field(factory=dict)
    _pending_updates: dict[str, tuple[MemberUpdate, int]] = attrs.field(factory=dict)
    _probe_order: list[str] = attrs.field(factory=list)
    _probes: dict[int, _Probe] = attrs.field(factory=dict)
    _indirect_probes: dict[int, _IndirectProbe] = attrs.field(factory=dict)
    _dead_since: dict[str, Millis] = attrs.field(factory=dict)
    _changes: list[Member] = attrs.field(factory=list)
    _local_health_score: int = 0
    _sequence: int = 0
    _next_period_at: Millis = 0.0
    _last_tick_at: Millis = 0.0
    _generation: int = 0
    _digests: list[int] = attrs.field(factory=lambda: [0] * _SYNC_BUCKETS)
    _checksums: dict[str, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._update_digest(self._local_member)

    @property
    def local_member(self) -> Member:
        """Return this node's record."""
        return self._local_member

    @property
    def members(self) -> dict[str, Member]:
        """Return all known members except this node, including dead ones."""
        return self._members

    @property
    def local_health_score(self) -> int:
        """Return the local health score, from 0 (healthy) to 8 (its view is unreliable)."""
        return self._local_health_score

    @property
    def generation(self) -> int:
        """Return the configuration generation that is sent to other members."""
        return self._generation

    def live_members(self) -> list[Member]:
        """Return the members that are not declared dead."""
        return [m for m in self._members.values() if m.state is not MemberState.DEAD]

    def drain_changes(self) -> list[Member]:
        """Return the records that changed since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def update_self(self, **changes: object) -> None:
        """Change this node's record and disseminate the change."""
        version = self._local_member.version + 1
        self._local_member = attrs.evolve(
            self._local_member, version=version, **changes  # type: ignore[arg-type]
        )
        self._update_digest(self._local_member)
        self._queue_update(MemberUpdate(self._local_member, self._local_member.node_id))
        self._changes.append(self._local_member)

    def set_generation(self, generation: int) -> list[SendGossip]:
        """Record a new configuration generation and notify a few members immediately."""
        self._generation = generation
        return self._ping_random_members(defaults.NOTIFICATION_FANOUT)

    def notify_of_local_change(self) -> list[SendGossip]:
        """Notify a few members of a change of this node's record immediately."""
        return self._ping_random_members(defaults.NOTIFICATION_FANOUT)

    def clear_pending_updates(self) -> None:
        """Discard all pending updates, as after a long time without changes."""
        self._pending_updates.clear()

    def join(self, address: Address) -> SendGossip:
        """Create a first ping to an address known from the settings or the store."""
        self._queue_update(MemberUpdate(self._local_member, self._local_member.node_id))
        return SendGossip(address, self._create_gossip(GossipKind.PING, self._next_sequence(), ""))

    def on_record(self, now_ms: Millis, member: Member, reporter: str) -> bool:
        """Process a member record; return whether it changed the member table."""
        if member.node_id == self._local_member.node_id:
            self._refute(member)
            return False
        known = self._members.get(member.node_id)
        if known is not None and member.order <= known.order:
            self._confirm_suspicion(member, known, reporter)
            return False
        if known is None and member.state is MemberState.DEAD:
            return False
        self._accept(now_ms, member, reporter)
        return True

    def tick(self, now_ms: Millis) -> list[SendGossip]:
        """Process due probes and timeouts, and start a new period when it is due."""
        self._exclude_pause(now_ms)
        sends = self._check_probes(now_ms)
        self._check_suspicions(now_ms)
        if now_ms >= self._next_period_at:
            self._next_period_at = now_ms + defaults.GOSSIP_PERIOD_MS
            self._remove_expired(now_ms)
            sends.extend(self._start_probe(now_ms))
        return sends

    def on_gossip(
        self, now_ms: Millis, gossip: GossipMessage, address: Address
    ) -> list[SendGossip]:
        """Process a datagram and return the datagrams to send in response."""
        for update in gossip.updates:
            self.on_record(now_ms, update.member, update.reporter)
        if gossip.kind is GossipKind.PING:
            return self._on_ping(gossip, address)
        if gossip.kind is GossipKind.ACK:
            return self._on_ack(gossip)
        return self._on_ping_request(now_ms, gossip, address)

    def digests(self) -> tuple[int, ...]:
        """Return a digest of each bucket of the member table."""
        return tuple(self._digests)

    def records_in(self, buckets: tuple[int, ...]) -> tuple[bytes, ...]:
        """Return the encoded records in these buckets."""
        wanted = set(buckets)
        members = [*self._members.values(), self._local_member]
        return tuple(encode_member(m) for m in members if _bucket_of(m.node_id) in wanted)

    def differing_buckets(self, digests: tuple[int, ...]) -> tuple[int, ...]:
        """Return the buckets in which a peer's digests differ from this node's."""
        local_digests = self.digests()
        if len(digests) != len(local_digests):
            return tuple(range(_SYNC_BUCKETS))
        return tuple(
            index for index, digest in enumerate(local_digests) if digest != digests[index]
        )

    def _accept(self, now_ms: Millis, member: Member, reporter: str) -> None:
        self._members[member.node_id] = member
        self._update_digest(member)
        self._suspicions.pop(member.node_id, None)
        self._dead_since.pop(member.node_id, None)
        if member.state is MemberState.SUSPECT:
            self._suspicions[member.node_id] = _Suspicion(now_ms, {reporter})
        if member.state is MemberState.DEAD:
            self._dead_since[member.node_id] = now_ms
        self._queue_update(MemberUpdate(member, reporter))
        self._changes.append(member)

    def _update_digest(self, member: Member) -> None:
        """Update the digest of a member's bucket to its record.

        Dead members are excluded, because nodes that joined later have no record of them, and
        their tables would differ for hours.
        """
        is_dead = member.state is MemberState.DEAD
        checksum = 0 if is_dead else zlib.crc32(encode_member(member))
        bucket = _bucket_of(member.node_id)
        self._digests[bucket] ^= self._checksums.get(member.node_id, 0) ^ checksum
        self._checksums[member.node_id] = checksum

    def _remove_member(self, node_id: str) -> None:
        """Remove a member and its part of the digest."""
        del self._members[node_id]
        self._digests[_bucket_of(node_id)] ^= self._checksums.pop(node_id)

    def _refute(self, member: Member) -> None:
        """Refute a claim that this node is suspect or dead by a newer record."""
        if member.order <= self._local_member.order:
            return
        self._local_health_score = min(_MAX_LOCAL_HEALTH_SCORE, self._local_health_score + 1)
        version = max(member.version, self._local_member.version)
        incarnation = max(member.incarnation, self._local_member.incarnation)
        self._local_member = attrs.evolve(
            self._local_member, version=version, incarnation=incarnation
        )
        self.update_self()

    def _confirm_suspicion(self, member: Member, known: Member, reporter: str) -> None:
        suspicion = self._suspicions.get(member.node_id)
        if suspicion is None or member.order != known.order:
            return
        if reporter not in suspicion.reporters:
            suspicion.reporters.add(reporter)
            self._queue_update(MemberUpdate(member, reporter))

    def _exclude_pause(self, now_ms: Millis) -> None:
        """Drop all probes and extend all suspicions after a pause of this process.

        During a pause, the timers measured nothing about other members.
        """
        pause_ms = now_ms - self._last_tick_at
        self._last_tick_at = now_ms
        if pause_ms < 2 * defaults.GOSSIP_PERIOD_MS:
            return
        self._probes.clear()
        for suspicion in self._suspicions.values():
            suspicion.started_at += pause_ms

    def _check_probes(self, now_ms: Millis) -> list[SendGossip]:
        sends: list[SendGossip] = []
        for sequence, probe in list(self._probes.items()):
            waited_ms = now_ms - probe.started_at
            if not probe.has_requested_helpers and waited_ms >= defaults.PROBE_TIMEOUT_MS:
                probe.has_requested_helpers = True
                sends.extend(self._request_indirect_probes(sequence, probe.probed_node_id))
            elif waited_ms >= defaults.GOSSIP_PERIOD_MS:
                del self._probes[sequence]
                self._on_probe_failed(now_ms, probe.probed_node_id)
        return sends

    def _request_indirect_probes(self, sequence: int, probed_node_id: str) -> list[SendGossip]:
        gossip = self._create_gossip(GossipKind.PING_REQUEST, sequence, probed_node_id)
        others = [m for m in self.live_members() if m.node_id != probed_node_id]
        helpers = self._random.sample(others, min(defaults.INDIRECT_PROBES, len(others)))
        return [SendGossip(helper.gossip_address, gossip) for helper in helpers]

    def _on_probe_failed(self, now_ms: Millis, probed_node_id: str) -> None:
        self._local_health_score = min(_MAX_LOCAL_HEALTH_SCORE, self._local_health_score + 1)
        member = self._members.get(probed_node_id)
        if member is None:
            return
        if member.state is MemberState.ALIVE:
            suspect = attrs.evolve(member, state=MemberState.SUSPECT)
            self._accept(now_ms, suspect, self._local_member.node_id)
        elif member.state is MemberState.SUSPECT:
            self._confirm_suspicion(member, member, self._local_member.node_id)
        elif member.state is MemberState.LEAVING:
            # A leaving member has announced its departure, so no second reporter is needed.
            dead = attrs.evolve(member, state=MemberState.DEAD)
            self._accept(now_ms, dead, self._local_member.node_id)

    def _check_suspicions(self, now_ms: Millis) -> None:
        if self._local_health_score >= _LOCAL_HEALTH_SCORE_LIMIT:
            return
        for node_id, suspicion in list(self._suspicions.items()):
            if not self._is_confirmed(suspicion):
                continue
            if now_ms - suspicion.started_at >= self._suspicion_timeout(suspicion):
                dead = attrs.evolve(self._members[node_id], state=MemberState.DEAD)
                self._accept(now_ms, dead, self._local_member.node_id)

    def _is_confirmed(self, suspicion: _Suspicion) -> bool:
        """Return whether a second node reported the suspicion, or no third node exists."""
        return len(suspicion.reporters) >= 2 or len(self.live_members()) <= 1

    def _suspicion_timeout(self, suspicion: _Suspicion) -> Millis:
        """Return the time in which to refute, which decreases with every confirmation."""
        scale = max(1.0, math.log10(len(self._members) + 1))
        shortest = defaults.SUSPICION_PERIODS * scale * defaults.GOSSIP_PERIOD_MS
        longest = shortest * _SUSPICION_MAX_FACTOR
        confirmations = len(suspicion.reporters) - 1
        share = math.log(confirmations + 1) / math.log(defaults.SUSPICION_CONFIRMATIONS + 1)
        return max(shortest, longest - (longest - shortest) * share)

    def _remove_expired(self, now_ms: Millis) -> None:
        """Remove members that died long ago, and indirect probes without an answer."""
        for node_id, since in list(self._dead_since.items()):
            if now_ms - since > defaults.DEAD_MEMBER_RETENTION_MS:
                del self._dead_since[node_id]
                self._remove_member(node_id)
        for sequence, indirect_probe in list(self._indirect_probes.items()):
            if now_ms > indirect_probe.expires_at:
                del self._indirect_probes[sequence]

    def _start_probe(self, now_ms: Millis) -> list[SendGossip]:
        sends = self._probe_dead_member()
        probed_member = self._next_probed_member()
        if probed_member is None:
            return sends
        sequence = self._next_sequence()
        self._probes[sequence] = _Probe(probed_member.node_id, now_ms)
        sends.append(self._ping(probed_member, sequence))
        return sends

    def _probe_dead_member(self) -> list[SendGossip]:
        """Occasionally ping a dead member, so that regions rejoin after a network partition."""
        dead = [self._members[node_id] for node_id in self._dead_since]
        if not dead or self._random.random() > _DEAD_MEMBER_PROBE_SHARE:
            return []
        member = self._random.choice(dead)
        # The record informs the member that it was declared dead, so that it can refute.
        self._queue_update(MemberUpdate(member, self._local_member.node_id))
        return [self._ping(member, self._next_sequence())]

    def _next_probed_member(self) -> Member | None:
        """Return the next member to probe; shuffle the order anew after each full round."""
        while self._probe_order:
            member = self._members.get(self._probe_order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member
        live = self.live_members()
        if not live:
            return None
        self._probe_order = [member.node_id for member in live]
        self._random.shuffle(self._probe_order)
        return self._members[self._probe_order.pop()]

    def _on_ping(self, gossip: GossipMessage, address: Address) -> list[SendGossip]:
        if gossip.probed_node_id not in ("", self._local_member.node_id):
            return []
        if not gossip.probed_node_id or gossip.sender not in self._members:
            # The sender may not know this node yet, so the answer includes this node's record.
            self._queue_update(MemberUpdate(self._local_member, self._local_member.node_id))
        answer = self._create_gossip(GossipKind.ACK, gossip.sequence, gossip.sender)
        return [SendGossip(address, answer)]

    def _on_ack(self, gossip: GossipMessage) -> list[SendGossip]:
        if self._probes.pop(gossip.sequence, None) is not None:
            self._local_health_score = max(0, self._local_health_score - 1)
        indirect_probe = self._indirect_probes.pop(gossip.sequence, None)
        if indirect_probe is None:
            return []
        answer = self._create_gossip(GossipKind.ACK, indirect_probe.sequence, gossip.sender)
        return [SendGossip(indirect_probe.address, answer)]

    def _on_ping_request(
        self, now_ms: Millis, gossip: GossipMessage, address: Address
    ) -> list[SendGossip]:
        member = self._members.get(gossip.probed_node_id)
        if member is None:
            return []
        sequence = self._next_sequence()
        expires_at = now_ms + defaults.GOSSIP_PERIOD_MS
        self._indirect_probes[sequence] = _IndirectProbe(address, gossip.sequence, expires_at)
        return [self._ping(member, sequence)]

    def _ping_random_members(self, count: int) -> list[SendGossip]:
        live = self.live_members()
        chosen = self._random.sample(live, min(count, len(live)))
        return [self._ping(member, self._next_sequence()) for member in chosen]

    def _ping(self, member: Member, sequence: int) -> SendGossip:
        gossip = self._create_gossip(GossipKind.PING, sequence, member.node_id)
        return SendGossip(member.gossip_address, gossip)

    def _create_gossip(self, kind: GossipKind, sequence: int, probed_node_id: str) -> GossipMessage:
        return GossipMessage(
            kind,
            sequence,
            self._local_member.node_id,
            probed_node_id,
            self._generation,
            self._take_updates(),
        )

    def _take_updates(self) -> tuple[MemberUpdate, ...]:
        """Return the updates with the fewest transmissions, and count this transmission."""
        if not self._pending_updates:
            return ()
        ordered = sorted(self._pending_updates.items(), key=lambda item: item[1][1])
        chosen = ordered[: defaults.PIGGYBACK_UPDATES]
        limit = _transmission_limit(len(self._members))
        for node_id, (update, transmissions) in chosen:
            if transmissions + 1 >= limit:
                del self._pending_updates[node_id]
            else:
                self._pending_updates[node_id] = (update, transmissions + 1)
        return tuple(update for _, (update, _) in chosen)

    def _queue_update(self, update: MemberUpdate) -> None:
        self._pending_updates[update.member.node_id] = (update, 0)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence


def _transmission_limit(member_count: int) -> int:
    """Return how often an update is transmitted so that it reaches every member."""
    needed = math.ceil(defaults.DISSEMINATION_FACTOR * math.log10(member_count + 1))
    return max(defaults.MIN_UPDATE_TRANSMISSIONS, needed)


def _bucket_of(node_id: str) -> int:
    return zlib.crc32(node_id.encode()) % _SYNC_BUCKETS


def create_membership(local_member: Member, seed: int) -> MembershipController:
    """Create a membership controller with a seeded random generator."""
    return MembershipController(local_member, random.Random(seed))
