"""Which routes' runs make which calls, learned at the target's node.

Nothing on the wire names the run that a call is made for. But calls of a route come faster while
more runs of their cause are active, so the calls of each short window are explained by the mean
numbers of active runs in it: ridge regression with non-negative weights and forgetting. Controller
without I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis

_WINDOW_MS: Final[Millis] = 100.0
"""Length of a window: about the length of a run, within which its calls come."""
_FORGET: Final = 0.995
"""Weight of the past at each new window: about 20 s of memory."""
_RIDGE: Final = 0.5
"""Windows' worth of belief that all active runs call alike, held before there is evidence."""
_DESCENT_ROUNDS: Final = 12
"""Rounds of coordinate descent, which converges within a few for so small a problem."""
_REFRESH_WINDOWS: Final = 10
"""After how many windows the weights are computed anew."""
_FULL_SHARE: Final = 0.3
"""Part of a route's calls from which a run counts as one that needs them."""


@attrs.define
class CallGraph:
    """Explain the calls that begin on this host by the runs at its target."""

    _active: dict[str, int] = attrs.field(factory=dict)
    _active_ms: dict[str, Millis] = attrs.field(factory=dict)
    _noted_at: Millis = 0.0
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
        self._note(now_ms)
        self._active[route] = self._active.get(route, 0) + 1

    def on_end(self, now_ms: Millis, route: str) -> None:
        """Note that a run of a route ended."""
        self._note(now_ms)
        self._active[route] = max(0, self._active.get(route, 0) - 1)

    def on_call(self, now_ms: Millis, route: str) -> None:
        """Note that a call of a route began on this host."""
        self._note(now_ms)
        self._calls[route] = self._calls.get(route, 0) + 1

    def _note(self, now_ms: Millis) -> None:
        elapsed = now_ms - self._noted_at
        self._noted_at = now_ms
        for route, count in self._active.items():
            if count:
                self._active_ms[route] = self._active_ms.get(route, 0.0) + count * elapsed
        if now_ms - self._window_started >= _WINDOW_MS:
            self._end_window(now_ms)

    def _end_window(self, now_ms: Millis) -> None:
        length = now_ms - self._window_started
        self._window_started = now_ms
        # Windows that a quiet time has drawn out are scaled to the usual length.
        mean_active = {route: total / length for route, total in self._active_ms.items()}
        calls = {route: count * _WINDOW_MS / length for route, count in self._calls.items()}
        self._active_ms = {}
        self._calls = {}
        self._learn(mean_active, calls)
        self._windows += 1
        if self._windows % _REFRESH_WINDOWS == 0:
            self._refresh()

    def _learn(self, active: dict[str, float], calls: dict[str, float]) -> None:
        for table in (self._products, self._call_products):
            for pair in table:
                table[pair] *= _FORGET
        for sums in (self._sums, self._call_sums):
            for route in sums:
                sums[route] *= _FORGET
        self._weight = self._weight * _FORGET + 1.0
        for route, value in active.items():
            self._sums[route] = self._sums.get(route, 0.0) + value
            for other, other_value in active.items():
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
                needs[route][called] = min(1.0, max(0.0, part) / _FULL_SHARE)
        self._needs = needs

    def _solve(self, routes: list[str], called: str) -> dict[str, float]:
        """Return how many calls a window each active run makes, by route."""
        all_active = sum(self._sums[route] for route in routes)
        alike = self._call_sums[called] / all_active if all_active else 0.0
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
