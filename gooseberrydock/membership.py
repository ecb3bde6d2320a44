"""Membership by gossip: who is there, who leaves, who died.

The controller follows SWIM (Das, Gupta, Motivala 2002) with the suspicion timeouts and local
health of Lifeguard (Dadgar, Phillips, Currey 2018). In each period a node probes one other
member, asks helpers to probe it where no answer comes, and suspects it where that fails too. A
suspect that does not refute in time is declared dead. Changes travel on probes and answers.

One observer's view is not believed alone: a node that fails to reach most of its probe targets
doubts itself, and a death needs a second reporter unless there is no third node to ask.
"""

import math
import random
import zlib

import attrs

from gooseberrydock import defaults
from gooseberrydock.clock import Millis
from gooseberrydock.gossip import GossipKind, GossipMessage, MemberUpdate
from gooseberrydock.members import Address, Member, MemberState, encode_member

_MAX_DOUBT = 8
_DOUBT_LIMIT = 4
"""From this self-doubt on, a node declares nobody dead."""
_SUSPICION_MAX_FACTOR = 3.0
_SYNC_BUCKETS = 32
_REVIVAL_PROBE_SHARE = 0.1
"""The share of periods in which a node also probes a member believed dead."""


@attrs.frozen
class SendGossip:
    """Ask the shell to send a datagram."""

    address: Address
    gossip: GossipMessage


@attrs.define
class _Probe:
    """Track one probe of this node's own."""

    subject: str
    started_at: Millis
    asked_helpers: bool = False


@attrs.define
class _Suspicion:
    """Track a suspected member and who confirmed the suspicion."""

    started_at: Millis
    reporters: set[str]


@attrs.frozen
class _Relay:
    """Remember on whose behalf a member was probed."""

    address: Address
    sequence: int
    expires_at: Millis


@attrs.define
class MembershipController:
    """Hold the member table and decide what to gossip."""

    _me: Member
    _random: random.Random
    _members: dict[str, Member] = attrs.field(factory=dict)
    _suspicions: dict[str, _Suspicion] = attrs.field(factory=dict)
    _broadcasts: dict[str, tuple[MemberUpdate, int]] = attrs.field(factory=dict)
    _probe_order: list[str] = attrs.field(factory=list)
    _probes: dict[int, _Probe] = attrs.field(factory=dict)
    _relays: dict[int, _Relay] = attrs.field(factory=dict)
    _dead_since: dict[str, Millis] = attrs.field(factory=dict)
    _changes: list[Member] = attrs.field(factory=list)
    _doubt: int = 0
    _sequence: int = 0
    _next_period_at: Millis = 0.0
    _last_tick_at: Millis = 0.0
    _generation: int = 0
    _digests: list[int] = attrs.field(factory=lambda: [0] * _SYNC_BUCKETS)
    _checksums: dict[str, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._note_digest(self._me)

    @property
    def local_member(self) -> Member:
        """Return this node's own record."""
        return self._me

    @property
    def members(self) -> dict[str, Member]:
        """Return all known members but this node, dead ones included."""
        return self._members

    @property
    def local_health_score(self) -> int:
        """Return how much this node doubts its own view, from 0 to 8."""
        return self._doubt

    @property
    def generation(self) -> int:
        """Return the configuration generation told to others."""
        return self._generation

    def live_members(self) -> list[Member]:
        """Return the members not believed dead."""
        return [m for m in self._members.values() if m.state is not MemberState.DEAD]

    def take_changes(self) -> list[Member]:
        """Return the records that changed since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def update_self(self, **changes: object) -> None:
        """Change this node's own record and spread the change."""
        version = self._me.version + 1
        self._me = attrs.evolve(self._me, version=version, **changes)  # type: ignore[arg-type]
        self._note_digest(self._me)
        self._broadcast(MemberUpdate(self._me, self._me.node_id))
        self._changes.append(self._me)

    def set_generation(self, generation: int) -> list[SendGossip]:
        """Note a new configuration generation and tell a few members at once."""
        self._generation = generation
        return self._to_random_members(defaults.CONFIGURATION_FANOUT)

    def announce_self(self) -> list[SendGossip]:
        """Tell a few members of a change of this node's own record at once."""
        return self._to_random_members(defaults.CONFIGURATION_FANOUT)

    def clear_broadcasts(self) -> None:
        """Pass on no more of what is known so far, as after a long quiet time."""
        self._broadcasts.clear()

    def join(self, address: Address) -> SendGossip:
        """Make a first ping to an address known from settings or from the store."""
        self._broadcast(MemberUpdate(self._me, self._me.node_id))
        return SendGossip(address, self._gossip(GossipKind.PING, self._next_sequence(), ""))

    def on_record(self, now_ms: Millis, member: Member, reporter: str) -> bool:
        """Take in a member record; say whether it was news."""
        if member.node_id == self._me.node_id:
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
        """Run what is due: probes, timeouts and a new period."""
        self._shift_after_pause(now_ms)
        sends = self._check_probes(now_ms)
        self._check_suspicions(now_ms)
        if now_ms >= self._next_period_at:
            self._next_period_at = now_ms + defaults.GOSSIP_PERIOD_MS
            self._forget_old(now_ms)
            sends.extend(self._start_probe(now_ms))
        return sends

    def on_gossip(
        self, now_ms: Millis, gossip: GossipMessage, address: Address
    ) -> list[SendGossip]:
        """Take in a datagram and answer it."""
        for update in gossip.updates:
            self.on_record(now_ms, update.member, update.reporter)
        if gossip.kind is GossipKind.PING:
            return self._answer_ping(gossip, address)
        if gossip.kind is GossipKind.ACK:
            return self._on_ack(gossip)
        return self._probe_for_another(now_ms, gossip, address)

    def digests(self) -> tuple[int, ...]:
        """Return a digest of each bucket of the member table."""
        return tuple(self._digests)

    def records_in(self, buckets: tuple[int, ...]) -> tuple[bytes, ...]:
        """Return the encoded records in these buckets."""
        wanted = set(buckets)
        members = [*self._members.values(), self._me]
        return tuple(encode_member(m) for m in members if _bucket_of(m.node_id) in wanted)

    def differing_buckets(self, digests: tuple[int, ...]) -> tuple[int, ...]:
        """Return the buckets in which a peer's digests differ from this node's."""
        mine = self.digests()
        if len(digests) != len(mine):
            return tuple(range(_SYNC_BUCKETS))
        return tuple(index for index, digest in enumerate(mine) if digest != digests[index])

    def _accept(self, now_ms: Millis, member: Member, reporter: str) -> None:
        self._members[member.node_id] = member
        self._note_digest(member)
        self._suspicions.pop(member.node_id, None)
        self._dead_since.pop(member.node_id, None)
        if member.state is MemberState.SUSPECT:
            self._suspicions[member.node_id] = _Suspicion(now_ms, {reporter})
        if member.state is MemberState.DEAD:
            self._dead_since[member.node_id] = now_ms
        self._broadcast(MemberUpdate(member, reporter))
        self._changes.append(member)

    def _note_digest(self, member: Member) -> None:
        """Bring the digest of a member's bucket up to date with its record.

        Dead members do not count: nodes that joined later never heard of them, and their tables
        would differ for hours.
        """
        is_dead = member.state is MemberState.DEAD
        checksum = 0 if is_dead else zlib.crc32(encode_member(member))
        bucket = _bucket_of(member.node_id)
        self._digests[bucket] ^= self._checksums.get(member.node_id, 0) ^ checksum
        self._checksums[member.node_id] = checksum

    def _forget(self, node_id: str) -> None:
        """Drop a member and its share of the digest."""
        del self._members[node_id]
        self._digests[_bucket_of(node_id)] ^= self._checksums.pop(node_id)

    def _refute(self, member: Member) -> None:
        """Answer a claim that this node is suspect or dead with a newer record."""
        if member.order <= self._me.order:
            return
        self._doubt = min(_MAX_DOUBT, self._doubt + 1)
        version = max(member.version, self._me.version)
        incarnation = max(member.incarnation, self._me.incarnation)
        self._me = attrs.evolve(self._me, version=version, incarnation=incarnation)
        self.update_self()

    def _confirm_suspicion(self, member: Member, known: Member, reporter: str) -> None:
        suspicion = self._suspicions.get(member.node_id)
        if suspicion is None or member.order != known.order:
            return
        if reporter not in suspicion.reporters:
            suspicion.reporters.add(reporter)
            self._broadcast(MemberUpdate(member, reporter))

    def _shift_after_pause(self, now_ms: Millis) -> None:
        """Move all timers on after this process was paused, since they measured nothing."""
        gap_ms = now_ms - self._last_tick_at
        self._last_tick_at = now_ms
        if gap_ms < 2 * defaults.GOSSIP_PERIOD_MS:
            return
        self._probes.clear()
        for suspicion in self._suspicions.values():
            suspicion.started_at += gap_ms

    def _check_probes(self, now_ms: Millis) -> list[SendGossip]:
        sends: list[SendGossip] = []
        for sequence, probe in list(self._probes.items()):
            waited_ms = now_ms - probe.started_at
            if not probe.asked_helpers and waited_ms >= defaults.PROBE_TIMEOUT_MS:
                probe.asked_helpers = True
                sends.extend(self._ask_helpers(sequence, probe.subject))
            elif waited_ms >= defaults.GOSSIP_PERIOD_MS:
                del self._probes[sequence]
                self._on_probe_failed(now_ms, probe.subject)
        return sends

    def _ask_helpers(self, sequence: int, subject: str) -> list[SendGossip]:
        gossip = self._gossip(GossipKind.PING_REQUEST, sequence, subject)
        others = [m for m in self.live_members() if m.node_id != subject]
        helpers = self._random.sample(others, min(defaults.INDIRECT_PROBES, len(others)))
        return [SendGossip(helper.gossip_address, gossip) for helper in helpers]

    def _on_probe_failed(self, now_ms: Millis, subject: str) -> None:
        self._doubt = min(_MAX_DOUBT, self._doubt + 1)
        member = self._members.get(subject)
        if member is None:
            return
        if member.state is MemberState.ALIVE:
            suspect = attrs.evolve(member, state=MemberState.SUSPECT)
            self._accept(now_ms, suspect, self._me.node_id)
        elif member.state is MemberState.SUSPECT:
            self._confirm_suspicion(member, member, self._me.node_id)
        elif member.state is MemberState.LEAVING:
            # A leaving member announced its end, so nobody else needs to confirm it.
            gone = attrs.evolve(member, state=MemberState.DEAD)
            self._accept(now_ms, gone, self._me.node_id)

    def _check_suspicions(self, now_ms: Millis) -> None:
        if self._doubt >= _DOUBT_LIMIT:
            return
        for node_id, suspicion in list(self._suspicions.items()):
            if not self._is_confirmed(suspicion):
                continue
            if now_ms - suspicion.started_at >= self._suspicion_timeout(suspicion):
                dead = attrs.evolve(self._members[node_id], state=MemberState.DEAD)
                self._accept(now_ms, dead, self._me.node_id)

    def _is_confirmed(self, suspicion: _Suspicion) -> bool:
        """Say whether a second node shares the suspicion, or no third node could."""
        return len(suspicion.reporters) >= 2 or len(self.live_members()) <= 1

    def _suspicion_timeout(self, suspicion: _Suspicion) -> Millis:
        """Return the time to refute, which shrinks with every confirmation."""
        scale = max(1.0, math.log10(len(self._members) + 1))
        shortest = defaults.SUSPICION_PERIODS * scale * defaults.GOSSIP_PERIOD_MS
        longest = shortest * _SUSPICION_MAX_FACTOR
        confirmations = len(suspicion.reporters) - 1
        share = math.log(confirmations + 1) / math.log(defaults.SUSPICION_CONFIRMATIONS + 1)
        return max(shortest, longest - (longest - shortest) * share)

    def _forget_old(self, now_ms: Millis) -> None:
        """Drop members long dead, and relays whose answer never came."""
        for node_id, since in list(self._dead_since.items()):
            if now_ms - since > defaults.DEAD_MEMBER_RETENTION_MS:
                del self._dead_since[node_id]
                self._forget(node_id)
        for sequence, relay in list(self._relays.items()):
            if now_ms > relay.expires_at:
                del self._relays[sequence]

    def _start_probe(self, now_ms: Millis) -> list[SendGossip]:
        sends = self._revival_probe()
        subject = self._next_subject()
        if subject is None:
            return sends
        sequence = self._next_sequence()
        self._probes[sequence] = _Probe(subject.node_id, now_ms)
        sends.append(self._ping(subject, sequence))
        return sends

    def _revival_probe(self) -> list[SendGossip]:
        """Ping a member believed dead now and then, so that cut regions find each other again."""
        dead = [self._members[node_id] for node_id in self._dead_since]
        if not dead or self._random.random() > _REVIVAL_PROBE_SHARE:
            return []
        member = self._random.choice(dead)
        # The record tells the member that it is believed dead, so that it can refute.
        self._broadcast(MemberUpdate(member, self._me.node_id))
        return [self._ping(member, self._next_sequence())]

    def _next_subject(self) -> Member | None:
        """Return the next member to probe, in a new random order after each full round."""
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

    def _answer_ping(self, gossip: GossipMessage, address: Address) -> list[SendGossip]:
        if gossip.subject not in ("", self._me.node_id):
            return []
        if not gossip.subject or gossip.sender not in self._members:
            # The sender may not know this node yet, so the answer carries its record.
            self._broadcast(MemberUpdate(self._me, self._me.node_id))
        answer = self._gossip(GossipKind.ACK, gossip.sequence, gossip.sender)
        return [SendGossip(address, answer)]

    def _on_ack(self, gossip: GossipMessage) -> list[SendGossip]:
        if self._probes.pop(gossip.sequence, None) is not None:
            self._doubt = max(0, self._doubt - 1)
        relay = self._relays.pop(gossip.sequence, None)
        if relay is None:
            return []
        answer = self._gossip(GossipKind.ACK, relay.sequence, gossip.sender)
        return [SendGossip(relay.address, answer)]

    def _probe_for_another(
        self, now_ms: Millis, gossip: GossipMessage, address: Address
    ) -> list[SendGossip]:
        member = self._members.get(gossip.subject)
        if member is None:
            return []
        sequence = self._next_sequence()
        expires_at = now_ms + defaults.GOSSIP_PERIOD_MS
        self._relays[sequence] = _Relay(address, gossip.sequence, expires_at)
        return [self._ping(member, sequence)]

    def _to_random_members(self, count: int) -> list[SendGossip]:
        live = self.live_members()
        chosen = self._random.sample(live, min(count, len(live)))
        return [self._ping(member, self._next_sequence()) for member in chosen]

    def _ping(self, member: Member, sequence: int) -> SendGossip:
        gossip = self._gossip(GossipKind.PING, sequence, member.node_id)
        return SendGossip(member.gossip_address, gossip)

    def _gossip(self, kind: GossipKind, sequence: int, subject: str) -> GossipMessage:
        return GossipMessage(
            kind, sequence, self._me.node_id, subject, self._generation, self._take_updates()
        )

    def _take_updates(self) -> tuple[MemberUpdate, ...]:
        """Return the updates repeated least so far, and count the repetition."""
        if not self._broadcasts:
            return ()
        ordered = sorted(self._broadcasts.items(), key=lambda item: item[1][1])
        chosen = ordered[: defaults.PIGGYBACK_UPDATES]
        limit = _repetitions(len(self._members))
        for node_id, (update, sent) in chosen:
            if sent + 1 >= limit:
                del self._broadcasts[node_id]
            else:
                self._broadcasts[node_id] = (update, sent + 1)
        return tuple(update for _, (update, _) in chosen)

    def _broadcast(self, update: MemberUpdate) -> None:
        self._broadcasts[update.member.node_id] = (update, 0)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence


def _repetitions(member_count: int) -> int:
    """Return how often a change is passed on so that it reaches every member."""
    needed = math.ceil(defaults.DISSEMINATION_FACTOR * math.log10(member_count + 1))
    return max(defaults.MIN_UPDATE_TRANSMISSIONS, needed)


def _bucket_of(node_id: str) -> int:
    return zlib.crc32(node_id.encode()) % _SYNC_BUCKETS


def create_membership(local_member: Member, seed: int) -> MembershipController:
    """Make the membership controller of a node."""
    return MembershipController(local_member, random.Random(seed))
