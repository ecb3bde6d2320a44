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
from gooseberrydock.messages import LeavingNotice, TargetNotice
from gooseberrydock.start_ids import format_start_id, parse_start_id

_DRAIN_MARGIN_MS: Final[Millis] = 700.0
"""Reserve at the end of the drain time, so that a dispatched request still begins within it."""

_MAX_DISOWNED_STARTS: Final = 8
_MAX_NOTED_STARTS: Final = 8
"""Starts of the target of which is kept what they stated, besides the current one."""


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

    @property
    def start_id(self) -> str:
        """Return what identifies this start of the target."""
        return format_start_id(self.instance_id, self.started_wall_ms)

    def is_later_start(self, other: "InstanceAnnouncement") -> bool:
        """Return whether this is another start, which began no earlier."""
        is_same = self.start_id == other.start_id
        return not is_same and self.started_wall_ms >= other.started_wall_ms


@attrs.define
class _NotedStatement:
    """What one start has stated to any node: its lowest limit, and when it began to leave."""

    rate_limit: float | None = None
    leaving_since: Millis | None = None

    def add_rate_limit(self, rate_limit: float) -> None:
        """Add a limit that another node knows."""
        self.rate_limit = min(rate_limit, self.rate_limit or rate_limit)

    def add_leaving(self, leaving_since: Millis) -> None:
        """Add that the start is leaving; the earliest time counts."""
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
    _disowned: dict[str, None] = attrs.field(factory=dict)
    """Starts for which the target answered that it is another instance, the latest at the end."""
    _rate_limit: float | None = None
    _has_answered: bool = False
    _noted: dict[str, _NotedStatement] = attrs.field(factory=dict)
    _last_left_start: str = ""
    _is_withheld: bool = False

    @property
    def current(self) -> InstanceAnnouncement | None:
        """Return the latest accepted announcement."""
        return self._current

    @property
    def service(self) -> str:
        """Return the service of the target if it accepts new requests, or an empty string."""
        if self._current is None or self._is_leaving or self._is_unusable:
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
        return self._current.start_id if self._current is not None else ""

    @property
    def rate_limit(self) -> float | None:
        """Return the requests per second that the target takes, None if it named no limit."""
        return self._rate_limit

    @property
    def is_leaving(self) -> bool:
        """Return whether the current instance is leaving, with or without an announcement."""
        return self._is_leaving

    @property
    def _is_unusable(self) -> bool:
        return self._is_withheld or self._is_mismatched

    @property
    def _is_mismatched(self) -> bool:
        return bool(self._mismatched_id) and self._mismatched_id == self.instance_id

    def is_cold(self, now_ms: Millis) -> bool:
        """Return whether the target is still slow after its start."""
        return now_ms < self._cold_until

    def accepts(self, now_ms: Millis, service: str) -> bool:
        """Return whether a request for a service may be sent to the target now."""
        current = self._current
        if current is None or current.service != service or self._is_unusable:
            return False
        if not self._is_leaving:
            return True
        return now_ms - self._leaving_since < max(0.0, self._drain_ms - _DRAIN_MARGIN_MS)

    def withhold(self) -> None:
        """Do not use the target until it is known whether it left before this node's start."""
        self._is_withheld = True

    def release(self) -> None:
        """Use the target from now on, unless it is leaving."""
        self._is_withheld = False

    def set_drain_time(self, drain_ms: Millis) -> None:
        """Set how long a leaving target may still receive requests."""
        self._drain_ms = drain_ms

    def on_announcement(self, now_ms: Millis, announcement: InstanceAnnouncement) -> bool:
        """Process an announcement; return whether the state of the target has changed."""
        current = self._current
        if announcement.address != self._address:
            return False
        if announcement.state is TargetState.LEAVING:
            self._note_leaving(announcement.start_id, now_ms)
        if current is None or announcement.start_id != current.start_id:
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

    def name_start(self, instance_id: str, started_wall_ms: int | None, wall_ms: Millis) -> str:
        """Return the start that a target means which may not say when it started.

        Without that, it means the current start if the ID is the same, else any start until now.
        """
        if started_wall_ms is None:
            is_current = self.instance_id == instance_id
            return self.start_id if is_current else format_start_id(instance_id, int(wall_ms))
        return format_start_id(instance_id, started_wall_ms)

    def on_leave(self, now_ms: Millis, start_id: str) -> bool:
        """Record that a start leaves without prior notice; return whether the state changed.

        This binds the named start and all earlier ones of its ID, known or not.
        """
        self._note_leaving(start_id, now_ms)
        return self._apply_noted_leaving()

    def on_stated_leaving(self, now_ms: Millis, start_id: str) -> bool:
        """Record that a start of the target leaves by its answers; return whether this is new."""
        if not start_id or start_id != self.start_id or self._is_leaving:
            return False
        self._set_leaving(now_ms)
        return True

    def on_notice(self, now_ms: Millis, notice: TargetNotice) -> bool:
        """Record what another node knows of a start; return whether this target's state changed."""
        # Another start may not have announced itself to this node yet.
        if notice.rate_limit:
            self._noted_statement(notice.start_id).add_rate_limit(notice.rate_limit)
        if notice.is_leaving:
            self._note_leaving(notice.start_id, now_ms - notice.leaving_for_ms)
        return self._apply_noted()

    def leaving_notice(self, now_ms: Millis) -> LeavingNotice | None:
        """Return the latest leaving that other nodes have to know, or None."""
        noted = self._noted.get(self._last_left_start)
        if noted is None or noted.leaving_since is None:
            return None
        return LeavingNotice(self._last_left_start, max(0.0, now_ms - noted.leaving_since))

    def _note_leaving(self, start_id: str, leaving_since: Millis) -> None:
        """Keep that a start is leaving, whether it is known or not."""
        self._noted_statement(start_id).add_leaving(leaving_since)
        if self._current is None or not self._has_ended(start_id, self._current):
            self._last_left_start = start_id

    def _noted_statement(self, start_id: str) -> _NotedStatement:
        noted = self._noted.pop(start_id, None) or _NotedStatement()
        self._noted[start_id] = noted
        if len(self._noted) > _MAX_NOTED_STARTS:
            del self._noted[next(key for key in self._noted if key != self.start_id)]
        return noted

    def _noted_leaving_since(self, announcement: InstanceAnnouncement) -> Millis | None:
        """Return since when a start is known to leave: a leaving binds earlier starts too."""
        times = [
            noted.leaving_since
            for start_id, noted in self._noted.items()
            if noted.leaving_since is not None
            and parse_start_id(start_id)[0] == announcement.instance_id
            and parse_start_id(start_id)[1] >= announcement.started_wall_ms
        ]
        return min(times, default=None)

    def _apply_noted(self) -> bool:
        """Apply what is noted of the current start; return whether the state changed."""
        has_changed = self._apply_noted_leaving()
        noted = self._noted.get(self.start_id)
        # A limit that others know counts only until the target answers itself.
        if noted is not None and not self._has_answered and noted.rate_limit != self._rate_limit:
            self._rate_limit = noted.rate_limit
            has_changed = True
        return has_changed

    def _apply_noted_leaving(self) -> bool:
        leaving_since = self._noted_leaving_since(self._current) if self._current else None
        if leaving_since is None:
            return False
        was_leaving = self._is_leaving
        if not was_leaving or leaving_since < self._leaving_since:
            self._set_leaving(leaving_since)
        return not was_leaving

    def has_left(self, start_id: str) -> bool:
        """Return whether a start of the target announced or stated that it leaves."""
        noted = self._noted.get(start_id)
        return noted is not None and noted.leaving_since is not None

    def on_mismatch(self, instance_id: str) -> bool:
        """Record that the instance is not at its address until it announces itself again.

        Returns whether this is new.
        """
        if instance_id != self.instance_id or self._is_mismatched:
            return False
        self._mismatched_id = instance_id
        return True

    def on_disowned(self, start_id: str) -> bool:
        """Record that the target answered a request for a start as another instance.

        The heartbeat of that start may be from another writer. Returns whether the current start
        becomes unusable by this.
        """
        is_current = parse_start_id(start_id)[0] == self.instance_id
        disowned = self.start_id if is_current else start_id
        self._disowned.pop(disowned, None)
        self._disowned[disowned] = None
        if len(self._disowned) > _MAX_DISOWNED_STARTS:
            del self._disowned[next(iter(self._disowned))]
        return is_current and self.on_mismatch(self.instance_id)

    def on_answered(self, start_id: str) -> None:
        """Record that the target answered a request for a start as its own."""
        self._disowned.pop(start_id, None)

    def on_rate_limit(self, start_id: str, rate_limit: float | None) -> bool:
        """Record the limit that a start of the target named; return whether this is a change."""
        if not start_id or start_id != self.start_id:
            return False
        self._has_answered = True
        if rate_limit == self._rate_limit:
            return False
        self._rate_limit = rate_limit
        return True

    def _has_ended(self, start_id: str, current: InstanceAnnouncement) -> bool:
        """Return whether a start is over because the current one began later at its address."""
        return parse_start_id(start_id)[1] < current.started_wall_ms

    def _may_replace(self, current: InstanceAnnouncement, new: InstanceAnnouncement) -> bool:
        has_new_left = self._noted_leaving_since(new) is not None
        is_new_disowned = new.start_id in self._disowned
        if current.start_id in self._disowned and not is_new_disowned and not has_new_left:
            # The target is another instance than the current one, which may be a later start.
            return True
        if is_new_disowned and current.start_id not in self._disowned and not self._is_mismatched:
            return False
        if new.started_wall_ms != current.started_wall_ms:
            return new.started_wall_ms > current.started_wall_ms
        # Equal times do not show which start is the later one, but not one that has left.
        return not has_new_left

    def _replace_current(
        self, now_ms: Millis, current: InstanceAnnouncement | None, new: InstanceAnnouncement
    ) -> bool:
        """Replace the current start unless the new one is older; return whether it was replaced."""
        if current is not None and not self._may_replace(current, new):
            return False
        self._current = new
        self._cold_until = now_ms + new.cold_left_ms
        self._is_leaving = False
        self._mismatched_id = ""
        self._rate_limit = None
        self._has_answered = False
        self._apply_noted()
        if not self._is_leaving:
            self._last_left_start = ""
        return True

    def _set_leaving(self, leaving_since: Millis) -> None:
        self._is_leaving = True
        self._leaving_since = leaving_since
        self._note_leaving(self.start_id, leaving_since)


def create_target_registration(address: Address, drain_ms: Millis) -> TargetRegistration:
    """Create a registration for the target at an address."""
    return TargetRegistration(address, drain_ms)
