"""Who may decide about an idempotency key, so that its request runs at most once.

A member may decide about a key of a past epoch without further ado, because the owner of such a
key is fixed. About keys of the last epoch it may decide only up to a horizon. The horizon is
``FENCE_MS - SKEW_MS`` after the latest moment at which no next epoch was under way, which is shown

- by a majority of the epoch's members, this one included, that know of no planned epoch, or
- by a read of the register in the key-value service that shows none.

A next epoch is first planned in the register. Once a majority of the last epoch's members said
that they know the plan, and so confirm nothing any more, it is activated from ``FENCE_MS`` after
that moment. Every majority that confirmed before shares a member with it, and every read that
showed no plan came before, so no horizon reaches into the new epoch. A member that was paused
finds its horizon where it was; it needs no lease and no timely clock to be safe, only wall clocks
within ``SKEW_MS`` of each other. docs/AT-MOST-ONCE.md weighs this against leases.
"""

import enum
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.keys import key_time_ms
from gooseberrydock.messages import OwnerHeartbeat
from gooseberrydock.owner_register import NodeIdentity, Register, first_register

FENCE_MS: Final[Millis] = 1_300.0
SKEW_MS: Final[Millis] = 300.0
HEARTBEAT_PERIOD_MS: Final[Millis] = 300.0
KEY_LIFETIME_MS: Final[Millis] = 600_000.0
_STABLE_MS: Final[Millis] = 300.0
"""How long the live members must stay the same before a new epoch is planned."""
_HEARD_MS: Final[Millis] = 1_000.0
"""How long after its last heartbeat a member counts as reachable."""
_SLOW_READ_MS: Final[Millis] = 5_000.0
_FAST_READ_MS: Final[Millis] = 300.0
_RETRY_MS: Final[Millis] = 1_000.0
_TURN_MS: Final[Millis] = 700.0
"""How much later each further member steps in where the first does not change the register."""


class KeyStatus(enum.Enum):
    """Say what this node may do about a key."""

    OWN = "own"
    OTHER = "other"
    UNDECIDED = "undecided"
    EXPIRED = "expired"


@attrs.frozen
class KeyDecision:
    """Hold the right to a key and, where it is known, its owner."""

    status: KeyStatus
    owner: NodeIdentity | None = None


@attrs.frozen
class SendHeartbeat:
    """Ask the shell to send a heartbeat."""

    node_id: str
    heartbeat: OwnerHeartbeat


@attrs.frozen
class SendRegister:
    """Ask the shell to hand the register to another member."""

    node_id: str
    register: Register


@attrs.frozen
class ReadRegister:
    """Ask the shell to read the register in the store."""


@attrs.frozen
class SwapRegister:
    """Ask the shell to swap the register in the store."""

    register: Register
    modify_index: int


Action = SendHeartbeat | SendRegister | ReadRegister | SwapRegister


@attrs.define
class _Peer:
    """Hold what beats told about one other identity; times are this node's wall clock."""

    heard_at: Millis = 0.0
    token: int = 0
    version: int = 0
    confirmed_at: Millis = 0.0
    has_closed: bool = False


@attrs.define
class OwnershipController:
    """Track the register of the own service and this node's right to decide."""

    _me: NodeIdentity
    _register: Register | None = None
    _members: frozenset[NodeIdentity] = frozenset()
    _live: frozenset[NodeIdentity] = frozenset()
    _live_since: Millis = 0.0
    _peers: dict[NodeIdentity, _Peer] = attrs.field(factory=dict)
    _sent: dict[int, Millis] = attrs.field(factory=dict)
    _token: int = 0
    _next_beat_at: Millis = 0.0
    _read_at: Millis = 0.0
    _failed_at: Millis = -_SLOW_READ_MS
    _is_reading: bool = False
    _horizon: Millis = 0.0
    _is_needed: bool = False

    @property
    def register(self) -> Register | None:
        """Return the newest register known."""
        return self._register

    @property
    def horizon_ms(self) -> Millis:
        """Return the key time up to which this node may decide in the last epoch."""
        return self._horizon

    def set_enabled(self, is_enabled: bool) -> None:
        """Take part only if some class that may not be repeated passes this service."""
        self._is_needed = is_enabled

    def set_members(self, wall_ms: Millis, members: frozenset[NodeIdentity]) -> None:
        """Take in which identities serve this service and are not leaving."""
        self._members = members
        self._update_live(wall_ms)

    def _update_live(self, wall_ms: Millis) -> None:
        """Leave out members that were heard before and then fell silent.

        Being wrong about one costs an early change of epoch and nothing else.
        """
        live = frozenset(
            member
            for member in self._members
            if member not in self._peers
            or not self._peers[member].heard_at
            or wall_ms - self._peers[member].heard_at < _HEARD_MS
        )
        if live != self._live:
            self._live = live
            self._live_since = wall_ms

    def decide(self, wall_ms: Millis, key: str) -> KeyDecision:
        """Say what this node may do about a key."""
        made_at = key_time_ms(key)
        register = self._register
        if register is None:
            return KeyDecision(KeyStatus.UNDECIDED)
        if made_at < max(wall_ms - KEY_LIFETIME_MS, register.epochs[0].from_ms):
            return KeyDecision(KeyStatus.EXPIRED)
        epoch = max((e for e in register.epochs if e.from_ms <= made_at), key=lambda e: e.number)
        owner = epoch.owner_of(key)
        is_last = epoch is register.current
        if is_last and made_at >= self._horizon:
            return KeyDecision(KeyStatus.UNDECIDED, owner)
        return KeyDecision(KeyStatus.OWN if owner == self._me else KeyStatus.OTHER, owner)

    def is_released(self, wall_ms: Millis) -> bool:
        """Say whether no key made from now on belongs to this node."""
        register = self._register
        if not self._is_needed or register is None:
            return True
        is_out = self._me not in register.current.members and register.pending is None
        return is_out and wall_ms >= register.current.from_ms + SKEW_MS

    def tick(self, wall_ms: Millis) -> list[Action]:
        """Send beats and follow the register when it is time."""
        if not self._is_needed:
            return []
        self._update_live(wall_ms)
        actions: list[Action] = []
        if wall_ms >= self._next_beat_at:
            self._next_beat_at = wall_ms + HEARTBEAT_PERIOD_MS
            actions.extend(self._beats(wall_ms))
        self._advance_horizon(wall_ms)
        if not self._is_reading and self._is_read_due(wall_ms):
            self._is_reading = True
            actions.append(ReadRegister())
        return actions

    def on_heartbeat(
        self, wall_ms: Millis, sender: NodeIdentity, heartbeat: OwnerHeartbeat
    ) -> list[Action]:
        """Take in another member's heartbeat; tell it of a newer register."""
        peer = self._peers.setdefault(sender, _Peer())
        peer.heard_at = wall_ms
        peer.token = heartbeat.token
        peer.version = max(peer.version, heartbeat.version)
        asked_at = self._sent.get(heartbeat.echoed_token)
        register = self._register
        if register is not None:
            if (
                heartbeat.confirms_epoch
                and heartbeat.version == register.version
                and asked_at is not None
            ):
                peer.confirmed_at = max(peer.confirmed_at, asked_at)
            self._note_closing(peer, register)
            if heartbeat.version < register.version:
                return [SendRegister(sender.node_id, register)]
        return []

    def on_register_from_peer(self, wall_ms: Millis, register: Register) -> list[Action]:
        """Take in a register that another member passed on, and answer with a heartbeat at once."""
        if not self._adopt(register):
            return []
        return self._beats(wall_ms)

    def on_read(
        self, wall_ms: Millis, began_ms: Millis, register: Register | None, modify_index: int
    ) -> list[Action]:
        """Take in a read of the store that began at ``began_ms``; change the register if due."""
        self._is_reading = False
        self._read_at = wall_ms
        actions: list[Action] = []
        if register is not None:
            if self._adopt(register):
                actions.extend(self._spread())
                actions.extend(self._beats(wall_ms))
            is_current = self._register is not None and register.version == self._register.version
            if is_current and register.pending is None and self._is_member(register):
                self._extend(began_ms)
        change = self._next_change(wall_ms, register)
        if change is not None:
            self._is_reading = True
            actions.append(SwapRegister(change, modify_index))
        return actions

    def on_read_failed(self, wall_ms: Millis) -> None:
        """Take in that the store did not answer a read or a swap."""
        self._is_reading = False
        self._failed_at = wall_ms

    def on_swapped(self, wall_ms: Millis, register: Register, is_done: bool) -> list[Action]:
        """Take in the answer to a swap."""
        self._is_reading = False
        self._read_at = wall_ms
        if not is_done or not self._adopt(register):
            return []
        return [*self._spread(), *self._beats(wall_ms)]

    def _is_read_due(self, wall_ms: Millis) -> bool:
        if wall_ms - self._failed_at < _RETRY_MS:
            return False
        return wall_ms - self._read_at >= self._read_period(wall_ms)

    def _is_member(self, register: Register) -> bool:
        return self._me in register.current.members

    def _adopt(self, register: Register) -> bool:
        """Take over a register if it is newer."""
        known = self._register
        if known is not None and register.version <= known.version:
            return False
        if known is None or register.current.number != known.current.number:
            self._horizon = 0.0
            for peer in self._peers.values():
                peer.confirmed_at = 0.0
        if register.pending is None or known is None or known.pending is None:
            for peer in self._peers.values():
                peer.has_closed = False
        self._register = register
        for peer in self._peers.values():
            self._note_closing(peer, register)
        return True

    def _note_closing(self, peer: _Peer, register: Register) -> None:
        """Note whether a peer is known to know of the planned epoch."""
        if register.pending is not None and peer.version >= register.pending_since:
            peer.has_closed = True

    def _confirms(self) -> bool:
        """Say whether this node confirms the last epoch to others."""
        register = self._register
        return register is not None and register.pending is None and self._is_member(register)

    def _beats(self, wall_ms: Millis) -> list[Action]:
        """Make a heartbeat for each other member of the last epoch and of the live ones."""
        register = self._register
        others = set(self._members)
        if register is not None:
            others |= register.current.members
        others.discard(self._me)
        self._token += 1
        self._sent[self._token] = wall_ms
        self._sent.pop(self._token - _MAX_TOKENS, None)
        version = register.version if register is not None else 0
        beats: list[Action] = []
        for other in sorted(others):
            echoed_token = self._peers.get(other, _Peer()).token
            heartbeat = OwnerHeartbeat(
                self._me.incarnation, self._token, echoed_token, version, self._confirms()
            )
            beats.append(SendHeartbeat(other.node_id, heartbeat))
        return beats

    def _advance_horizon(self, wall_ms: Millis) -> None:
        """Extend the horizon by what a majority of the last epoch's members confirmed."""
        register = self._register
        if register is None or not self._confirms():
            return
        confirmed = [wall_ms] + [
            self._peers[member].confirmed_at
            for member in register.current.members
            if member != self._me and member in self._peers
        ]
        confirmed.sort(reverse=True)
        if len(confirmed) >= register.current.majority:
            self._extend(confirmed[register.current.majority - 1])

    def _extend(self, confirmed_at: Millis) -> None:
        if confirmed_at > 0:
            self._horizon = max(self._horizon, confirmed_at + FENCE_MS - SKEW_MS)

    def _spread(self) -> list[Action]:
        """Hand a new register to all who need it."""
        register = self._register
        if register is None:
            return []
        others = (self._members | register.current.members) - {self._me}
        return [SendRegister(other.node_id, register) for other in sorted(others)]

    def _read_period(self, wall_ms: Millis) -> Millis:
        """Return how often to read the register.

        A change is made by the member whose turn it is, so that a lost failure domain does not
        bring all members of all services to the store at once; the others hear of it. A member
        that no majority confirms reads often, since only reads extend its horizon.
        """
        slow = _SLOW_READ_MS * max(1, len(self._live))
        register = self._register
        if register is not None and self._is_member(register) and not register.pending:
            if self._horizon < wall_ms:
                return _FAST_READ_MS
            if register.current.members == self._live:
                return slow
        return _FAST_READ_MS if self._is_my_turn(wall_ms) else slow

    def _is_my_turn(self, wall_ms: Millis) -> bool:
        """Say whether the live members are stable for so long that this node is to act."""
        return bool(self._live) and wall_ms - self._live_since >= self._patience()

    def _next_change(self, wall_ms: Millis, stored: Register | None) -> Register | None:
        """Return the next step of a change of members, if this node is to make it."""
        if not self._is_my_turn(wall_ms):
            return None
        if stored is None:
            return self._restored_register(wall_ms)
        if stored != self._register:
            return None
        if stored.pending is not None:
            return self._next_pending_change(wall_ms, stored)
        if stored.current.members != self._live and self._has_reachable_majority(wall_ms, stored):
            return stored.with_pending(self._live)
        return None

    def _restored_register(self, wall_ms: Millis) -> Register:
        """Return the first register, or the known one where the store lost it."""
        if self._register is None:
            return first_register(self._live)
        return attrs.evolve(self._register, version=self._register.version + 1)

    def _next_pending_change(self, wall_ms: Millis, stored: Register) -> Register | None:
        if not self._is_closed_by_majority(stored):
            is_reachable = self._has_reachable_majority(wall_ms, stored)
            return None if is_reachable else stored.without_pending()
        if stored.pending != self._live:
            return stored.with_pending(self._live)
        return stored.activated(wall_ms + FENCE_MS, wall_ms - KEY_LIFETIME_MS)

    def _patience(self) -> Millis:
        """Return how long the live members must be stable before this node acts on it."""
        first = sorted(self._live)
        turn = first.index(self._me) if self._me in first else len(first)
        return _STABLE_MS + turn * _TURN_MS

    def _has_reachable_majority(self, wall_ms: Millis, register: Register) -> bool:
        """Say whether a majority of the last epoch's members can close it."""
        reachable = sum(
            1
            for member in register.current.members
            if member == self._me
            or (member in self._peers and wall_ms - self._peers[member].heard_at < _HEARD_MS)
        )
        return reachable >= register.current.majority

    def _is_closed_by_majority(self, register: Register) -> bool:
        """Say whether a majority of the last epoch's members are known to have closed it."""
        closed = sum(
            member == self._me or (member in self._peers and self._peers[member].has_closed)
            for member in register.current.members
        )
        return closed >= register.current.majority


_MAX_TOKENS: Final = 1_000


def create_ownership(identity: NodeIdentity) -> OwnershipController:
    """Make the ownership controller of a node."""
    return OwnershipController(identity)
