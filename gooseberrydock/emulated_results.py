"""What became of the requests of an emulated day."""

import enum

import attrs

from gooseberrydock.clock import Millis


class RequestResult(enum.Enum):
    """Say how a request ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@attrs.frozen
class CompletedRequest:
    """Hold one request of a caller that has its final answer."""

    route: str
    sent_at: Millis
    took_ms: Millis
    result: RequestResult


@attrs.define
class RouteResults:
    """Hold what became of the requests of one route."""

    completed: list[CompletedRequest] = attrs.field(factory=list)

    @property
    def request_count(self) -> int:
        """Return the number of requests."""
        return len(self.completed)

    def share(self, result: RequestResult) -> float:
        """Return the share of the requests that ended in one way."""
        count = sum(1 for item in self.completed if item.result is result)
        return count / len(self.completed) if self.completed else 0.0

    def latency_ms(self, quantile: float) -> Millis:
        """Return a quantile of the times of the requests that were served, 0 where none was."""
        served = (RequestResult.IN_TIME, RequestResult.LATE)
        times = sorted(item.took_ms for item in self.completed if item.result in served)
        return times[min(len(times) - 1, int(len(times) * quantile))] if times else 0.0
