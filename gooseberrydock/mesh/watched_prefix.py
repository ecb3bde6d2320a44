"""What a node has read of a key prefix of the store, and up to which revision. Performs no I/O."""

import math

import attrs
import trio

from gooseberrydock.clock import Millis
from gooseberrydock.mesh.store import StoreChanges, StoreItem


@attrs.define(eq=False)
class WatchedPrefix:
    """What a node has read of a key prefix; revisions are -1 before the first read.

    ``read_revision`` is the revision of the node's own reads, and ``revisions`` are those of the
    items then. ``revision`` also covers changes forwarded by others, ``forwarded_revision`` those
    forwarded to others. ``is_polled`` is set if a node that does not watch polls, ``needs_latest``
    if the next read must not use an earlier state. ``is_unproven`` is set while ``revision`` is
    that of an old read, which may be of a time before the store came back from an older copy.
    """

    prefix: str
    fast_ms: Millis
    settled_ms: Millis
    is_polled: bool = True
    read_revision: int = -1
    revision: int = -1
    forwarded_revision: int = -1
    revisions: dict[str, int] = attrs.field(factory=dict)
    must_read: bool = True
    needs_latest: bool = False
    is_unproven: bool = False
    is_watched: bool = False
    has_gap: bool = False
    polled_at: Millis = -math.inf
    woken: trio.Event = attrs.field(factory=trio.Event)

    @property
    def has_items(self) -> bool:
        """Return whether the node's last read found any item."""
        return bool(self.revisions)

    def add(self, changes: StoreChanges) -> None:
        """Record the changes after the last read."""
        for item in changes.items:
            if item.value is None:
                self.revisions.pop(item.key, None)
            else:
                self.revisions[item.key] = item.revision
        self._advance(changes.revision)

    def replace_all(self, changes: StoreChanges, is_old: bool = False) -> tuple[StoreItem, ...]:
        """Record a read of all items; return the changes since the last read."""
        if not is_old:
            self.is_unproven = False
        elif changes.revision > self.revision:
            self.is_unproven = True
        present = {item.key for item in changes.items}
        removed = [
            StoreItem(key, None, changes.revision) for key in self.revisions if key not in present
        ]
        changed = [item for item in changes.items if self.revisions.get(item.key) != item.revision]
        self.revisions = {item.key: item.revision for item in changes.items}
        self._advance(changes.revision)
        self.must_read = False
        self.needs_latest = False
        self.has_gap = False
        return (*changed, *removed)

    def on_lower_revision(self) -> None:
        """Read the latest state if the known revision may be from before a restore."""
        if self.is_unproven:
            self.has_gap = True
            self.woken.set()

    def forget_revisions(self) -> None:
        """Read all items anew: the store's revisions have begun again from an earlier one."""
        self.read_revision = self.revision = self.forwarded_revision = -1
        self.revisions.clear()
        self.must_read = True
        self.needs_latest = True
        self.is_unproven = False
        self.woken.set()

    def _advance(self, revision: int) -> None:
        self.read_revision = max(self.read_revision, revision)
        self.revision = max(self.revision, revision)
