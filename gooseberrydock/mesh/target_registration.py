"""What a node knows of the target beside it: which instance runs, and whether it is leaving.

A target announces itself to the node on its own host and to no other. The node is therefore the
only authority on it: whatever others believe, a request passes to the target only while this
controller says so. Controller without I/O; it answers no load of its own.
"""

import enum
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.members import Address

_DRAIN_MARGIN_MS: Final[Millis] = 700.0
"""Part of the drain time left unused, so that a dispatched request still begins within it."""


class TargetState(enum.Enum):
    """State what a target says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen
class InstanceAnnouncement:
    """Hold one announcement of a target.

    ``started_wall_ms`` tells two starts under one id apart. ``sequence`` grows with each
    announcement of one start. ``cold_left_ms`` is how long the target stays slow.
    """

    instance_id: str
    service: str
    address: Address
    started_wall_ms: int
    sequence: int
    state: TargetState
    slots: int
    cold_left_ms: Millis


@attrs.define
class TargetRegistration:
    """Follow the announcements of the target beside this node."""

    _address: Address
    _drain_ms: Millis
    _current: InstanceAnnouncement | None = None
    _is_leaving: bool = False
    _left_at: Millis = 0.0
    _cold_until: Millis = 0.0
    _mismatched: str = ""

    @property
    def current(self) -> InstanceAnnouncement | None:
        """Return the newest announcement in force."""
        return self._current

    @property
    def service(self) -> str:
        """Return the service of a target that takes new work, or an empty string."""
        if self._current is None or self._is_leaving or self._is_mismatched:
            return ""
        return self._current.service

    @property
    def slots(self) -> int:
        """Return the slots of the current instance."""
        return self._current.slots if self._current is not None else 0

    @property
    def instance_id(self) -> str:
        """Return the id of the current instance, or an empty string."""
        return self._current.instance_id if self._current is not None else ""

    @property
    def is_leaving(self) -> bool:
        """Say whether the current instance announced that it leaves."""
        return self._is_leaving

    @property
    def _is_mismatched(self) -> bool:
        return bool(self._mismatched) and self._mismatched == self.instance_id

    def is_cold(self, now_ms: Millis) -> bool:
        """Say whether the target is still slow after its start."""
        return now_ms < self._cold_until

    def accepts(self, now_ms: Millis, service: str) -> bool:
        """Say whether a request for this service may be handed to the target now."""
        current = self._current
        if current is None or current.service != service or self._is_mismatched:
            return False
        if not self._is_leaving:
            return True
        return now_ms - self._left_at < max(0.0, self._drain_ms - _DRAIN_MARGIN_MS)

    def on_announcement(self, now_ms: Millis, announcement: InstanceAnnouncement) -> bool:
        """Take an announcement; say whether what this node believes has changed."""
        current = self._current
        if announcement.address != self._address:
            return False
        if current is None or self._is_other_start(current, announcement):
            return self._replace(now_ms, current, announcement)
        changed = False
        if announcement.state is TargetState.LEAVING and not self._is_leaving:
            # Leaving holds even where the announcement was overtaken by a later one.
            self._leave(now_ms)
            changed = True
        if announcement.sequence > current.sequence:
            changed = changed or announcement.slots != current.slots or bool(self._mismatched)
            self._mismatched = ""
            self._current = announcement
            self._cold_until = now_ms + announcement.cold_left_ms
        return changed

    def on_leave(self, now_ms: Millis, instance_id: str, started_wall_ms: int | None) -> bool:
        """Take a target's word that it leaves without further notice."""
        current = self._current
        if current is None or current.instance_id != instance_id or self._is_leaving:
            return False
        if started_wall_ms is not None and started_wall_ms < current.started_wall_ms:
            return False
        self._leave(now_ms)
        return True

    def on_mismatch(self, instance_id: str) -> bool:
        """Note that the instance is not at the address; wait for the next announcement."""
        if instance_id != self.instance_id or self._is_mismatched:
            return False
        self._mismatched = instance_id
        return True

    def _is_other_start(self, current: InstanceAnnouncement, new: InstanceAnnouncement) -> bool:
        if new.started_wall_ms != current.started_wall_ms:
            return True
        return new.instance_id != current.instance_id

    def _replace(
        self, now_ms: Millis, current: InstanceAnnouncement | None, new: InstanceAnnouncement
    ) -> bool:
        """Take over another start of the target unless it is older than the current one."""
        if current is not None and new.started_wall_ms < current.started_wall_ms:
            return False
        self._current = new
        self._cold_until = now_ms + new.cold_left_ms
        self._is_leaving = False
        self._mismatched = ""
        if new.state is TargetState.LEAVING:
            self._leave(now_ms)
        return True

    def _leave(self, now_ms: Millis) -> None:
        self._is_leaving = True
        self._left_at = now_ms


def create_target_registration(address: Address, drain_ms: Millis) -> TargetRegistration:
    """Make a registration for the target at an address."""
    return TargetRegistration(address, drain_ms)
