"""Stand-ins of the platform, its store, servers and clients, on loopback addresses.

They use the standard library only. Each machine has an address of its own in 127.0.0.0/8, and the
node beside its server is started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
GRACE_S = 6.0
STABLE_S = 3.0
RESTART_S = 0.8
"""Delay after which the platform starts a process again that has ended."""


class Record:
    """Events of one run, each with its time in seconds, written to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def add(self, event: str, **fields: object) -> None:
        """Write one event."""
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.4f} {event} {details}\n")
        self._file.flush()


@dataclass
class Request:
    """One HTTP request as a stand-in has received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def request_id(self) -> str:
        """Return the client's id of the request."""
        return self.headers.get("request-id", "")


@dataclass
class Response:
    """One HTTP response; ``is_complete`` is false if the connection ended before its end."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, or None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader: asyncio.StreamReader, with_body: bool = True) -> Request | None:
    """Return the next request, or None at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    request = Request(method, target, head[1])
    if with_body:
        try:
            request.body = await reader.readexactly(int(head[1].get("content-length", "0")))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return request


class Pace:
    """The steady rate at which a slow client reads."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._started_at = time.monotonic()
        self._bytes = 0

    async def add(self, size: int) -> None:
        """Wait until as many more bytes may have been read."""
        self._bytes += size
        due_at = self._started_at + self._bytes / self._bytes_per_s
        await asyncio.sleep(max(0.0, due_at - time.monotonic()))


async def read_response(
    reader: asyncio.StreamReader, chunk: int = 65_536, pace: Pace | None = None
) -> Response:
    """Read one response with a length, at the pace of the client."""
    response = Response()
    head = await read_head(reader)
    if head is None:
        return response
    response.status = int(head[0].split(" ")[1])
    response.headers = head[1]
    left = int(head[1].get("content-length", "0"))
    parts = []
    while left:
        try:
            data = await reader.read(min(chunk, left))
        except ConnectionError:
            data = b""
        if not data:
            response.body = b"".join(parts)
            return response
        parts.append(data)
        left -= len(data)
        if pace is not None:
            await pace.add(len(data))
    response.body = b"".join(parts)
    response.is_complete = True
    return response


def encode_response(
    status: int, headers: dict[str, str], body: bytes, framed: bool = True
) -> bytes:
    """Return the bytes of a response; without ``framed`` its end is that of the connection."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.port = 0
        self.items: dict[str, dict[str, object]] = {}
        self.history: list[dict[str, object]] = []
        self.revision = 100
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 7_000
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Accept connections."""
        server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = server.sockets[0].getsockname()[1]
        self._server = server
        self._task = asyncio.create_task(self._end_leases())

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item."""
        self.revision += 1
        created = self.items.get(key, {}).get("createdRev", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createdRev": created,
            "lease": lease,
        }
        self.items[key] = item
        self._add_event(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event({"key": key, "revision": self.revision, "tombstone": True})

    def _add_event(self, event: dict[str, object]) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [key for key, (ends_at, _) in self._leases.items() if ends_at < now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                status, fields = await self._answer(request)
                body = json.dumps(fields).encode()
                writer.write(encode_response(status, {"Content-Type": "application/json"}, body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request) -> tuple[int, dict[str, object]]:
        await asyncio.sleep(0.004)
        path, _, query_text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        fields = json.loads(request.body or b"{}") or {}
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "storeRevision": self.revision}) if item else (404, {})
        if path == "/-/kv-range":
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            ]
            return 200, {"items": items, "truncated": False, "storeRevision": self.revision}
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-txn":
            return self._transact(fields)
        if path == "/-/kv-lease":
            self._next_lease += 1
            ttl_s = fields["ttlMs"] / 1_000
            self._leases[self._next_lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": self._next_lease, "ttlMs": fields["ttlMs"]}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/-/kv-keep/"):
            if lease not in self._leases:
                return 404, {}
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"ttlMs": int(ttl_s * 1_000)}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        after, ends_at = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1_000
        while True:
            changed = self._changed
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(query["prefix"])
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, fields: dict[str, object]) -> tuple[int, dict[str, object]]:
        for row in fields.get("expected", []):
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                return 412, {"items": []}
        for put in fields.get("puts", []):
            if put.get("lease") and put["lease"] not in self._leases:
                return 404, {}
        for put in fields.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in fields.get("deletes", []):
            self._remove(key)
        return 200, {"revision": self.revision}


class Machine:
    """One ``sidecar`` machine: its addresses, settings and node process."""

    def __init__(self, fleet: "Fleet", number: int, service: str, zone: str) -> None:
        self.fleet = fleet
        self.name = f"sidecar-{zone}-{number}"
        self.ip = f"127.0.{fleet.net}.{number}"
        self.service = service
        self.zone = zone
        self.process: subprocess.Popen[bytes] | None = None
        self.settings = fleet.folder / f"{self.name}.toml"
        self.log = fleet.folder / f"{self.name}.log"
        ports = fleet.ports
        self.app = (self.ip, ports["app"])
        self.outbound = (self.ip, ports["outbound"])
        self.ready = (self.ip, ports["ready"])
        self.control = (self.ip, ports["control"])
        self.write_settings()

    def write_settings(self, note: str = "") -> None:
        """Write the settings file as DEPLOY.md shows it."""
        ports, zones = self.fleet.ports, self.fleet.zones
        zone_lines = "\n".join(f'{zone} = "region-1"' for zone in zones)
        self.settings.write_text(
            f"""
[self]
nodeName = "{self.name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar", "control"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "region-1"
countsAsLoss = false
firstStart = true
appAddr = "{self.ip}:{ports['app']}"
service = "{self.service}"
[self.limits]
cpuShare = 0.86
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[network]
portRange = [{ports['first']}, {ports['first'] + 15}]
seedNodes = []
[network.listen]
inbound = "{self.ip}:{ports['inbound']}"
outbound = "{self.ip}:{ports['outbound']}"
ready = "{self.ip}:{ports['ready']}"
control = "{self.ip}:{ports['control']}"
[network.zones]
{zone_lines}
[platform]
discovery = "static"
entry = "static"
heartbeatIntervalMs = 1500
[platform.platform]
address = "{self.fleet.store.host}:{self.fleet.store.port}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[terms]
contracts = ["base","drain","config","cost","retry","recover","pressure","platform"]
[terms.faultTolerance]
machines = 2
zones = 0
regions = 0
[terms.bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 48
recoverS = 15
{note}
"""
        )

    def start(self) -> None:
        """Start the node with the command of the deploy file, unless the case has ended."""
        if self.fleet.is_stopped:
            return
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["GOOSEBERRYDOCK_CONFIG"] = str(self.settings)
        command = self.fleet.command
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.fleet.record.add("node-started", machine=self.name)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node."""
        self.fleet.record.add("node-signal", machine=self.name, signal=number.name)
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the node and wait for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self) -> bool:
        """Ask the node whether it is ready, as the platform does."""
        response = await exchange(self.ready, "GET", "/-/readyz")
        return response.status == 200

    async def until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the node is ready."""
        ends_at = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > ends_at:
                raise CannotRun(f"{self.name} is not ready after {timeout_s} s")
            await asyncio.sleep(0.1)


class CannotRun(Exception):
    """The case could not be run."""


Handler = Callable[["Server", Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


class Server:
    """An application server. ``handler`` may replace how it serves a request it has begun to read.

    The handler returns whether the connection stays open. ``runs`` has one entry for each request
    that the server began to work on.
    """

    def __init__(
        self,
        machine: Machine,
        instance_id: str,
        work_s: float = 0.02,
        handler: Handler | None = None,
        slots: int = 40,
    ) -> None:
        self.machine = machine
        self.instance_id = instance_id
        self.work_s = work_s
        self.handler = handler
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1_000)
        self.runs: list[tuple[float, Request]] = []
        self.beats = True
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Accept connections and send heartbeats."""
        self._server = await asyncio.start_server(self._serve, *self.machine.app)
        self._beat_task = asyncio.create_task(self._send_beats())

    def crash(self) -> None:
        """End at once: close the listener and all connections."""
        self._beat_task.cancel()
        self._server.close()
        for writer in list(self._writers):
            abort(writer)

    def beat_body(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.machine.service,
                "address": f"{self.machine.ip}:{self.machine.app[1]}",
                "zone": self.machine.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "coldLeftMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        ).encode()

    async def beat(self) -> int:
        """Send one heartbeat; return the status of its acknowledgement, 0 without one."""
        path = f"/-/instances/{self.instance_id}"
        response = await exchange(self.machine.control, "PUT", path, self.beat_body())
        return response.status

    async def leave(self) -> int:
        """Say that the server is gone; return the status of the acknowledgement."""
        path = f"/-/instances/{self.instance_id}"
        body = json.dumps({"born": self.born}).encode()
        return (await exchange(self.machine.control, "DELETE", path, body)).status

    async def _send_beats(self) -> None:
        while True:
            if self.beats:
                await self.beat()
            await asyncio.sleep(HEARTBEAT_S if self.sequence > 1 else 0.3)

    def add_run(self, request: Request) -> None:
        """Record that the server begins to work on a request."""
        record = self.machine.fleet.record
        self.runs.append((record.now(), request))
        record.add("run", server=self.instance_id, request=request.request_id, path=request.target)

    def answer_headers(self, request: Request) -> dict[str, str]:
        """Return the headers of the server's own answer."""
        return {
            "Request-Id": request.request_id,
            "Server-Seal": f"{self.instance_id}.{request.request_id}",
        }

    def runs_of(self, request_id: str) -> int:
        """Return how often the server ran a request."""
        return sum(1 for _, request in self.runs if request.request_id == request_id)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader, with_body=self.handler is None)
                if request is None or not await self._answer(request, reader, writer):
                    return
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        expected = request.headers.get("expected-instance", self.instance_id)
        if expected != self.instance_id:
            headers = {"Not-Executed": "1", "Instance-Id": self.instance_id}
            writer.write(encode_response(421, headers, b""))
            return True
        if self.handler is not None:
            return await self.handler(self, request, reader, writer)
        await self.run(request, writer)
        return True

    async def run(
        self, request: Request, writer: asyncio.StreamWriter, body: bytes | None = None
    ) -> None:
        """Work on a request and send the server's own answer."""
        self.add_run(request)
        await asyncio.sleep(self.work_s)
        text = body if body is not None else f"{self.instance_id} {request.target}".encode()
        writer.write(encode_response(200, self.answer_headers(request), text))
        await writer.drain()


def abort(writer: asyncio.StreamWriter) -> None:
    """Close a connection at once, as the end of its process does."""
    writer.transport.abort()


async def exchange(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Response:
    """Send one request on a new connection and return the response, status 0 without one."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            head = f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + body)
            return await read_response(reader)
    except (OSError, TimeoutError):
        return Response()
    finally:
        if writer is not None:
            writer.close()


async def exchange_without_answer(
    address: tuple[str, int], method: str, path: str, body: bytes, timeout_s: float = 1.0
) -> None:
    """Send one request, wait for its answer for some time, and leave it on its way after that."""
    _, writer = await asyncio.open_connection(*address)
    head = f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
    head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    await asyncio.sleep(timeout_s)
    writer.close()


class Client:
    """A client on a machine, with one connection that it keeps."""

    def __init__(self, machine: Machine, name: str) -> None:
        self.machine = machine
        self.name = name
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, receive_buffer: int = 0) -> None:
        """Open the connection."""
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.setblocking(False)
        if receive_buffer:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        await asyncio.get_running_loop().sock_connect(connection, self.machine.outbound)
        self.reader, self.writer = await asyncio.open_connection(
            sock=connection, limit=max(65_536, receive_buffer)
        )

    def write(
        self, method: str, path: str, request_id: str, deadline_ms: int, body: bytes = b""
    ) -> None:
        """Send a request."""
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.machine.fleet.host}\r\n"
        head += f"Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n"
        if body or method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        self.machine.fleet.record.add(
            "sent", client=self.name, request=request_id, method=method, path=path, body=len(body)
        )
        self.writer.write(head.encode() + b"\r\n" + body)

    async def send(
        self,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int = 4_000,
        body: bytes = b"",
    ) -> Response:
        """Send a request and return its response, status 0 without one."""
        try:
            if self.writer is None:
                await self.connect()
            self.write(method, path, request_id, deadline_ms, body)
            async with asyncio.timeout(deadline_ms / 1_000 + 1.0):
                response = await read_response(self.reader)
        except (OSError, TimeoutError):
            response = Response()
        self.machine.fleet.record.add(
            "answered",
            client=self.name,
            request=request_id,
            status=response.status,
            complete=response.is_complete,
            seal=response.headers.get("server-seal", "-"),
            code=response.headers.get("gooseberrydock-code", "-"),
            body=len(response.body),
        )
        if not response.is_complete or response.headers.get("connection") == "close":
            self.close()
        return response

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Fleet:
    """A small installation: the store, machines, and the operator's configuration."""

    host = "hulo84.example"

    def __init__(self, record: Record, zones: list[str]) -> None:
        self.record = record
        self.zones = zones
        self.net = random.randint(2, 250)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        words = deploy["roles"]["node"]["run"].split()
        self.command = [sys.executable if words[0] == "python3" else words[0], *words[1:]]
        self.ports = self._choose_ports()
        self.store = Store(f"127.0.{self.net}.250")
        self.machines: list[Machine] = []
        self.version = 0
        self.is_stopped = False

    def _choose_ports(self) -> dict[str, int]:
        names = ("app", "outbound", "inbound", "ready", "control")
        first = random.randint(20_000, 30_000)
        return {name: first + 20 + index for index, name in enumerate(names)} | {"first": first}

    def add_machine(self, service: str, zone: str) -> Machine:
        """Add a machine whose node is not started yet."""
        machine = Machine(self, len(self.machines) + 1, service, zone)
        self.machines.append(machine)
        return machine

    def configure(self, routes: dict[str, dict[str, object]]) -> None:
        """Write a configuration as the operator does."""
        self.version += 3
        services = {machine.service for machine in self.machines}
        fields = {
            "version": f"{self.version:08x}",
            "routes": routes,
            "services": {
                name: {
                    "healthPath": "/healthz",
                    "maxConnections": 1018,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in sorted(services)
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.put("op/config", json.dumps(fields).encode())

    def route(self, service: str, prefix: str, **changes: object) -> dict[str, object]:
        """Return one route."""
        return {
            "host": self.host,
            "prefix": prefix,
            "service": service,
            "kind": "idempotent",
            "timeoutMs": 4000,
            "targetLatencyMs": 1500,
            "priority": 2,
            "maxAttempts": 2,
            **changes,
        }

    async def start(self, servers: list[Server]) -> None:
        """Start all nodes and servers and wait until the nodes are ready."""
        for machine in self.machines:
            machine.start()
        for server in servers:
            await server.start()
        for machine in self.machines:
            await machine.until_ready()

    def stop(self) -> None:
        """End all node processes and remove the temporary folder."""
        self.is_stopped = True
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        self._temporary.cleanup()


def run_case(folder: Path, zones: list[str], play: Callable[[Fleet], Awaitable[list[str]]]) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run.

    ``play`` returns a line for each breach that counts.
    """
    record = Record(folder / "record.txt")

    async def main() -> list[str]:
        fleet = Fleet(record, zones)
        try:
            await fleet.store.start()
            async with asyncio.timeout(115.0):
                return await play(fleet)
        finally:
            fleet.stop()

    # The processes are ended also if the case itself is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record.add("case", folder=folder.name, trouble=TROUBLE)
    try:
        breaches = asyncio.run(main())
    except Exception as error:
        record.add("could-not-run", error=f"{type(error).__name__}:{error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(NOT_RUN)
    for breach in breaches:
        record.add("breach", text=breach)
        print(breach)
    record.add("result", broken=bool(breaches))
    print("the rule was broken" if breaches else "the rule held")
    sys.exit(BROKEN if breaches else HELD)
