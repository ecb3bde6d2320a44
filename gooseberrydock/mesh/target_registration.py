"""Track the target on a node's host: which instance runs, and whether it is leaving.

A target announces itself only to the node on its own host. That node is therefore the only
authority on the target: whatever state other nodes assume, a request is sent to the target only
while this controller accepts it. Performs no I/O and takes no part in overload control.
"""

import enum
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.members import Address
from gooseberrydock.messages import TargetNotice

_DRAIN_MARGIN_MS: Final[Millis] = 700.0
"""Reserve at the end of the drain time, so that a dispatched request still begins within it."""

_MAX_NOTED_STARTS: Final = 8
"""Starts of the target of which is kept what other nodes know."""


class TargetState(enum.Enum):
    """State that a target announces."""

    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen
class InstanceAnnouncement:
    """Announcement of a target.

    ``started_wall_ms`` distinguishes two starts with the same ID. ``sequence`` increases with each
    announcement of one start. ``cold_left_ms`` is the remaining time for which the target is slow.
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
class _NotedStatement:
    """What other nodes know of one start: its lowest limit, and when it stated its leaving."""

    rate_limit: float | None = None
    leaving_since: Millis | None = None

    def add(self, now_ms: Millis, notice: TargetNotice) -> None:
        """Add what one more node knows."""
        if notice.rate_limit:
            self.rate_limit = min(notice.rate_limit, self.rate_limit or notice.rate_limit)
        if notice.is_leaving:
            leaving_since = now_ms - notice.leaving_for_ms
            if self.leaving_since is None or leaving_since < self.leaving_since:
                self.leaving_since = leaving_since


@attrs.define
class TargetRegistration:
    """State of the target on this node's host, according to its announcements."""

    _address: Address
    _drain_ms: Millis
    _current: InstanceAnnouncement | None = None
    _is_leaving: bool = False
    _leaving_since: Millis = 0.0
    _cold_until: Millis = 0.0
    _mismatched_id: str = ""
    _rate_limit: float | None = None
    _has_answered: bool = False
    _noted: dict[str, _NotedStatement] = attrs.field(factory=dict)

    @property
    def current(self) -> InstanceAnnouncement | None:
        """Return the latest accepted announcement."""
        return self._current

    @property
    def service(self) -> str:
        """Return the service of the target if it accepts new requests, or an empty string."""
        if self._current is None or self._is_leaving or self._is_mismatched:
            return ""
        return self._current.service

    @property
    def slots(self) -> int:
        """Return the slots of the current instance."""
        return self._current.slots if self._current is not None else 0

    @property
    def instance_id(self) -> str:
        """Return the ID of the current instance, or an empty string."""
        return self._current.instance_id if self._current is not None else ""

    @property
    def start_id(self) -> str:
        """Return what identifies the current start of the target, or an empty string."""
        current = self._current
        return f"{current.instance_id}@{current.started_wall_ms}" if current is not None else ""

    @property
    def rate_limit(self) -> float | None:
        """Return the requests per second that the target takes, None if it named no limit."""
        return self._rate_limit

    @property
    def is_leaving(self) -> bool:
        """Return whether the current instance is leaving, with or without an announcement."""
        return self._is_leaving

    @property
    def _is_mismatched(self) -> bool:
        return bool(self._mismatched_id) and self._mismatched_id == self.instance_id

    def is_cold(self, now_ms: Millis) -> bool:
        """Return whether the target is still slow after its start."""
        return now_ms < self._cold_until

    def accepts(self, now_ms: Millis, service: str) -> bool:
        """Return whether a request for a service may be sent to the target now."""
        current = self._current
        if current is None or current.service != service or self._is_mismatched:
            return False
        if not self._is_leaving:
            return True
        return now_ms - self._leaving_since < max(0.0, self._drain_ms - _DRAIN_MARGIN_MS)

    def set_drain_time(self, drain_ms: Millis) -> None:
        """Set how long a leaving target may still receive requests."""
        self._drain_ms = drain_ms

    def on_announcement(self, now_ms: Millis, announcement: InstanceAnnouncement) -> bool:
        """Process an announcement; return whether the state of the target has changed."""
        current = self._current
        if announcement.address != self._address:
            return False
        if current is None or self._is_other_start(current, announcement):
            return self._replace_current(now_ms, current, announcement)
        has_changed = False
        if announcement.state is TargetState.LEAVING and not self._is_leaving:
            # Leaving takes effect and persists even if a later announcement arrived first.
            self._set_leaving(now_ms)
            has_changed = True
        if announcement.sequence > current.sequence:
            has_changed = (
                has_changed or announcement.slots != current.slots or bool(self._mismatched_id)
            )
            self._mismatched_id = ""
            self._current = announcement
            self._cold_until = now_ms + announcement.cold_left_ms
        return has_changed

    def on_leave(self, now_ms: Millis, instance_id: str, started_wall_ms: int | None) -> bool:
        """Record that the target leaves without prior notice; return whether the state changed."""
        current = self._current
        if current is None or current.instance_id != instance_id or self._is_leaving:
            return False
        if started_wall_ms is not None and started_wall_ms < current.started_wall_ms:
            return False
        self._set_leaving(now_ms)
        return True

    def on_stated_leaving(self, now_ms: Millis, start_id: str) -> bool:
        """Record that a start of the target leaves by its answers; return whether this is new."""
        if not start_id or start_id != self.start_id or self._is_leaving:
            return False
        self._set_leaving(now_ms)
        return True

    def on_notice(self, now_ms: Millis, notice: TargetNotice) -> bool:
        """Record what another node knows of a start; return whether this target's state changed."""
        noted = self._noted.get(notice.start_id)
        if noted is None:
            noted = self._noted[notice.start_id] = _NotedStatement()
        noted.add(now_ms, notice)
        if len(self._noted) > _MAX_NOTED_STARTS:
            del self._noted[next(iter(self._noted))]
        # Another start may not have announced itself to this node yet.
        return notice.start_id == self.start_id and self._apply_noted(noted)

    def _apply_noted(self, noted: _NotedStatement) -> bool:
        """Apply what other nodes know; a limit counts only until the target answers itself."""
        has_changed = False
        if noted.leaving_since is not None and not self._is_leaving:
            self._set_leaving(noted.leaving_since)
            has_changed = True
        if not self._has_answered and noted.rate_limit != self._rate_limit:
            self._rate_limit = noted.rate_limit
            has_changed = True
        return has_changed

    def on_mismatch(self, instance_id: str) -> bool:
        """Record that the instance is not at its address until it announces itself again.

        Returns whether this is new.
        """
        if instance_id != self.instance_id or self._is_mismatched:
            return False
        self._mismatched_id = instance_id
        return True

    def on_rate_limit(self, start_id: str, rate_limit: float | None) -> bool:
        """Record the limit that a start of the target named; return whether this is a change."""
        if not start_id or start_id != self.start_id:
            return False
        self._has_answered = True
        if rate_limit == self._rate_limit:
            return False
        self._rate_limit = rate_limit
        return True

    def _is_other_start(self, current: InstanceAnnouncement, new: InstanceAnnouncement) -> bool:
        if new.started_wall_ms != current.started_wall_ms:
            return True
        return new.instance_id != current.instance_id

    def _replace_current(
        self, now_ms: Millis, current: InstanceAnnouncement | None, new: InstanceAnnouncement
    ) -> bool:
        """Replace the current start unless the new one is older; return whether it was replaced."""
        if current is not None and new.started_wall_ms < current.started_wall_ms:
            return False
        self._current = new
        self._cold_until = now_ms + new.cold_left_ms
        self._is_leaving = False
        self._mismatched_id = ""
        self._rate_limit = None
        self._has_answered = False
        noted = self._noted.get(self.start_id)
        if noted is not None:
            self._apply_noted(noted)
        if new.state is TargetState.LEAVING and not self._is_leaving:
            self._set_leaving(now_ms)
        return True

    def _set_leaving(self, now_ms: Millis) -> None:
        self._is_leaving = True
        self._leaving_since = now_ms


def create_target_registration(address: Address, drain_ms: Millis) -> TargetRegistration:
    """Create a registration for the target at an address."""
    return TargetRegistration(address, drain_ms)
