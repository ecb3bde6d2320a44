"""Open-loop load: callers arrive whether or not earlier ones were answered.

Each request has an idempotency key. Its caller retries it after a refusal, a failure, or its own
response timeout, up to a number of times: with a new key after the outcome "not run", since a new
request is safe then, and with the same key otherwise. A result covers a request with all its
attempts. All randomness derives from one seed.
"""

import random
import threading
from collections import Counter
from typing import Final

import attrs
import trio

from gooseberrydock import keys
from gooseberrydock.clock import MS_PER_SECOND, Millis, system_clock
from gooseberrydock.configuration import ServiceClass
from gooseberrydock.errorcodes import TARGET_UNREACHABLE
from gooseberrydock.http_client import ClientPool, fetch, fetch_result
from gooseberrydock.http_messages import (
    ATTEMPT_HEADER,
    CALLER_HEADER,
    CLASS_HEADER,
    CODE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
    Headers,
    HttpRequest,
    HttpResponse,
    header_value,
)
from gooseberrydock.members import Address
from gooseberrydock.outcomes import Outcome

_SECONDS_PER_MINUTE: Final = 60.0
_NO_ANSWER: Final = "no-answer"
"""Outcome that is recorded for an attempt without a response."""
_ANY_SERVICE: Final = ""
"""Key of the connection pools for services that have no entries of their own."""
_MAX_IN_FLIGHT: Final = 4_000
"""Requests in flight at which further arrivals are dropped."""


@attrs.frozen
class Surge:
    """Interval in which the arrival rate is multiplied by a factor."""

    start_s: float
    duration_s: float
    factor: float

    def covers(self, elapsed_s: float) -> bool:
        """Return whether a time lies within the surge."""
        return self.start_s <= elapsed_s < self.start_s + self.duration_s


@attrs.frozen
class LoadPlan:
    """Load to send.

    ``scale`` multiplies the expected rates of the sheet. Requests arrive for ``duration_s``, each
    from one of ``callers`` callers, which retries it at most ``retries`` times after pauses of
    ``retry_pause_ms`` on average.
    """

    classes: tuple[ServiceClass, ...]
    entries: tuple[Address, ...]
    duration_s: float
    scale: float
    surges: tuple[Surge, ...]
    retries: int
    response_timeout_ms: Millis
    retry_pause_ms: Millis
    callers: int
    seed: int
    uses_entry_failover: bool = False
    """Whether callers try other entries where one accepts no connection."""
    entries_by_service: dict[str, tuple[Address, ...]] = attrs.field(factory=dict)
    """Baselines only: without nodes that route, callers need the entries of each service."""

    def rate_at(self, elapsed_s: float) -> float:
        """Return the mean number of arrivals per second at a time."""
        base = sum(item.expected_per_minute for item in self.classes) / _SECONDS_PER_MINUTE
        factor = 1.0
        for surge in self.surges:
            if surge.covers(elapsed_s):
                factor *= surge.factor
        return base * self.scale * factor


@attrs.frozen
class RequestRecord:
    """Result of one request with all its attempts; times are seconds since the start of the run.

    ``outcome`` and ``code`` are those of the last attempt.
    """

    class_name: str
    arrived_s: float
    ended_s: float
    is_success: bool
    outcome: str
    code: str
    attempts: int


@attrs.frozen
class AttemptResult:
    """Result of one attempt; status 0 means that no response was received."""

    status: int
    outcome: str
    code: str

    @property
    def is_success(self) -> bool:
        """Return whether the attempt succeeded."""
        return 200 <= self.status < 300


_UNANSWERED: Final = AttemptResult(0, _NO_ANSWER, "")


@attrs.define(eq=False)
class LoadGenerator:
    """Sender of requests and their retries that records the results."""

    _plan: LoadPlan
    _nursery: trio.Nursery
    _random: random.Random
    _pools: dict[str, list[ClientPool]]
    _started_at: float
    _records: list[RequestRecord] = attrs.field(factory=list)
    _in_flight: int = 0
    _not_sent: int = 0
    _stop: threading.Event | None = None

    @property
    def records(self) -> list[RequestRecord]:
        """Return the records of all completed requests."""
        return self._records

    @property
    def not_sent(self) -> int:
        """Return the number of arrivals dropped because too many requests were in flight."""
        return self._not_sent

    async def run(self) -> None:
        """Generate arrivals until the end of the plan, and wait for the last requests."""
        arrival_s = 0.0
        async with trio.open_nursery() as requests:
            while True:
                arrival_s += self._random.expovariate(self._plan.rate_at(arrival_s))
                if arrival_s >= self._plan.duration_s or self._is_stopped():
                    break
                await trio.sleep_until(self._started_at + arrival_s)
                if self._in_flight >= _MAX_IN_FLIGHT:
                    self._not_sent += 1
                    continue
                requests.start_soon(self._send_with_retries, self._choose_class(), arrival_s)

    def _is_stopped(self) -> bool:
        return self._stop is not None and self._stop.is_set()

    def _choose_class(self) -> ServiceClass:
        weights = [item.expected_per_minute for item in self._plan.classes]
        return self._random.choices(self._plan.classes, weights)[0]

    async def _send_with_retries(self, service_class: ServiceClass, arrived_s: float) -> None:
        """Send one request until it succeeds or the caller's retries are used up."""
        self._in_flight += 1
        key = self._create_key()
        caller = f"caller-{self._random.randrange(self._plan.callers)}"
        attempts, attempts_with_key = 0, 0
        result = _UNANSWERED
        while attempts <= self._plan.retries:
            attempts += 1
            attempts_with_key += 1
            headers: Headers = [
                (CLASS_HEADER, service_class.name.encode()),
                (IDEMPOTENCY_KEY_HEADER, key.encode()),
                (ATTEMPT_HEADER, str(attempts_with_key).encode()),
                (CALLER_HEADER, caller.encode()),
            ]
            result = await self._send_attempt(service_class, headers)
            if result.is_success:
                break
            if result.outcome == Outcome.NOT_RUN.label:
                key, attempts_with_key = self._create_key(), 0
            pause_ms = self._plan.retry_pause_ms * self._random.uniform(0.5, 1.5)
            await trio.sleep(pause_ms / MS_PER_SECOND)
        self._in_flight -= 1
        ended_s = trio.current_time() - self._started_at
        record = RequestRecord(
            class_name=service_class.name,
            arrived_s=arrived_s,
            ended_s=ended_s,
            is_success=result.is_success,
            outcome=result.outcome,
            code=result.code,
            attempts=attempts,
        )
        self._records.append(record)

    async def _fetch(self, pools: list[ClientPool], request: HttpRequest) -> HttpResponse | None:
        """Send to a random entry; with failover, try others while none accepts a connection."""
        timeout_s = self._plan.response_timeout_ms / MS_PER_SECOND
        shuffled_pools = self._random.sample(pools, len(pools))
        if not self._plan.uses_entry_failover:
            return await fetch(shuffled_pools[0], request, timeout_s)
        for pool in shuffled_pools:
            result = await fetch_result(pool, request, timeout_s)
            if result is not TARGET_UNREACHABLE:
                return result if isinstance(result, HttpResponse) else None
        return None

    def _create_key(self) -> str:
        return keys.create_key(system_clock().wall_ms(), self._random)

    async def _send_attempt(self, service_class: ServiceClass, headers: Headers) -> AttemptResult:
        """Send one attempt through a random entry, of the class's service if the plan has any."""
        entry = service_class.entry
        body = header_value(headers, IDEMPOTENCY_KEY_HEADER).encode()
        request = HttpRequest("POST", f"/{entry.service}/{entry.operation}", headers, body)
        pools = self._pools.get(entry.service) or self._pools[_ANY_SERVICE]
        response = await self._fetch(pools, request)
        if response is None:
            return _UNANSWERED
        outcome = header_value(response.headers, OUTCOME_HEADER)
        return AttemptResult(response.status, outcome, header_value(response.headers, CODE_HEADER))


@attrs.frozen
class LoadResult:
    """Result of one run of the load tool."""

    records: tuple[RequestRecord, ...]
    not_sent: int


async def run_load(plan: LoadPlan, stop: threading.Event | None = None) -> LoadResult:
    """Send the load of a plan; ``stop`` ends the arrivals early."""
    async with trio.open_nursery() as nursery:
        generator = LoadGenerator(
            plan,
            nursery,
            random.Random(plan.seed),
            _create_pools(plan, nursery),
            trio.current_time(),
            stop=stop,
        )
        await generator.run()
        nursery.cancel_scope.cancel()
    return LoadResult(tuple(generator.records), generator.not_sent)


def _create_pools(plan: LoadPlan, nursery: trio.Nursery) -> dict[str, list[ClientPool]]:
    addresses = {_ANY_SERVICE: plan.entries, **plan.entries_by_service}
    return {
        service: [ClientPool(entry, nursery) for entry in entries]
        for service, entries in addresses.items()
    }


def count_failures(records: tuple[RequestRecord, ...]) -> Counter[tuple[str, str, str]]:
    """Count failed requests by class, outcome and code."""
    return Counter(
        (record.class_name, record.outcome, record.code)
        for record in records
        if not record.is_success
    )
