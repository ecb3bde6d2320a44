"""Scenarios run on the emulator: what callers get from the product and from its baselines."""

import functools
import unittest
from typing import Final

import attrs

from gooseberrydock.emulated_results import RequestResult, RouteResults
from gooseberrydock.emulated_scenario import (
    SLOW_HOST,
    SURGE,
    EmulatedScenario,
    EmulatedSurge,
    Slowdown,
)
from gooseberrydock.emulator import Mode, create_emulator
from gooseberrydock.emulator_report import results_table

_SHORT_SURGE: Final = attrs.evolve(SURGE, duration_s=10.0, surges=(EmulatedSurge(4.0, 9.0, 2.5),))
_SHORT_SLOW_HOST: Final = attrs.evolve(
    SLOW_HOST, duration_s=9.0, slowdowns=(Slowdown("depots", 1, 4.0, 8.0, 5.0),)
)


@functools.cache
def _run_scenario(
    scenario: EmulatedScenario, mode: Mode = Mode.PRODUCT, seed: int = 1
) -> dict[str, RouteResults]:
    return create_emulator(scenario, mode, seed).run()


class SurgeCases(unittest.TestCase):
    """Load surges to 2.5 times the usual, of which the deepest service can serve about half."""

    def test_bookings_and_routes_without_the_overloaded_service_are_served(self) -> None:
        for seed in (1, 2):
            with self.subTest(seed=seed):
                results_by_route = _run_scenario(_SHORT_SURGE, seed=seed)
                self.assertGreater(results_by_route["booking"].share(RequestResult.IN_TIME), 0.99)
                # Its service has free slots; only another of its routes calls the overloaded one.
                self.assertGreater(results_by_route["history"].share(RequestResult.IN_TIME), 0.97)

    def test_requests_not_served_are_refused_before_any_work(self) -> None:
        results_by_route = _run_scenario(_SHORT_SURGE)
        for route, results in results_by_route.items():
            with self.subTest(route=route):
                self.assertLess(results.share(RequestResult.FAILED), 0.01)

    def test_more_callers_are_served_than_by_the_baselines(self) -> None:
        served_by_mode = {}
        for mode in Mode:
            results_by_route = _run_scenario(_SHORT_SURGE, mode)
            served_by_mode[mode] = sum(
                results.share(RequestResult.IN_TIME) * results.request_count
                for results in results_by_route.values()
            )
        for mode in (Mode.NO_CONTROL, Mode.FIXED_LIMITS):
            self.assertGreater(served_by_mode[Mode.PRODUCT], 1.2 * served_by_mode[mode])


class SlowHostCases(unittest.TestCase):
    """One of the three hosts of the deepest service becomes five times slower."""

    def test_routes_through_the_service_with_a_slow_host_stay_served(self) -> None:
        results_by_route = _run_scenario(_SHORT_SLOW_HOST)
        for route in ("lookup", "booking"):
            self.assertGreater(results_by_route[route].share(RequestResult.IN_TIME), 0.98)


class EmulatorCases(unittest.TestCase):
    """Reproducible runs and complete tables, on which the comparison depends."""

    def test_runs_with_one_seed_are_identical(self) -> None:
        scenario = attrs.evolve(SURGE, duration_s=2.0, warmup_s=0.0, surges=())
        first, second = (create_emulator(scenario, Mode.PRODUCT, 1).run() for _ in range(2))
        self.assertEqual(first, second)
        self.assertGreater(first["lookup"].request_count, 400)

    def test_table_names_each_route_and_mode(self) -> None:
        results = RouteResults()
        table = results_table({Mode.PRODUCT: {"look": results}, Mode.NO_CONTROL: {"look": results}})
        for text in ("gooseberrydock", "no control", "look"):
            self.assertIn(text, table)
