"""The share of each service in a route's requests, kept exactly and not only on average.

Smooth weighted round robin, as in nginx's upstream module: each service earns its weight with
every request and the richest one is chosen and pays the sum of the weights.
"""

import attrs

from gooseberrydock.mesh.model import Route, ServiceShare


@attrs.define
class TrafficSplitter:
    """Choose the service of each request on a route."""

    _earned: dict[str, dict[str, float]] = attrs.field(factory=dict)
    _shares: dict[str, tuple[ServiceShare, ...]] = attrs.field(factory=dict)

    def choose(self, route: Route) -> str:
        """Return the service that runs the next request."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        if self._shares.get(route.name) != shares:
            self._shares[route.name] = shares
            self._earned[route.name] = {share.service: 0.0 for share in shares}
        earned = self._earned[route.name]
        total = 0.0
        for share in shares:
            earned[share.service] += share.weight
            total += share.weight
        chosen = max(earned, key=lambda service: earned[service])
        earned[chosen] -= total
        return chosen
