"""Which nodes are told at once that a target's node admits more or less of a route.

Answers the first second of a surge and of its end. Reports travel with answers, so that a change
shows only after a call has come back, hop by hop, and hardly at all once few calls are admitted.
A changed share is therefore also told to the nodes whose calls came lately, a bounded number at a
time. Controller without I/O.
"""

import random
from collections.abc import Callable
from typing import Final

import attrs

from gooseberrydock.clock import Millis

_LATELY_MS: Final[Millis] = 3_000.0
"""How long after its last call a node is told; one that sends none has no use for it."""
_LEAST_CHANGE: Final = 0.1
"""Part by which a share must differ from what was told last."""
_LEAST_SHARE: Final = 0.1
"""What smaller shares count as in this, so that a low one does not tell of every step."""
_MOST_TOLD: Final = 24
"""How many nodes are told of a route at a time: bounds what a target with many callers sends."""


@attrs.define
class RouteCallers:
    """Hold which links a route's calls came on and when, and the share told last."""

    called_at: dict[str, Millis] = attrs.field(factory=dict)
    notified_share: float = 1.0


@attrs.define
class ShareNotices:
    """Follow callers and changes of shares."""

    _random: random.Random
    _routes: dict[str, RouteCallers] = attrs.field(factory=dict)

    def on_call(self, now_ms: Millis, route: str, link_id: str) -> None:
        """Note that a call came on a link."""
        callers = self._routes.get(route)
        if callers is None:
            callers = self._routes[route] = RouteCallers()
        callers.called_at[link_id] = now_ms

    def on_link_lost(self, link_id: str) -> None:
        """Forget a link."""
        for callers in self._routes.values():
            callers.called_at.pop(link_id, None)

    def take_due(self, now_ms: Millis, share_of: Callable[[str], float]) -> dict[str, list[str]]:
        """Return, by link, the routes whose changed shares are to be told on it now."""
        due: dict[str, list[str]] = {}
        for route, callers in list(self._routes.items()):
            share = share_of(route)
            change = abs(share - callers.notified_share)
            if change <= _LEAST_CHANGE * max(callers.notified_share, _LEAST_SHARE):
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
            if now_ms - called_at < _LATELY_MS
        }
        links = list(callers.called_at)
        return links if len(links) <= _MOST_TOLD else self._random.sample(links, _MOST_TOLD)


def create_share_notices(seed: int) -> ShareNotices:
    """Make a controller with its own seeded random generator."""
    return ShareNotices(random.Random(seed))
