"""A randomized soak: real node processes, faults from outside them, promises checked meanwhile.

    python -m tests.soak --seed 1 --seconds 20

What callers and servers see is checked: an answer is the whole answer to its own request, a
request that may not be repeated runs at most once, "not run" is true, a leaving server gets nothing
after its drain time, a configuration does not go back on a node, and once the faults have ended
everything is served again.
"""

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

from gooseberrydock.http_messages import HttpRequest, header_value
from tests.fault_proxy import Harm
from tests.planted_faults import FAULTS
from tests.platform_fleet import (
    FleetNode,
    PlatformFleet,
    make_route_fields,
    running_platform_fleet,
)

_RATE_PER_S: Final = 30.0
_PATIENCE_S: Final = 3.0
_DRAIN_S: Final = 2.0
_AFTER_DRAIN_S: Final = 2.0
"""How long a server stays, and is watched, after its drain time."""
_PROBE_PAUSE_S: Final = 0.1
_RECOVERY_S: Final = 15.0
_PROMISES_NOT_RUN: Final = frozenset((408, 421, 429, 503))
_WORK_S: Final = (0.01, 0.4)
"""How long runs take, so that some are under way whenever a fault comes."""
_PROXIED: Final = ("store", "other nodes", "server")
"""What a node's proxies stand before, in the order in which the fleet makes them."""
_USUAL_NODES: Final = 4
_HARM_PAUSE_S: Final = 0.75
"""Mean time between two faults in a fleet of the usual size; larger ones get more."""
_CLOCK_STEP_MS: Final = 5_000.0
"""How far the time of day of a restarted node may be off."""


@attrs.define
class Sent:
    """Remember what one caller saw."""

    path: str
    sent_at: float
    status: int = 0


@attrs.define(eq=False)
class Soak:
    """Drive one run and collect what breaks a promise."""

    _fleet: PlatformFleet
    _random: random.Random
    _sent: dict[str, Sent] = attrs.field(factory=dict)
    _runs: Counter[str] = attrs.field(factory=Counter)
    _violations: list[str] = attrs.field(factory=list)
    _ids: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    _drained_at: dict[str, float] = attrs.field(factory=dict)
    _newest: int = 0
    _seen: dict[tuple[str, int], int] = attrs.field(factory=dict)
    _timeline: list[str] = attrs.field(factory=list)
    _started_at: float = attrs.field(factory=trio.current_time)

    @property
    def violations(self) -> list[str]:
        """Return the broken promises."""
        return self._violations

    def summary(self) -> str:
        """Return how requests ended."""
        statuses = Counter(item.status for item in self._sent.values())
        return ", ".join(f"{status}: {count}" for status, count in sorted(statuses.items()))

    def watch_server(self, node: FleetNode) -> None:
        """Note each run at a server."""
        server = node.target

        def note(request: HttpRequest) -> None:
            server.response_delay_s = self._random.uniform(*_WORK_S)
            request_id = header_value(request.headers, b"request-id")
            self._runs[request_id] += 1
            drained_at = self._drained_at.get(node.node_id)
            sent = self._sent.get(request_id)
            if drained_at is not None and trio.current_time() - drained_at > _DRAIN_S:
                self._violations.append(f"{request_id} ran on {node.node_id} after its drain time")
            if sent is None or sent.path != request.path:
                self._violations.append(f"{request_id} ran as {request.path}, which nobody sent")

        server.on_run = note

    async def load(self, until: float) -> None:
        """Send requests at a steady rate, each from its own task."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                node = self._random.choice(self._fleet.nodes)
                nursery.start_soon(self._request, node, self._random.random() < 0.4)
                await trio.sleep(self._random.expovariate(_RATE_PER_S))

    async def _request(self, node: FleetNode, is_booking: bool) -> None:
        number = next(self._ids)
        request_id = f"q{number}"
        path = f"/{'book' if is_booking else 'look'}/{number}"
        sent = self._sent[request_id] = Sent(path, trio.current_time())
        response = await self._fleet.send(node, path, request_id, _PATIENCE_S)
        if response is None:
            return
        sent.status = response.status
        echoed = header_value(response.headers, b"request-id")
        if echoed != request_id:
            self._violations.append(f"{request_id} got the answer to {echoed!r}")
        if response.status == 200 and not response.body.decode().endswith(f" {path}"):
            self._violations.append(f"{request_id} got {response.body!r}")

    async def harm(self, until: float) -> None:
        """Do harm, several things at a time, until the time comes."""
        pause_s = _HARM_PAUSE_S * _USUAL_NODES / len(self._fleet.nodes)
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                action = self._random.choice(
                    (self._harm_link, self._harm_link, self._kill, self._pause, self._stop)
                    + (self._store_outage, self._drain, self._configure)
                )
                nursery.start_soon(action)
                await trio.sleep(self._random.uniform(0.4, 1.6) * pause_s)

    def _note(self, what: str, where: str = "") -> None:
        """Put an event on the timeline."""
        self._timeline.append(f"{trio.current_time() - self._started_at:8.3f} {what} {where}")

    async def _harm_link(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        number = self._random.randrange(len(node.proxies))
        proxy, harm = node.proxies[number], self._random.choice(list(Harm))
        self._note(f"{harm.value} on its way to the {_PROXIED[number]}", node.node_id)
        proxy.set_harm(harm)
        await trio.sleep(self._random.uniform(0.3, 2.0))
        proxy.set_harm(Harm.NONE)

    async def _kill(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        self._note("killed", node.node_id)
        node.kill()
        await trio.sleep(self._random.uniform(0.1, 1.0))
        self._restart(node)

    async def _pause(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        process = node.process
        if process is None or process.poll() is not None:
            return
        self._note("paused", node.node_id)
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(self._random.uniform(0.2, 2.5))
        process.send_signal(signal.SIGCONT)

    async def _stop(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        process = node.process
        if process is None or process.poll() is not None:
            return
        self._note("asked to stop", node.node_id)
        process.send_signal(signal.SIGTERM)
        with trio.move_on_after(7.0):
            while process.poll() is None:
                await trio.sleep(0.05)
        if node.process is process:
            node.kill()
            self._restart(node)

    def _restart(self, node: FleetNode) -> None:
        if node.process is None or node.process.poll() is not None:
            node.wall_offset_ms = self._random.choice((0.0, -1.0, 1.0)) * _CLOCK_STEP_MS
            self._note(f"started, clock off by {node.wall_offset_ms:.0f} ms", node.node_id)
            node.start(self._fleet.log)

    async def _store_outage(self) -> None:
        store = self._fleet.store
        store.mode = self._random.choice(("down", "silent"))
        self._note(store.mode, "store")
        if self._random.random() < 0.5:
            store.compact()
        if self._random.random() < 0.5 and store.leases:
            store.end_lease(self._random.choice(sorted(store.leases)))
        await trio.sleep(self._random.uniform(0.3, 3.0))
        store.mode = "ok"
        self._note("back", "store")

    async def _drain(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        server = node.target
        if node.node_id in self._drained_at:
            return
        node.sends_heartbeats = False
        server.state = "draining"
        if await server.announce() == 200:
            self._drained_at[node.node_id] = trio.current_time()
            self._note("its server leaves", node.node_id)
            await trio.sleep(_DRAIN_S + _AFTER_DRAIN_S)
            del self._drained_at[node.node_id]
        server.state = "ready"
        server.born += 1
        server.sequence = 0
        node.sends_heartbeats = True

    async def _configure(self) -> None:
        self._newest += 1
        self._note(f"configuration {self._newest}", "store")
        self._fleet.configure(_routes(self._newest), ["shop", "web"])

    async def probe_configurations(self, until: float) -> None:
        """Ask nodes for the route that only one configuration has, the newest or the last."""
        while trio.current_time() < until:
            node = self._random.choice(self._fleet.nodes)
            number = max(0, self._newest - self._random.randrange(2))
            start = (node.node_id, node.process.pid if node.process else 0)
            seen = self._seen.get(start, 0)
            request_id = f"q{next(self._ids)}"
            path = f"/only{number}/{request_id}"
            sent = self._sent[request_id] = Sent(path, trio.current_time())
            response = await self._fleet.send(node, path, request_id, _PATIENCE_S)
            sent.status = response.status if response is not None else 0
            if sent.status == 200 and node.process is not None and start[1] == node.process.pid:
                if number < seen:
                    self._violations.append(f"{start} served by {number} after {seen}")
                self._seen[start] = max(self._seen.get(start, 0), number)
            await trio.sleep(_PROBE_PAUSE_S)

    def check_runs(self) -> None:
        """Check what servers ran against what callers were told."""
        for request_id, sent in self._sent.items():
            runs = self._runs[request_id]
            if sent.path.startswith("/book/") and runs > 1:
                self._violations.append(f"{request_id} ran {runs} times")
            if sent.path.startswith("/book/") and sent.status in _PROMISES_NOT_RUN and runs:
                self._violations.append(f"{request_id} was told {sent.status} and ran")

    async def check_recovery(self) -> None:
        """Check that everything is served again after the faults."""
        for node in self._fleet.nodes:
            for proxy in node.proxies:
                proxy.set_harm(Harm.NONE)
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
            self._restart(node)
        self._fleet.store.mode = "ok"
        with trio.move_on_after(_RECOVERY_S) as scope:
            # All at once: one after the other, a large fleet takes longer than the bound.
            async with trio.open_nursery() as nursery:
                for node in self._fleet.nodes:
                    nursery.start_soon(self._probe_until_served, node)
        if scope.cancelled_caught:
            self._violations.append(f"not everything is served {_RECOVERY_S} s after the faults")

    async def _probe_until_served(self, node: FleetNode) -> None:
        row = 0
        while row < 5:
            row = row + 1 if await self._probe(node) else 0

    def write_verdict(self, options: "SoakOptions") -> None:
        """Write seed, timeline and verdict, with the nodes' logs where a promise was broken."""
        directory = Path("out")
        directory.mkdir(exist_ok=True)
        verdict = [f"broken: {item}" for item in self._violations] or ["all promises kept"]
        text = "\n".join([str(options), *self._timeline, self.summary(), *verdict])
        (directory / f"soak-{options.seed}.txt").write_text(text + "\n", encoding="utf-8")
        if self._violations:
            log = self._fleet.log.read_bytes()
            (directory / f"soak-{options.seed}.log").write_bytes(log)

    async def _probe(self, node: FleetNode) -> bool:
        number = next(self._ids)
        sent = self._sent[f"q{number}"] = Sent(f"/look/{number}", trio.current_time())
        response = await self._fleet.send(node, sent.path, f"q{number}", _PATIENCE_S)
        sent.status = response.status if response is not None else 0
        if sent.status != 200:
            await trio.sleep(_PROBE_PAUSE_S)
        return sent.status == 200


def _routes(number: int) -> dict[str, dict[str, object]]:
    """Return the routes of a configuration, one of which only it has."""
    return {
        "look": make_route_fields("shop", "/look/"),
        "book": make_route_fields("shop", "/book/", kind="non_idempotent"),
        "only": make_route_fields("shop", f"/only{number}/"),
    }


@attrs.frozen
class SoakOptions:
    """Say what one run is made of; ``fault`` is one of ``tests.planted_faults``, or empty."""

    seed: int
    seconds: float
    nodes: int = _USUAL_NODES
    fault: str = ""

    @property
    def program(self) -> tuple[str, ...]:
        """Return what runs as a node."""
        if self.fault:
            return ("tests.planted_faults", self.fault)
        return ("gooseberrydock.platform",)


async def run_soak(options: SoakOptions) -> list[str]:
    """Run once and return the broken promises."""
    rng = random.Random(options.seed)
    with tempfile.TemporaryDirectory() as name:
        async with running_platform_fleet(Path(name), options.program) as fleet:
            for number in range(options.nodes):
                service = "web" if number % _USUAL_NODES == _USUAL_NODES - 1 else "shop"
                await fleet.add(service, f"z{number % 2}", proxied=True)
            fleet.configure(_routes(0), ["shop", "web"])
            await fleet.wait_until_known()
            soak = Soak(fleet, rng)
            for node in fleet.nodes:
                soak.watch_server(node)
            until = trio.current_time() + options.seconds
            async with trio.open_nursery() as nursery:
                nursery.start_soon(soak.load, until)
                nursery.start_soon(soak.harm, until)
                nursery.start_soon(soak.probe_configurations, until)
            await soak.check_recovery()
            soak.check_runs()
            print(f"seed {options.seed}: {soak.summary()}", flush=True)
            soak.write_verdict(options)
            return soak.violations


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="First seed.")
@click.option("--runs", type=int, default=1, show_default=True, help="Seeds to run.")
@click.option("--seconds", type=float, default=20.0, show_default=True, help="Length of a run.")
@click.option("--nodes", type=int, default=_USUAL_NODES, show_default=True, help="Fleet size.")
@click.option("--plant", default="", type=click.Choice(["", *FAULTS]), help="Plant a fault.")
def main(seed: int, runs: int, seconds: float, nodes: int, plant: str) -> None:
    """Run the soak and print the broken promises of each seed."""
    failed = 0
    for number in range(seed, seed + runs):
        violations = trio.run(run_soak, SoakOptions(number, seconds, nodes, plant))
        failed += bool(violations)
        for violation in violations[:10]:
            print(f"seed {number}: {violation}", flush=True)
    print(f"{runs - failed} seeds kept all promises, {failed} did not")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
