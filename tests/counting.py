"""A nose2 plugin that counts how tests ended."""

from collections import Counter
from typing import Any

from nose2.events import Plugin

outcomes: Counter[str] = Counter()


class CountOutcomes(Plugin):  # type: ignore[misc]
    """Count tests by outcome; an unexpected outcome counts as failed."""

    alwaysOn = True  # noqa: N815

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Note the end of one test."""
        is_failed = event.outcome in ("failed", "error") or not event.expected
        outcomes["failed" if is_failed else event.outcome] += 1
