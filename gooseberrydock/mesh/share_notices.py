"""Notices of changed shares: selects the nodes to notify when a target's node changes its share.

Shortens the reaction to the start and the end of a surge, in particular in its first second.
Reports are sent with answers, so a change propagates hop by hop, each time only after a call has
returned, and hardly at all while few calls are admitted. The nodes that sent calls recently are
therefore notified of a changed share as well, a bounded number at a time. Performs no I/O.
"""

import random
from collections.abc import Callable
from typing import Final

import attrs

from gooseberrydock.clock import Millis

_RECENT_CALL_MS: Final[Millis] = 3_000.0
"""Time after its last call for which a node is notified; a node that sends no calls does not need
the share."""
_MIN_RELATIVE_CHANGE: Final = 0.1
"""Relative difference from the last notified share above which a notice is sent."""
_MIN_REFERENCE_SHARE: Final = 0.1
"""Lower bound of the share that the difference is relative to, so that small changes of a low share
do not cause notices."""
_MAX_NOTIFIED_NODES: Final = 24
"""Number of nodes notified of a route at a time; bounds the notices sent for a target with many
callers."""


@attrs.define
class RouteCallers:
    """State of one route: the time of the last call on each link and the last notified share."""

    called_at: dict[str, Millis] = attrs.field(factory=dict)
    notified_share: float = 1.0


@attrs.define
class ShareNotices:
    """Track the callers of each route and the changes of its share."""

    _random: random.Random
    _routes: dict[str, RouteCallers] = attrs.field(factory=dict)

    def on_call(self, now_ms: Millis, route: str, link_id: str) -> None:
        """Record that a call arrived on a link."""
        callers = self._routes.get(route)
        if callers is None:
            callers = self._routes[route] = RouteCallers()
        callers.called_at[link_id] = now_ms

    def on_link_lost(self, link_id: str) -> None:
        """Discard a link that was lost."""
        for callers in self._routes.values():
            callers.called_at.pop(link_id, None)

    def take_due(self, now_ms: Millis, share_of: Callable[[str], float]) -> dict[str, list[str]]:
        """Return, by link ID, the routes for which to send a notice now."""
        due: dict[str, list[str]] = {}
        for route, callers in list(self._routes.items()):
            share = share_of(route)
            change = abs(share - callers.notified_share)
            if change <= _MIN_RELATIVE_CHANGE * max(callers.notified_share, _MIN_REFERENCE_SHARE):
                continue
            callers.notified_share = share
            links = self._recent_links(now_ms, callers)
            if not links:
                del self._routes[route]
            for link_id in links:
                due.setdefault(link_id, []).append(route)
        return due

    def _recent_links(self, now_ms: Millis, callers: RouteCallers) -> list[str]:
        callers.called_at = {
            link_id: called_at
            for link_id, called_at in callers.called_at.items()
            if now_ms - called_at < _RECENT_CALL_MS
        }
        links = list(callers.called_at)
        return (
            links
            if len(links) <= _MAX_NOTIFIED_NODES
            else self._random.sample(links, _MAX_NOTIFIED_NODES)
        )


def create_share_notices(seed: int) -> ShareNotices:
    """Create share notices without callers, with a seeded random generator."""
    return ShareNotices(random.Random(seed))
