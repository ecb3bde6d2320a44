"""The plugin that counts test outcomes for the closing line of ``tests.run``."""

import unittest
from collections import Counter
from types import SimpleNamespace
from unittest import mock

from tests import counting

CASES = [
    ("passed", True, None, "passed"),
    ("passed", False, None, "failed"),
    ("failed", False, "trace", "failed"),
    ("error", False, "trace", "failed"),
    ("subtest", False, None, ""),
    ("subtest", False, "trace", "failed"),
    ("skipped", True, None, "skipped"),
]


class CountingTest(unittest.TestCase):
    """Outcomes of tests as nose2 reports them to the plugin."""

    def test_outcomes_of_tests_and_subtests_are_counted(self) -> None:
        for outcome, expected, exc_info, counted in CASES:
            event = SimpleNamespace(outcome=outcome, expected=expected, exc_info=exc_info)
            counts: Counter[str] = Counter()
            with mock.patch.object(counting, "outcomes", counts):
                counting.CountOutcomes.testOutcome(None, event)  # type: ignore[arg-type]
            expected_counts = {counted: 1} if counted else {}
            self.assertEqual({k: n for k, n in counts.items() if n}, expected_counts, outcome)
