"""The runs that need a call are told from those that only run beside them."""

import heapq
import random
import unittest

from gooseberrydock.mesh.call_graph import CallGraph, create_call_graph
from gooseberrydock.mesh.downstream import downstream_capacities


def _play(graph: CallGraph, seconds: float, seed: int) -> None:
    """Play a target that runs two routes at once, of which only one makes calls."""
    rng = random.Random(seed)
    events: list[tuple[float, int, str]] = []
    serial = 0

    def add(at_ms: float, what: str) -> None:
        nonlocal serial
        serial += 1
        heapq.heappush(events, (at_ms, serial, what))

    at_ms = 0.0
    while at_ms < seconds * 1_000.0:
        at_ms += rng.expovariate(90 / 1_000.0)
        lasts = rng.uniform(80.0, 160.0)
        add(at_ms, "start fetch")
        for number in range(4):
            add(at_ms + lasts * (number + 0.5) / 5, "call stock")
        add(at_ms + lasts, "end fetch")
    at_ms = 0.0
    while at_ms < seconds * 1_000.0:
        at_ms += rng.expovariate(30 / 1_000.0)
        add(at_ms, "start history")
        add(at_ms + rng.uniform(120.0, 320.0), "end history")
    while events:
        now_ms, _, what = heapq.heappop(events)
        verb, _, route = what.partition(" ")
        {"start": graph.on_start, "end": graph.on_end, "call": graph.on_call}[verb](now_ms, route)


class PathCases(unittest.TestCase):
    """Answers a path whose end is short of room, and what a wrong belief makes of it."""

    def test_a_route_takes_over_the_least_share_that_it_needs(self) -> None:
        needs = {"fetch": {"stock": 1.0, "mail": 1.0}, "history": {"stock": 0.0}}
        shares = {"stock": 0.5, "mail": 0.9}
        paths = downstream_capacities(needs, shares.__getitem__, lambda route: True)
        self.assertAlmostEqual(0.515, paths["fetch"].share)
        self.assertEqual((False, 1.0), (paths["history"].makes_calls, paths["history"].share))

    def test_callers_requests_are_no_calls(self) -> None:
        paths = downstream_capacities(
            {"look": {"book": 1.0}}, lambda route: 0.1, lambda route: False
        )
        self.assertEqual(1.0, paths["look"].share)

    def test_a_circle_of_beliefs_does_not_keep_a_low_share(self) -> None:
        """Two nodes that each take the other's route for a call of theirs."""
        shares = {"a": 0.07, "b": 0.07}
        needs = {"a": {"b": 1.0, "a": 1.0}, "b": {"a": 1.0}}
        for _ in range(200):
            paths = downstream_capacities(needs, shares.__getitem__, lambda route: True)
            shares = {route: path.share for route, path in paths.items()}
        self.assertGreater(min(shares.values()), 0.95)


class CallGraphCases(unittest.TestCase):
    """Answers the load of a service that runs requests with and without calls below."""

    def test_only_the_caller_needs_the_call(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                graph = create_call_graph()
                _play(graph, 8.0, seed)
                self.assertGreater(graph.needs["fetch"]["stock"], 0.9)
                self.assertLess(graph.needs["history"]["stock"], 0.5)

    def test_a_single_route_needs_all_calls_at_once(self) -> None:
        graph = create_call_graph()
        for step in range(40):
            graph.on_start(step * 30.0, "look")
            graph.on_call(step * 30.0 + 5.0, "below")
            graph.on_end(step * 30.0 + 20.0, "look")
        self.assertGreater(graph.needs["look"]["below"], 0.9)
