"""A small deployment on loopback addresses: store, servers, clients and the product's processes.

The stand-ins need the standard library only. They speak what the platform's protocol page says.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from functools import partial
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
RESTART_DELAY_S = 0.8


class CouldNotRun(Exception):
    """The case could not be played, so that it says nothing about the rule."""


class Record:
    """Write what happens, with the seconds since the start of the case."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self):
        return time.monotonic() - self._started

    def add(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now():9.3f} {event} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


# HTTP messages.


async def read_message(reader, on_head=None):
    """Return the start line, headers and body of one message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    if on_head is not None:
        await on_head(lines[0], headers)
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b""
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def message_bytes(start_line, headers, body=b""):
    lines = [start_line] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, path, body=b"", headers=None, timeout_s=1.0):
    """Send one request on a new connection; return (status, headers, body), status 0 if none."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
            writer.write(
                message_bytes(f"{method} {path} HTTP/1.1", {"Host": "x", **(headers or {})}, body)
            )
            await writer.drain()
            message = await read_message(reader)
    except (TimeoutError, OSError):
        message = None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, {}, b""
    return int(message[0].split()[1]), message[1], message[2]


# The platform's store.


class Store:
    """The platform's metadata store; loses nothing that it has acknowledged."""

    def __init__(self, host, port):
        self.address = f"{host}:{port}"
        self._items = {}
        self._history = []
        self._revision = 100
        self._leases = {}
        self._next_lease = 77_000
        self._changed = asyncio.Event()

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 24)
        self._expiry = asyncio.create_task(self._expire_leases())

    def put(self, key, value, lease=0):
        self._revision += 1
        made = self._items.get(key, {}).get("createdRev", self._revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "createdRev": made,
            "lease": lease,
        }
        self._items[key] = item
        self._add_event(item)

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._add_event({"key": key, "revision": self._revision, "tombstone": True})

    def _add_event(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self._leases.items()):
                if ends_at < now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key in [key for key, item in self._items.items() if item["lease"] == lease]:
            self._remove(key)

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while message := await read_message(reader):
                method, target, _ = message[0].split(" ", 2)
                path, _, query_text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query_text))
                fields = json.loads(message[2] or b"{}") or {}
                await asyncio.sleep(0.004)
                status, answer = await self._answer(method, path, query, fields)
                body = json.dumps(answer).encode()
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(message_bytes(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        writer.close()

    async def _answer(self, method, path, query, fields):
        if path == "/-/kv-key":
            item = self._items.get(query["key"])
            return (200, {**item, "storeRevision": self._revision}) if item else (404, {})
        if path == "/-/kv-range":
            keys = sorted(k for k in self._items if k.startswith(query["prefix"]))
            items = [self._items[key] for key in keys if key > query.get("after", "")]
            return 200, {"items": items, "truncated": False, "storeRevision": self._revision}
        if path == "/-/kv-watch":
            return await self._watch(query["prefix"], int(query["after"]), int(query["waitMs"]))
        if path == "/-/kv-txn":
            return self._transact(fields)
        if path == "/-/kv-lease":
            self._next_lease += 1
            ttl_ms = fields["ttlMs"]
            self._leases[self._next_lease] = (ttl_ms, time.monotonic() + ttl_ms / 1_000)
            return 200, {"lease": self._next_lease, "ttlMs": ttl_ms}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self._leases:
            return 404, {}
        if path.startswith("/-/kv-keep/"):
            ttl_ms = self._leases[lease][0]
            self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1_000)
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, prefix, after, wait_ms):
        ends_at = time.monotonic() + wait_ms / 1_000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "storeRevision": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _transact(self, fields):
        rows = fields.get("expected", [])
        if any(self._items.get(r["key"], {}).get("revision", 0) != r["revision"] for r in rows):
            items = [self._items[r["key"]] for r in rows if r["key"] in self._items]
            return 412, {"items": items}
        puts = fields.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self._leases for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in fields.get("deletes", []):
            self._remove(key)
        return 200, {"revision": self._revision}


# Servers.


class Server:
    """An application server, which announces itself to the node on its machine."""

    def __init__(self, record, service, host, port, control, slots=40, heartbeat_s=1.5):
        self.service = service
        self.host, self.port = host, port
        self.address = f"{host}:{port}"
        self.instance_id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.state = "ready"
        self.is_leaving = False
        self.work_s = 0.05
        self.announces = True
        self.runs = []
        """Runs so far, each as a dictionary with request id, path and times."""
        self.crashes_on = lambda path: False
        self.answers_early = lambda path: False
        """Whether a request is answered once its head is read; its body is read later."""
        self.read_on_after_s = 0.0
        self.early_answers = []
        """When each of these requests reached the server, and its id."""
        self.is_up = False
        self._slots = slots
        self._control = control
        self._heartbeat_s = heartbeat_s
        self._record = record
        self._connections = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 16, reuse_address=True
        )
        self.is_up = True
        self._task = asyncio.create_task(self._heartbeats())

    def crash(self):
        """End at once: no listener, and all connections are reset."""
        self.is_up = False
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def restart(self):
        """Start as a new boot with a new id."""
        self.instance_id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 16, reuse_address=True
        )
        self.is_up = True
        self._record.add("server_started", server=self.instance_id, service=self.service)
        await self.announce()

    def heartbeat(self):
        """Return the path and the body of the next heartbeat."""
        self.sequence += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self._slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return f"/-/instances/{self.instance_id}", json.dumps(fields).encode()

    async def announce(self):
        path, body = self.heartbeat()
        return await self.send_heartbeat(path, body)

    async def send_heartbeat(self, path, body):
        headers = {"Content-Type": "application/json"}
        return (await call(self._control, "PUT", path, body, headers))[0]

    async def deregister(self):
        """Leave without prior notice; from now on the answers state it."""
        self.is_leaving = True
        body = json.dumps({"born": self.born}).encode()
        headers = {"Content-Type": "application/json"}
        path = f"/-/instances/{self.instance_id}"
        return (await call(self._control, "DELETE", path, body, headers))[0]

    async def _heartbeats(self):
        while True:
            if self.is_up and self.announces:
                await self.announce()
            await asyncio.sleep(self._heartbeat_s)

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while message := await read_message(reader, partial(self._answer_early, writer)):
                if self.answers_early(message[0].split()[1]):
                    self._record.add("body_read", server=self.instance_id, bytes=len(message[2]))
                elif not await self._handle(reader, writer, message):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer_early(self, writer, start_line, headers):
        """Reject a long request before its body is read, and read on after some time."""
        if not self.answers_early(start_line.split()[1]):
            return
        request_id = headers.get("request-id", "")
        self.early_answers.append((self._record.now(), request_id))
        self._record.add("answered_early", server=self.instance_id, request=request_id)
        answer = {"Request-Id": request_id, "Server-Seal": f"seal-{request_id}"}
        if self.is_leaving:
            answer["Server-Leaving"] = "1"
        writer.write(message_bytes("HTTP/1.1 422 Unprocessable Content", answer))
        await asyncio.sleep(self.read_on_after_s)

    async def _handle(self, reader, writer, message):
        start_line, headers, body = message
        path = start_line.split()[1]
        request_id = headers.get("request-id", "")
        expected = headers.get("expected-instance", self.instance_id)
        if expected != self.instance_id:
            answer = {"Instance-Id": self.instance_id, "Request-Id": request_id}
            writer.write(message_bytes("HTTP/1.1 421 Misdirected Request", answer))
            return True
        run = {
            "id": request_id,
            "path": path,
            "size": len(body),
            "at": self._record.now(),
            "server": self.instance_id,
            "caller": headers.get("caller-service", ""),
            "ended": None,
            "is_dropped": False,
        }
        self.runs.append(run)
        self._record.add(
            "run", server=self.instance_id, request=request_id, path=path, bytes=len(body)
        )
        if self.crashes_on(path):
            self._record.add("server_crashed", server=self.instance_id, request=request_id)
            self.crash()
            return False
        # Most servers drop a request when its connection closes.
        work = asyncio.create_task(asyncio.sleep(self.work_s))
        closed = asyncio.create_task(reader.read(1))
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        run["ended"] = self._record.now()
        if not work.done():
            work.cancel()
            run["is_dropped"] = True
            self._record.add("run_dropped", server=self.instance_id, request=request_id)
            return False
        if closed.done():
            return False
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        answer = {"Request-Id": request_id, "Server-Seal": f"seal-{request_id}"}
        if self.is_leaving:
            answer["Server-Leaving"] = "1"
        content = b"answer " + request_id.encode()
        writer.write(message_bytes("HTTP/1.1 200 OK", answer, content))
        await writer.drain()
        return True


# The product's processes.


class Node:
    """One machine: its settings file and the product's process on it."""

    def __init__(self, deployment, name, host, service, ports, memory_mb, max_fds):
        self.name, self.host, self.service = name, host, service
        self.addresses = {key: f"{host}:{port}" for key, port in ports.items()}
        self.process = None
        self.ends_by_itself = 0
        self._deployment = deployment
        self._max_fds = max_fds
        self._memory_mb = memory_mb
        self._is_killed = False
        self._settings = deployment.folder / f"{name}.toml"
        self._settings.write_text(self._settings_text(ports))

    def _settings_text(self, ports):
        a = self.addresses
        return f"""[self]
nodeName = "{self.name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar", "control"]
ip = "{self.host}"
zone = "zone-a"
region = "region-a"
countsAsLoss = false
firstStart = true
appAddr = "{a['app']}"
service = "{self.service}"
[self.limits]
cpuShare = 0.86
cores = 2
memoryMb = {self._memory_mb}
maxFds = {self._max_fds}
linkMbps = 1000.0
diskMb = 0
[network]
portRange = [{ports['range']}, {ports['range'] + 15}]
seedNodes = []
[network.listen]
inbound = "{a['inbound']}"
outbound = "{a['outbound']}"
ready = "{a['ready']}"
control = "{a['control']}"
[network.zones]
zone-a = "region-a"
[platform]
discovery = "static"
entry = "static"
heartbeatIntervalMs = 1500
[platform.platform]
address = "{self._deployment.store.address}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[terms]
contracts = ["base","drain","config","cost","retry","recover","pressure","platform"]
[terms.faultTolerance]
machines = 3
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
budgetSlack = 47
recoverS = 15
"""

    async def start(self):
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["GOOSEBERRYDOCK_CONFIG"] = str(self._settings)
        log = open(self._deployment.folder / f"{self.name}.log", "ab")
        self._is_killed = False
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "gooseberrydock.platform",
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            preexec_fn=self._limit_descriptors,
        )
        log.close()
        self._deployment.record.add("node_started", node=self.name, pid=self.process.pid)

    def _limit_descriptors(self):
        import resource

        # The platform limits the descriptors of each process.
        _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
        limit = self._max_fds if most == resource.RLIM_INFINITY else min(self._max_fds, most)
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    def kill(self):
        """Kill the process, as the platform does in an impairment."""
        self._is_killed = True
        self._deployment.record.add("node_killed", node=self.name)
        self.process.kill()

    async def supervise(self):
        """Restart the process a short time after its end, as the platform does."""
        while True:
            process = self.process
            status = await process.wait()
            if not self._is_killed:
                self.ends_by_itself += 1
                self._deployment.record.add("node_ended_by_itself", node=self.name, status=status)
                text = (self._deployment.folder / f"{self.name}.log").read_text(errors="replace")
                for line in text.splitlines()[-3:]:
                    self._deployment.record.add("node_output", node=self.name, line=line[:300])
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start()


class Deployment:
    """The machines of one case, with their store and servers."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.nodes = []
        self.servers = []
        self.version = 0
        self._tasks = []
        self._request_numbers = iter(range(1, 1 << 30))

    async def start(self, services, memory_mb=300, max_fds=4100, slots=40, limits=None):
        """Start the store, and a machine with a server for each name in ``services``."""
        self._limits = limits or {}
        hosts = [f"127.0.0.{11 + number}" for number in range(len(services))]
        ports = _find_ports(["127.0.0.1", *hosts])
        self.store = Store("127.0.0.1", ports["store"])
        await self.store.start()
        for number, (host, service) in enumerate(zip(hosts, services, strict=True)):
            node = Node(self, f"sidecar-zone-a-{number}", host, service, ports, memory_mb, max_fds)
            server = Server(
                self.record, service, host, ports["app"], node.addresses["control"], slots
            )
            self.nodes.append(node)
            self.servers.append(server)
        for server in self.servers:
            await server.start()
        for node in self.nodes:
            await node.start()
            self.run(node.supervise())

    def run(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    def configure(self, routes):
        """Write a configuration as the operator does; returns when the store has it."""
        self.version += 5
        services = sorted({server.service for server in self.servers})
        fields = {
            "version": f"{self.version:08x}",
            "routes": routes,
            "services": {
                name: {
                    "healthPath": "/healthz",
                    "maxConnections": 1348,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
                **self._limits,
            },
        }
        self.store.put("op/config", json.dumps(fields).encode())
        self.record.add("configuration_acknowledged", version=fields["version"])

    async def is_ready(self, node):
        return (await call(node.addresses["ready"], "GET", "/-/readyz"))[0] == 200

    async def wait_until_ready(self, timeout_s=20.0):
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            states = [await self.is_ready(node) for node in self.nodes]
            if all(states):
                self.record.add("all_nodes_ready")
                return
            await asyncio.sleep(0.2)
        raise CouldNotRun("the nodes did not become ready")

    async def wait_until_served(self, node, path, timeout_s=20.0):
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if (await self.request(node, path))[0] == 200:
                return
            await asyncio.sleep(0.2)
        raise CouldNotRun(f"{path} is not served")

    async def request(
        self,
        node,
        path,
        method="GET",
        body=b"",
        deadline_ms=5000,
        leave_after_s=None,
        host="app.example",
    ):
        """Send one request of a client; return its status, 0 if it has no whole answer."""
        request_id = f"{next(self._request_numbers):016x}"
        headers = {"Host": host, "Request-Id": request_id, "Deadline-Ms": deadline_ms}
        self.record.add("request", node=node.name, request=request_id, path=path, bytes=len(body))
        timeout_s = leave_after_s if leave_after_s is not None else deadline_ms / 1_000 + 1
        status, answer, content = await call(
            node.addresses["outbound"], method, path, body, headers, timeout_s
        )
        event = "left" if leave_after_s is not None and not status else "answer"
        code = answer.get("gooseberrydock-code", "")
        self.record.add(event, request=request_id, status=status, code=code)
        return status, request_id

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node._is_killed = True
                with contextlib.suppress(ProcessLookupError):
                    node.process.kill()
                await node.process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(service, prefix, **changes):
    fields = {
        "host": "app.example",
        "prefix": prefix,
        "kind": "idempotent",
        "timeoutMs": 5000,
        "targetLatencyMs": 1200,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
    }
    return {**fields, **changes}


def _find_ports(hosts):
    """Return ports that are free on all addresses; the ports are the same on all machines."""
    names = ["inbound", "outbound", "ready", "control", "app", "store"]
    for _ in range(200):
        base = random.randrange(20_000, 30_000, 32)
        numbers = {name: base + offset for offset, name in enumerate(names)}
        numbers["range"] = base + 8
        if all(_is_free(host, port) for host in hosts for port in range(base, base + 26)):
            return numbers
    raise CouldNotRun("no free ports")


def _is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def main(play):
    """Play a case; ``play`` takes a deployment and returns whether the rule was broken."""
    folder = Path(sys.argv[0]).resolve().parent
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the build of deploy/system.toml first")
        sys.exit(NOT_RUN)
    sys.exit(asyncio.run(_play(play, folder / "record.txt")))


async def _play(play, record_path):
    deployment = Deployment(record_path)
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(110):
            is_broken = await play(deployment)
        result = BROKEN if is_broken else HELD
    except (Exception, asyncio.CancelledError) as error:
        # Whatever ends the case early, it says nothing about the rule.
        deployment.record.add("could_not_run", reason=repr(error))
        print(f"could not run: {error!r}")
        result = NOT_RUN
    finally:
        await deployment.stop()
    deployment.record.add("result", exit=result)
    deployment.record.close()
    print({BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "not run"}[result])
    return result
