"""Results of the requests of an emulated run."""

import enum

import attrs

from gooseberrydock.clock import Millis


class RequestResult(enum.Enum):
    """Result of a request as its caller sees it.

    The first two are successes, within and after the target latency of the route. ``REFUSED`` means
    that the request was not run (status 503); ``FAILED`` is any other error.
    """

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@attrs.frozen
class CompletedRequest:
    """Request of a caller with its final answer."""

    route: str
    sent_at: Millis
    took_ms: Millis
    result: RequestResult


@attrs.define
class RouteResults:
    """Results of the requests of one route."""

    completed: list[CompletedRequest] = attrs.field(factory=list)

    @property
    def request_count(self) -> int:
        """Return the number of completed requests."""
        return len(self.completed)

    def share(self, result: RequestResult) -> float:
        """Return the share of the requests with a given result, 0 where there are none."""
        count = sum(1 for item in self.completed if item.result is result)
        return count / len(self.completed) if self.completed else 0.0

    def latency_ms(self, quantile: float) -> Millis:
        """Return a quantile of the latency of the served requests, 0 where none was served."""
        served = (RequestResult.IN_TIME, RequestResult.LATE)
        times = sorted(item.took_ms for item in self.completed if item.result in served)
        return times[min(len(times) - 1, int(len(times) * quantile))] if times else 0.0
