"""Estimate at the target's node which routes' runs make which calls.

Nothing on the wire names the run that a call is made for. However, more calls of a route arrive
while more of the runs that make them begin and end. The calls of each window are therefore
regressed on the runs that began or ended in it: ridge regression with non-negative weights, an
intercept and exponential forgetting. The number of active runs is a poor predictor under overload:
where calls wait, each active run makes fewer of them, and runs that proceed steadily at the same
time would appear to make the remaining calls. The intercept absorbs what changes with the load.
Performs no I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis

_WINDOW_MS: Final[Millis] = 300.0
"""Length of a window: several run times, so that most calls fall into the window of their run."""
_FORGETTING_FACTOR: Final = 0.985
"""Factor on all earlier windows at each new one, which gives a memory of about 20 s."""
_RIDGE_WINDOWS: Final = 0.5
"""Weight, in windows, of the prior that all runs make equally many calls."""
_DESCENT_ROUNDS: Final = 12
"""Rounds of coordinate descent; a problem of this size converges within a few."""
_REFRESH_INTERVAL_WINDOWS: Final = 3
"""Number of windows between two computations of the weights."""
_INTERCEPT: Final = ""
"""Pseudo-route of the intercept, which counts once in each window."""
_MIN_FULL_NEED_SHARE: Final = 0.3
"""Share of a called route's calls attributed to the runs of one route, from which these runs count
as fully needing the called route."""
_MAX_NOISE_SHARE: Final = 0.1
"""Share up to which these runs count as not needing it at all: so much may be due to chance."""


@attrs.define
class CallGraph:
    """Attribute the calls that begin on this host to the runs at its target."""

    _turnover: dict[str, float] = attrs.field(factory=dict)
    _window_started: Millis = 0.0
    _windows: int = 0
    _calls: dict[str, int] = attrs.field(factory=dict)
    _products: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _call_products: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _sums: dict[str, float] = attrs.field(factory=dict)
    _call_sums: dict[str, float] = attrs.field(factory=dict)
    _total_weight: float = 0.0
    _needs: dict[str, dict[str, float]] = attrs.field(factory=dict)

    @property
    def needs(self) -> dict[str, dict[str, float]]:
        """Return, by route of the runs, the need for each called route, from 0 to 1."""
        return self._needs

    def on_start(self, now_ms: Millis, route: str) -> None:
        """Record that a run of a route began."""
        self._count_turnover(now_ms, route)

    def on_end(self, now_ms: Millis, route: str) -> None:
        """Record that a run of a route ended."""
        self._count_turnover(now_ms, route)

    def on_call(self, now_ms: Millis, route: str) -> None:
        """Record that a call of a route began on this host."""
        self._advance_window(now_ms)
        self._calls[route] = self._calls.get(route, 0) + 1

    def _count_turnover(self, now_ms: Millis, route: str) -> None:
        """Count half a run at its start and half at its end, as its calls occur between the two."""
        self._advance_window(now_ms)
        self._turnover[route] = self._turnover.get(route, 0.0) + 0.5

    def _advance_window(self, now_ms: Millis) -> None:
        if now_ms - self._window_started >= _WINDOW_MS:
            self._end_window(now_ms)

    def _end_window(self, now_ms: Millis) -> None:
        length_ms = now_ms - self._window_started
        self._window_started = now_ms
        # A window lasts longer in a quiet period, as only an event ends it; scale it to the usual
        # length.
        scale = _WINDOW_MS / length_ms
        turnover = {route: count * scale for route, count in self._turnover.items()}
        calls = {route: count * scale for route, count in self._calls.items()}
        self._turnover = {}
        self._calls = {}
        self._update_sums({**turnover, _INTERCEPT: 1.0}, calls)
        self._windows += 1
        if self._windows % _REFRESH_INTERVAL_WINDOWS == 0:
            self._update_needs()

    def _update_sums(self, turnover: dict[str, float], calls: dict[str, float]) -> None:
        """Add a window to the decaying sums of turnovers, of calls and of their products."""
        for table in (self._products, self._call_products):
            for pair in table:
                table[pair] *= _FORGETTING_FACTOR
        for sums in (self._sums, self._call_sums):
            for route in sums:
                sums[route] *= _FORGETTING_FACTOR
        self._total_weight = self._total_weight * _FORGETTING_FACTOR + 1.0
        for route, value in turnover.items():
            self._sums[route] = self._sums.get(route, 0.0) + value
            for other, other_value in turnover.items():
                pair = (route, other)
                self._products[pair] = self._products.get(pair, 0.0) + value * other_value
            for called, count in calls.items():
                pair = (route, called)
                self._call_products[pair] = self._call_products.get(pair, 0.0) + value * count
        for called, count in calls.items():
            self._call_sums[called] = self._call_sums.get(called, 0.0) + count

    def _update_needs(self) -> None:
        """Derive the needs from the share of each route's calls that the fit attributes to runs."""
        routes = [route for route, total in self._sums.items() if total > 0.01]
        needs: dict[str, dict[str, float]] = {route: {} for route in routes}
        for called, total in self._call_sums.items():
            if total < 1.0:
                continue
            weights = self._solve(routes, called)
            shares = {route: weights[route] * self._sums[route] / total for route in routes}
            for route, share in shares.items():
                need = (share - _MAX_NOISE_SHARE) / (_MIN_FULL_NEED_SHARE - _MAX_NOISE_SHARE)
                needs[route][called] = min(1.0, max(0.0, need))
        needs.pop(_INTERCEPT, None)
        self._needs = needs

    def _solve(self, routes: list[str], called: str) -> dict[str, float]:
        """Fit the number of calls of a route that each run makes; return it by the run's route."""
        all_runs = sum(self._sums[route] for route in routes if route != _INTERCEPT)
        prior = self._call_sums[called] / all_runs if all_runs else 0.0
        weights = dict.fromkeys(routes, prior)
        for _ in range(_DESCENT_ROUNDS):
            for route in routes:
                ridge = _RIDGE_WINDOWS * self._products[(route, route)] / self._total_weight
                residual = self._call_products.get((route, called), 0.0) + ridge * prior
                for other in routes:
                    if other != route:
                        residual -= weights[other] * self._products.get((route, other), 0.0)
                diagonal = self._products[(route, route)] + ridge
                weights[route] = max(0.0, residual / diagonal) if diagonal > 0 else 0.0
        return weights


def create_call_graph() -> CallGraph:
    """Create an empty call graph."""
    return CallGraph()
