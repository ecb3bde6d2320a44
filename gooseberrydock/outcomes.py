"""What is known about a request once it has been answered or given up."""

import enum


class Outcome(enum.IntEnum):
    """State whether a request took effect."""

    DONE = 1
    NOT_RUN = 2
    UNKNOWN = 3

    @property
    def label(self) -> str:
        """Return the word that callers see in the outcome header."""
        return _LABELS[self]


_LABELS: dict[Outcome, str] = {
    Outcome.DONE: "done",
    Outcome.NOT_RUN: "not-run",
    Outcome.UNKNOWN: "unknown",
}
