"""Run a small fleet: a stand-in of the platform's store, and real node processes.

Each node process has one target stand-in.
"""

import base64
import json
import subprocess
import sys
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Final

import attrs
import trio

from bench.fleet import free_ports
from gooseberrydock.http_client import fetch_on_new_connection
from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.members import Address, decode_member
from gooseberrydock.platform.store import NODES_PREFIX
from tests.fault_proxy import FaultProxy, create_fault_proxy
from tests.platform_standins import StoreStandin, TargetStandin

_HOST = "127.0.0.1"
_START_TIMEOUT_S = 10.0
_HEARTBEAT_PERIOD_S = 0.4
USUAL_MACHINE: Final = {"memoryMb": 300, "maxFds": 4_100}
"""Limits of a node's machine, as its settings name them."""


def settings_text(
    node_id: str,
    service: str,
    failure_domain: str,
    target_address: Address,
    store: Address,
    ports: list[int],
    machine: Mapping[str, int] = USUAL_MACHINE,
) -> str:
    """Return the text of a settings file as the platform writes it."""
    outbound, inbound, control, ready, metrics = ports
    limits = "\n".join(f"{name} = {value}" for name, value in machine.items())
    return f"""
[self]
nodeName = "{node_id}"
ip = "{_HOST}"
zone = "{failure_domain}"
firstStart = true
appAddr = "{target_address}"
service = "{service}"
[self.limits]
{limits}
[network]
portRange = [{metrics - 1}, {metrics + 1}]
seedNodes = []
[network.listen]
inbound = "{_HOST}:{inbound}"
outbound = "{_HOST}:{outbound}"
ready = "{_HOST}:{ready}"
control = "{_HOST}:{control}"
[platform.platform]
address = "{store}"
ttlMinMs = 1000
readsPerS = 2000
[terms.bounds]
drainMs = 2000
graceS = 6
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 47
"""


@attrs.define(eq=False)
class FleetNode:
    """Node process with its addresses and its target."""

    node_id: str
    settings: Path
    entry: Address
    ready: Address
    metrics: Address
    target: TargetStandin
    advertised: Address | None = None
    proxies: list[FaultProxy] = attrs.field(factory=list)
    process: subprocess.Popen[bytes] | None = None
    sends_heartbeats: bool = True
    program: tuple[str, ...] = ("gooseberrydock.platform",)
    wall_clock_offset_ms: float = 0.0

    def start(self, log: Path) -> None:
        """Start the process."""
        command = [sys.executable, "-m", *self.program, "--settings", str(self.settings)]
        command += ["--wall-offset-ms", str(self.wall_clock_offset_ms)]
        if self.advertised is not None:
            command += ["--advertise", str(self.advertised)]
        with log.open("ab") as output:
            self.process = subprocess.Popen(command, stdout=output, stderr=output)

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


@attrs.define(eq=False)
class PlatformFleet:
    """Nodes of a fleet with the store that they share."""

    nursery: trio.Nursery
    directory: Path
    store: StoreStandin
    nodes: list[FleetNode] = attrs.field(factory=list)
    version: int = 0
    configuration: bytes = b""
    program: tuple[str, ...] = ("gooseberrydock.platform",)
    machine: Mapping[str, int] = USUAL_MACHINE
    limits: dict[str, int] = attrs.field(
        factory=lambda: {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_000_000,
            "headerTimeoutMs": 1_000,
            "idleTimeoutMs": 5_000,
        }
    )

    def _start_proxy(self, address: Address) -> FaultProxy:
        proxy = create_fault_proxy(address)
        self.nursery.start_soon(proxy.serve)
        return proxy

    async def add(
        self, service: str, failure_domain: str = "z1", proxied: bool = False
    ) -> FleetNode:
        """Start a target and its node; ``proxied`` puts fault proxies on all connections."""
        node_id = f"node-{len(self.nodes)}"
        ports = free_ports(5)
        addresses = [Address(_HOST, port) for port in ports]
        target = TargetStandin(self.nursery, service, f"i-{len(self.nodes)}", addresses[2])
        self.nursery.start_soon(target.serve)
        path = self.directory / f"{node_id}.toml"
        store = self.store.listener.address
        node = FleetNode(node_id, path, addresses[0], addresses[3], addresses[4], target)
        if proxied:
            to_store, to_node = self._start_proxy(store), self._start_proxy(addresses[1])
            to_target = self._start_proxy(target.listener.address)
            node.proxies = [to_store, to_node, to_target]
            store, node.advertised = to_store.address, to_node.address
            target.announced_address = to_target.address
        path.write_text(
            settings_text(
                node_id, service, failure_domain, target.address, store, ports, self.machine
            )
        )
        self.nodes.append(node)
        node.program = self.program
        node.start(self.log)
        self.nursery.start_soon(self._send_heartbeats, node)
        return node

    @property
    def log(self) -> Path:
        """Return the file that all nodes log to."""
        return self.directory / "nodes.log"

    async def _send_heartbeats(self, node: FleetNode) -> None:
        while True:
            if node.sends_heartbeats:
                await node.target.announce()
            await trio.sleep(_HEARTBEAT_PERIOD_S)

    def configure(self, routes: dict[str, dict[str, object]], services: list[str]) -> None:
        """Store a configuration as the operator does."""
        self.version += 3
        fields = {
            "version": f"{self.version:08x}",
            "routes": routes,
            "services": {name: {"healthPath": "/healthz"} for name in services},
            "limits": self.limits,
        }
        self.configuration = json.dumps(fields).encode()
        self.write_configuration()

    def write_configuration(self) -> None:
        """Write the latest configuration, which the operator repeats after a restore."""
        self.store.put("op/config", self.configuration)

    async def send(
        self,
        node: FleetNode,
        path: str,
        request_id: str = "r1",
        timeout_s: float = 5.0,
        deadline_ms: int = 4_000,
        body: bytes = b"",
    ) -> HttpResponse | None:
        """Send a request to a node as a caller on its host does."""
        headers = [
            (b"request-id", request_id.encode()),
            (b"deadline-ms", str(deadline_ms).encode()),
            (b"caller-service", b"forged"),
        ]
        # The HTTP client adds the node's address as Host header, which the fleet's routes match.
        request = HttpRequest("POST" if body else "GET", path, headers, body)
        return await fetch_on_new_connection(node.entry, self.nursery, request, timeout_s)

    async def status(self, node: FleetNode, path: str, request_id: str = "r1") -> int:
        """Send a request and return the status of its response, 0 without a response."""
        response = await self.send(node, path, request_id)
        return response.status if response is not None else 0

    async def is_ready(self, node: FleetNode) -> bool:
        """Return whether a node is ready according to the platform's readiness check."""
        request = HttpRequest("GET", "/-/readyz", [], b"")
        response = await fetch_on_new_connection(node.ready, self.nursery, request, 1.0)
        return response is not None and response.status == 200

    async def metrics(self, node: FleetNode) -> str:
        """Return a node's metrics page."""
        request = HttpRequest("GET", "/metrics", [], b"")
        response = await fetch_on_new_connection(node.metrics, self.nursery, request, 1.0)
        return response.body.decode() if response is not None else ""

    async def wait_until_known(self) -> None:
        """Wait until the store holds the service of each node's target."""
        with trio.fail_after(_START_TIMEOUT_S):
            while len(self._known_services()) < len(self.nodes):
                await trio.sleep(0.05)
        # Every node receives the records with one more response to its watch.
        await trio.sleep(0.1)

    def _known_services(self) -> list[str]:
        values = [base64.b64decode(item["value"]) for item in self.store.items.values()]
        keys = list(self.store.items)
        members = [
            decode_member(value)
            for key, value in zip(keys, values, strict=True)
            if key.startswith(NODES_PREFIX)
        ]
        return [member.service for member in members if member.service]

    async def wait_until_served(self, node: FleetNode, path: str) -> None:
        """Wait until a request has status 200."""
        with trio.fail_after(_START_TIMEOUT_S):
            while await self.status(node, path) != 200:
                await trio.sleep(0.05)


def make_route_fields(service: str, prefix: str, **changes: object) -> dict[str, object]:
    """Return the fields of one route as the operator writes them."""
    fields: dict[str, object] = {
        "host": _HOST,
        "prefix": prefix,
        "service": service,
        "kind": "idempotent",
        "timeoutMs": 3_000,
        "targetLatencyMs": 500,
        "priority": 2,
        "maxAttempts": 2,
    }
    return {**fields, **changes}


@asynccontextmanager
async def running_platform_fleet(
    directory: Path, program: tuple[str, ...] = ("gooseberrydock.platform",)
) -> AsyncIterator[PlatformFleet]:
    """Run a store and a fleet without nodes yet; kill all node processes at the end."""
    async with trio.open_nursery() as nursery:
        store = StoreStandin(nursery)
        nursery.start_soon(store.serve)
        fleet = PlatformFleet(nursery, directory, store, program=program)
        try:
            yield fleet
        except Exception:
            print(fleet.log.read_text(encoding="utf-8"))
            raise
        finally:
            for node in fleet.nodes:
                node.kill()
                node.target.listener.close()
            store.listener.close()
            nursery.cancel_scope.cancel()
