"""Exchange of node records and the route table between a node and its fleet.

Both arrive from the store and from links to other nodes; the first copy of a newer version takes
effect. A node writes its own record to the store and sends it on its links. A node that requests
the route table and has an older version receives the newer one. Nodes also report the latest read
of the table on their links, so that a node reads it only if no other node has done so lately.
"""

import math
import random
from collections.abc import Iterable
from typing import Final, Protocol

import attrs

from gooseberrydock.clock import Clock, Millis
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.events import (
    CONFIGURATION_IN_FORCE,
    CONFIGURATION_NOT_UNDERSTOOD,
    CONFIGURATION_REFUSED,
    MEMBER_CHANGED,
    RECORD_REFUSED,
)
from gooseberrydock.logs import log
from gooseberrydock.members import Address, Member, MemberState, decode_member, encode_member
from gooseberrydock.mesh.controllers import StoreKeys, TableDecoder
from gooseberrydock.mesh.directory import Directory
from gooseberrydock.mesh.model import EMPTY_TABLE, RouteTable
from gooseberrydock.mesh.store import StoreItem
from gooseberrydock.mesh.store_sync import StoreSync
from gooseberrydock.mesh.table_freshness import TableFreshness
from gooseberrydock.mesh.watch_plan import UNKNOWN_AGE_MS
from gooseberrydock.messages import (
    ConfigurationPush,
    LoadNotice,
    MemberSync,
    RecordChanges,
    StoreStatus,
)
from gooseberrydock.peer_links import PeerLink, PeerLinks

_STORE: Final = "store"
_PEER: Final = "peer"
_MAX_SENT_RECORDS: Final = 10
"""Records of other nodes sent on a new link. A new node has many links, and the traffic on all
links when a fleet starts grows with the square of the fleet's size times this number."""
_LINKS_PER_ROUND: Final = 12
"""Links on which a node sends a message per round; bounds the cost of control traffic. A round is
one call of ``tick_maintenance``."""
_MAX_EAGER_LINKS: Final = 32
"""Links that a node opens before a call needs them; beyond that, calls open links on demand.
Opening a link takes some milliseconds on each side, which is most of the cost that the start of a
node causes on the others."""
_MAX_EAGER_DOMAIN_LINKS: Final = 64
"""The same for a link within the failure domain; most calls use these. Both limits apply to the
number of all linked nodes."""
_MAX_REOPENED_LINKS: Final = 16
"""Missing links opened per round."""
_MAX_DOMAIN_RECIPIENTS: Final = 64
"""Nodes of the failure domain to which a node sends its load at a time."""
_MAX_STATUS_RECIPIENTS: Final = 128
"""Nodes to which a node reports what it knows of the store; in a larger fleet they pass it on."""
_STATUS_FANOUT: Final = 4
"""Nodes to which each receiver of a newer read or table passes it on."""
_TABLE_REQUEST_MS: Final[Millis] = 300.0
"""Time to wait for a requested table before it is requested from another node."""
_MAX_SILENT_ROUNDS: Final = 4
"""Successive rounds in which nothing may arrive on a link before it is closed. The number is
multiplied by the rounds that a node needs to send on each of its links once. Rounds are counted
instead of time, so that a pause of this node counts as one round only."""


class FleetViewOwner(Protocol):
    """Receive changes in the fleet; implemented by the node."""

    def on_table(self, table: RouteTable) -> None:
        """Apply a new route table."""

    def on_node_changed(self, node_id: str, drops_statistics: bool) -> None:
        """Record an added, changed or removed node; drop its statistics if ``drops_statistics``."""

    def on_store_restored(self) -> None:
        """Record that the store came back from an older copy."""


@attrs.define(eq=False)
class FleetView:
    """Synchronize this node's record and route table with the fleet."""

    _owner: FleetViewOwner
    _clock: Clock
    _record: Member
    _directory: Directory
    _links: PeerLinks
    _keys: StoreKeys
    _decode_table: TableDecoder
    _freshness: TableFreshness
    _sync: StoreSync | None = None
    _table: RouteTable = EMPTY_TABLE
    _table_payload: bytes = b""
    _refused_payload: bytes = b""
    _is_store_unavailable: bool = False
    _has_read_records: bool = False
    _has_known_others: bool = False
    _round: int = 0
    _requested_version: int = 0
    _requested_at: Millis = 0.0

    def __attrs_post_init__(self) -> None:
        self._directory.set_own(self._record)

    @property
    def table(self) -> RouteTable:
        """Return the current route table."""
        return self._table

    @property
    def record(self) -> Member:
        """Return the record of this node."""
        return self._record

    @property
    def is_isolated(self) -> bool:
        """Return whether other nodes are known but none is reachable."""
        return bool(self._directory.others) and not self._links.open_links

    @property
    def is_alone(self) -> bool:
        """Return whether no other node has been known since the start, also not to the store.

        A node that was cut off or paused forgets the others, which still run.
        """
        return self._has_read_records and not self._has_known_others

    @property
    def table_age_ms(self) -> Millis | None:
        """Return the time since the route table was confirmed to be the newest, if it ever was."""
        if not self._freshness.read_id:
            return None
        return self._freshness.age_ms(self._clock.now_ms())

    @property
    def store_calls(self) -> int:
        """Return the number of calls to the store so far."""
        return self._sync.store_calls if self._sync is not None else 0

    def find_peer_address(self, node_id: str) -> Address | None:
        """Return the address for links to a node, or None for an unknown node."""
        member = self._directory.find(node_id)
        return member.peer_address if member is not None else None

    # The record of this node.

    def attach_store(self, sync: StoreSync) -> None:
        """Set the store synchronization, which writes the record once the target is known."""
        self._sync = sync

    def write_record(self) -> None:
        """Schedule a write of the current record to the store."""
        if self._sync is not None:
            self._sync.set_record(self._record)

    def publish(
        self, state: MemberState, service: str, slots: int, is_cold: bool, write_to_store: bool
    ) -> None:
        """Publish changes of this node or its target to all nodes, or only to linked ones."""
        self._record = attrs.evolve(
            self._record,
            version=self._record.version + 1,
            state=state,
            service=service,
            slots=slots,
            is_cold=is_cold,
        )
        self._publish_record(write_to_store)

    def _publish_record(self, write_to_store: bool) -> None:
        self._directory.set_own(self._record)
        self._links.broadcast(MemberSync((encode_member(self._record),), ()))
        if write_to_store:
            self.write_record()

    def _supersede(self, member: Member) -> None:
        """Supersede a record that an earlier start of this node wrote while its clock ran ahead."""
        if member.incarnation > self._record.incarnation:
            self._record = attrs.evolve(self._record, incarnation=member.incarnation + 1)
            self._publish_record(write_to_store=True)

    # Exchange with other nodes over links.

    def on_link_opened(self, link: PeerLink) -> None:
        """Exchange records and table versions, so that nodes find each other without the store."""
        others = self._directory.others
        if len(others) > _MAX_SENT_RECORDS:
            others = random.sample(others, _MAX_SENT_RECORDS)
        records = [encode_member(member) for member in (self._record, *others)]
        link.send(MemberSync(tuple(records), ()))
        link.send(self._store_status())

    def on_member_sync(self, message: MemberSync, link: PeerLink) -> None:
        """Apply records; those of third nodes expire soon unless stored or renewed by messages."""
        for data in message.members:
            self._on_peer_record(decode_member(data, link.node_id))

    def on_record_changes(self, changes: RecordChanges) -> None:
        """Apply changes of records that a node which watches the store has forwarded."""
        if self._sync is not None:
            self._sync.on_forwarded_changes(changes)

    def on_store_status(self, status: StoreStatus, link: PeerLink) -> None:
        """Send the route table if it is newer than the other node's, request it if it is older.

        The other node's latest read also confirms a table that is not older.
        """
        delay_ms = link.excess_delay_ms(status.sent_at)
        self._record_watch_report(link.node_id, status.watch_age_ms, delay_ms)
        if self._table.version < status.version:
            self._request_table(status.version, link)
            return
        read_age_ms = status.read_age_ms + delay_ms
        if self._freshness.on_report(self._clock.now_ms(), status.read_id, read_age_ms):
            self._pass_status_on()
        if self._table.version > status.version:
            link.send(ConfigurationPush(self._table.version, self._table_payload))

    def _record_watch_report(self, node_id: str, age_ms: Millis, delay_ms: Millis) -> None:
        reporter = self._directory.find(node_id)
        if self._sync is None or reporter is None or self._is_in_other_domain(reporter):
            return
        self._sync.on_watch_report(reporter, age_ms, delay_ms)

    def report_status(self) -> None:
        """Report to other nodes what this one knows of the store."""
        self._send_status(_MAX_STATUS_RECIPIENTS)

    def _pass_status_on(self) -> None:
        """Report a change or a read to a few nodes if the first one could not reach all."""
        if self._directory.node_count > _MAX_STATUS_RECIPIENTS:
            self._send_status(_STATUS_FANOUT)

    def _send_status(self, max_recipients: int) -> None:
        links = self._links.open_links
        if len(links) > max_recipients:
            links = random.sample(links, max_recipients)
        status = self._store_status()
        for link in links:
            link.send(status)

    def _store_status(self) -> StoreStatus:
        """Return what this node knows of the store now."""
        now_ms, read_id = self._clock.now_ms(), self._freshness.read_id
        age_ms = self._freshness.age_ms(now_ms) if read_id else 0.0
        watch_age_ms = self._sync.watch_age_ms if self._sync is not None else UNKNOWN_AGE_MS
        return StoreStatus(self._table.version, now_ms, read_id, age_ms, watch_age_ms)

    def _request_table(self, version: int, link: PeerLink) -> None:
        """Request a newer table, not from every node that offers it at the same time."""
        now_ms = self._clock.now_ms()
        if version > self._requested_version or now_ms >= self._requested_at + _TABLE_REQUEST_MS:
            self._requested_version = version
            self._requested_at = now_ms
            link.send(self._store_status())

    def on_configuration_push(self, push: ConfigurationPush) -> None:
        """Apply a route table from another node if it is newer."""
        if push.generation > self._table.version:
            self._apply_table(push.payload, _PEER)

    def _on_peer_record(self, member: Member) -> None:
        if member.node_id == self._record.node_id:
            self._supersede(member)
            return
        before = self._directory.find(member.node_id)
        if self._directory.on_peer_record(self._clock.now_ms(), member):
            self._on_member_changed(member, before)

    def _on_member_changed(self, member: Member, before: Member | None) -> None:
        self._has_known_others = True
        is_new_incarnation = before is None or before.incarnation != member.incarnation
        self._owner.on_node_changed(member.node_id, is_new_incarnation)
        if is_new_incarnation:
            self._open_link_eagerly(member)
        log(
            MEMBER_CHANGED,
            member=member.node_id,
            state=member.state.name.lower(),
            service=member.service,
            version=member.version,
        )

    def open_link(self, node_id: str) -> None:
        """Open the link to a node, whatever the number of open links."""
        self._links.send(node_id, self._store_status())

    def _open_link_eagerly(self, member: Member) -> None:
        """Open the link to a node before a call needs it, unless enough links are open."""
        max_links = (
            _MAX_EAGER_LINKS if self._is_in_other_domain(member) else _MAX_EAGER_DOMAIN_LINKS
        )
        if member.state is not MemberState.DEAD and self._links.linked_node_count < max_links:
            self.open_link(member.node_id)

    # The store.

    def on_store_items(self, items: tuple[StoreItem, ...], is_snapshot: bool) -> bool:
        """Apply items of the store; return whether a removed record may be written again."""
        now_ms = self._clock.now_ms()
        removed = [self._find_by_key(item.key) for item in items if item.value is None]
        members = []
        for item in items:
            if item.key == self._keys.table:
                if item.value is not None:
                    self._apply_table(item.value, _STORE)
            elif item.key.startswith(self._keys.nodes):
                member = self._read_record(now_ms, item)
                if member is not None:
                    members.append(member)
        before = {member.node_id: self._directory.find(member.node_id) for member in members}
        if is_snapshot:
            self._has_read_records = True
            changed = self._directory.on_snapshot(now_ms, members)
        else:
            changed = [member for member in members if self._directory.on_store_record(member)]
        # Links are opened to some nodes only, and most calls stay within the failure domain.
        for member in sorted(changed, key=self._is_in_other_domain):
            self._on_member_changed(member, before[member.node_id])
        return self._may_reappear(removed)

    def _may_reappear(self, removed: Iterable[Member | None]) -> bool:
        """Return whether a record was removed whose node neither left nor has a ready link."""
        return any(
            member is not None
            and member.state is MemberState.ALIVE
            and member.node_id != self._record.node_id
            and not self._links.has_ready_link(member.node_id)
            for member in removed
        )

    def _find_by_key(self, key: str) -> Member | None:
        return self._directory.find(key.removeprefix(self._keys.nodes))

    def _is_in_other_domain(self, member: Member) -> bool:
        return member.failure_domain != self._record.failure_domain

    def forward_record_changes(self, changes: RecordChanges) -> None:
        """Send changes of records to the nodes of the failure domain, most of which only poll."""
        for member in self._directory.others:
            if not self._is_in_other_domain(member):
                self._links.send(member.node_id, changes)

    def on_store_availability(self, is_available: bool) -> None:
        """Record whether the store is available to this node."""
        self._is_store_unavailable = not is_available

    def on_store_restored(self) -> None:
        """Record that the store came back from an older copy."""
        self._owner.on_store_restored()

    def _read_record(self, now_ms: Millis, item: StoreItem) -> Member | None:
        """Return another node's record, or None after processing a removal or the own record."""
        node_id = item.key.removeprefix(self._keys.nodes)
        is_own = node_id == self._record.node_id
        if item.value is None:
            self._directory.on_store_record_removed(now_ms, node_id)
            if is_own and self._sync is not None:
                self._sync.on_own_record_removed(item.revision)
            return None
        try:
            member = decode_member(item.value, node_id)
        except GooseberrydockError as error:
            log(RECORD_REFUSED, key=item.key, revision=item.revision, detail=error.detail)
            return None
        if is_own:
            self._supersede(member)
            return None
        return member if member.node_id == node_id else None

    def _apply_table(self, payload: bytes, source: str) -> None:
        """Decode and apply a route table if it is newer than the current one."""
        if payload in (self._table_payload, self._refused_payload):
            return
        try:
            table = self._decode_table(payload)
        except GooseberrydockError as error:
            self._refused_payload = payload
            log(CONFIGURATION_REFUSED, code=error.code.number, detail=error.detail, source=source)
            return
        if table.version <= self._table.version:
            return
        self._table = table
        self._table_payload = payload
        self._owner.on_table(table)
        log(CONFIGURATION_IN_FORCE, generation=table.version, source=source)
        if source == _STORE:
            # Most nodes do not watch the store; those that have an older table request this one.
            self._links.broadcast(self._store_status())
        else:
            self._pass_status_on()
        if table.unknown_kinds:
            log(CONFIGURATION_NOT_UNDERSTOOD, kinds=sorted(table.unknown_kinds))

    def send_to_domain(self, message: LoadNotice) -> None:
        """Send a message on the open links within the failure domain, or on some of many."""
        links = [link for link in self._links.open_links if self._is_in_own_domain(link.node_id)]
        if len(links) > _MAX_DOMAIN_RECIPIENTS:
            links = random.sample(links, _MAX_DOMAIN_RECIPIENTS)
        for link in links:
            link.send(message)

    def _is_in_own_domain(self, node_id: str) -> bool:
        member = self._directory.find(node_id)
        return member is not None and not self._is_in_other_domain(member)

    # Timers.

    def tick_maintenance(self, now_ms: Millis) -> None:
        """Maintain links and remove nodes whose records have expired."""
        self._maintain_links()
        for member in self._directory.tick(now_ms, self._is_store_unavailable):
            self._owner.on_node_changed(member.node_id, drops_statistics=True)
            log(MEMBER_CHANGED, member=member.node_id, state="forgotten", service=member.service)

    def _maintain_links(self) -> None:
        """Send on a part of the links in turn, close silent ones, and open some missing ones."""
        links = self._links.open_links
        cycle_rounds = max(1, math.ceil(len(links) / _LINKS_PER_ROUND))
        self._round += 1
        for link in links[self._round % cycle_rounds :: cycle_rounds]:
            link.send(self._store_status())
        self._links.close_silent_links(_MAX_SILENT_ROUNDS * cycle_rounds)
        if len(links) < _MAX_EAGER_LINKS:
            self._open_missing_links()

    def _open_missing_links(self) -> None:
        others = self._directory.others
        missing = [member for member in others if not self._links.has_link(member.node_id)]
        if len(missing) > _MAX_REOPENED_LINKS:
            missing = random.sample(missing, _MAX_REOPENED_LINKS)
        for member in missing:
            self._open_link_eagerly(member)
