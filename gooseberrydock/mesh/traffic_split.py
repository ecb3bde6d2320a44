"""Split the requests of a route among services exactly by weight, not only on average.

Uses smooth weighted round robin, as in nginx's upstream module: each request adds the configured
weight of every service to its current weight; the service with the largest current weight is
chosen, and the sum of all configured weights is subtracted from its current weight.
"""

import attrs

from gooseberrydock.mesh.model import Route, ServiceShare


@attrs.define
class TrafficSplitter:
    """Choose the service of each request on a route."""

    _current_weights: dict[str, dict[str, float]] = attrs.field(factory=dict)
    _shares: dict[str, tuple[ServiceShare, ...]] = attrs.field(factory=dict)

    def choose(self, route: Route) -> str:
        """Return the service that runs the next request."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        if self._shares.get(route.name) != shares:
            self._shares[route.name] = shares
            self._current_weights[route.name] = {share.service: 0.0 for share in shares}
        current_weights = self._current_weights[route.name]
        total_weight = 0.0
        for share in shares:
            current_weights[share.service] += share.weight
            total_weight += share.weight
        chosen = max(current_weights, key=lambda service: current_weights[service])
        current_weights[chosen] -= total_weight
        return chosen
