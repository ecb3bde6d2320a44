"""Short seeded runs of the soak; every seed that ever failed is kept as a case with its cause."""

import unittest

import trio

from tests.soak import SoakOptions, run_soak
from tests.soak_stops import run_stop_soak

_LOAD_DURATION_S = 6.0
_STOPS_DURATION_S = 15.0
STOP_SEEDS = [1, 2]
SEEDS: list[tuple[int, str]] = [
    (1, "first run"),
]


class SoakCases(unittest.TestCase):
    """The guarantees hold under external faults, with real processes."""

    def test_guarantees_hold_for_each_seed(self) -> None:
        for seed, cause in SEEDS:
            with self.subTest(seed=seed, cause=cause):
                self.assertEqual([], trio.run(run_soak, SoakOptions(seed, _LOAD_DURATION_S)))

    def test_nothing_is_lost_by_stops_reloads_and_configurations_in_series(self) -> None:
        for seed in STOP_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual([], trio.run(run_stop_soak, seed, _STOPS_DURATION_S))
