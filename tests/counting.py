"""A nose2 plugin that counts how tests ended."""

from collections import Counter
from typing import Any

from nose2.events import Plugin

outcomes: Counter[str] = Counter()


class CountOutcomes(Plugin):  # type: ignore[misc]
    """Count passed and failed tests, and failed cases within a test."""

    alwaysOn = True  # noqa: N815

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Note the end of one test, or of one case within it."""
        if event.outcome == "subtest":
            outcomes["failed"] += event.exc_info is not None
        elif event.outcome in ("failed", "error") or not event.expected:
            outcomes["failed"] += 1
        else:
            outcomes[event.outcome] += 1
