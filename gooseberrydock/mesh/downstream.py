"""Compute the share of each route that the services downstream of it admit.

The shares propagate upstream hop by hop to the entries: each node combines the shares reported for
the calls that its target makes, weighted by how much each route needs them. The shortfall, one
minus the share, is attenuated at each hop: a wrong estimate of the call graph may contain a cycle,
in which a low share would otherwise sustain itself indefinitely.
"""

from collections.abc import Callable, Mapping
from typing import Final

import attrs

_HOP_ATTENUATION: Final = 0.03
"""Fraction of the shortfall dropped at each hop; the overloaded target compensates for it."""
_MIN_CALL_NEED: Final = 0.6
"""Minimum need from which a route counts as one whose runs make calls."""


@attrs.frozen
class DownstreamCapacity:
    """Whether a route's runs make calls, and which share of it the downstream services admit."""

    makes_calls: bool
    share: float


UNLIMITED: Final = DownstreamCapacity(makes_calls=False, share=1.0)
"""Capacity of a route whose runs make no calls."""


def downstream_capacities(
    needs: Mapping[str, Mapping[str, float]],
    share_of: Callable[[str], float],
    is_nested: Callable[[str], bool],
) -> dict[str, DownstreamCapacity]:
    """Return the downstream capacity of each route that runs at a target."""
    return {
        route: _downstream_capacity(route, called_needs, share_of, is_nested)
        for route, called_needs in needs.items()
    }


def _downstream_capacity(
    route: str,
    called_needs: Mapping[str, float],
    share_of: Callable[[str], float],
    is_nested: Callable[[str], bool],
) -> DownstreamCapacity:
    min_share = 1.0
    makes_calls = False
    for called_route, need in called_needs.items():
        if called_route == route or not is_nested(called_route):
            continue
        makes_calls = makes_calls or need >= _MIN_CALL_NEED
        min_share = min(
            min_share, 1.0 - need * (1.0 - share_of(called_route)) * (1.0 - _HOP_ATTENUATION)
        )
    return DownstreamCapacity(makes_calls, min_share)
