"""Member records, by which nodes describe each other, and their CBOR encoding.

The node that a record describes increments ``incarnation`` at each start and ``version`` at each
change, so that the newer of two records can always be determined. States: alive, suspect, leaving,
dead.
"""

import enum
from typing import Any, Final

import attrs
import cbor2

from gooseberrydock.errorcodes import PEER_PROTOCOL
from gooseberrydock.errors import GooseberrydockError, Step


class MemberState(enum.IntEnum):
    """Assumed state of a member, from best to worst."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@attrs.frozen
class Address:
    """IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``host:port``, raising ValueError if the text is not valid."""
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError(f"{text!r} is not host:port")
    number = int(port)
    if not 0 <= number <= 65_535:
        raise ValueError(f"{number} is not a port number from 0 to 65535")
    return Address(host, number)


@attrs.frozen
class Member:
    """Record of one node and its local target; an empty service means that there is no target."""

    node_id: str
    incarnation: int
    version: int
    state: MemberState
    peer_address: Address
    gossip_address: Address
    region: str
    failure_domain: str
    service: str
    slots: int
    is_cold: bool = False

    @property
    def is_usable(self) -> bool:
        """Return whether new requests may be sent to this member's target."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT) and bool(self.service)

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the sort key by which the newer of two records of one node is found."""
        return (self.incarnation, self.version, int(self.state))


RECORD_FIELD_TYPES: Final = (str, int, int, int, str, int, str, int, str, str, str, int, bool)


def encode_member(member: Member) -> bytes:
    """Encode a member record."""
    return cbor2.dumps(
        [
            member.node_id,
            member.incarnation,
            member.version,
            int(member.state),
            member.peer_address.host,
            member.peer_address.port,
            member.gossip_address.host,
            member.gossip_address.port,
            member.region,
            member.failure_domain,
            member.service,
            member.slots,
            member.is_cold,
        ]
    )


def decode_member(data: bytes, peer: str = "") -> Member:
    """Decode a member record, raising ``PEER_PROTOCOL`` if it is not valid."""
    try:
        return _member_from_array(cbor2.loads(data))
    except Exception as error:
        # The decoder processes untrusted bytes and documents no closed set of exceptions.
        detail = f"invalid member record: {error}"
        raise GooseberrydockError(PEER_PROTOCOL, Step.GOSSIP, peer, detail) from error


def _member_from_array(array: Any) -> Member:
    if type(array) is not list or len(array) != len(RECORD_FIELD_TYPES):
        raise ValueError("wrong number of fields")
    if any(type(value) is not kind for value, kind in zip(array, RECORD_FIELD_TYPES, strict=True)):
        raise ValueError("a field has the wrong type")
    if not array[0] or min(array[1], array[2], array[11]) < 0:
        raise ValueError("a field is empty or out of range")
    return Member(
        node_id=array[0],
        incarnation=array[1],
        version=array[2],
        state=MemberState(array[3]),
        peer_address=Address(array[4], array[5]),
        gossip_address=Address(array[6], array[7]),
        region=array[8],
        failure_domain=array[9],
        service=array[10],
        slots=array[11],
        is_cold=array[12],
    )
