"""Short seeded runs of the soak; every seed that ever failed is kept as a case with its cause."""

import unittest

import trio

from tests.soak import SoakOptions, run_soak

_LOAD_DURATION_S = 6.0
SEEDS: list[tuple[int, str]] = [
    (1, "first run"),
]


class SoakCases(unittest.TestCase):
    """The guarantees hold under external faults, with real processes."""

    def test_guarantees_hold_for_each_seed(self) -> None:
        for seed, cause in SEEDS:
            with self.subTest(seed=seed, cause=cause):
                self.assertEqual([], trio.run(run_soak, SoakOptions(seed, _LOAD_DURATION_S)))
