"""The directory of known nodes and the service of each node's target.

Records come from the store, where each node keeps its own record under a lease, and from links to
other nodes. The removal of a record from the store takes effect only after a delay, and not as
long as the node still sends messages itself. The last record of a node that left is remembered,
since a store that comes back from an older copy has earlier ones. Performs no I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.members import Member, MemberState

_REMOVED_RECORD_TTL_MS: Final[Millis] = 2_000.0
"""Time that a record is kept after its removal from the store; a live node rewrites it by then."""
_LINK_RECORD_TTL_MS: Final[Millis] = 3_000.0
"""Time that a record that is not in the store is kept after the last message of its node, or after
the last copy of it from a link."""

_MAX_DEPARTED_NODES: Final = 4_096


@attrs.define
class _TrackedRecord:
    """A record, whether the store contains it, and when it expires otherwise."""

    member: Member
    in_store: bool
    expires_at: Millis


@attrs.define
class Directory:
    """Track the newest record of each node."""

    _own_id: str
    _tracked_records: dict[str, _TrackedRecord] = attrs.field(factory=dict)
    _by_service: dict[str, list[Member]] = attrs.field(factory=dict)
    _leaving_by_service: dict[str, list[Member]] = attrs.field(factory=dict)
    _own_record: Member | None = None
    _departed: dict[str, Member] = attrs.field(factory=dict)

    @property
    def node_count(self) -> int:
        """Return the number of known nodes, including this one."""
        return len(self._tracked_records) + 1

    @property
    def others(self) -> list[Member]:
        """Return the records of all other nodes."""
        return [tracked.member for tracked in self._tracked_records.values()]

    def hosts_of(self, service: str) -> list[Member]:
        """Return the hosts whose targets accept new requests of a service.

        Leaving nodes still forward calls for a while; they are returned if there are no others.
        """
        return self._by_service.get(service) or self._leaving_by_service.get(service, [])

    def find(self, node_id: str) -> Member | None:
        """Return the record of a node, or None if it is unknown."""
        if node_id == self._own_id:
            return self._own_record
        tracked = self._tracked_records.get(node_id)
        return tracked.member if tracked is not None else None

    def set_own(self, member: Member) -> None:
        """Set the record of this node."""
        self._own_record = member
        self._rebuild_index()

    def on_store_record(self, member: Member) -> bool:
        """Apply another node's record from the store; return whether the directory changed."""
        return self._apply(member, in_store=True, expires_at=0.0)

    def on_peer_record(self, now_ms: Millis, member: Member) -> bool:
        """Apply another node's record from a link; return whether the directory changed."""
        return self._apply(member, in_store=False, expires_at=now_ms + _LINK_RECORD_TTL_MS)

    def on_store_record_removed(self, now_ms: Millis, node_id: str) -> None:
        """Record that the record of a node was removed from the store."""
        tracked = self._tracked_records.get(node_id)
        if tracked is not None and tracked.in_store:
            tracked.in_store = False
            tracked.expires_at = max(tracked.expires_at, now_ms + _REMOVED_RECORD_TTL_MS)

    def on_snapshot(self, now_ms: Millis, members: list[Member]) -> list[Member]:
        """Apply all records of the store; return those that changed the directory."""
        present = {member.node_id for member in members}
        for node_id in list(self._tracked_records):
            if node_id not in present:
                self.on_store_record_removed(now_ms, node_id)
        return [member for member in members if self.on_store_record(member)]

    def on_alive(self, now_ms: Millis, node_id: str) -> None:
        """Record that a node sent a message itself."""
        tracked = self._tracked_records.get(node_id)
        if tracked is not None:
            tracked.expires_at = max(tracked.expires_at, now_ms + _LINK_RECORD_TTL_MS)

    def tick(self, now_ms: Millis, is_store_unavailable: bool) -> list[Member]:
        """Remove expired records and return them."""
        expired = []
        for tracked in list(self._tracked_records.values()):
            if tracked.in_store:
                continue
            if is_store_unavailable:
                # The node may be unable to rewrite its record, so wait for the store.
                tracked.expires_at = max(tracked.expires_at, now_ms + _REMOVED_RECORD_TTL_MS)
            elif tracked.expires_at <= now_ms:
                expired.append(tracked.member)
                del self._tracked_records[tracked.member.node_id]
                if tracked.member.state is MemberState.LEAVING:
                    self._remember_departed(tracked.member)
        if expired:
            self._rebuild_index()
        return expired

    def _apply(self, member: Member, in_store: bool, expires_at: Millis) -> bool:
        tracked = self._tracked_records.get(member.node_id)
        if tracked is None:
            departed = self._departed.get(member.node_id)
            if departed is not None and member.order <= departed.order:
                return False
            if member.state is MemberState.DEAD:
                return False
            self._tracked_records[member.node_id] = _TrackedRecord(member, in_store, expires_at)
            self._rebuild_index()
            return True
        if in_store and member.incarnation >= tracked.member.incarnation:
            tracked.in_store = True
        tracked.expires_at = max(tracked.expires_at, expires_at)
        if member.order <= tracked.member.order:
            return False
        tracked.member = member
        if member.state is MemberState.DEAD:
            del self._tracked_records[member.node_id]
            self._remember_departed(member)
        self._rebuild_index()
        return True

    def _remember_departed(self, member: Member) -> None:
        self._departed[member.node_id] = member
        if len(self._departed) > _MAX_DEPARTED_NODES:
            del self._departed[next(iter(self._departed))]

    def _rebuild_index(self) -> None:
        by_service: dict[str, list[Member]] = {}
        leaving: dict[str, list[Member]] = {}
        own = [self._own_record] if self._own_record is not None else []
        for member in own + self.others:
            if member.is_usable:
                by_service.setdefault(member.service, []).append(member)
            elif member.state is MemberState.LEAVING and member.service:
                leaving.setdefault(member.service, []).append(member)
        self._by_service = by_service
        self._leaving_by_service = leaving


def create_directory(own_id: str) -> Directory:
    """Create an empty directory."""
    return Directory(own_id)
