"""Which nodes there are, and which service's target stands beside each.

Records come from the store, where each node keeps its own under a lease, and from the links to the
nodes themselves. A record of the store that ended is believed only after a while, and not at all
as long as its node still speaks for itself. Controller without I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.members import Member, MemberState

_ENDED_HOLD_MS: Final[Millis] = 2_000.0
"""How long a record outlives its entry in the store; a living node writes it again by then."""
_HEARD_HOLD_MS: Final[Millis] = 3_000.0
"""How long a record outlives the last word of its node, where the store does not have it."""


@attrs.define
class _Entry:
    """Hold a record and where it is known from."""

    member: Member
    in_store: bool
    ends_at: Millis


@attrs.define
class Directory:
    """Keep the newest record of each node."""

    _own_id: str
    _entries: dict[str, _Entry] = attrs.field(factory=dict)
    _by_service: dict[str, list[Member]] = attrs.field(factory=dict)
    _leaving: dict[str, list[Member]] = attrs.field(factory=dict)
    _own: Member | None = None

    @property
    def node_count(self) -> int:
        """Return the number of known nodes with this one."""
        return len(self._entries) + 1

    @property
    def others(self) -> list[Member]:
        """Return the records of all other nodes."""
        return [entry.member for entry in self._entries.values()]

    def hosts_of(self, service: str) -> list[Member]:
        """Return the hosts whose targets take new requests of a service.

        Nodes that stop still hand on calls for a while; they count where there are no others.
        """
        return self._by_service.get(service) or self._leaving.get(service, [])

    def find(self, node_id: str) -> Member | None:
        """Return the record of a node."""
        if node_id == self._own_id:
            return self._own
        entry = self._entries.get(node_id)
        return entry.member if entry is not None else None

    def set_own(self, member: Member) -> None:
        """Take over this node's own record."""
        self._own = member
        self._index()

    def on_store_record(self, member: Member) -> bool:
        """Take another node's record from the store; say whether it changed what is believed."""
        return self._take(member, in_store=True, ends_at=0.0)

    def on_peer_record(self, now_ms: Millis, member: Member) -> bool:
        """Take another node's record from a link; say whether it changed what is believed."""
        return self._take(member, in_store=False, ends_at=now_ms + _HEARD_HOLD_MS)

    def on_store_record_removed(self, now_ms: Millis, node_id: str) -> None:
        """Take in that a node's entry in the store ended."""
        entry = self._entries.get(node_id)
        if entry is not None and entry.in_store:
            entry.in_store = False
            entry.ends_at = max(entry.ends_at, now_ms + _ENDED_HOLD_MS)

    def on_snapshot(self, now_ms: Millis, members: list[Member]) -> list[Member]:
        """Take all records of the store; return those that changed what is believed."""
        present = {member.node_id for member in members}
        for node_id in list(self._entries):
            if node_id not in present:
                self.on_store_record_removed(now_ms, node_id)
        return [member for member in members if self.on_store_record(member)]

    def on_alive(self, now_ms: Millis, node_id: str) -> None:
        """Note that a node spoke for itself."""
        entry = self._entries.get(node_id)
        if entry is not None:
            entry.ends_at = max(entry.ends_at, now_ms + _HEARD_HOLD_MS)

    def tick(self, now_ms: Millis, is_store_unavailable: bool) -> list[Member]:
        """Drop records that nothing speaks for any more, and return them."""
        ended = []
        for entry in list(self._entries.values()):
            if entry.in_store:
                continue
            if is_store_unavailable:
                # The node may be unable to write its record again; wait for the store.
                entry.ends_at = max(entry.ends_at, now_ms + _ENDED_HOLD_MS)
            elif entry.ends_at <= now_ms:
                ended.append(entry.member)
                del self._entries[entry.member.node_id]
        if ended:
            self._index()
        return ended

    def _take(self, member: Member, in_store: bool, ends_at: Millis) -> bool:
        entry = self._entries.get(member.node_id)
        if entry is None:
            if member.state is MemberState.DEAD:
                return False
            self._entries[member.node_id] = _Entry(member, in_store, ends_at)
            self._index()
            return True
        if in_store and member.incarnation >= entry.member.incarnation:
            entry.in_store = True
        entry.ends_at = max(entry.ends_at, ends_at)
        if member.order <= entry.member.order:
            return False
        entry.member = member
        if member.state is MemberState.DEAD:
            del self._entries[member.node_id]
        self._index()
        return True

    def _index(self) -> None:
        by_service: dict[str, list[Member]] = {}
        leaving: dict[str, list[Member]] = {}
        own = [self._own] if self._own is not None else []
        for member in own + self.others:
            if member.is_usable:
                by_service.setdefault(member.service, []).append(member)
            elif member.state is MemberState.LEAVING and member.service:
                leaving.setdefault(member.service, []).append(member)
        self._by_service = by_service
        self._leaving = leaving


def create_directory(own_id: str) -> Directory:
    """Make a directory that knows nothing yet."""
    return Directory(own_id)
