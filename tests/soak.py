"""Randomized soak test: runs real node processes, injects external faults, checks guarantees.

    python -m tests.soak --seed 1 --seconds 20

The checks use only what callers and servers observe: a response is the complete response to its
own request, a non-idempotent request runs at most once, a response that states that the request
did not run is correct, a leaving server receives nothing after its drain time, a node does not
return to an older configuration, and everything is served again once the faults have ended.
"""

import contextlib
import itertools
import random
import re
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import attrs
import click
import trio

from gooseberrydock.http_messages import HttpRequest, HttpResponse, header_value
from gooseberrydock.http_parsing import ResponseReader
from tests.fault_proxy import LinkFault
from tests.planted_faults import FAULTS
from tests.platform_fleet import (
    FleetNode,
    PlatformFleet,
    make_route_fields,
    running_platform_fleet,
)
from tests.platform_standins import BROKEN_OFF, ENDLESS, LATE_COPY
from tests.soak_crowds import MACHINE, CrowdSoak
from tests.soak_statements import Origin, StatementSoak

_REQUEST_RATE_PER_S: Final = 30.0
_RESPONSE_TIMEOUT_S: Final = 3.0
_DRAIN_TIME_S: Final = 2.0
"""Drain time in the settings that ``tests.platform_fleet`` writes."""
_WATCH_AFTER_DRAIN_S: Final = 2.0
"""How long a server keeps running, and is checked, after its drain time."""
_PROBE_INTERVAL_S: Final = 0.1
_RECOVERY_TIMEOUT_S: Final = 15.0
_RUN_ONCE_PREFIXES: Final = ("/book/", "/upload/")
_CONNECTION_ERRORS: Final = (OSError, trio.BrokenResourceError)
_MAX_HEADER_BYTES: Final = 16_384
_MAX_ANSWER_BYTES: Final = 1_000_000
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
"""Statuses that state to the caller that the request did not run."""
_SERVICE_TIME_RANGE_S: Final = (0.01, 0.4)
"""Range of service times, so that some runs are in progress whenever a fault is injected."""
_PROXIED_PEERS: Final = ("store", "other nodes", "server")
"""Peers on a node's proxied links, in the order in which the fleet creates the proxies."""
_DEFAULT_NODES: Final = 4
_LEAVING_OF_NEW_START_SHARE: Final = 0.5
"""Share of the leavings that come from a start which has not announced itself."""
_FOREIGN_HEARTBEATS: Final[tuple[tuple[str, dict[str, object]], ...]] = (
    ("i-%FF%FE", {}),
    ("i-%0D%0Ax", {}),
    ("i-x", {"zone": None}),
    ("i-x", {"state": "ready"}),
    ("i-x", {"state": "draining"}),
)
"""Heartbeats of another writer: the ID in the path, and what differs from the server's own."""
_MEAN_FAULT_INTERVAL_S: Final = 0.75
"""Mean time between two faults at the default fleet size; larger fleets get more faults."""
_WALL_CLOCK_OFFSET_MS: Final = 5_000.0
"""Offset that the wall clock of a restarted node may have in either direction."""


_CONFIGURATION_TIMEOUT_S: Final = 4.0
"""Time in which the last configuration is to be in force on each node, one after the other."""
_START_CONFIGURATION_TIMEOUT_S: Final = 3.0
"""Time in which a configuration is to be in force on all nodes, which have just started."""
_FIRST_READ_S: Final = 0.5
"""Time after which nodes that listen have read their first configuration."""
_OLD_READ_AGE_S: Final = 20.0
"""Age of old reads while all nodes start; an exact read must bring them a configuration."""
_UPLOAD_SIZE_RANGE: Final = (20_000, 300_000)
_UPLOAD_SHARE: Final = 0.15
_LEAVING_BEFORE_KILL_INTERVAL_S: Final = 4.0
_KILL_AFTER_LEAVING_RANGE_S: Final = (0.0, 0.3)
_PIPELINE_INTERVAL_S: Final = 0.4
_MAX_PIPELINED: Final = 4
_BROKEN_OFF_SHARE: Final = 0.02
"""Share of the other runs whose server breaks its answer off."""
_MISBEHAVING_SHARE: Final = 0.03
"""Share of the runs whose server sends a second, late copy of its answer or bytes without end."""


@attrs.define
class SentRequest:
    """State of one request as its caller observes it; status 0 means that no response arrived."""

    path: str
    sent_at: float
    origin: Origin
    status: int = 0
    body_size: int = 0


@attrs.define(eq=False)
class Soak:
    """Run load and faults against a fleet and collect violations of the guarantees."""

    _fleet: PlatformFleet
    _random: random.Random
    _callers_random: random.Random
    """Decides on uploads, pipelines and misbehaviour apart, so that a seed keeps its faults."""
    _statements_random: random.Random
    """Decides on what servers state, and on restores of the store."""
    _leavings_random: random.Random
    """Decides on servers that leave just before their node is killed, and on answers broken off."""
    _crowds_random: random.Random
    """Decides on clients that stay within no limits."""
    _sent_requests: dict[str, SentRequest] = attrs.field(factory=dict)
    _runs: Counter[str] = attrs.field(factory=Counter)
    _violations: list[str] = attrs.field(factory=list)
    _request_numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    _drained_at: dict[str, float] = attrs.field(factory=dict)
    """Time at which a node accepted the announcement that its server is leaving, by node id."""
    _newest_configuration: int = 0
    _newest_served_by_process: dict[tuple[str, int], int] = attrs.field(factory=dict)
    """Newest configuration that each node process has served, by node id and process id."""
    _timeline: list[str] = attrs.field(factory=list)
    _started_at: float = attrs.field(factory=trio.current_time)
    _statements: StatementSoak = attrs.field(init=False)

    @_statements.default
    def _create_statements(self) -> StatementSoak:
        return StatementSoak(
            self._fleet, self._statements_random, self._record_event, self._violations.append
        )

    async def inject_statements(self, until: float) -> None:
        """Let servers state limits and their leaving, and restore the store."""
        await self._statements.inject(until)

    async def inject_crowds(self, until: float) -> None:
        """Send crowds of clients that stay within no limits."""
        crowds = CrowdSoak(
            self._fleet, self._crowds_random, self._record_event, self._violations.append
        )
        await crowds.inject(until)
        for node in self._fleet.nodes:
            crowds.check_memory(node)

    @property
    def violations(self) -> list[str]:
        """Return the violations found so far."""
        return self._violations

    def summary(self) -> str:
        """Return the number of requests by response status."""
        statuses = Counter(item.status for item in self._sent_requests.values())
        return ", ".join(f"{status}: {count}" for status, count in sorted(statuses.items()))

    def watch_server(self, node: FleetNode) -> None:
        """Record and check each run at a server."""
        server = node.target

        def record_run(request: HttpRequest) -> None:
            server.response_delay_s = self._random.uniform(*_SERVICE_TIME_RANGE_S)
            request_id = header_value(request.headers, b"request-id")
            self._runs[request_id] += 1
            drained_at = self._drained_at.get(node.node_id)
            sent = self._sent_requests.get(request_id)
            if drained_at is not None and trio.current_time() - drained_at > _DRAIN_TIME_S:
                self._violations.append(f"{request_id} ran on {node.node_id} after its drain time")
            if sent is None or sent.path != request.path:
                self._violations.append(f"{request_id} ran as {request.path}, which no caller sent")
            elif sent.body_size != len(request.body):
                self._violations.append(f"{request_id} ran with {len(request.body)} bytes of body")
            else:
                self._statements.on_run(node, sent.origin, sent.sent_at, request_id)

        server.on_run = record_run
        server.misbehaviour = self._choose_misbehaviour

    def _choose_misbehaviour(self, request: HttpRequest) -> str:
        if self._callers_random.random() < _MISBEHAVING_SHARE:
            return self._callers_random.choice((LATE_COPY, ENDLESS))
        return BROKEN_OFF if self._leavings_random.random() < _BROKEN_OFF_SHARE else ""

    async def send_load(self, until: float) -> None:
        """Send requests at a constant mean rate, each from its own task."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                node = self._random.choice(self._fleet.nodes)
                nursery.start_soon(self._send_request, node, self._random.random() < 0.4)
                await trio.sleep(self._random.expovariate(_REQUEST_RATE_PER_S))

    async def _send_request(self, node: FleetNode, is_booking: bool) -> None:
        number = next(self._request_numbers)
        request_id = f"q{number}"
        path = f"/{'book' if is_booking else 'look'}/{number}"
        body = b""
        if is_booking and self._callers_random.random() < _UPLOAD_SHARE:
            path = f"/upload/{number}"
            body = b"u" * self._callers_random.randrange(*_UPLOAD_SIZE_RANGE)
        sent = SentRequest(path, trio.current_time(), _origin(node), body_size=len(body))
        self._sent_requests[request_id] = sent
        response = await self._fleet.send(node, path, request_id, _RESPONSE_TIMEOUT_S, body=body)
        if response is not None:
            self._check_response(request_id, response)

    def _check_response(self, request_id: str, response: HttpResponse) -> None:
        """Record a response and check that it is the whole one to its own request."""
        sent = self._sent_requests[request_id]
        path = sent.path
        self._statements.on_response(sent.origin, response)
        sent.status = response.status
        echoed = header_value(response.headers, b"request-id")
        if echoed != request_id:
            self._violations.append(f"{request_id} received the response to {echoed!r}")
        if response.status == 200 and not response.body.decode().endswith(f" {path}"):
            self._violations.append(f"{request_id} received the body {response.body!r}")

    async def send_pipelines(self, until: float) -> None:
        """Send several lookups on one connection without waiting for their answers."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                nursery.start_soon(
                    self._send_pipeline, self._callers_random.choice(self._fleet.nodes)
                )
                await trio.sleep(_PIPELINE_INTERVAL_S)

    async def _send_pipeline(self, node: FleetNode) -> None:
        request_ids = []
        data = b""
        for _ in range(self._callers_random.randint(2, _MAX_PIPELINED)):
            number = next(self._request_numbers)
            path = f"/look/{number}"
            self._sent_requests[f"q{number}"] = SentRequest(
                path, trio.current_time(), _origin(node)
            )
            request_ids.append(f"q{number}")
            data += (
                f"GET {path} HTTP/1.1\r\nhost: {node.entry.host}\r\nrequest-id: q{number}\r\n"
                "deadline-ms: 2500\r\n\r\n"
            ).encode()
        reader = ResponseReader(_MAX_HEADER_BYTES, _MAX_ANSWER_BYTES)
        answered = 0
        with trio.move_on_after(_RESPONSE_TIMEOUT_S), contextlib.suppress(*_CONNECTION_ERRORS):
            stream = await trio.open_tcp_stream(node.entry.host, node.entry.port)
            async with stream:
                await stream.send_all(data)
                while answered < len(request_ids):
                    received = await stream.receive_some(65_536)
                    if not received:
                        return
                    for response in reader.feed(received):
                        self._check_response(request_ids[answered], response)
                        answered += 1

    async def inject_faults(self, until: float) -> None:
        """Inject faults, several of them concurrently, until the given time."""
        mean_interval_s = _MEAN_FAULT_INTERVAL_S * _DEFAULT_NODES / len(self._fleet.nodes)
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                fault = self._random.choice(
                    (
                        self._inject_link_fault,
                        self._inject_link_fault,
                        self._kill,
                        self._pause,
                        self._stop,
                    )
                    + (self._store_outage, self._drain, self._configure)
                )
                nursery.start_soon(fault)
                await trio.sleep(self._random.uniform(0.4, 1.6) * mean_interval_s)

    def _record_event(self, event: str, place: str = "") -> None:
        """Append an event to the timeline."""
        self._timeline.append(f"{trio.current_time() - self._started_at:8.3f} {event} {place}")

    async def _inject_link_fault(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        number = self._random.randrange(len(node.proxies))
        proxy, fault = node.proxies[number], self._random.choice(list(LinkFault))
        self._record_event(
            f"{fault.value} on the link with the {_PROXIED_PEERS[number]}", node.node_id
        )
        proxy.set_fault(fault)
        await trio.sleep(self._random.uniform(0.3, 2.0))
        proxy.set_fault(LinkFault.NONE)

    async def _kill(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        self._record_event("killed", node.node_id)
        node.kill()
        await trio.sleep(self._random.uniform(0.1, 1.0))
        self._restart(node)

    async def _pause(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        process = node.process
        if process is None or process.poll() is not None:
            return
        self._record_event("paused", node.node_id)
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(self._random.uniform(0.2, 2.5))
        process.send_signal(signal.SIGCONT)

    async def _stop(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        process = node.process
        if process is None or process.poll() is not None:
            return
        self._record_event("stop requested", node.node_id)
        process.send_signal(signal.SIGTERM)
        # One second longer than the grace time in the nodes' settings.
        with trio.move_on_after(7.0):
            while process.poll() is None:
                await trio.sleep(0.05)
        if node.process is process:
            node.kill()
            self._restart(node)

    def _restart(self, node: FleetNode) -> None:
        if node.process is None or node.process.poll() is not None:
            node.wall_clock_offset_ms = (
                self._random.choice((0.0, -1.0, 1.0)) * _WALL_CLOCK_OFFSET_MS
            )
            self._record_event(
                f"started, wall clock offset {node.wall_clock_offset_ms:.0f} ms", node.node_id
            )
            node.start(self._fleet.log)

    async def _store_outage(self) -> None:
        store = self._fleet.store
        store.mode = self._random.choice(("down", "silent"))
        self._record_event(store.mode, "store")
        if self._random.random() < 0.5:
            store.compact()
        if self._random.random() < 0.5 and store.leases:
            store.end_lease(self._random.choice(sorted(store.leases)))
        await trio.sleep(self._random.uniform(0.3, 3.0))
        store.mode = "ok"
        self._record_event("available again", "store")

    async def _drain(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        server = node.target
        if node.node_id in self._drained_at:
            return
        node.sends_heartbeats = False
        server.state = "draining"
        if await server.announce() == 200:
            self._drained_at[node.node_id] = trio.current_time()
            self._record_event("its server is leaving", node.node_id)
            await trio.sleep(_DRAIN_TIME_S + _WATCH_AFTER_DRAIN_S)
            del self._drained_at[node.node_id]
        server.state = "ready"
        server.born += 1
        server.sequence = 0
        node.sends_heartbeats = True

    async def inject_leavings(self, until: float) -> None:
        """Let servers leave just before their nodes are killed."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                await trio.sleep(
                    self._leavings_random.uniform(0.5, 1.5) * _LEAVING_BEFORE_KILL_INTERVAL_S
                )
                nursery.start_soon(self._leave_before_kill)
                nursery.start_soon(self._announce_foreign)

    async def _announce_foreign(self) -> None:
        """Send a node the heartbeat of another writer, which names no server to use."""
        node = self._leavings_random.choice(self._fleet.nodes)
        path_id, changes = self._leavings_random.choice(_FOREIGN_HEARTBEATS)
        status = await node.target.announce_foreign(path_id, changes)
        self._record_event(f"heartbeat of {path_id} {changes}: {status}", node.node_id)

    async def _leave_before_kill(self) -> None:
        """Kill a node after it acknowledged a leaving; an earlier announcement arrives late.

        That may be the first one of a start which leaves before it.
        """
        generator = self._leavings_random
        node = generator.choice(self._fleet.nodes)
        server = node.target
        if node.node_id in self._drained_at or server.state != "ready":
            return
        node.sends_heartbeats = False
        if generator.random() < _LEAVING_OF_NEW_START_SHARE:
            server.born += 1
            server.sequence = 0
        late_sequence = server.sequence + 1
        server.sequence += 1
        left_start = server.born
        if await server.leave() == 200:
            acknowledged_at = self._drained_at[node.node_id] = trio.current_time()
            self._record_event("its server has left", node.node_id)
            await trio.sleep(generator.uniform(*_KILL_AFTER_LEAVING_RANGE_S))
            node.kill()
            await trio.sleep(generator.uniform(0.1, 1.0))
            self._restart(node)
            await trio.sleep(generator.uniform(0.2, 2.0))
            status = await server.announce_late(left_start, late_sequence)
            self._record_event(f"late heartbeat: {status}", node.node_id)
            ends_at = acknowledged_at + _DRAIN_TIME_S + _WATCH_AFTER_DRAIN_S
            await trio.sleep(max(0.0, ends_at - trio.current_time()))
            del self._drained_at[node.node_id]
        server.born += 1
        server.sequence = 0
        node.sends_heartbeats = True

    async def _configure(self) -> None:
        self._newest_configuration += 1
        self._record_event(f"configuration {self._newest_configuration}", "store")
        self._fleet.configure(_routes(self._newest_configuration), ["shop", "web"])

    async def probe_configurations(self, until: float) -> None:
        """Check that no node process serves a configuration after it has served a newer one.

        Each probe requests the route that only the newest or only the previous configuration has.
        """
        while trio.current_time() < until:
            node = self._random.choice(self._fleet.nodes)
            number = max(0, self._newest_configuration - self._random.randrange(2))
            process_key = (node.node_id, node.process.pid if node.process else 0)
            newest_served = self._newest_served_by_process.get(process_key, 0)
            request_id = f"q{next(self._request_numbers)}"
            path = f"/only{number}/{request_id}"
            sent = self._sent_requests[request_id] = SentRequest(
                path, trio.current_time(), _origin(node)
            )
            response = await self._fleet.send(node, path, request_id, _RESPONSE_TIMEOUT_S)
            sent.status = response.status if response is not None else 0
            # A restart during the request leaves open which process served it.
            if (
                sent.status == 200
                and node.process is not None
                and process_key[1] == node.process.pid
            ):
                if number < newest_served:
                    self._violations.append(
                        f"{process_key} served by configuration {number} after {newest_served}"
                    )
                self._newest_served_by_process[process_key] = max(
                    self._newest_served_by_process.get(process_key, 0), number
                )
            await trio.sleep(_PROBE_INTERVAL_S)

    def check_runs(self) -> None:
        """Compare what servers ran with the statuses that callers received."""
        for request_id, sent in self._sent_requests.items():
            runs = self._runs[request_id]
            if sent.path.startswith(_RUN_ONCE_PREFIXES) and runs > 1:
                self._violations.append(f"{request_id} ran {runs} times")
            if (
                sent.path.startswith(_RUN_ONCE_PREFIXES)
                and sent.status in _NOT_RUN_STATUSES
                and runs
            ):
                self._violations.append(f"{request_id} received status {sent.status} but ran")

    async def check_recovery(self) -> None:
        """Check that everything is served again after the faults."""
        for node in self._fleet.nodes:
            for proxy in node.proxies:
                proxy.set_fault(LinkFault.NONE)
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
            self._restart(node)
        self._fleet.store.mode = "ok"
        with trio.move_on_after(_RECOVERY_TIMEOUT_S) as scope:
            # Probes all nodes concurrently: in sequence, a large fleet exceeds the time limit.
            async with trio.open_nursery() as nursery:
                for node in self._fleet.nodes:
                    nursery.start_soon(self._probe_until_served, node)
        if scope.cancelled_caught:
            self._violations.append(
                f"not everything is served {_RECOVERY_TIMEOUT_S} s after the faults ended"
            )

    async def check_store(self) -> None:
        """Check that the next configuration reaches all nodes, which are in the store."""
        await self._configure()
        path = f"/only{self._newest_configuration}/last"
        late = []
        for node in self._fleet.nodes:
            with trio.move_on_after(_CONFIGURATION_TIMEOUT_S) as scope:
                while await self._probe_path(node, path) != 200:
                    await trio.sleep(_PROBE_INTERVAL_S)
            if scope.cancelled_caught:
                late.append(node.node_id)
        if late:
            self._violations.append(f"the last configuration is not in force on {late}")
        try:
            await self._fleet.wait_until_known()
        except trio.TooSlowError:
            self._violations.append("the store does not hold the records of all nodes")

    async def check_start_of_all(self) -> None:
        """Check that a configuration reaches nodes that all started just before."""
        self._fleet.store.old_read_age_s = _OLD_READ_AGE_S
        for node in self._fleet.nodes:
            node.kill()
        for node in self._fleet.nodes:
            self._restart(node)
        with trio.move_on_after(_RECOVERY_TIMEOUT_S) as scope:
            for node in self._fleet.nodes:
                while not await self._fleet.metrics(node):
                    await trio.sleep(0.02)
        if scope.cancelled_caught:
            self._violations.append("not all nodes listen after they started at once")
        await trio.sleep(_FIRST_READ_S)
        await self._configure()
        # A node that just started may know of no host, so that it serves no request yet.
        in_force = re.compile(
            rf"^gooseberrydock_table_version\S* {self._fleet.version}$", re.MULTILINE
        )
        late = {node.node_id for node in self._fleet.nodes}

        async def wait_until_in_force(node: FleetNode) -> None:
            while not in_force.search(await self._fleet.metrics(node)):
                await trio.sleep(_PROBE_INTERVAL_S)
            late.discard(node.node_id)

        with trio.move_on_after(_START_CONFIGURATION_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for node in self._fleet.nodes:
                    nursery.start_soon(wait_until_in_force, node)
        if late:
            self._violations.append(f"a configuration after the start is not in force on {late}")
        self._fleet.store.old_read_age_s = 0.0

    async def _probe_path(self, node: FleetNode, path: str) -> int:
        request_id = f"q{next(self._request_numbers)}"
        self._sent_requests[request_id] = SentRequest(path, trio.current_time(), _origin(node))
        return await self._fleet.status(node, path, request_id)

    async def _probe_until_served(self, node: FleetNode) -> None:
        successes_in_a_row = 0
        while successes_in_a_row < 5:
            successes_in_a_row = successes_in_a_row + 1 if await self._probe(node) else 0

    def write_verdict(self, options: "SoakOptions") -> None:
        """Write options, timeline and verdict, and also the nodes' logs if there are violations."""
        directory = Path("out")
        directory.mkdir(exist_ok=True)
        verdict = [f"violated: {item}" for item in self._violations] or ["all guarantees held"]
        text = "\n".join([str(options), *self._timeline, self.summary(), *verdict])
        (directory / f"soak-{options.seed}.txt").write_text(text + "\n", encoding="utf-8")
        if self._violations:
            log = self._fleet.log.read_bytes()
            (directory / f"soak-{options.seed}.log").write_bytes(log)

    async def _probe(self, node: FleetNode) -> bool:
        number = next(self._request_numbers)
        sent = self._sent_requests[f"q{number}"] = SentRequest(
            f"/look/{number}", trio.current_time(), _origin(node)
        )
        response = await self._fleet.send(node, sent.path, f"q{number}", _RESPONSE_TIMEOUT_S)
        sent.status = response.status if response is not None else 0
        if sent.status != 200:
            await trio.sleep(_PROBE_INTERVAL_S)
        return sent.status == 200


def _origin(node: FleetNode) -> Origin:
    return (node.node_id, node.process.pid if node.process is not None else 0)


def _routes(number: int) -> dict[str, dict[str, object]]:
    """Return the routes of a configuration, one of which no other configuration has."""
    return {
        "look": make_route_fields("shop", "/look/"),
        "book": make_route_fields("shop", "/book/", kind="non_idempotent"),
        "upload": make_route_fields("shop", "/upload/", kind="upload"),
        "only": make_route_fields("shop", f"/only{number}/"),
    }


@attrs.frozen
class SoakOptions:
    """Options of one run; ``fault`` is a name from ``tests.planted_faults`` or empty."""

    seed: int
    seconds: float
    nodes: int = _DEFAULT_NODES
    fault: str = ""

    @property
    def program(self) -> tuple[str, ...]:
        """Return the module that runs as a node, and its arguments."""
        if self.fault:
            return ("tests.planted_faults", self.fault)
        return ("gooseberrydock.platform",)


async def run_soak(options: SoakOptions) -> list[str]:
    """Run the soak once and return the violations."""
    rng = random.Random(options.seed)
    with tempfile.TemporaryDirectory() as name:
        async with running_platform_fleet(Path(name), options.program) as fleet:
            fleet.machine = MACHINE
            for number in range(options.nodes):
                service = "web" if number % _DEFAULT_NODES == _DEFAULT_NODES - 1 else "shop"
                await fleet.add(service, f"z{number % 2}", proxied=True)
            fleet.configure(_routes(0), ["shop", "web"])
            await fleet.wait_until_known()
            soak = Soak(
                fleet,
                rng,
                random.Random(options.seed + 1),
                random.Random(options.seed + 2),
                random.Random(options.seed + 3),
                random.Random(options.seed + 4),
            )
            for node in fleet.nodes:
                soak.watch_server(node)
            until = trio.current_time() + options.seconds
            async with trio.open_nursery() as nursery:
                nursery.start_soon(soak.send_load, until)
                nursery.start_soon(soak.send_pipelines, until)
                nursery.start_soon(soak.inject_faults, until)
                nursery.start_soon(soak.probe_configurations, until)
                nursery.start_soon(soak.inject_statements, until)
                nursery.start_soon(soak.inject_leavings, until)
                nursery.start_soon(soak.inject_crowds, until)
            await soak.check_recovery()
            await soak.check_store()
            await soak.check_start_of_all()
            soak.check_runs()
            print(f"seed {options.seed}: {soak.summary()}", flush=True)
            soak.write_verdict(options)
            return soak.violations


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="First seed.")
@click.option(
    "--runs", type=int, default=1, show_default=True, help="Number of consecutive seeds to run."
)
@click.option("--seconds", type=float, default=20.0, show_default=True, help="Length of a run.")
@click.option(
    "--nodes", type=int, default=_DEFAULT_NODES, show_default=True, help="Number of nodes."
)
@click.option(
    "--plant",
    default="",
    type=click.Choice(["", *FAULTS]),
    help="Planted fault that the nodes run with.",
)
def main(seed: int, runs: int, seconds: float, nodes: int, plant: str) -> None:
    """Run the soak and print the violations of each seed."""
    failed = 0
    for number in range(seed, seed + runs):
        violations = trio.run(run_soak, SoakOptions(number, seconds, nodes, plant))
        failed += bool(violations)
        for violation in violations[:10]:
            print(f"seed {number}: {violation}", flush=True)
    print(f"{runs - failed} seeds without violations, {failed} with violations")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
