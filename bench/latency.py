"""Measures the latency that two nodes add to a call, against a direct call in the same run.

Direct, forwarded and routed calls alternate, one at a time, on loopback, with 200-byte bodies and
five headers. Forwarded calls pass through two processes that only copy bytes, which is the lower
bound for any two trio processes on this host. The added latency at a quantile is that quantile
minus the same quantile of the direct calls. The CPU time of each node over the routed calls is
read from the operating system.
"""

import os
import socket
import sys
import time
from pathlib import Path
from typing import Final

import attrs

from bench.fleet import (
    HOST,
    Fleet,
    FleetMember,
    FleetSpec,
    ServiceSpec,
    free_ports,
    running_fleet,
)

_FLEET_SPEC: Final = FleetSpec(
    "latency",
    ("one",),
    (ServiceSpec("front", 1, 64, 0.0), ServiceSpec("back", 1, 64, 0.0)),
)
_SHEET: Final = """\
service_class,priority,expected_per_minute,call_path
bench,0,60000,back/work
"""
_WARM_UP_CALLS: Final = 1_000
_CALLS: Final = 6_000
_IDLE_S: Final = 5.0
_BODY: Final = b"x" * 200
_QUANTILES: Final = (0.5, 0.9, 0.99)
_MS_PER_S: Final = 1000.0
_MS_PER_NS: Final = 1e-6


@attrs.define
class RawCaller:
    """Send HTTP requests on one connection, one at a time, without an HTTP library."""

    _socket: socket.socket
    _request: bytes

    def measure_call_ms(self) -> float:
        """Send a request, read the whole response, and return the elapsed milliseconds."""
        started = time.perf_counter_ns()
        self._socket.sendall(self._request)
        data = b""
        while not _is_complete(data):
            received = self._socket.recv(65_536)
            if not received:
                raise RuntimeError(f"connection closed before the whole response arrived: {data!r}")
            data += received
        elapsed_ms = (time.perf_counter_ns() - started) * _MS_PER_NS
        if not data.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(data.decode("latin-1"))
        return elapsed_ms


def _is_complete(data: bytes) -> bool:
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            return len(body) >= int(value)
    return False


def create_caller(address: str, path: str) -> RawCaller:
    """Connect to an address and return a caller for one path."""
    host, port = address.rsplit(":", 1)
    connection = socket.create_connection((host, int(port)))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    headers = f"host: {address}\r\ncontent-length: {len(_BODY)}\r\naccept: */*\r\n"
    headers += "user-agent: bench\r\nx-request: 1\r\n"
    return RawCaller(connection, f"POST {path} HTTP/1.1\r\n{headers}\r\n".encode() + _BODY)


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def node_pid(member: FleetMember) -> int:
    """Return the process id of a member's node."""
    if member.node_process is None:
        raise RuntimeError(f"{member.node_id} is not running")
    return member.node_process.pid


def quantile(values: list[float], probability: float) -> float:
    """Return a quantile of measured values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(probability * len(ordered)))]


@attrs.frozen
class Times:
    """Latencies of the calls by path, in milliseconds."""

    direct: list[float]
    forwarded: list[float]
    routed: list[float]


def measure(fleet: Fleet, calls: int) -> Times:
    """Measure calls on all three paths, alternating between them."""
    entry_member, target_member = fleet.members
    callers = [
        create_caller(target_member.target, "/work"),
        create_caller(_start_forwarders(fleet, target_member.target), "/work"),
        create_caller(entry_member.entry, "/back/work"),
    ]
    for _ in range(_WARM_UP_CALLS):
        for caller in callers:
            caller.measure_call_ms()
    rows = [[caller.measure_call_ms() for caller in callers] for _ in range(calls)]
    direct, forwarded, routed = (list(column) for column in zip(*rows, strict=True))
    return Times(direct, forwarded, routed)


def _start_forwarders(fleet: Fleet, target: str) -> str:
    """Start two chained forwarders and return the address of the first."""
    first, second = free_ports(2)
    fleet.run_module("bench.forwarder", str(second), target.rsplit(":", 1)[1])
    fleet.wait_for_port(f"{HOST}:{second}")
    fleet.run_module("bench.forwarder", str(first), str(second))
    fleet.wait_for_port(f"{HOST}:{first}")
    return f"{HOST}:{first}"


def run(out: Path, calls: int) -> None:
    """Measure the latency and CPU time of two nodes and print them."""
    out.mkdir(exist_ok=True)
    sheet = out / "latency.csv"
    sheet.write_text(_SHEET, encoding="utf-8")
    with running_fleet(_FLEET_SPEC, out) as fleet:
        fleet.apply_sheet(sheet)
        pids = [node_pid(member) for member in fleet.members]
        before = [cpu_seconds(pid) for pid in pids]
        time.sleep(_IDLE_S)
        idle = [cpu_seconds(pid) - used for pid, used in zip(pids, before, strict=True)]
        before = [cpu_seconds(pid) for pid in pids]
        times = measure(fleet, calls)
        used = [cpu_seconds(pid) - start for pid, start in zip(pids, before, strict=True)]
    print_table(times)
    for name, seconds, idle_s in zip(("entry node", "target node"), used, idle, strict=True):
        per_call = seconds / (calls + _WARM_UP_CALLS) * _MS_PER_S
        print(f"{name}: {per_call:.3f} ms of processor per call, idle {idle_s / _IDLE_S:.2%}")


def print_table(times: Times) -> None:
    """Print the quantiles of each path and the latency that it adds to a direct call."""
    print(f"{'ms':<18}" + "".join(f"{f'p{probability * 100:g}':>9}" for probability in _QUANTILES))
    rows: dict[str, list[float]] = {}
    for name, values in attrs.asdict(times).items():
        rows[name] = [quantile(values, probability) for probability in _QUANTILES]
    for name in ("forwarded", "routed"):
        pairs = zip(rows[name], rows["direct"], strict=True)
        rows[f"{name} adds"] = [value - direct for value, direct in pairs]
    for name, row in rows.items():
        print(f"{name:<18}" + "".join(f"{value:>9.3f}" for value in row))
    pairs = zip(rows["routed adds"], rows["forwarded adds"], strict=True)
    print(f"{'ratio to floor':<18}" + "".join(f"{routed / floor:>9.2f}" for routed, floor in pairs))


if __name__ == "__main__":
    run(Path("out"), int(sys.argv[1]) if len(sys.argv) > 1 else _CALLS)
