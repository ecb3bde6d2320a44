"""Stand-in for a target, for tests, demos and measurements.

Each request occupies a slot while it is processed, which includes the declared calls that the
target makes through its node. Fault switches slow the target down, leave requests without a
response, report good health although requests get no response, or delay the load report. A marker
in the body of a request makes the target crash.
"""

import json
import os
import random
import signal
from collections import Counter
from functools import partial
from typing import Final

import attrs
import trio

from gooseberrydock.clock import MS_PER_SECOND, Millis
from gooseberrydock.events import STANDIN_STARTED
from gooseberrydock.http_client import ClientPool, fetch
from gooseberrydock.http_messages import (
    CODE_HEADER,
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
    Headers,
    HttpRequest,
    HttpResponse,
    header_value,
    json_response,
)
from gooseberrydock.http_server import HttpConnection, serve_http
from gooseberrydock.logs import log
from gooseberrydock.members import Address, parse_address
from gooseberrydock.outcomes import Outcome
from gooseberrydock.stream import Listener, Stream, listen
from gooseberrydock.target_client import ANNOUNCE_PATH, LEAVE_PATH

FAULT_PATH: Final = "/_fault"
RUN_COUNTS_PATH: Final = "/_ledger"
"""Path of the number of runs, in total, by operation and by idempotency key."""
HEALTH_PATH: Final = "/_health"
LOAD_PATH: Final = "/_load"
CRASH_MARKER: Final = b"crash-the-target"
"""Text in the body of a request that makes the target exit at once."""
_CRASH_EXIT_STATUS: Final = 3
_ANNOUNCE_PERIOD_S: Final = 1.0
_DRAIN_CHECK_S: Final = 0.05
_LEAVE_TIMEOUT_S: Final = 45.0
"""A node answers once it sends no more work, after at most 37.5 s with the default timeouts."""
_COLD_FACTOR: Final = 3.0
"""Factor on the processing times of a target that has just started."""
_DIRECT_TIMEOUT_S: Final = 2.0
"""Response timeout of each attempt of a direct call in a baseline."""
_DEFAULT_DEADLINE_MS: Final[Millis] = 5_000.0
"""Time limit of the calls of a request without a deadline header."""


@attrs.frozen
class DeclaredCall:
    """Call to another service's operation that each run of an operation makes."""

    operation: str
    callee: str


def parse_declared_call(text: str) -> DeclaredCall:
    """Parse ``operation=service/operation``; raises ValueError for any other text."""
    operation, separator, callee = text.partition("=")
    if not separator or not operation or callee.count("/") != 1:
        raise ValueError(f"{text!r} is not operation=service/operation")
    return DeclaredCall(operation, callee)


@attrs.frozen
class TargetOptions:
    """Settings of one stand-in target.

    ``service_ms`` is the mean processing time of a request without its calls, and ``queue`` the
    number of requests that may wait for a slot. ``direct`` and ``hop_retries`` are for baselines.
    """

    service: str
    listen: Address
    node_local: Address
    slots: int
    service_ms: Millis
    calls: tuple["DeclaredCall", ...]
    cold_ms: Millis
    queue: int
    seed: int
    direct: tuple["DirectService", ...] = ()
    hop_retries: int = 0


@attrs.frozen
class DirectService:
    """Addresses of a service's targets, for baselines that run without nodes."""

    name: str
    addresses: tuple[Address, ...]


def parse_direct_service(text: str) -> DirectService:
    """Parse ``service=ip:port,ip:port``; raises ValueError for any other text."""
    name, separator, addresses = text.partition("=")
    if not separator or not name:
        raise ValueError(f"{text!r} is not service=ip:port,ip:port")
    return DirectService(name, tuple(parse_address(part) for part in addresses.split(",")))


@attrs.define
class TargetFaults:
    """Fault switches of the target.

    ``slow_factor`` multiplies its processing times; ``is_silent`` leaves requests without a
    response; ``health_lies`` reports good health also while ``is_silent`` is set; ``load_lag_ms``
    delays the load report.
    """

    slow_factor: float = 1.0
    is_silent: bool = False
    health_lies: bool = False
    load_lag_ms: Millis = 0.0


@attrs.define(eq=False)
class StandinTarget:
    """HTTP server that processes requests in a limited number of slots."""

    _options: TargetOptions
    _nursery: trio.Nursery
    _node: ClientPool
    _random: random.Random
    _started_at: float
    faults: TargetFaults = attrs.field(factory=TargetFaults)
    _running: int = 0
    _waiting: int = 0
    _slot_released: trio.Event = attrs.field(factory=trio.Event)
    _cancel_scopes: dict[int, trio.CancelScope] = attrs.field(factory=dict)
    _runs_by_key: Counter[str] = attrs.field(factory=Counter)
    _runs_by_operation: Counter[str] = attrs.field(factory=Counter)
    _direct_pools: dict[str, list[ClientPool]] = attrs.field(factory=dict)
    _runs: int = 0
    _reported_load: int = 0

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are processed or wait for a slot."""
        return self._running + self._waiting

    def use_direct_services(self, services: tuple[DirectService, ...]) -> None:
        """Send calls to these services directly instead of through the node."""
        for service in services:
            self._direct_pools[service.name] = [
                ClientPool(address, self._nursery) for address in service.addresses
            ]

    async def serve(self, stream: Stream) -> None:
        """Serve one connection, of the node or of a caller in a baseline, until it ends."""
        await serve_http(stream, self._on_request, self._on_disconnect)

    def _on_request(self, connection: HttpConnection, request: HttpRequest) -> None:
        control_response = self._control_response(request)
        if control_response is not None:
            connection.respond(control_response)
            return
        if self.faults.is_silent:
            return
        self._nursery.start_soon(self._handle, connection, request)

    def _on_disconnect(self, connection: HttpConnection) -> None:
        """Cancel the request in progress on a connection that its peer closed."""
        scope = self._cancel_scopes.pop(connection.connection_id, None)
        if scope is not None:
            scope.cancel()

    def _control_response(self, request: HttpRequest) -> HttpResponse | None:
        if request.path == FAULT_PATH:
            self._set_faults(request.body)
            return json_response(200, attrs.asdict(self.faults))
        if request.path == RUN_COUNTS_PATH:
            return json_response(200, self._run_counts())
        if request.path == HEALTH_PATH:
            is_healthy = self.faults.health_lies or not self.faults.is_silent
            return json_response(200 if is_healthy else 503, {"healthy": is_healthy})
        if request.path == LOAD_PATH:
            return json_response(200, {"in_flight": self._reported_load})
        return None

    def _run_counts(self) -> dict[str, object]:
        by_operation = dict(self._runs_by_operation)
        return {"runs": self._runs, "by_operation": by_operation, "by_key": dict(self._runs_by_key)}

    def _set_faults(self, body: bytes) -> None:
        fields = json.loads(body or b"{}")
        self.faults = TargetFaults(
            slow_factor=float(fields.get("slow_factor", 1.0)),
            is_silent=bool(fields.get("is_silent", False)),
            health_lies=bool(fields.get("health_lies", False)),
            load_lag_ms=float(fields.get("load_lag_ms", 0.0)),
        )

    async def _handle(self, connection: HttpConnection, request: HttpRequest) -> None:
        if CRASH_MARKER in request.body:
            os._exit(_CRASH_EXIT_STATUS)
        with trio.CancelScope() as scope:
            self._cancel_scopes[connection.connection_id] = scope
            response = await self._process(request)
            self._cancel_scopes.pop(connection.connection_id, None)
            connection.respond(response)

    async def _process(self, request: HttpRequest) -> HttpResponse:
        """Wait for a slot, process the request, make the declared calls and return the response."""
        if self._running >= self._options.slots and self._waiting >= self._options.queue:
            headers = [(OUTCOME_HEADER, Outcome.NOT_RUN.label.encode())]
            return HttpResponse(503, headers, b"no slot")
        await self._acquire_slot()
        try:
            self._runs += 1
            self._runs_by_key[header_value(request.headers, IDEMPOTENCY_KEY_HEADER)] += 1
            self._runs_by_operation[self._operation_of(request)] += 1
            await trio.sleep(self._processing_time_ms() / MS_PER_SECOND)
            return await self._make_calls(request)
        finally:
            self._release_slot()

    async def _acquire_slot(self) -> None:
        self._waiting += 1
        try:
            while self._running >= self._options.slots:
                await self._slot_released.wait()
        finally:
            self._waiting -= 1
        self._running += 1

    def _release_slot(self) -> None:
        self._running -= 1
        self._slot_released.set()
        self._slot_released = trio.Event()

    def _processing_time_ms(self) -> Millis:
        age_ms = (trio.current_time() - self._started_at) * MS_PER_SECOND
        factor = self.faults.slow_factor
        if age_ms < self._options.cold_ms:
            factor *= _COLD_FACTOR
        return self._options.service_ms * factor * self._random.uniform(0.7, 1.3)

    async def _make_calls(self, request: HttpRequest) -> HttpResponse:
        """Make the declared calls of the operation in turn, and return the first failure if any."""
        deadline = header_value(request.headers, DEADLINE_HEADER)
        timeout_s = float(deadline or _DEFAULT_DEADLINE_MS) / MS_PER_SECOND + 1.0
        context = header_value(request.headers, CONTEXT_HEADER).encode()
        operation = self._operation_of(request)
        for call in self._options.calls:
            if call.operation != operation:
                continue
            path = f"/{call.callee}"
            nested_request = HttpRequest("POST", path, [(CONTEXT_HEADER, context)], request.body)
            answer = await self._call(call, nested_request, timeout_s)
            if answer is None:
                return HttpResponse(504, _unknown_outcome_headers(), b"no answer")
            if answer.status >= 400:
                return _forward_failure(answer)
        body = self._options.service.encode() + b":" + request.body
        return HttpResponse(200, [(b"content-type", b"application/octet-stream")], body)

    async def _call(
        self, call: DeclaredCall, request: HttpRequest, timeout_s: float
    ) -> HttpResponse | None:
        """Call through the node, or in a baseline directly and with retries."""
        pools = self._direct_pools.get(call.callee.split("/")[0])
        if pools is None:
            return await fetch(self._node, request, timeout_s)
        answer = None
        for _ in range(1 + self._options.hop_retries):
            answer = await fetch(self._random.choice(pools), request, _DIRECT_TIMEOUT_S)
            if answer is not None and answer.status < 500:
                break
        return answer

    def _operation_of(self, request: HttpRequest) -> str:
        """Return the operation; in a baseline, the path of a request has the service before it."""
        parts = request.path.split("?", 1)[0].split("/")
        if len(parts) > 2 and parts[1] == self._options.service:
            return parts[2]
        return parts[1]

    async def announce(self) -> None:
        """Announce this target to its node periodically."""
        while True:
            age_ms = (trio.current_time() - self._started_at) * MS_PER_SECOND
            fields = {
                "service": self._options.service,
                "address": str(self._options.listen),
                "slots": self._options.slots,
                "cold": age_ms < self._options.cold_ms,
            }
            request = HttpRequest("POST", ANNOUNCE_PATH, [], json.dumps(fields).encode())
            await fetch(self._node, request, _ANNOUNCE_PERIOD_S)
            await trio.sleep(_ANNOUNCE_PERIOD_S)

    async def report_load(self) -> None:
        """Report the load at ``LOAD_PATH`` with the delay of the fault switch, at least 0.1 s."""
        while True:
            load = self.in_flight
            await trio.sleep(max(0.1, self.faults.load_lag_ms / MS_PER_SECOND))
            self._reported_load = load

    async def drain_on_signal(self) -> None:
        """On SIGTERM or SIGINT, stop the node, wait until no request is in flight, and stop."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                leave = HttpRequest("POST", LEAVE_PATH, [], b"")
                await fetch(self._node, leave, _LEAVE_TIMEOUT_S)
                while self.in_flight:
                    await trio.sleep(_DRAIN_CHECK_S)
                self._nursery.cancel_scope.cancel()


def _unknown_outcome_headers() -> Headers:
    return [(OUTCOME_HEADER, Outcome.UNKNOWN.label.encode())]


def _forward_failure(answer: HttpResponse) -> HttpResponse:
    """Return the failure of a nested call with its outcome and code."""
    forwarded_headers = [
        header for header in answer.headers if header[0] in (OUTCOME_HEADER, CODE_HEADER)
    ]
    return HttpResponse(answer.status, forwarded_headers, answer.body)


async def run_target(options: TargetOptions) -> None:
    """Run the stand-in until a signal stops it."""
    async with trio.open_nursery() as nursery:
        listener: Listener = listen(options.listen)
        bound = attrs.evolve(options, listen=listener.address)
        target = StandinTarget(
            bound,
            nursery,
            ClientPool(options.node_local, nursery),
            random.Random(options.seed),
            trio.current_time(),
        )
        target.use_direct_services(options.direct)
        log(STANDIN_STARTED, kind="target", service=options.service, address=str(bound.listen))
        if not options.direct:
            nursery.start_soon(target.announce)
        nursery.start_soon(target.report_load)
        nursery.start_soon(target.drain_on_signal)
        nursery.start_soon(partial(listener.serve, target.serve))
