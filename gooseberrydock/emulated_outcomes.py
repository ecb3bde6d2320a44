"""What became of the requests of an emulated day."""

import enum

import attrs

from gooseberrydock.clock import Millis


class Ending(enum.Enum):
    """Say how a request ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@attrs.frozen
class Ended:
    """Hold one request of a caller that has its final answer."""

    route: str
    sent_at: Millis
    took_ms: Millis
    ending: Ending


@attrs.define
class ClassOutcome:
    """Hold what became of the requests of one route."""

    ended: list[Ended] = attrs.field(factory=list)

    @property
    def asked(self) -> int:
        """Return the number of requests."""
        return len(self.ended)

    def share(self, ending: Ending) -> float:
        """Return the share of the requests that ended in one way."""
        count = sum(1 for item in self.ended if item.ending is ending)
        return count / len(self.ended) if self.ended else 0.0

    def latency_ms(self, quantile: float) -> Millis:
        """Return a quantile of the times of the requests that were served, 0 where none was."""
        served = (Ending.IN_TIME, Ending.LATE)
        times = sorted(item.took_ms for item in self.ended if item.ending in served)
        return times[min(len(times) - 1, int(len(times) * quantile))] if times else 0.0
