"""Datagrams of membership gossip and their authenticated CBOR encoding.

A datagram is a keyed digest followed by a CBOR array. Without a shared key the digest is empty.
"""

import enum
import hashlib
import hmac
from typing import Any, Final

import attrs
import cbor2

from gooseberrydock import defaults
from gooseberrydock.errorcodes import PEER_PROTOCOL, PEER_REFUSED
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.members import Member, decode_member, encode_member

DIGEST_BYTES: Final = 16
_FIELD_TYPES: Final = (int, int, str, str, int, list)


class GossipKind(enum.IntEnum):
    """Purpose of a datagram."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3


@attrs.frozen
class MemberUpdate:
    """Member record to disseminate; ``reporter`` is the node that reported the member's state."""

    member: Member
    reporter: str


@attrs.frozen
class GossipMessage:
    """Content of one datagram.

    ``probed_node_id`` is the node that a ping is intended for or that a ping request asks to probe.
    It is empty if only the address is known. ``generation`` is the configuration generation that is
    in force at the sender.
    """

    kind: GossipKind
    sequence: int
    sender: str
    probed_node_id: str
    generation: int
    updates: tuple[MemberUpdate, ...]


def _encoded_size(text: str) -> int:
    return len(text.encode())


def encode_gossip(gossip: GossipMessage, key: bytes) -> bytes:
    """Encode a datagram, omitting updates that would exceed ``MAX_DATAGRAM_BYTES``."""
    updates: list[list[Any]] = []
    # 64 and 8 bytes are upper bounds of what CBOR adds to the message and to each update.
    size = 64 + DIGEST_BYTES + _encoded_size(gossip.sender) + _encoded_size(gossip.probed_node_id)
    for update in gossip.updates:
        record = encode_member(update.member)
        size += len(record) + _encoded_size(update.reporter) + 8
        if size > defaults.MAX_DATAGRAM_BYTES:
            break
        updates.append([record, update.reporter])
    fields = [int(gossip.kind), gossip.sequence, gossip.sender, gossip.probed_node_id]
    body = cbor2.dumps([*fields, gossip.generation, updates])
    return _compute_digest(body, key) + body


def decode_gossip(data: bytes, key: bytes, peer: str) -> GossipMessage:
    """Decode a datagram, raising ``PEER_PROTOCOL`` or, with a wrong digest, ``PEER_REFUSED``."""
    size = DIGEST_BYTES if key else 0
    digest, body = data[:size], data[size:]
    if not hmac.compare_digest(digest, _compute_digest(body, key)):
        raise GooseberrydockError(PEER_REFUSED, Step.GOSSIP, peer, "datagram digest does not match")
    try:
        return _gossip_from_array(cbor2.loads(body), peer)
    except GooseberrydockError:
        raise
    except Exception as error:
        # The decoder processes untrusted bytes and documents no closed set of exceptions.
        raise GooseberrydockError(PEER_PROTOCOL, Step.GOSSIP, peer, str(error)) from error


def _compute_digest(body: bytes, key: bytes) -> bytes:
    if not key:
        return b""
    return hashlib.blake2b(body, key=key[: hashlib.blake2b.MAX_KEY_SIZE], digest_size=16).digest()


def _gossip_from_array(array: Any, peer: str) -> GossipMessage:
    if type(array) is not list or len(array) != len(_FIELD_TYPES):
        raise ValueError("gossip datagram has the wrong number of fields")
    if any(type(value) is not kind for value, kind in zip(array, _FIELD_TYPES, strict=True)):
        raise ValueError("a field of the gossip datagram has the wrong type")
    updates = []
    for record, reporter in array[5]:
        if type(reporter) is not str:
            raise ValueError("the reporter of an update is not a string")
        updates.append(MemberUpdate(decode_member(record, peer), reporter))
    kind = GossipKind(array[0])
    return GossipMessage(kind, array[1], array[2], array[3], array[4], tuple(updates))
