"""A small deployment on loopback: node processes, and stand-ins of the store, servers and clients.

The stand-ins follow PROTOCOL.md. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
ROUTE_HOST = "svc.example"
BOUNDS = {
    "drainMs": 2000,
    "stableWindowMs": 3000,
    "graceS": 6,
    "configMs": 2000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 47,
}


STORE_ANSWER_S = 0.004
"""Time that the store takes for an answer, as SYSTEM.md states it."""


class CannotRun(Exception):
    """The case could not be played; nothing is said about the rule."""


_RESERVED = []


def free_ports(count):
    """Return free ports; their sockets stay bound until all are drawn, so that none comes twice."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((HOST, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    if set(ports) & set(_RESERVED):
        return free_ports(count)
    _RESERVED.extend(ports)
    return ports


# HTTP/1.1 messages.


class Message:
    """One HTTP message as it was read."""

    def __init__(self, start_line, headers, body):
        self.start_line, self.headers, self.body = start_line, headers, body

    def header(self, name):
        """Return the first value of a header, or an empty string."""
        return next((value for key, value in self.headers if key == name), "")

    @property
    def status(self):
        """Return the status of a response."""
        return int(self.start_line.split(" ")[1])

    @property
    def method(self):
        """Return the method of a request."""
        return self.start_line.split(" ")[0]

    @property
    def path(self):
        """Return the target of a request."""
        return self.start_line.split(" ")[1]


async def read_head(reader):
    """Read the start line and headers; return None at an orderly end before the first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines[1:] if line]
    return lines[0], [(name.strip().lower(), value.strip()) for name, _, value in pairs]


async def read_message(reader):
    """Read a whole message; return None at an orderly end before the first byte."""
    head = await read_head(reader)
    if head is None:
        return None
    message = Message(head[0], head[1], b"")
    if "chunked" in message.header("transfer-encoding").lower():
        while size := int((await reader.readline()).split(b";")[0], 16):
            message.body += await reader.readexactly(size)
            await reader.readline()
        while (await reader.readline()).strip():
            pass
    else:
        message.body = await reader.readexactly(int(message.header("content-length") or 0))
    return message


def response_bytes(status, headers, body):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def request_bytes(method, path, headers, body=b""):
    """Return the bytes of a request; a body is sent with a length."""
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call_once(address, method, path, headers=(), body=b"", timeout_s=5.0):
    """Send one request on a new connection; return the response, or None without one."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request_bytes(method, path, [("Host", "x"), *headers], body))
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


# The platform's store.


class Store:
    """Keys, revisions, leases and watches; it is linearizable and loses nothing."""

    def __init__(self):
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.next_lease, self.era = 10, 100, 1
        self.changed = asyncio.Event()
        self.address = None
        self.server = None

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def put(self, key, value, lease=0):
        """Write a key."""
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

    def delete(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event({"key": key, "revision": self.revision, "tombstone": True})

    def _add_event(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_leases(self):
        now = time.monotonic()
        for lease, (until, _) in list(self.leases.items()):
            if until <= now:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                self._end_leases()
                await asyncio.sleep(STORE_ANSWER_S)
                status, fields = await self._handle(request)
                body = json.dumps(fields).encode()
                headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
                writer.write(response_bytes(status, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle(self, request):
        path, _, query_text = request.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "storeRevision": self.revision}) if item else (404, {})
        if path == "/-/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix) and key > after
            ]
            return 200, {"items": items, "truncated": False, "storeRevision": self.revision}
        if path == "/-/kv-watch":
            return await self._watch(query)
        fields = json.loads(request.body or b"{}")
        if path == "/-/kv-txn":
            return self._transact(fields)
        if path == "/-/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (
                time.monotonic() + fields["ttlMs"] / 1000,
                fields["ttlMs"],
            )
            return 200, {"lease": self.next_lease, "ttlMs": fields["ttlMs"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/-/kv-keep/"):
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"ttlMs": ttl_ms}
        self._end_lease(lease)
        return 200, {}

    def _transact(self, fields):
        for row in fields["expected"]:
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                rows = [self.items[r["key"]] for r in fields["expected"] if r["key"] in self.items]
                return 412, {"items": rows}
        if any(put["lease"] and put["lease"] not in self.leases for put in fields["puts"]):
            return 404, {}
        for put in fields["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in fields["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except TimeoutError:
                self._end_leases()


# Servers.


class Server:
    """Application server: announces itself and answers; subclasses change what it does."""

    def __init__(self, deployment, service, instance_id):
        self.deployment, self.service, self.instance_id = deployment, service, instance_id
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.slots = 100
        self.state = "ready"
        self.control = None
        self.work_s = 0.02
        self.beats_s = 1.5
        self.address = None
        self.server = None
        self.connections = set()

    async def start(self, port=0):
        """Listen, on the same port as before after a restart."""
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self.handle(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        """Run a request that is meant for this instance, and answer it."""
        expected = request.header("expected-instance")
        if expected and expected != self.instance_id:
            writer.write(response_bytes(421, [("Instance-Id", self.instance_id)], b""))
            return
        self.record_run(request)
        await asyncio.sleep(self.work_s)
        writer.write(response_bytes(200, self.answer_headers(request), self.answer_body(request)))

    def record_run(self, request):
        """Record that this server began to work on a request."""
        self.deployment.record(
            "run",
            id=request.header("request-id"),
            server=self.instance_id,
            born=self.born,
            method=request.method,
            path=request.path,
            body=request.body.decode("latin-1")[:400],
            body_bytes=len(request.body),
        )

    def answer_headers(self, request):
        """Return the headers of an answer."""
        return [("Request-Id", request.header("request-id")), ("Server-Seal", self.instance_id)]

    def answer_body(self, request):
        """Return the body of an answer, which shows to which request it belongs."""
        return f"answer to {request.header('request-id')}".encode()

    async def announce(self, **changes):
        """Send one heartbeat; return the status of its response, 0 without one in a second."""
        self.sequence += 1
        fields = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "z1",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
            **changes,
        }
        path = f"/-/instances/{self.instance_id}"
        headers = [("Content-Type", "application/json")]
        body = json.dumps(fields).encode()
        response = await call_once(self.control, "PUT", path, headers, body, 1.0)
        return response.status if response is not None else 0

    async def keep_announcing(self):
        """Send heartbeats until cancelled."""
        while True:
            await self.announce()
            await asyncio.sleep(self.beats_s)


# Nodes.


class Node:
    """One machine: a node process and the server beside it."""

    def __init__(self, deployment, name, server, zone, limits):
        self.deployment, self.name, self.server, self.zone = deployment, name, server, zone
        outbound, inbound, control, ready, metrics = free_ports(5)
        self.entry, self.ready, self.control = (HOST, outbound), (HOST, ready), (HOST, control)
        self.inbound, self.metrics, self.limits = inbound, metrics, limits
        self.process = None

    @property
    def settings_path(self):
        """Return the path of the settings file."""
        return self.deployment.directory / f"{self.name}.toml"

    def write_settings(self):
        """Write the settings as the platform does."""
        store = self.deployment.store.address
        app = f"{self.server.address[0]}:{self.server.address[1]}"
        limits = "\n".join(f"{key} = {value}" for key, value in self.limits.items())
        bounds = "\n".join(f"{key} = {value}" for key, value in BOUNDS.items())
        self.settings_path.write_text(
            f"""[self]
nodeName = "{self.name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar", "control"]
ip = "{HOST}"
zone = "{self.zone}"
region = "r1"
firstStart = true
appAddr = "{app}"
service = "{self.server.service}"
[self.limits]
{limits}
[network]
portRange = [{self.metrics - 1}, {self.metrics + 1}]
seedNodes = []
[network.listen]
inbound = "{HOST}:{self.inbound}"
outbound = "{HOST}:{self.entry[1]}"
ready = "{HOST}:{self.ready[1]}"
control = "{HOST}:{self.control[1]}"
[platform]
heartbeatIntervalMs = 1500
[platform.platform]
address = "{store[0]}:{store[1]}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[terms.bounds]
{bounds}
"""
        )

    def start(self):
        """Start the process with the command of the deploy file."""
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "GOOSEBERRYDOCK_CONFIG": str(self.settings_path),
        }
        with (self.deployment.directory / f"{self.name}.log").open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-m", "gooseberrydock.platform"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def end(self, number=signal.SIGKILL):
        """Send a signal to the process, and wait for its end after a kill."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()

    async def is_ready(self):
        """Return whether the node answers the platform's question with 200."""
        response = await call_once(self.ready, "GET", "/-/readyz", timeout_s=1.0)
        return response is not None and response.status == 200


class Deployment:
    """The store, the nodes with their servers, and the record of what was seen."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self.lines, self.nodes, self.tasks = [], [], []
        self.version = 0
        self.store = Store()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-3-")
        self.directory = Path(self.temporary.name)
        self.limits = {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_048_576,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        }

    @property
    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def record(self, event, **fields):
        """Record an event for record.txt; return it."""
        line = {"at": round(self.now, 3), "event": event, **fields}
        self.lines.append(line)
        return line

    def events(self, event):
        """Return the recorded events of a kind."""
        return [line for line in self.lines if line["event"] == event]

    def run_task(self, coroutine):
        """Run a task until the end of the case."""
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def add(self, service, name=None, zone="z1", server_class=Server, limits=None):
        """Start a server and the node beside it."""
        number = len(self.nodes) + 1
        server = server_class(self, service, f"i-{number}a")
        await server.start()
        limits = limits or {"memoryMb": 300, "maxFds": 4100}
        node = Node(self, name or f"node-{number}", server, zone, limits)
        server.control = node.control
        node.write_settings()
        node.start()
        self.nodes.append(node)
        return node

    def configure(self, routes, services, **limits):
        """Write a version of the configuration as the operator does."""
        self.version += 2
        self.limits = {**self.limits, **limits}
        fields = {
            "version": f"{self.version:08x}",
            "routes": routes,
            "services": {name: {"healthPath": "/healthz"} for name in services},
            "limits": self.limits,
        }
        self.store.put("op/config", json.dumps(fields).encode())
        self.record("configured", version=self.version, limits=self.limits)

    async def wait_for(self, condition, what, timeout_s=20.0):
        """Wait for a condition; the case cannot run without it."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"not in time: {what}")

    async def wait_until_served(self, path, method="GET", successes=3):
        """Wait until all nodes are ready and serve a path some times in a row."""
        for node in self.nodes:
            await self.wait_for(node.is_ready, f"{node.name} is ready")
            count = 0

            async def is_served():
                nonlocal count
                headers = client_headers(f"warm-{node.name}-{time.monotonic_ns()}")
                headers = [pair for pair in headers if pair[0] != "Host"]
                reader, writer = await asyncio.open_connection(*node.entry)
                try:
                    async with asyncio.timeout(5.0):
                        pairs = [("Host", ROUTE_HOST), *headers]
                        writer.write(request_bytes(method, path, pairs))
                        response = await read_message(reader)
                except (OSError, TimeoutError, asyncio.IncompleteReadError):
                    response = None
                finally:
                    writer.close()
                served = response is not None and response.status == 200
                count = count + 1 if served else 0
                return count >= successes

            await self.wait_for(is_served, f"{node.name} serves {path}")
        self.record("served", nodes=len(self.nodes))

    async def close(self):
        """End what was started."""
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            node.end()

    def write_record(self):
        """Write record.txt."""
        text = "".join(json.dumps(line) + "\n" for line in self.lines)
        (self.folder / "record.txt").write_text(text)


def client_headers(request_id, deadline_ms=5000):
    """Return the headers of a client's request."""
    return [
        ("Host", ROUTE_HOST),
        ("Request-Id", request_id),
        ("Deadline-Ms", str(deadline_ms)),
    ]


def route(service, prefix, **changes):
    """Return a route as the operator writes it."""
    fields = {
        "host": ROUTE_HOST,
        "prefix": prefix,
        "service": service,
        "kind": "idempotent",
        "timeoutMs": 5_000,
        "targetLatencyMs": 1_500,
        "priority": 1,
        "maxAttempts": 2,
    }
    return {**fields, **changes}


def main(folder, play, timeout_s=110):
    """Play a case: exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def run():
        deployment = Deployment(folder)
        try:
            async with asyncio.timeout(timeout_s):
                await deployment.store.start()
                violations = await play(deployment)
            for violation in violations:
                deployment.record("broken", what=violation)
            code = 1 if violations else 0
        except Exception as error:
            deployment.record("cannot run", why=f"{type(error).__name__}: {error}")
            for node in deployment.nodes:
                log = deployment.directory / f"{node.name}.log"
                tail = log.read_text(errors="replace")[-1500:] if log.exists() else ""
                deployment.record("log", node=node.name, tail=tail)
            code = 2
        finally:
            await deployment.close()
        deployment.record("end", code=code, trouble=deployment.trouble)
        deployment.write_record()
        deployment.temporary.cleanup()
        return code

    code = asyncio.run(run())
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
