"""Which starts of a target have left: one rule for the registration, other nodes and the store.

A leaving binds the named start and all earlier ones of its instance ID. So the latest start of each
ID that has left is kept, and nothing else decides about it: neither which start is in use now, nor
the order in which leavings become known. Performs no I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.start_ids import format_start_id, parse_start_id

_MAX_IDS: Final = 8
"""Instance IDs of one host of which a leaving is kept; the latest ones."""


@attrs.frozen
class LeftStart:
    """The latest start of an instance ID that has left, and since when it was leaving."""

    instance_id: str
    started_wall_ms: int
    leaving_since: Millis

    @property
    def start_id(self) -> str:
        """Return what identifies the start."""
        return format_start_id(self.instance_id, self.started_wall_ms)


@attrs.define
class LeftStarts:
    """Keep the latest start of each instance ID that has left."""

    _by_id: dict[str, LeftStart] = attrs.field(factory=dict)

    @property
    def all(self) -> tuple[LeftStart, ...]:
        """Return what is kept."""
        return tuple(self._by_id.values())

    @property
    def start_ids(self) -> tuple[str, ...]:
        """Return the starts that are kept."""
        return tuple(left.start_id for left in self._by_id.values())

    def add(self, start_id: str, leaving_since: Millis) -> None:
        """Add a start that leaves; the earliest time counts if it is known already."""
        instance_id, started_wall_ms = parse_start_id(start_id)
        known = self._by_id.pop(instance_id, None)
        if known is None or known.started_wall_ms < started_wall_ms:
            known = LeftStart(instance_id, started_wall_ms, leaving_since)
        elif known.started_wall_ms == started_wall_ms:
            earliest = min(leaving_since, known.leaving_since)
            known = attrs.evolve(known, leaving_since=earliest)
        self._by_id[instance_id] = known
        if len(self._by_id) > _MAX_IDS:
            del self._by_id[next(iter(self._by_id))]

    def find(self, start_id: str) -> LeftStart | None:
        """Return the kept start whose leaving binds a start, or None if the start has not left."""
        if not start_id:
            return None
        instance_id, started_wall_ms = parse_start_id(start_id)
        left = self._by_id.get(instance_id)
        return left if left is not None and started_wall_ms <= left.started_wall_ms else None

    def drop_before(self, leaving_since: Millis) -> None:
        """Forget the starts that have been leaving since before a time."""
        self._by_id = {
            instance_id: left
            for instance_id, left in self._by_id.items()
            if left.leaving_since >= leaving_since
        }
