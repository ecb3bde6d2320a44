"""Runs a fleet of real processes on loopback: store, nodes and stand-in targets.

The product's own processes start no other processes, so this is a development tool and not part
of the product's binaries. It stops exactly the processes that it started.
"""

import enum
import itertools
import json
import os
import socket
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

import attrs

HOST: Final = "127.0.0.1"
_START_TIMEOUT_S: Final = 90.0
_STOP_TIMEOUT_S: Final = 10.0
_POLL_INTERVAL_S: Final = 0.05
_ANNOUNCE_INTERVAL_S: Final = 2.0
_PORT_RANGE: Final = range(20_000, 32_000)
"""Ports below the ephemeral range; outgoing connections occupy ports of that range."""
_FIRST_PORT_INDEX: Final = os.getpid() * 61 % len(_PORT_RANGE)
"""Differs by process, so that fleets of concurrent test processes seldom try the same ports."""
_PORTS: Final = itertools.cycle(
    [*_PORT_RANGE[_FIRST_PORT_INDEX:], *_PORT_RANGE[:_FIRST_PORT_INDEX]]
)


@attrs.frozen
class ServiceSpec:
    """Servers of one service and the calls that its operations make."""

    name: str
    servers: int
    slots: int
    """Requests that each server runs concurrently."""
    service_ms: float
    calls: tuple[str, ...] = ()
    """Calls in the form ``operation=service/operation``."""


@attrs.frozen
class FleetSpec:
    """Services and failure domains of one deployment."""

    name: str
    domains: tuple[str, ...]
    services: tuple[ServiceSpec, ...]


class Mode(enum.Enum):
    """Kind of overload control between callers and targets; all but the first run no nodes."""

    CONTROLLED = "gooseberrydock"
    NO_CONTROL = "no control"
    FIXED_LIMITS = "fixed limits, per-hop retries"


BASELINE_RETRIES_PER_HOP: Final = 2
UNLIMITED_QUEUE_LENGTH: Final = 1_000_000


@attrs.define
class FleetMember:
    """Processes and ``host:port`` addresses of one node and its target."""

    node_id: str
    service: ServiceSpec
    domain: str
    entry: str
    local: str
    peer: str
    gossip: str
    admin: str
    target: str
    node_process: "subprocess.Popen[bytes] | None" = None
    target_process: "subprocess.Popen[bytes] | None" = None


def free_ports(count: int) -> list[int]:
    """Return ports below the ephemeral range that nothing listens on."""
    ports: list[int] = []
    while len(ports) < count:
        port = next(_PORTS)
        if _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True


@attrs.define
class Fleet:
    """Start, inspect and stop the processes of one deployment."""

    spec: FleetSpec
    log_path: Path
    mode: Mode = Mode.CONTROLLED
    has_targets: bool = True
    store: str = ""
    members: list[FleetMember] = attrs.field(factory=list)
    _processes: list["subprocess.Popen[bytes]"] = attrs.field(factory=list)

    def start(self) -> None:
        """Start the store and the mode's nodes and targets, and wait until they are reachable."""
        self.store = f"{HOST}:{free_ports(1)[0]}"
        self.run_module("gooseberrydock.standin_main", "store", "--listen", self.store)
        self.wait_for_port(self.store)
        for service in self.spec.services:
            for index in range(service.servers):
                domain = self.spec.domains[index % len(self.spec.domains)]
                self.members.append(_plan_member(service, index, domain))
        if self.mode is not Mode.CONTROLLED:
            self._start_baseline()
            return
        for member in self.members:
            self.start_node(member)
        for member in self.members:
            if self.has_targets:
                self.start_target(member)
            else:
                self._announce_placeholder_target(member)
        self.wait_until_joined()

    def _announce_placeholder_target(self, member: FleetMember) -> None:
        """Announce, periodically from this process, a target that never receives a call."""
        self.wait_for_port(member.local)
        fields = {
            "service": member.service.name,
            "address": member.target,
            "slots": member.service.slots,
        }
        url = f"http://{member.local}/_gooseberrydock/announce"
        threading.Thread(
            target=_announce_until_unreachable, args=(url, fields), daemon=True
        ).start()

    def _start_baseline(self) -> None:
        """Start targets that call each other directly, without nodes."""
        for member in self.members:
            self.start_target(member)
        for member in self.members:
            self.wait_for_port(member.target)
            member.entry = member.target

    def start_node(self, member: FleetMember) -> None:
        """Start a member's node."""
        member.node_process = self.run_module(
            "gooseberrydock.node_main",
            *("--node-id", member.node_id, "--failure-domain", member.domain),
            *("--entry-listen", member.entry, "--local-listen", member.local),
            *("--peer-listen", member.peer, "--gossip-listen", member.gossip),
            *("--admin-listen", member.admin, "--store", self.store),
            *("--seed", self.members[0].gossip, "--log-level", "warning"),
        )

    def start_target(self, member: FleetMember) -> None:
        """Start a member's target."""
        service = member.service
        calls = [part for call in service.calls for part in ("--calls", call)]
        member.target_process = self.run_module(
            "gooseberrydock.standin_main",
            *("--log-level", "warning", "target"),
            *("--service", service.name, "--listen", member.target),
            *("--node-local", member.local, "--slots", str(service.slots)),
            *("--service-ms", str(service.service_ms), *calls),
            *self._baseline_arguments(service),
        )

    def _baseline_arguments(self, service: ServiceSpec) -> list[str]:
        """Return the additional flags of a target in a baseline, which runs without a node."""
        if self.mode is Mode.CONTROLLED:
            return []
        queue = UNLIMITED_QUEUE_LENGTH if self.mode is Mode.NO_CONTROL else service.slots
        arguments = ["--queue", str(queue), "--hop-retries", str(BASELINE_RETRIES_PER_HOP)]
        for name in {member.service.name for member in self.members}:
            addresses = ",".join(member.target for member in self.members_of(name))
            arguments += ["--direct", f"{name}={addresses}"]
        return arguments

    def ctl(self, *arguments: str) -> str:
        """Run the operators' command-line tool and return its output."""
        command = [sys.executable, "-m", "gooseberrydock.ctl_main", *arguments]
        completed = subprocess.run(command, capture_output=True, text=True, check=False)
        if completed.returncode:
            raise RuntimeError(f"{' '.join(arguments)}: {completed.stdout}{completed.stderr}")
        return completed.stdout

    def admin_arguments(self) -> list[str]:
        """Return the flags that list the admin addresses of all nodes."""
        return [part for member in self.members for part in ("--admin", member.admin)]

    def apply_sheet(self, path: Path) -> str:
        """Apply a sheet and wait until it is in force on all nodes."""
        arguments = ["sheet", "apply", str(path), "--store", self.store, "--wait"]
        return self.ctl(*arguments, *self.admin_arguments())

    def members_of(self, name: str) -> list[FleetMember]:
        """Return the members of one service."""
        return [member for member in self.members if member.service.name == name]

    def state(self, member: FleetMember) -> dict[str, Any]:
        """Return a node's state dump."""
        return fetch_json(f"http://{member.admin}/state")

    def kill(self, process: "subprocess.Popen[bytes] | None") -> None:
        """Kill one process of this fleet without a graceful stop."""
        if process is not None and process in self._processes:
            process.kill()
            process.wait()

    def stop(self) -> None:
        """Stop all processes of this fleet."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
        for process in self._processes:
            process.wait(_STOP_TIMEOUT_S)

    def run_module(self, module: str, *arguments: str) -> "subprocess.Popen[bytes]":
        """Start a Python module as a process of this fleet."""
        with self.log_path.open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments], stdout=log, stderr=log
            )
        self._processes.append(process)
        return process

    def wait_for_port(self, address: str) -> None:
        """Wait until something listens on an address."""
        host, port = address.rsplit(":", 1)
        deadline = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline:
            with socket.socket() as probe:
                if probe.connect_ex((host, int(port))) == 0:
                    return
            time.sleep(_POLL_INTERVAL_S)
        raise RuntimeError(f"nothing listens on {address}")

    def wait_until_joined(self) -> None:
        """Wait until every node knows every target of the fleet."""
        deadline = time.monotonic() + _START_TIMEOUT_S
        while not all(self._has_joined(member) for member in self.members):
            if time.monotonic() > deadline:
                raise RuntimeError("not every node discovered all targets in time")
            time.sleep(_POLL_INTERVAL_S)

    def _has_joined(self, member: FleetMember) -> bool:
        try:
            state = self.state(member)
        except (OSError, urllib.error.URLError):
            return False
        members_with_target = [item for item in state["members"] if item["service"]]
        has_own_target = bool(state["status"]["service"])
        return has_own_target and len(members_with_target) == len(self.members) - 1


def _announce_until_unreachable(url: str, fields: dict[str, Any]) -> None:
    """Send the same announcement periodically until the node is unreachable."""
    while True:
        try:
            request = urllib.request.Request(url, json.dumps(fields).encode(), method="POST")
            urllib.request.urlopen(request, timeout=5.0).close()
        except OSError:
            return
        time.sleep(_ANNOUNCE_INTERVAL_S)


def _plan_member(service: ServiceSpec, index: int, domain: str) -> FleetMember:
    ports = free_ports(6)
    entry, local, peer, gossip, admin, target = (f"{HOST}:{port}" for port in ports)
    node_id = f"{service.name}-{index + 1}"
    return FleetMember(node_id, service, domain, entry, local, peer, gossip, admin, target)


def fetch_json(url: str, body: dict[str, Any] | None = None) -> dict[str, Any]:
    """Send a GET, or a POST with a JSON body, and return the JSON response."""
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(url, data, timeout=5.0) as response:
        result: dict[str, Any] = json.load(response)
    return result


@contextmanager
def running_fleet(
    spec: FleetSpec,
    out_dir: Path,
    mode: Mode = Mode.CONTROLLED,
    has_targets: bool = True,
) -> Iterator[Fleet]:
    """Start a fleet and stop it at the end of the with block."""
    out_dir.mkdir(parents=True, exist_ok=True)
    fleet = Fleet(spec, out_dir / f"{spec.name}.log", mode, has_targets)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()
