"""Test that runs that need a call are distinguished from runs that are merely concurrent."""

import heapq
import random
import unittest

from gooseberrydock.mesh.call_graph import CallGraph, create_call_graph
from gooseberrydock.mesh.downstream import downstream_capacities


def _simulate_target(graph: CallGraph, seconds: float, seed: int) -> None:
    """Simulate a target that runs two routes at once, of which only one makes calls."""
    rng = random.Random(seed)
    events: list[tuple[float, int, str]] = []
    event_number = 0

    def add(at_ms: float, event: str) -> None:
        nonlocal event_number
        event_number += 1
        heapq.heappush(events, (at_ms, event_number, event))

    at_ms = 0.0
    while at_ms < seconds * 1_000.0:
        at_ms += rng.expovariate(90 / 1_000.0)
        duration_ms = rng.uniform(80.0, 160.0)
        add(at_ms, "start fetch")
        for number in range(4):
            add(at_ms + duration_ms * (number + 0.5) / 5, "call stock")
        add(at_ms + duration_ms, "end fetch")
    at_ms = 0.0
    while at_ms < seconds * 1_000.0:
        at_ms += rng.expovariate(30 / 1_000.0)
        add(at_ms, "start history")
        add(at_ms + rng.uniform(120.0, 320.0), "end history")
    while events:
        now_ms, _, event = heapq.heappop(events)
        kind, _, route = event.partition(" ")
        {"start": graph.on_start, "end": graph.on_end, "call": graph.on_call}[kind](now_ms, route)


class DownstreamCapacityCases(unittest.TestCase):
    """Overload at the end of a call path, and a wrong estimate of the call graph."""

    def test_share_is_limited_by_the_lowest_share_of_the_needed_calls(self) -> None:
        needs = {"fetch": {"stock": 1.0, "mail": 1.0}, "history": {"stock": 0.0}}
        shares = {"stock": 0.5, "mail": 0.9}
        capacities = downstream_capacities(needs, shares.__getitem__, lambda route: True)
        self.assertAlmostEqual(0.515, capacities["fetch"].share)
        self.assertEqual(
            (False, 1.0), (capacities["history"].makes_calls, capacities["history"].share)
        )

    def test_share_of_a_route_that_is_not_nested_is_ignored(self) -> None:
        capacities = downstream_capacities(
            {"look": {"book": 1.0}}, lambda route: 0.1, lambda route: False
        )
        self.assertEqual(1.0, capacities["look"].share)

    def test_cycle_in_the_call_graph_does_not_sustain_a_low_share(self) -> None:
        """Two nodes each classify the other's route as a call of their own target."""
        shares = {"a": 0.07, "b": 0.07}
        needs = {"a": {"b": 1.0, "a": 1.0}, "b": {"a": 1.0}}
        for _ in range(200):
            capacities = downstream_capacities(needs, shares.__getitem__, lambda route: True)
            shares = {route: capacity.share for route, capacity in capacities.items()}
        self.assertGreater(min(shares.values()), 0.95)


class CallGraphCases(unittest.TestCase):
    """Load of a service that runs requests with and without calls to other services."""

    def test_only_the_caller_needs_the_call(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                graph = create_call_graph()
                _simulate_target(graph, 8.0, seed)
                self.assertGreater(graph.needs["fetch"]["stock"], 0.9)
                self.assertLess(graph.needs["history"]["stock"], 0.5)

    def test_single_route_soon_needs_all_calls(self) -> None:
        graph = create_call_graph()
        for step in range(40):
            graph.on_start(step * 30.0, "look")
            graph.on_call(step * 30.0 + 5.0, "below")
            graph.on_end(step * 30.0 + 20.0, "look")
        self.assertGreater(graph.needs["look"]["below"], 0.9)
