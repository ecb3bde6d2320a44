"""What a node and its fleet tell each other: records of nodes and the route table.

Both come from the store and from links, whichever is first. A node writes its own record to the
store and tells it on its links; a newer route table is handed to every node that asks with an
older one.
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
from gooseberrydock.messages import ConfigurationPush, ConfigurationRequest, MemberSync
from gooseberrydock.peer_links import PeerLink, PeerLinks

_INTRODUCED: Final = 10
"""How many records a node tells on a new link; a newcomer has many links, and what all links of a
fleet carry when it starts grows with the square of its size times this."""
_SPOKEN: Final = 12
"""On how many links a node speaks in one round, which bounds what control costs it."""
_KEPT_LINKS: Final = 32
"""How many links a node opens ahead of need; beyond that, calls open their own. Opening one takes
some milliseconds of each side, most of what the start of a node costs the others."""
_KEPT_NEAR_LINKS: Final = 64
"""The same for links within the failure domain, where most calls go."""
_REOPENED: Final = 16
"""How many missing links are opened in one round."""
_UNHEARD_ROUNDS: Final = 4
"""After how many rounds without a word a link is closed; a pause of this node is one round."""


class FleetViewOwner(Protocol):
    """Take what changes in the fleet: the node."""

    def on_table(self, table: RouteTable) -> None:
        """Put a route table in force."""

    def on_node_changed(self, node_id: str, is_new_incarnation: bool) -> None:
        """Take in that a node appeared, changed or was forgotten."""


@attrs.define(eq=False)
class FleetView:
    """Keep this node's record and table in step with the fleet."""

    _owner: FleetViewOwner
    _clock: Clock
    _record: Member
    _directory: Directory
    _links: PeerLinks
    _keys: StoreKeys
    _decode_table: TableDecoder
    _sync: StoreSync | None = None
    _table: RouteTable = EMPTY_TABLE
    _table_payload: bytes = b""
    _is_store_away: bool = False
    _round: int = 0

    def __attrs_post_init__(self) -> None:
        self._directory.set_own(self._record)

    @property
    def table(self) -> RouteTable:
        """Return the route table in force."""
        return self._table

    @property
    def record(self) -> Member:
        """Return this node's own record."""
        return self._record

    @property
    def is_isolated(self) -> bool:
        """Say whether other nodes are known and none can be reached."""
        return bool(self._directory.others) and not self._links.open_links

    def find_peer_address(self, node_id: str) -> Address | None:
        """Return where a node's links end."""
        member = self._directory.find(node_id)
        return member.peer_address if member is not None else None

    # This node's record.

    def attach_store(self, sync: StoreSync) -> None:
        """Keep this node's record by a store, once its target is known."""
        self._sync = sync

    def write_record(self) -> None:
        """Have the record written as it is."""
        if self._sync is not None:
            self._sync.set_record(self._record)

    def publish(
        self, state: MemberState, service: str, slots: int, is_cold: bool, in_store: bool
    ) -> None:
        """Tell all nodes, or only linked ones, what changed about this node or its target."""
        self._record = attrs.evolve(
            self._record,
            version=self._record.version + 1,
            state=state,
            service=service,
            slots=slots,
            is_cold=is_cold,
        )
        self._spread(in_store)

    def _spread(self, in_store: bool) -> None:
        self._directory.set_own(self._record)
        self._links.broadcast(MemberSync((encode_member(self._record),), ()))
        if in_store:
            self.write_record()

    def _outrank(self, member: Member) -> None:
        """Outrank a record of an earlier start of this node, left by a clock that ran ahead."""
        if member.incarnation > self._record.incarnation:
            self._record = attrs.evolve(self._record, incarnation=member.incarnation + 1)
            self._spread(in_store=True)

    # Other nodes, by links.

    def on_link_opened(self, link: PeerLink) -> None:
        """Exchange what both know, so that a node finds all others without the store."""
        others = self._directory.others
        if len(others) > _INTRODUCED:
            others = random.sample(others, _INTRODUCED)
        records = [encode_member(member) for member in (self._record, *others)]
        link.send(MemberSync(tuple(records), ()))
        link.send(ConfigurationRequest(self._table.version))

    def on_member_sync(self, message: MemberSync, link: PeerLink) -> None:
        """Take in records; those of third nodes soon end unless these speak for themselves."""
        for data in message.members:
            self._take_heard(decode_member(data, link.node_id))

    def on_configuration_request(self, request: ConfigurationRequest, link: PeerLink) -> None:
        """Send a node the route table if this one's is newer."""
        if self._table.version > request.generation:
            link.send(ConfigurationPush(self._table.version, self._table_payload))

    def on_configuration_push(self, push: ConfigurationPush) -> None:
        """Take a route table from another node."""
        if push.generation > self._table.version:
            self._take_table(push.payload, "peer")

    def _take_heard(self, member: Member) -> None:
        if member.node_id == self._record.node_id:
            self._outrank(member)
            return
        before = self._directory.find(member.node_id)
        if self._directory.on_peer_record(self._clock.now_ms(), member):
            self._note_member(member, before)

    def _note_member(self, member: Member, before: Member | None) -> None:
        is_new_incarnation = before is None or before.incarnation != member.incarnation
        self._owner.on_node_changed(member.node_id, is_new_incarnation)
        if is_new_incarnation:
            self._greet(member)
        log(
            MEMBER_CHANGED,
            member=member.node_id,
            state=member.state.name.lower(),
            service=member.service,
            version=member.version,
        )

    def _greet(self, member: Member) -> None:
        """Open the link to a node before the first call needs it, if it is one of those kept."""
        most = _KEPT_LINKS if self._is_far(member) else _KEPT_NEAR_LINKS
        if member.state is not MemberState.DEAD and self._links.linked_node_count < most:
            self._links.send(member.node_id, ConfigurationRequest(self._table.version))

    # The store.

    def on_store_items(self, items: tuple[StoreItem, ...], is_snapshot: bool) -> bool:
        """Take what the store holds; say whether a record ended that may be written again."""
        now_ms = self._clock.now_ms()
        ended = [self._find_by_key(item.key) for item in items if item.value is None]
        members = []
        for item in items:
            if item.key == self._keys.table:
                if item.value is not None:
                    self._take_table(item.value, "store")
            elif item.key.startswith(self._keys.nodes):
                member = self._read_record(now_ms, item)
                if member is not None:
                    members.append(member)
        before = {member.node_id: self._directory.find(member.node_id) for member in members}
        if is_snapshot:
            changed = self._directory.on_snapshot(now_ms, members)
        else:
            changed = [member for member in members if self._directory.on_store_record(member)]
        # Links are opened for some only, and most calls stay in the failure domain.
        for member in sorted(changed, key=self._is_far):
            self._note_member(member, before[member.node_id])
        return self._is_unsettling(ended)

    def _is_unsettling(self, ended: Iterable[Member | None]) -> bool:
        """Say whether a record ended whose node neither left nor speaks on a link."""
        return any(
            member is not None
            and member.state is MemberState.ALIVE
            and member.node_id != self._record.node_id
            and not self._links.has_ready_link(member.node_id)
            for member in ended
        )

    def _find_by_key(self, key: str) -> Member | None:
        return self._directory.find(key.removeprefix(self._keys.nodes))

    def _is_far(self, member: Member) -> bool:
        return member.failure_domain != self._record.failure_domain

    def on_store_availability(self, is_available: bool) -> None:
        """Take in whether the store answers this node."""
        self._is_store_away = not is_available

    def _read_record(self, now_ms: Millis, item: StoreItem) -> Member | None:
        node_id = item.key.removeprefix(self._keys.nodes)
        is_own = node_id == self._record.node_id
        if item.value is None:
            self._directory.on_store_record_removed(now_ms, node_id)
            if is_own and self._sync is not None:
                self._sync.on_own_record_removed()
            return None
        try:
            member = decode_member(item.value, node_id)
        except GooseberrydockError as error:
            log(RECORD_REFUSED, key=item.key, revision=item.revision, detail=error.detail)
            return None
        if is_own:
            self._outrank(member)
            return None
        return member if member.node_id == node_id else None

    def _take_table(self, payload: bytes, source: str) -> None:
        """Put a route table in force if it is newer."""
        try:
            table = self._decode_table(payload)
        except GooseberrydockError as error:
            log(CONFIGURATION_REFUSED, code=error.code.number, detail=error.detail, source=source)
            return
        if table.version <= self._table.version:
            return
        self._table = table
        self._table_payload = payload
        self._owner.on_table(table)
        log(CONFIGURATION_IN_FORCE, generation=table.version, source=source)

    # Timers.

    def tick_slowly(self, now_ms: Millis) -> None:
        """Keep links alive and forget nodes that nothing speaks for."""
        self._check_links()
        for member in self._directory.tick(now_ms, self._is_store_away):
            self._owner.on_node_changed(member.node_id, is_new_incarnation=True)
            log(MEMBER_CHANGED, member=member.node_id, state="forgotten", service=member.service)

    def _check_links(self) -> None:
        """Speak on links in turn, close those on which nobody does, and open some that lack."""
        links = self._links.open_links
        turns = max(1, math.ceil(len(links) / _SPOKEN))
        self._round += 1
        for link in links[self._round % turns :: turns]:
            link.send(ConfigurationRequest(self._table.version))
        self._links.close_silent_links(_UNHEARD_ROUNDS * turns)
        if len(links) < _KEPT_LINKS:
            self._open_missing_links()

    def _open_missing_links(self) -> None:
        others = self._directory.others
        missing = [member for member in others if not self._links.has_link(member.node_id)]
        if len(missing) > _REOPENED:
            missing = random.sample(missing, _REOPENED)
        for member in missing:
            self._greet(member)
