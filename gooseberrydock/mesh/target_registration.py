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
from gooseberrydock.mesh.left_starts import LeftStart, LeftStarts
from gooseberrydock.messages import LeavingNotice, TargetNotice
from gooseberrydock.start_ids import binds, format_start_id, parse_start_id

_DRAIN_MARGIN_MS: Final[Millis] = 700.0
"""Reserve at the end of the drain time, so that a dispatched request still begins within it."""

_MAX_DISOWNED_STARTS: Final = 8
"""Starts that are kept as disowned, the latest ones."""
_MAX_LIMITED_STARTS: Final = 8
"""Starts whose rate limits are kept as other nodes know them."""
_MAX_DEREGISTERED_IDS: Final = 8
_REPETITION_MS: Final[Millis] = 3_000.0
"""Time after a deregistration without a start time within which another one repeats it. A target
repeats its call when it has waited a second for the answer."""
_SILENCE_MS: Final[Millis] = 10_000.0
"""Time without an announcement after which another start that announces itself is used instead.
It is some intervals of announcements, and longer than a late one is on its way."""
_NOTICE_MS: Final[Millis] = 60_000.0
"""Time after a leaving for which other nodes are told of it; a target ends long before."""


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


@attrs.frozen
class NamedLeaving:
    """Leaving that a target announces.

    It binds ``start_id`` and all earlier starts of the same ID. ``kept_start_id`` is the start
    whose leaving has to be stored before it is acknowledged; it is an earlier one where a target
    that has announced its leaving deregisters without its start time.
    """

    start_id: str
    kept_start_id: str


@attrs.frozen
class _Deregistration:
    """Deregistration without a start time: the start that it was taken for, and when it came."""

    start_id: str
    received_at: Millis


@attrs.define
class TargetRegistration:
    """State of the target on this node's host, according to its announcements."""

    _address: Address
    _drain_ms: Millis
    _current: InstanceAnnouncement | None = None
    _announced_at: Millis = 0.0
    _is_leaving: bool = False
    _leaving_since: Millis = 0.0
    _cold_until: Millis = 0.0
    _mismatched_id: str = ""
    _disowned: dict[str, None] = attrs.field(factory=dict)
    """Starts for which the target answered that it is another instance, the latest at the end."""
    _rate_limit: float | None = None
    _has_answered: bool = False
    _left: LeftStarts = attrs.field(factory=LeftStarts)
    _limits_of_others: dict[str, float] = attrs.field(factory=dict)
    """Rate limits by start that other nodes know, also of starts that are not announced yet."""
    _deregistrations: dict[str, _Deregistration] = attrs.field(factory=dict)
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
        if announcement.address != self._address:
            return False
        has_changed = False
        if announcement.state is TargetState.LEAVING:
            # Leaving takes effect and persists even if a later announcement arrived first.
            has_changed = self._note_leaving(announcement.start_id, now_ms)
        current = self._current
        if current is None or announcement.start_id != current.start_id:
            return self._replace_current(now_ms, current, announcement) or has_changed
        if announcement.sequence > current.sequence:
            has_changed = (
                has_changed or announcement.slots != current.slots or bool(self._mismatched_id)
            )
            self._mismatched_id = ""
            self._current = announcement
            self._announced_at = now_ms
            self._cold_until = now_ms + announcement.cold_left_ms
        return has_changed

    def name_leaving(
        self, now_ms: Millis, wall_ms: Millis, instance_id: str, started_wall_ms: int | None
    ) -> NamedLeaving:
        """Return which starts a deregistration means, which may not say when its start began.

        Without that, it means any start of the ID until now: the latest one may not have announced
        itself. A repetition means what the first call did, since a later start may have begun.
        """
        if started_wall_ms is not None:
            start_id = format_start_id(instance_id, started_wall_ms)
            return NamedLeaving(start_id, start_id)
        known = self._deregistrations.pop(instance_id, None)
        if known is None or now_ms - known.received_at > _REPETITION_MS:
            start_id = format_start_id(instance_id, self._latest_start_time(instance_id, wall_ms))
        else:
            start_id = known.start_id
        self._deregistrations[instance_id] = _Deregistration(start_id, now_ms)
        if len(self._deregistrations) > _MAX_DEREGISTERED_IDS:
            del self._deregistrations[next(iter(self._deregistrations))]
        is_announced = self.instance_id == instance_id and self._is_leaving
        return NamedLeaving(start_id, self.start_id if is_announced else start_id)

    def _latest_start_time(self, instance_id: str, wall_ms: Millis) -> int:
        current = self._current
        if current is None or current.instance_id != instance_id:
            return int(wall_ms)
        return max(int(wall_ms), current.started_wall_ms)

    def on_leave(self, now_ms: Millis, start_id: str) -> bool:
        """Record that a start leaves without prior notice; return whether the state changed.

        This binds the named start and all earlier ones of its ID, known or not.
        """
        return self._note_leaving(start_id, now_ms)

    def on_stated_leaving(self, now_ms: Millis, start_id: str) -> bool:
        """Record that a start of the target leaves by its answers; return whether this is new."""
        if not start_id or start_id != self.start_id or self._is_leaving:
            return False
        return self._note_leaving(start_id, now_ms)

    def on_notice(self, now_ms: Millis, notice: TargetNotice) -> bool:
        """Record what another node knows of a start; return whether this target's state changed."""
        has_changed = False
        if notice.is_leaving:
            has_changed = self._note_leaving(notice.start_id, now_ms - notice.leaving_for_ms)
        if notice.rate_limit:
            self._note_limit(notice.start_id, notice.rate_limit)
        return self._apply_limit_of_others() or has_changed

    def leaving_notice(self, now_ms: Millis, start_id: str) -> LeavingNotice | None:
        """Return what other nodes have to know of the leaving of a start, None if it stays."""
        left = self._left.find(start_id)
        return _create_notice(now_ms, left) if left is not None else None

    def leaving_notices(self, now_ms: Millis) -> list[LeavingNotice]:
        """Return the leavings that other nodes have to know."""
        earliest = now_ms - _NOTICE_MS
        recent = [left for left in self._left.all if left.leaving_since > earliest]
        return [_create_notice(now_ms, left) for left in recent]

    def has_left(self, start_id: str) -> bool:
        """Return whether a start of the target announced or stated that it leaves."""
        return self._left.find(start_id) is not None

    def _note_leaving(self, start_id: str, leaving_since: Millis) -> bool:
        """Keep that a start is leaving, known or not; return whether the state changed."""
        self._left.add(start_id, leaving_since)
        if self._current is None or not binds(start_id, self._current.start_id):
            return False
        was_leaving = self._is_leaving
        self._set_leaving(leaving_since)
        return not was_leaving

    def _set_leaving(self, leaving_since: Millis) -> None:
        self._leaving_since = (
            min(leaving_since, self._leaving_since) if self._is_leaving else leaving_since
        )
        self._is_leaving = True

    def _note_limit(self, start_id: str, rate_limit: float) -> None:
        """Keep the lowest limit that other nodes know of a start."""
        known = self._limits_of_others.pop(start_id, rate_limit)
        self._limits_of_others[start_id] = min(rate_limit, known)
        if len(self._limits_of_others) > _MAX_LIMITED_STARTS:
            oldest = next(key for key in self._limits_of_others if key != self.start_id)
            del self._limits_of_others[oldest]

    def _apply_limit_of_others(self) -> bool:
        """Apply what other nodes know of the current start; return whether the state changed."""
        rate_limit = self._limits_of_others.get(self.start_id)
        # It counts only until the target answers itself.
        if rate_limit is None or self._has_answered or rate_limit == self._rate_limit:
            return False
        self._rate_limit = rate_limit
        return True

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

        The announcement of that start may be another writer's. Returns whether the current start
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

    def _may_replace(
        self, now_ms: Millis, current: InstanceAnnouncement, new: InstanceAnnouncement
    ) -> bool:
        has_new_left = self.has_left(new.start_id)
        is_new_disowned = new.start_id in self._disowned
        is_current_doubtful = (
            current.start_id in self._disowned or now_ms - self._announced_at > _SILENCE_MS
        )
        if is_current_doubtful and not is_new_disowned and not has_new_left:
            # The current one may be a later start that another writer announced.
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
        if current is not None and not self._may_replace(now_ms, current, new):
            return False
        if current is not None and self._ends_doubtfully(current, new):
            # Unless the new one is from another writer, the current one does not go on.
            return self.on_mismatch(current.instance_id)
        self._current = new
        self._announced_at = now_ms
        self._cold_until = now_ms + new.cold_left_ms
        self._is_leaving = False
        self._mismatched_id = ""
        self._rate_limit = None
        self._has_answered = False
        left = self._left.find(new.start_id)
        if left is not None:
            self._set_leaving(left.leaving_since)
        self._apply_limit_of_others()
        return True

    def _ends_doubtfully(self, current: InstanceAnnouncement, new: InstanceAnnouncement) -> bool:
        """Return whether all that shows the end of the current start is one that has left."""
        is_other_id = new.instance_id != current.instance_id
        return is_other_id and not self._is_leaving and self.has_left(new.start_id)


def _create_notice(now_ms: Millis, left: LeftStart) -> LeavingNotice:
    return LeavingNotice(left.start_id, max(0.0, now_ms - left.leaving_since))


def create_target_registration(address: Address, drain_ms: Millis) -> TargetRegistration:
    """Create a registration for the target at an address."""
    return TargetRegistration(address, drain_ms)
