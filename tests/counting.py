"""A nose2 plugin that counts test outcomes."""

from collections import Counter
from typing import Any

from nose2.events import Plugin

outcomes: Counter[str] = Counter()


class CountOutcomes(Plugin):  # type: ignore[misc]
    """Count the tests by outcome; each failed subtest counts as a failure."""

    alwaysOn = True  # noqa: N815

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Count the outcome of one test, or of one subtest within it."""
        if event.outcome == "subtest":
            outcomes["failed"] += event.exc_info is not None
        elif event.outcome in ("failed", "error") or not event.expected:
            outcomes["failed"] += 1
        else:
            outcomes[event.outcome] += 1
