"""Soak of planned work: stops, reloads and configurations in overlapping series, and nothing else.

    python -m tests.soak_stops --seed 1 --runs 3 --seconds 15

Callers keep using open connections until a process is gone, and servers make calls of their own.
Without other faults, every request that a server works on has to be answered by that server: no run
lasts as long as the grace time, and no caller's time limit ends before it.
"""

import contextlib
import itertools
import random
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
from tests.platform_fleet import (
    FleetNode,
    PlatformFleet,
    make_route_fields,
    running_platform_fleet,
)

_GRACE_S: Final = 6.0
"""Grace time in the settings that ``tests.platform_fleet`` writes."""
_RESTART_DELAY_S: Final = 0.8
_DEADLINE_MS: Final = 6_000
_ANSWER_TIMEOUT_S: Final = 9.0
_OWN_WORK_RANGE_S: Final = (0.02, 1.8)
_CALL_WORK_RANGE_S: Final = (0.02, 2.2)
_CALLERS_PER_NODE: Final = 3
_MAX_PAUSE_S: Final = 0.3
_MAX_OVERLAPPING_SERIES: Final = 2
_CONFIGURATION_INTERVAL_S: Final = 2.0
_FIRST_RELOAD_S: Final = 0.15
"""Time after which a started interpreter runs the node's code."""
_CONNECTION_ERRORS: Final = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


@attrs.define
class SentRequest:
    """One request as its caller observes it; status 0 means that no complete answer arrived."""

    path: str
    node_id: str
    sent_at: float
    status: int = 0
    is_server_answer: bool = False
    ended_at: float = 0.0


@attrs.define(eq=False)
class StopSoak:
    """Run callers and series of planned work, and collect requests that were lost."""

    _fleet: PlatformFleet
    _random: random.Random
    _requests: dict[str, SentRequest] = attrs.field(factory=dict)
    _runs: Counter[str] = attrs.field(factory=Counter)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)
    _busy_nodes: set[str] = attrs.field(factory=set)
    _violations: list[str] = attrs.field(factory=list)
    _started_at: float = attrs.field(factory=trio.current_time)
    _timeline: list[str] = attrs.field(factory=list)

    @property
    def timeline(self) -> list[str]:
        """Return the signals and starts so far."""
        return self._timeline

    def summary(self) -> str:
        """Return the number of requests by status."""
        statuses = Counter(item.status for item in self._requests.values())
        return ", ".join(f"{status}: {count}" for status, count in sorted(statuses.items()))

    def watch_server(self, node: FleetNode) -> None:
        """Count the runs of a server, draw their times, and let those of ``front`` make calls."""
        server = node.target
        times = _OWN_WORK_RANGE_S if server.service == "front" else _CALL_WORK_RANGE_S

        def record_run(request: HttpRequest) -> None:
            server.response_delay_s = self._random.uniform(*times)
            self._runs[header_value(request.headers, b"request-id")] += 1

        async def make_call(request: HttpRequest) -> None:
            await self._send_on_new_connection(node, "/plan/")

        server.on_run = record_run
        if server.service == "front":
            server.make_call = make_call

    async def run_caller(self, node: FleetNode, until: float) -> None:
        """Send one request after the other on an open connection until it is closed."""
        while trio.current_time() < until:
            with contextlib.suppress(*_CONNECTION_ERRORS):
                async with await trio.open_tcp_stream(
                    node.entry.host, node.entry.port
                ) as connection:
                    reader = ResponseReader(16_384, 1_000_000)
                    while trio.current_time() < until:
                        prefix = self._random.choice(("/look/", "/book/", "/plan/"))
                        if not await self._send(node, connection, reader, prefix):
                            break
                        await trio.sleep(self._random.uniform(0.0, _MAX_PAUSE_S))
            await trio.sleep(0.05)

    async def _send_on_new_connection(self, node: FleetNode, prefix: str) -> None:
        with contextlib.suppress(*_CONNECTION_ERRORS):
            stream = await trio.open_tcp_stream(node.entry.host, node.entry.port)
            async with stream:
                await self._send(node, stream, ResponseReader(16_384, 1_000_000), prefix)

    async def _send(
        self, node: FleetNode, connection: trio.SocketStream, reader: ResponseReader, prefix: str
    ) -> bool:
        """Send a request and wait for its answer; return whether the connection stays open."""
        request_id = f"q{next(self._numbers)}"
        path = f"{prefix}{request_id}"
        sent = SentRequest(path, node.node_id, trio.current_time())
        self._requests[request_id] = sent
        head = (
            f"GET {path} HTTP/1.1\r\nhost: {node.entry.host}\r\nrequest-id: {request_id}\r\n"
            f"deadline-ms: {_DEADLINE_MS}\r\n\r\n"
        )
        try:
            with trio.move_on_after(_ANSWER_TIMEOUT_S):
                await connection.send_all(head.encode())
                while received := await connection.receive_some(65_536):
                    for response in reader.feed(received):
                        self._on_response(sent, response)
                        return header_value(response.headers, b"connection") != "close"
        except _CONNECTION_ERRORS:
            pass
        sent.ended_at = trio.current_time()
        return False

    def _on_response(self, sent: SentRequest, response: HttpResponse) -> None:
        sent.status = response.status
        sent.is_server_answer = bool(header_value(response.headers, b"server-seal"))
        sent.ended_at = trio.current_time()

    async def run_series(self, until: float) -> None:
        """Begin series of signals on random nodes, some of them at the same time."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                idle = [item for item in self._fleet.nodes if item.node_id not in self._busy_nodes]
                if idle and len(self._busy_nodes) < _MAX_OVERLAPPING_SERIES:
                    # The first node's target makes calls and has no other host.
                    is_first = idle[0] is self._fleet.nodes[0] and self._random.random() < 0.5
                    node = idle[0] if is_first else self._random.choice(idle)
                    nursery.start_soon(self._stop_and_start, node)
                await trio.sleep(self._random.uniform(0.2, 2.0))

    async def change_configuration(self, until: float) -> None:
        """Write configurations that keep the routes of all callers."""
        while trio.current_time() < until:
            await trio.sleep(self._random.uniform(0.5, 1.5) * _CONFIGURATION_INTERVAL_S)
            number = next(self._numbers)
            extra = {f"extra-{number}": make_route_fields("web", f"/extra{number}/")}
            self._fleet.configure({**create_routes(), **extra}, ["front", "back", "web"])

    async def _stop_and_start(self, node: FleetNode) -> None:
        self._busy_nodes.add(node.node_id)
        try:
            await self._signal_series(node)
        finally:
            self._busy_nodes.discard(node.node_id)

    async def _signal_series(self, node: FleetNode) -> None:
        process = node.process
        assert process is not None
        for _ in range(self._random.randrange(4)):
            process.send_signal(signal.SIGHUP)
            await trio.sleep(self._random.uniform(0.0, 0.3))
        self._record("SIGTERM", node)
        process.send_signal(signal.SIGTERM)
        stopped_at = trio.current_time()
        while process.poll() is None:
            await trio.sleep(0.05)
            if self._random.random() < 0.02:
                process.send_signal(self._random.choice((signal.SIGTERM, signal.SIGHUP)))
            if trio.current_time() > stopped_at + _GRACE_S:
                self._violations.append(f"{node.node_id} did not end within its grace time")
                node.kill()
        self._record("ended", node)
        await trio.sleep(_RESTART_DELAY_S)
        node.start(self._fleet.log)
        started = node.process
        assert started is not None
        self._record("started", node)
        await trio.sleep(_FIRST_RELOAD_S)
        for _ in range(self._random.randrange(3)):
            started.send_signal(signal.SIGHUP)
            await trio.sleep(self._random.uniform(0.0, 0.2))
        await trio.sleep(self._random.uniform(0.5, 1.5))
        if started.poll() is not None:
            self._violations.append(f"{node.node_id} ended by itself after its start")
            node.start(self._fleet.log)

    def _record(self, event: str, node: FleetNode) -> None:
        self._timeline.append(
            f"{trio.current_time() - self._started_at:8.3f} {event} {node.node_id}"
        )

    def check(self) -> list[str]:
        """Return what was lost, run twice or falsely reported as not run."""
        for request_id, sent in self._requests.items():
            runs = self._runs[request_id]
            what = (
                f"{request_id} {sent.path} by {sent.node_id}, sent at "
                f"{sent.sent_at - self._started_at:.3f}, ended at "
                f"{sent.ended_at - self._started_at:.3f}"
            )
            has_time_left = sent.ended_at - sent.sent_at < _DEADLINE_MS / 1_000 - 0.5
            if runs and not sent.is_server_answer and has_time_left:
                self._violations.append(f"{what}: lost at its server, status {sent.status}")
            if runs > 1 and sent.path.startswith("/book/"):
                self._violations.append(f"{what}: ran {runs} times")
        return self._violations


def create_routes() -> dict[str, dict[str, object]]:
    """Return the routes of the callers and of the calls of servers."""
    limit = {"timeoutMs": _DEADLINE_MS, "targetLatencyMs": 1_500}
    return {
        "look": make_route_fields("front", "/look/", **limit),
        "book": make_route_fields("front", "/book/", kind="non_idempotent", priority=0, **limit),
        "plan": make_route_fields("back", "/plan/", **limit),
    }


async def run_stop_soak(seed: int, seconds: float, nodes: int = 5) -> list[str]:
    """Run one seed; return the violations."""
    generator = random.Random(seed)
    with tempfile.TemporaryDirectory() as name:
        async with running_platform_fleet(Path(name)) as fleet:
            services = ["front", "back", "web", "back", "web"]
            for number in range(nodes):
                await fleet.add(services[number % len(services)], f"z{number % 2 + 1}")
            fleet.configure(create_routes(), ["front", "back", "web"])
            await fleet.wait_until_known()
            for node in fleet.nodes:
                await fleet.wait_until_served(node, "/look/1")
                await fleet.wait_until_served(node, "/plan/1")
            soak = StopSoak(fleet, generator)
            for node in fleet.nodes:
                soak.watch_server(node)
            until = trio.current_time() + seconds
            async with trio.open_nursery() as nursery:
                nursery.start_soon(soak.run_series, until)
                nursery.start_soon(soak.change_configuration, until)
                for node in fleet.nodes * _CALLERS_PER_NODE:
                    nursery.start_soon(soak.run_caller, node, until + _GRACE_S)
            violations = soak.check()
            print(f"stops, seed {seed}: {soak.summary()}")
            if violations:
                Path("out").mkdir(exist_ok=True)
                report = "\n".join([*violations, *soak.timeline]) + "\n"
                Path(f"out/soak-stops-{seed}.txt").write_text(report, encoding="utf-8")
                log = fleet.log.read_text(encoding="utf-8")
                Path(f"out/soak-stops-{seed}.log").write_text(log, encoding="utf-8")
            return violations


@click.command()
@click.option("--seed", default=1)
@click.option("--runs", default=1)
@click.option("--seconds", default=15.0)
@click.option("--nodes", default=5)
def main(seed: int, runs: int, seconds: float, nodes: int) -> None:
    """Run seeds one after the other; exit with 1 if something was lost."""
    has_failed = False
    for number in range(seed, seed + runs):
        violations = trio.run(run_stop_soak, number, seconds, nodes)
        has_failed = has_failed or bool(violations)
        print(f"seed {number}: {'; '.join(violations) or 'nothing lost'}", flush=True)
    sys.exit(1 if has_failed else 0)


if __name__ == "__main__":
    main()
