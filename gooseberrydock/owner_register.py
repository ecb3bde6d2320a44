"""The register of a service, which records which nodes own which idempotency keys.

A key contains the time at which it was created. The register divides key time into epochs, each
with the members that own the keys of its span, so that the owner of a key never changes: a key of
an epoch belongs to the member of that epoch with the highest hash (rendezvous hashing). The
register is stored in the platform's key-value service and changes only by compare-and-swap.
"""

import json
from typing import Any, Final

import attrs
import xxhash

from gooseberrydock.clock import Millis
from gooseberrydock.decoding import MALFORMED_INPUT, describe_error
from gooseberrydock.errorcodes import STORE_PROTOCOL
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.members import Member

REGISTER_KEY_PREFIX: Final = "gooseberrydock/owners/"
_MAX_EPOCHS: Final = 64


@attrs.frozen(order=True)
class NodeIdentity:
    """Identity of one incarnation of a node; a restarted node has a new identity."""

    node_id: str
    incarnation: int


@attrs.frozen
class Epoch:
    """Owners of the keys created from ``from_ms``, a key time in ms, until the next epoch."""

    number: int
    from_ms: Millis
    members: frozenset[NodeIdentity]

    def owner_of(self, key: str) -> NodeIdentity:
        """Return the owner of a key of this epoch."""
        return max(self.members, key=lambda member: key_score(member.node_id, key))

    @property
    def majority(self) -> int:
        """Return how many members are a majority."""
        return len(self.members) // 2 + 1


@attrs.frozen
class Register:
    """Epochs of a service, oldest first, and the members of a planned next epoch.

    While ``pending`` is set, the last epoch's members no longer confirm that epoch to each other.
    ``pending_since`` is the version in which ``pending`` was first set.
    """

    version: int
    epochs: tuple[Epoch, ...]
    pending: frozenset[NodeIdentity] | None = None
    pending_since: int = 0

    @property
    def current(self) -> Epoch:
        """Return the last epoch."""
        return self.epochs[-1]

    def with_pending(self, members: frozenset[NodeIdentity]) -> "Register":
        """Return the register with a planned next epoch."""
        version = self.version + 1
        since = self.pending_since if self.pending is not None else version
        return attrs.evolve(self, version=version, pending=members, pending_since=since)

    def without_pending(self) -> "Register":
        """Return the register without the planned epoch."""
        return attrs.evolve(self, version=self.version + 1, pending=None, pending_since=0)

    def activated(self, from_ms: Millis, oldest_key_ms: Millis) -> "Register":
        """Return the register with the planned epoch active and without epochs of expired keys."""
        if self.pending is None:
            raise ValueError("no epoch is planned")
        start = max(from_ms, self.current.from_ms + 1)
        epochs = (*self.epochs, Epoch(self.current.number + 1, start, self.pending))
        kept = [
            epoch
            for epoch, successor in zip(epochs, epochs[1:], strict=False)
            if successor.from_ms > oldest_key_ms
        ]
        return Register(self.version + 1, (*kept, epochs[-1])[-_MAX_EPOCHS:])


def first_register(members: frozenset[NodeIdentity]) -> Register:
    """Create the first register, whose epoch covers all keys since no key had an owner before."""
    return Register(1, (Epoch(1, 0.0, members),))


def key_score(node_id: str, key: str) -> int:
    """Return the rendezvous hash of a node for a key."""
    return xxhash.xxh3_64_intdigest(f"{node_id}\0{key}".encode())


def identity_of(member: Member) -> NodeIdentity:
    """Return the identity of a member."""
    return NodeIdentity(member.node_id, member.incarnation)


def encode_register(register: Register) -> bytes:
    """Encode a register as JSON."""
    return json.dumps(
        {
            "version": register.version,
            "epochs": [
                [epoch.number, epoch.from_ms, _members_to_plain(epoch.members)]
                for epoch in register.epochs
            ],
            "pending": None if register.pending is None else _members_to_plain(register.pending),
            "pending_since": register.pending_since,
        }
    ).encode()


def decode_register(payload: bytes, peer: str) -> Register:
    """Decode a register, raising ``STORE_PROTOCOL`` if it is not valid."""
    try:
        plain = json.loads(payload)
        epochs = tuple(
            Epoch(int(number), float(from_ms), _members_from_plain(members))
            for number, from_ms, members in plain["epochs"]
        )
        if not epochs or any(not epoch.members for epoch in epochs):
            raise ValueError("an epoch has no members")
        pending = plain["pending"]
        return Register(
            version=int(plain["version"]),
            epochs=epochs,
            pending=None if pending is None else _members_from_plain(pending),
            pending_since=int(plain["pending_since"]),
        )
    except MALFORMED_INPUT as error:
        detail = f"register: {describe_error(error)}"
        raise GooseberrydockError(STORE_PROTOCOL, Step.STORE, peer, detail) from error


def _members_to_plain(members: frozenset[NodeIdentity]) -> list[list[Any]]:
    return [[member.node_id, member.incarnation] for member in sorted(members)]


def _members_from_plain(plain: Any) -> frozenset[NodeIdentity]:
    return frozenset(NodeIdentity(str(node_id), int(incarnation)) for node_id, incarnation in plain)
