"""Which routes' runs make which calls, learned at the target's node.

Nothing on the wire names the run that a call is made for. But more calls of a route come while
more runs of their cause begin and end, so the calls of each window are explained by the runs that
turned over in it: ridge regression with non-negative weights, a constant, and forgetting. Runs
that are merely active explain little under overload: where calls wait, each active run makes fewer
of them, and whatever runs steadily beside them would seem to make the rest. The constant takes up
what changes with the load. Controller without I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis

_WINDOW_MS: Final[Millis] = 300.0
"""Length of a window: some lengths of a run, so that most calls fall into the window of theirs."""
_FORGET: Final = 0.985
"""Weight of the past at each new window: about 20 s of memory."""
_RIDGE: Final = 0.5
"""Windows' worth of belief that all active runs call alike, held before there is evidence."""
_DESCENT_ROUNDS: Final = 12
"""Rounds of coordinate descent, which converges within a few for so small a problem."""
_REFRESH_WINDOWS: Final = 3
"""After how many windows the weights are computed anew."""
_CONSTANT: Final = ""
"""Stands for a route that is there once in each window."""
_FULL_SHARE: Final = 0.3
"""Part of a route's calls from which a run counts as one that needs them."""
_NOISE_SHARE: Final = 0.1
"""Part up to which it counts as one that does not: so much may be chance."""


@attrs.define
class CallGraph:
    """Explain the calls that begin on this host by the runs at its target."""

    _turned_over: dict[str, float] = attrs.field(factory=dict)
    _window_started: Millis = 0.0
    _windows: int = 0
    _calls: dict[str, int] = attrs.field(factory=dict)
    _products: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _call_products: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _sums: dict[str, float] = attrs.field(factory=dict)
    _call_sums: dict[str, float] = attrs.field(factory=dict)
    _weight: float = 0.0
    _needs: dict[str, dict[str, float]] = attrs.field(factory=dict)

    @property
    def needs(self) -> dict[str, dict[str, float]]:
        """Return, for each run route, how far it needs each called route, from 0 to 1."""
        return self._needs

    def on_start(self, now_ms: Millis, route: str) -> None:
        """Note that a run of a route began."""
        self._turn_over(now_ms, route)

    def on_end(self, now_ms: Millis, route: str) -> None:
        """Note that a run of a route ended."""
        self._turn_over(now_ms, route)

    def on_call(self, now_ms: Millis, route: str) -> None:
        """Note that a call of a route began on this host."""
        self._note(now_ms)
        self._calls[route] = self._calls.get(route, 0) + 1

    def _turn_over(self, now_ms: Millis, route: str) -> None:
        """Count one end of a run, the first or the last: its calls come between the two."""
        self._note(now_ms)
        self._turned_over[route] = self._turned_over.get(route, 0.0) + 0.5

    def _note(self, now_ms: Millis) -> None:
        if now_ms - self._window_started >= _WINDOW_MS:
            self._end_window(now_ms)

    def _end_window(self, now_ms: Millis) -> None:
        length = now_ms - self._window_started
        self._window_started = now_ms
        # Windows that a quiet time has drawn out are scaled to the usual length.
        scale = _WINDOW_MS / length
        turned_over = {route: count * scale for route, count in self._turned_over.items()}
        calls = {route: count * scale for route, count in self._calls.items()}
        self._turned_over = {}
        self._calls = {}
        self._learn({**turned_over, _CONSTANT: 1.0}, calls)
        self._windows += 1
        if self._windows % _REFRESH_WINDOWS == 0:
            self._refresh()

    def _learn(self, turned_over: dict[str, float], calls: dict[str, float]) -> None:
        for table in (self._products, self._call_products):
            for pair in table:
                table[pair] *= _FORGET
        for sums in (self._sums, self._call_sums):
            for route in sums:
                sums[route] *= _FORGET
        self._weight = self._weight * _FORGET + 1.0
        for route, value in turned_over.items():
            self._sums[route] = self._sums.get(route, 0.0) + value
            for other, other_value in turned_over.items():
                pair = (route, other)
                self._products[pair] = self._products.get(pair, 0.0) + value * other_value
            for called, count in calls.items():
                pair = (route, called)
                self._call_products[pair] = self._call_products.get(pair, 0.0) + value * count
        for called, count in calls.items():
            self._call_sums[called] = self._call_sums.get(called, 0.0) + count

    def _refresh(self) -> None:
        routes = [route for route, total in self._sums.items() if total > 0.01]
        needs: dict[str, dict[str, float]] = {route: {} for route in routes}
        for called, total in self._call_sums.items():
            if total < 1.0:
                continue
            weights = self._solve(routes, called)
            parts = {route: weights[route] * self._sums[route] / total for route in routes}
            for route, part in parts.items():
                need = (part - _NOISE_SHARE) / (_FULL_SHARE - _NOISE_SHARE)
                needs[route][called] = min(1.0, max(0.0, need))
        needs.pop(_CONSTANT, None)
        self._needs = needs

    def _solve(self, routes: list[str], called: str) -> dict[str, float]:
        """Return how many calls each run makes, by route."""
        all_runs = sum(self._sums[route] for route in routes if route != _CONSTANT)
        alike = self._call_sums[called] / all_runs if all_runs else 0.0
        weights = dict.fromkeys(routes, alike)
        for _ in range(_DESCENT_ROUNDS):
            for route in routes:
                ridge = _RIDGE * self._products[(route, route)] / self._weight
                rest = self._call_products.get((route, called), 0.0) + ridge * alike
                for other in routes:
                    if other != route:
                        rest -= weights[other] * self._products.get((route, other), 0.0)
                own = self._products[(route, route)] + ridge
                weights[route] = max(0.0, rest / own) if own > 0 else 0.0
        return weights


def create_call_graph() -> CallGraph:
    """Make a graph that knows nothing yet."""
    return CallGraph()
