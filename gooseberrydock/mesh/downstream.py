"""What the services below a route allow, passed up hop by hop to the entries.

Each node joins the shares that it hears of the calls its target makes, weighed by how much each
route needs them. What is passed on shrinks a little at each hop: a wrong belief about who calls
whom may close a circle, and without that loss a low share would keep itself alive in it for good.
"""

from collections.abc import Callable, Mapping
from typing import Final

import attrs

_HOP_LOSS: Final = 0.03
"""Part of what is missing that each hop leaves out; the target that lacks room makes up for it."""
_NEEDS_CALL: Final = 0.6
"""From which need on a route counts as one whose runs make calls."""


@attrs.frozen
class DownstreamCapacity:
    """Say whether a route's runs make calls, and how much of it the services below take."""

    makes_calls: bool
    share: float


def downstream_capacities(
    needs: Mapping[str, Mapping[str, float]],
    share_of: Callable[[str], float],
    is_nested: Callable[[str], bool],
) -> dict[str, DownstreamCapacity]:
    """Return the path below each route that runs at a target."""
    return {
        route: _path_below(route, called, share_of, is_nested) for route, called in needs.items()
    }


def _path_below(
    route: str,
    called: Mapping[str, float],
    share_of: Callable[[str], float],
    is_nested: Callable[[str], bool],
) -> DownstreamCapacity:
    least = 1.0
    makes_calls = False
    for name, need in called.items():
        if name == route or not is_nested(name):
            continue
        makes_calls = makes_calls or need >= _NEEDS_CALL
        least = min(least, 1.0 - need * (1.0 - share_of(name)) * (1.0 - _HOP_LOSS))
    return DownstreamCapacity(makes_calls, least)
