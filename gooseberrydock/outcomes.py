"""Outcomes of requests that were answered or given up."""

import enum


class Outcome(enum.IntEnum):
    """Whether a request took effect, as far as it is known."""

    DONE = 1
    NOT_RUN = 2
    UNKNOWN = 3

    @property
    def label(self) -> str:
        """Return the value of the outcome header in responses to callers."""
        return _LABELS[self]


_LABELS: dict[Outcome, str] = {
    Outcome.DONE: "done",
    Outcome.NOT_RUN: "not-run",
    Outcome.UNKNOWN: "unknown",
}
