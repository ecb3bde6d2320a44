"""Ownership of idempotency keys, which ensures that the request of a key runs at most once.

Performs no I/O. A member may decide about a key of a past epoch without any further check, because
the owner of such a key is fixed. It may decide about keys of the last epoch only up to a horizon.
The horizon is ``FENCE_MS - SKEW_MS`` after the latest moment at which it is certain that no next
epoch was planned. Such a moment is established

- by a majority of the epoch's members, this one included, that know of no planned epoch, or
- by a read of the register in the key-value service that shows none.

A next epoch is first planned in the register. A member that knows the plan no longer confirms the
last epoch; it has closed it. Once a majority of the last epoch's members have reported that they
know the plan, the next epoch is activated and starts ``FENCE_MS`` later. Every majority that
confirmed earlier shares a member with this majority, and every read that showed no plan is earlier,
so no horizon extends into the new epoch. A pause of a member's process does not move its horizon.
Safety needs neither leases nor timers that fire on time, only wall clocks within ``SKEW_MS`` of
each other. docs/AT-MOST-ONCE.md compares this design with leases.
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
_STABILITY_PERIOD_MS: Final[Millis] = 300.0
"""How long the set of live members must stay unchanged before a new epoch is planned."""
_HEARTBEAT_TIMEOUT_MS: Final[Millis] = 1_000.0
"""How long after its last heartbeat a member is considered reachable."""
_SLOW_READ_PERIOD_MS: Final[Millis] = 5_000.0
_FAST_READ_PERIOD_MS: Final[Millis] = 300.0
_READ_RETRY_DELAY_MS: Final[Millis] = 1_000.0
_TAKEOVER_DELAY_MS: Final[Millis] = 700.0
"""Additional delay per position in the order of members, before a member makes a change that those
before it did not make."""


class KeyStatus(enum.Enum):
    """What this node may do about a key."""

    OWN = "own"
    OTHER = "other"
    UNDECIDED = "undecided"
    EXPIRED = "expired"


@attrs.frozen
class KeyDecision:
    """Status of a key on this node and, where it is known, the owner of the key."""

    status: KeyStatus
    owner: NodeIdentity | None = None


@attrs.frozen
class SendHeartbeat:
    """Request to send a heartbeat to another member."""

    node_id: str
    heartbeat: OwnerHeartbeat


@attrs.frozen
class SendRegister:
    """Request to send the register to another member."""

    node_id: str
    register: Register


@attrs.frozen
class ReadRegister:
    """Request to read the register from the store."""


@attrs.frozen
class SwapRegister:
    """Request to compare-and-swap the register in the store."""

    register: Register
    modify_index: int


Action = SendHeartbeat | SendRegister | ReadRegister | SwapRegister


@attrs.define
class _Peer:
    """State of one other identity from its heartbeats; times are of this node's wall clock."""

    last_heartbeat_at: Millis = 0.0
    last_token: int = 0
    version: int = 0
    confirmed_at: Millis = 0.0
    has_closed_epoch: bool = False


@attrs.define
class OwnershipController:
    """Track the register of this node's service and the keys that this node may decide about."""

    _identity: NodeIdentity
    _register: Register | None = None
    _members: frozenset[NodeIdentity] = frozenset()
    _live: frozenset[NodeIdentity] = frozenset()
    _live_since: Millis = 0.0
    _peers: dict[NodeIdentity, _Peer] = attrs.field(factory=dict)
    _sent_at_by_token: dict[int, Millis] = attrs.field(factory=dict)
    _last_sent_token: int = 0
    _next_heartbeat_at: Millis = 0.0
    _last_read_at: Millis = 0.0
    _last_failure_at: Millis = -_SLOW_READ_PERIOD_MS
    _is_store_call_pending: bool = False
    _horizon: Millis = 0.0
    _is_enabled: bool = False

    @property
    def register(self) -> Register | None:
        """Return the newest known register."""
        return self._register

    @property
    def horizon_ms(self) -> Millis:
        """Return the key time in ms up to which this node may decide in the last epoch."""
        return self._horizon

    def set_enabled(self, is_enabled: bool) -> None:
        """Enable the controller if non-idempotent classes pass this service, or disable it."""
        self._is_enabled = is_enabled

    def set_members(self, wall_ms: Millis, members: frozenset[NodeIdentity]) -> None:
        """Record which identities serve this service and are not leaving."""
        self._members = members
        self._update_live(wall_ms)

    def _update_live(self, wall_ms: Millis) -> None:
        """Exclude members whose heartbeats have stopped arriving.

        A member that is wrongly excluded only causes an early change of epoch.
        """
        live = frozenset(
            member
            for member in self._members
            if member not in self._peers
            or not self._peers[member].last_heartbeat_at
            or wall_ms - self._peers[member].last_heartbeat_at < _HEARTBEAT_TIMEOUT_MS
        )
        if live != self._live:
            self._live = live
            self._live_since = wall_ms

    def decide(self, wall_ms: Millis, key: str) -> KeyDecision:
        """Return what this node may do about a key."""
        created_at = key_time_ms(key)
        register = self._register
        if register is None:
            return KeyDecision(KeyStatus.UNDECIDED)
        if created_at < max(wall_ms - KEY_LIFETIME_MS, register.epochs[0].from_ms):
            return KeyDecision(KeyStatus.EXPIRED)
        epoch = max((e for e in register.epochs if e.from_ms <= created_at), key=lambda e: e.number)
        owner = epoch.owner_of(key)
        is_last = epoch is register.current
        if is_last and created_at >= self._horizon:
            return KeyDecision(KeyStatus.UNDECIDED, owner)
        return KeyDecision(KeyStatus.OWN if owner == self._identity else KeyStatus.OTHER, owner)

    def owns_no_new_keys(self, wall_ms: Millis) -> bool:
        """Return whether no key created from now on belongs to this node."""
        register = self._register
        if not self._is_enabled or register is None:
            return True
        is_excluded = self._identity not in register.current.members and register.pending is None
        return is_excluded and wall_ms >= register.current.from_ms + SKEW_MS

    def tick(self, wall_ms: Millis) -> list[Action]:
        """Send heartbeats and read the register when they are due."""
        if not self._is_enabled:
            return []
        self._update_live(wall_ms)
        actions: list[Action] = []
        if wall_ms >= self._next_heartbeat_at:
            self._next_heartbeat_at = wall_ms + HEARTBEAT_PERIOD_MS
            actions.extend(self._create_heartbeats(wall_ms))
        self._advance_horizon(wall_ms)
        if not self._is_store_call_pending and self._is_read_due(wall_ms):
            self._is_store_call_pending = True
            actions.append(ReadRegister())
        return actions

    def on_heartbeat(
        self, wall_ms: Millis, sender: NodeIdentity, heartbeat: OwnerHeartbeat
    ) -> list[Action]:
        """Record another member's heartbeat; reply with the register if that member's is older."""
        peer = self._peers.setdefault(sender, _Peer())
        peer.last_heartbeat_at = wall_ms
        peer.last_token = heartbeat.token
        peer.version = max(peer.version, heartbeat.version)
        echoed_sent_at = self._sent_at_by_token.get(heartbeat.echoed_token)
        register = self._register
        if register is not None:
            if (
                heartbeat.confirms_epoch
                and heartbeat.version == register.version
                and echoed_sent_at is not None
            ):
                peer.confirmed_at = max(peer.confirmed_at, echoed_sent_at)
            self._update_has_closed_epoch(peer, register)
            if heartbeat.version < register.version:
                return [SendRegister(sender.node_id, register)]
        return []

    def on_register_from_peer(self, wall_ms: Millis, register: Register) -> list[Action]:
        """Adopt a register from another member if newer, and send heartbeats immediately."""
        if not self._adopt(register):
            return []
        return self._create_heartbeats(wall_ms)

    def on_read(
        self, wall_ms: Millis, began_ms: Millis, register: Register | None, modify_index: int
    ) -> list[Action]:
        """Process a store read that began at ``began_ms``; change the register if due."""
        self._is_store_call_pending = False
        self._last_read_at = wall_ms
        actions: list[Action] = []
        if register is not None:
            if self._adopt(register):
                actions.extend(self._create_register_messages())
                actions.extend(self._create_heartbeats(wall_ms))
            is_current = self._register is not None and register.version == self._register.version
            if is_current and register.pending is None and self._is_member(register):
                self._extend_horizon(began_ms)
        change = self._next_change(wall_ms, register)
        if change is not None:
            self._is_store_call_pending = True
            actions.append(SwapRegister(change, modify_index))
        return actions

    def on_store_call_failed(self, wall_ms: Millis) -> None:
        """Record that the store did not answer a read or a swap."""
        self._is_store_call_pending = False
        self._last_failure_at = wall_ms

    def on_swapped(self, wall_ms: Millis, register: Register, is_done: bool) -> list[Action]:
        """Process the result of a swap."""
        self._is_store_call_pending = False
        self._last_read_at = wall_ms
        if not is_done or not self._adopt(register):
            return []
        return [*self._create_register_messages(), *self._create_heartbeats(wall_ms)]

    def _is_read_due(self, wall_ms: Millis) -> bool:
        if wall_ms - self._last_failure_at < _READ_RETRY_DELAY_MS:
            return False
        return wall_ms - self._last_read_at >= self._read_period(wall_ms)

    def _is_member(self, register: Register) -> bool:
        return self._identity in register.current.members

    def _adopt(self, register: Register) -> bool:
        """Adopt a register if it is newer; return whether it was."""
        known = self._register
        if known is not None and register.version <= known.version:
            return False
        if known is None or register.current.number != known.current.number:
            self._horizon = 0.0
            for peer in self._peers.values():
                peer.confirmed_at = 0.0
        if register.pending is None or known is None or known.pending is None:
            for peer in self._peers.values():
                peer.has_closed_epoch = False
        self._register = register
        for peer in self._peers.values():
            self._update_has_closed_epoch(peer, register)
        return True

    def _update_has_closed_epoch(self, peer: _Peer, register: Register) -> None:
        """Record whether a peer is known to have received the plan of the next epoch."""
        if register.pending is not None and peer.version >= register.pending_since:
            peer.has_closed_epoch = True

    def _is_confirming(self) -> bool:
        """Return whether this node confirms the last epoch to other members."""
        register = self._register
        return register is not None and register.pending is None and self._is_member(register)

    def _create_heartbeats(self, wall_ms: Millis) -> list[Action]:
        """Create heartbeats to the other members of the last epoch and of the service."""
        register = self._register
        others = set(self._members)
        if register is not None:
            others |= register.current.members
        others.discard(self._identity)
        self._last_sent_token += 1
        self._sent_at_by_token[self._last_sent_token] = wall_ms
        self._sent_at_by_token.pop(self._last_sent_token - _MAX_TOKENS, None)
        version = register.version if register is not None else 0
        heartbeats: list[Action] = []
        for other in sorted(others):
            echoed_token = self._peers.get(other, _Peer()).last_token
            heartbeat = OwnerHeartbeat(
                self._identity.incarnation,
                self._last_sent_token,
                echoed_token,
                version,
                self._is_confirming(),
            )
            heartbeats.append(SendHeartbeat(other.node_id, heartbeat))
        return heartbeats

    def _advance_horizon(self, wall_ms: Millis) -> None:
        """Extend the horizon to match the confirmations of a majority of the last epoch."""
        register = self._register
        if register is None or not self._is_confirming():
            return
        confirmed = [wall_ms] + [
            self._peers[member].confirmed_at
            for member in register.current.members
            if member != self._identity and member in self._peers
        ]
        confirmed.sort(reverse=True)
        if len(confirmed) >= register.current.majority:
            self._extend_horizon(confirmed[register.current.majority - 1])

    def _extend_horizon(self, confirmed_at: Millis) -> None:
        if confirmed_at > 0:
            self._horizon = max(self._horizon, confirmed_at + FENCE_MS - SKEW_MS)

    def _create_register_messages(self) -> list[Action]:
        """Create messages with a new register to the members of the service and the last epoch."""
        register = self._register
        if register is None:
            return []
        others = (self._members | register.current.members) - {self._identity}
        return [SendRegister(other.node_id, register) for other in sorted(others)]

    def _read_period(self, wall_ms: Millis) -> Millis:
        """Return the interval between reads of the register.

        Only the member whose turn it is makes a change, so that the loss of a failure domain does
        not cause all members of all services to access the store at the same time; the others
        receive the changed register from that member. A member that no majority confirms reads
        frequently, because only reads extend its horizon.
        """
        slow_period = _SLOW_READ_PERIOD_MS * max(1, len(self._live))
        register = self._register
        if register is not None and self._is_member(register) and not register.pending:
            if self._horizon < wall_ms:
                return _FAST_READ_PERIOD_MS
            if register.current.members == self._live:
                return slow_period
        return _FAST_READ_PERIOD_MS if self._is_due_to_act(wall_ms) else slow_period

    def _is_due_to_act(self, wall_ms: Millis) -> bool:
        """Return whether the live members have been stable long enough for this node to act."""
        return bool(self._live) and wall_ms - self._live_since >= self._action_delay_ms()

    def _next_change(self, wall_ms: Millis, stored: Register | None) -> Register | None:
        """Return the next step of a membership change, if this node has to make it."""
        if not self._is_due_to_act(wall_ms):
            return None
        known = self._register
        if stored is None or (known is not None and stored.version < known.version):
            # The store has lost the register, or came back from an older copy.
            return self._restored_register(wall_ms)
        if stored != known:
            return None
        if stored.pending is not None:
            return self._next_pending_change(wall_ms, stored)
        if stored.current.members != self._live and self._has_reachable_majority(wall_ms, stored):
            return stored.with_pending(self._live)
        return None

    def _restored_register(self, wall_ms: Millis) -> Register:
        """Return the first register, or the known one if the store has lost it."""
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

    def _action_delay_ms(self) -> Millis:
        """Return how long the live members must be stable before this node acts."""
        ordered = sorted(self._live)
        position = ordered.index(self._identity) if self._identity in ordered else len(ordered)
        return _STABILITY_PERIOD_MS + position * _TAKEOVER_DELAY_MS

    def _has_reachable_majority(self, wall_ms: Millis, register: Register) -> bool:
        """Return whether enough members of the last epoch are reachable to close it."""
        reachable = sum(
            1
            for member in register.current.members
            if member == self._identity
            or (
                member in self._peers
                and wall_ms - self._peers[member].last_heartbeat_at < _HEARTBEAT_TIMEOUT_MS
            )
        )
        return reachable >= register.current.majority

    def _is_closed_by_majority(self, register: Register) -> bool:
        """Return whether a majority of the last epoch's members are known to have closed it."""
        closed = sum(
            member == self._identity
            or (member in self._peers and self._peers[member].has_closed_epoch)
            for member in register.current.members
        )
        return closed >= register.current.majority


_MAX_TOKENS: Final = 1_000
"""Number of heartbeat rounds whose send times are kept, to date the confirmations of peers."""


def create_ownership(identity: NodeIdentity) -> OwnershipController:
    """Create the ownership controller of a node."""
    return OwnershipController(identity)
