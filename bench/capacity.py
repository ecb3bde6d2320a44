"""Measures the slopes for docs/CAPACITY.md: cost of the control plane per node, by fleet size.

Real nodes run without targets or calls in fleets of several sizes; bytes, CPU time, memory and
store calls are read after the fleet has settled. One member table is then filled to the full size
in this process. All figures are printed and written to out/capacity.json, for the extrapolation
that follows from them.
"""

import argparse
import gc
import json
import math
import random
import resource
import statistics
import time
import tracemalloc
from pathlib import Path
from typing import Any, Final

import attrs

from bench.fleet import Fleet, FleetSpec, ServiceSpec, fetch_json, running_fleet
from bench.group import address_of, create_member
from bench.latency import cpu_seconds, node_pid
from gooseberrydock.configuration import (
    CallStep,
    Configuration,
    ServiceClass,
    decode_configuration,
    encode_configuration,
)
from gooseberrydock.gossip import (
    GossipKind,
    GossipMessage,
    MemberUpdate,
    decode_gossip,
    encode_gossip,
)
from gooseberrydock.members import MemberState
from gooseberrydock.membership import MembershipController, create_membership
from gooseberrydock.routing import create_routing
from gooseberrydock.sheet import render_sheet

FULL_SIZE_MEMBERS: Final = 4_700
FULL_SIZE_SERVICES: Final = 760
CLASSES_PER_SERVICE: Final = 1
_SETTLE_S: Final = 45.0
_MEASUREMENT_S: Final = 20.0
_BYTES_PER_MB: Final = 1024 * 1024
_UDP_IP_HEADER_BYTES: Final = 28
_NODES_PER_SERVICE: Final = 6
_COLUMN_TITLES: Final = (
    "nodes",
    "sent B/s",
    "recv B/s",
    "keyed sent",
    "cpu",
    "keyed cpu",
    "rss MB",
    "store calls/s",
    "in force s",
)


@attrs.frozen
class NodeCost:
    """Medians over the nodes of one fleet; keyed nodes are those that own idempotency keys."""

    nodes: int
    sent_per_s: float
    received_per_s: float
    keyed_sent_per_s: float
    cpu_share: float
    keyed_cpu_share: float
    rss_mb: float
    store_calls_per_s: float
    in_force_s: float


def measure_fleet(nodes: int) -> NodeCost:
    """Run real nodes without calls and return the cost of the control plane per node."""
    services = max(1, nodes // _NODES_PER_SERVICE)
    per_service = nodes // services
    spec = FleetSpec(
        f"capacity-{nodes}",
        ("d1", "d2", "d3"),
        tuple(ServiceSpec(f"s{index}", per_service, 10, 1.0) for index in range(services)),
    )
    out = Path("out")
    with running_fleet(spec, out, has_targets=False) as fleet:
        sheet = out / "capacity.csv"
        sheet.write_text(render_sheet(_classes(services)), encoding="utf-8")
        in_force_s = _apply_and_wait(fleet, sheet)
        time.sleep(_SETTLE_S)
        return _measure_settled(fleet, in_force_s)


def _apply_and_wait(fleet: Fleet, sheet: Path) -> float:
    """Apply a sheet and return the seconds until it is in force on the last node."""
    fleet.ctl("sheet", "apply", str(sheet), "--store", fleet.store)
    started = time.monotonic()
    pending = list(fleet.members)
    while pending:
        pending = [m for m in pending if _generation(m.admin) < 1]
        if time.monotonic() - started > _SETTLE_S:
            raise RuntimeError(f"{len(pending)} nodes do not have the configuration in force")
    return time.monotonic() - started


def _generation(admin: str) -> int:
    return int(fetch_json(f"http://{admin}/status")["generation"])


def _measure_settled(fleet: Fleet, in_force_s: float) -> NodeCost:
    before = [_read_counters(fleet, index) for index in range(len(fleet.members))]
    store_before = _store_calls(fleet)
    started = time.monotonic()
    time.sleep(_MEASUREMENT_S)
    elapsed = time.monotonic() - started
    after = [_read_counters(fleet, index) for index in range(len(fleet.members))]
    store_calls = _store_calls(fleet) - store_before
    deltas = [
        {name: end[name] - start[name] for name in end}
        for start, end in zip(before, after, strict=True)
    ]
    owners = [item for item, end in zip(deltas, after, strict=True) if end["owns_keys"]]
    others = [item for item, end in zip(deltas, after, strict=True) if not end["owns_keys"]]
    return NodeCost(
        nodes=len(fleet.members),
        sent_per_s=_median(others, "sent") / elapsed,
        received_per_s=_median(others, "received") / elapsed,
        keyed_sent_per_s=_median(owners, "sent") / elapsed,
        cpu_share=_median(others, "cpu") / elapsed,
        keyed_cpu_share=_median(owners, "cpu") / elapsed,
        rss_mb=statistics.median(item["rss"] for item in after),
        store_calls_per_s=store_calls / elapsed,
        in_force_s=in_force_s,
    )


def _median(deltas: list[dict[str, float]], name: str) -> float:
    return statistics.median(item[name] for item in deltas) if deltas else math.nan


def _read_counters(fleet: Fleet, index: int) -> dict[str, float]:
    member = fleet.members[index]
    pid = node_pid(member)
    state = fleet.state(member)
    counters = state["counters"]
    return {
        "owns_keys": state["ownership"]["epoch"],
        "cpu": cpu_seconds(pid),
        "sent": counters["gossip_bytes_sent"] + counters["link_bytes_sent"],
        "received": counters["gossip_bytes_received"] + counters["link_bytes_received"],
        "rss": _rss_mb(pid),
    }


def _rss_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def _store_calls(fleet: Fleet) -> int:
    counters = fetch_json(f"http://{fleet.store}/_counters")
    return sum(int(value) for value in counters.values())


def _classes(services: int) -> tuple[ServiceClass, ...]:
    """Create a class for each service, with call paths as deep as in the full-size deployment."""
    classes = []
    for index in range(services * CLASSES_PER_SERVICE):
        depth = 1 + index % 7
        path = tuple(
            CallStep(f"s{(index + step) % services}", f"operation-{step}") for step in range(depth)
        )
        is_idempotent = index % 4 != 0
        classes.append(
            ServiceClass(f"class-{index}", index % 10, path, 600.0, is_idempotent=is_idempotent)
        )
    return tuple(classes)


def measure_full_table() -> dict[str, float]:
    """Fill one member table and one routing table to the full size and measure them."""
    gc.collect()
    tracemalloc.start()
    members = [create_member(index) for index in range(FULL_SIZE_MEMBERS)]
    controller = create_membership(members[0], 1)
    routing = create_routing("domain-0", 1)
    for member in members[1:]:
        controller.on_record(0.0, member, member.node_id)
    for member in controller.drain_changes():
        routing.on_member(0.0, member, is_late_joiner=False)
    table_mb = tracemalloc.get_traced_memory()[0] / _BYTES_PER_MB
    tracemalloc.stop()
    controller.clear_pending_updates()
    result = {"table_mb": table_mb}
    result.update(_time_gossip(controller))
    result["sync_all_kb"] = sum(len(r) for r in controller.records_in(tuple(range(32)))) / 1024
    return result


def _time_gossip(controller: MembershipController) -> dict[str, float]:
    """Measure gossip per second at the full size: timers, probes, responses and one change."""
    key = b"a key for measuring times"
    generator = random.Random(4)
    node_ids = list(controller.members)
    seconds = 300
    started = time.process_time()
    sent_bytes = 0
    for second in range(seconds):
        now_ms = second * 1000.0
        for tick in range(10):
            for item in controller.tick(now_ms + tick * 100):
                data = encode_gossip(item.gossip, key)
                sent_bytes += len(data) + _UDP_IP_HEADER_BYTES
                ack = GossipMessage(
                    GossipKind.ACK, item.gossip.sequence, item.gossip.probed_node_id, "", 1, ()
                )
                controller.on_gossip(now_ms, ack, item.address)
        subject = controller.members[generator.choice(node_ids)]
        changed = attrs.evolve(subject, version=subject.version + 1, state=MemberState.ALIVE)
        ping = GossipMessage(
            GossipKind.PING, second, subject.node_id, "", 1, (MemberUpdate(changed, "x"),)
        )
        decoded = decode_gossip(encode_gossip(ping, key), key, "")
        for item in controller.on_gossip(now_ms, decoded, address_of(subject.node_id)):
            sent_bytes += len(encode_gossip(item.gossip, key)) + _UDP_IP_HEADER_BYTES
    used_s = time.process_time() - started
    return {"gossip_cpu_share": used_s / seconds, "gossip_sent_per_s": sent_bytes / seconds}


def measure_configuration() -> dict[str, float]:
    """Measure size and decoding of a configuration with the full number of services."""
    configuration = Configuration(1, "w", "a", _classes(FULL_SIZE_SERVICES))
    payload = encode_configuration(configuration)
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    started = time.process_time()
    decode_configuration(payload)
    used_ms = (time.process_time() - started) * 1000
    peak_rss_growth_mb = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024
    return {
        "payload_kb": len(payload) / 1024,
        "decode_ms": used_ms,
        "decode_grown_mb": peak_rss_growth_mb,
        "bytes_per_s_at_1600_a_day": len(payload) * 2 * 1_600 / 86_400,
    }


def main() -> None:
    """Measure the figures, print them and write them to a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int, help="fleet sizes to run, in nodes")
    sizes = parser.parse_args().sizes or [3, 12, 48, 96]
    print("".join(f"{name:>14}" for name in _COLUMN_TITLES))
    rows: list[dict[str, Any]] = []
    for size in sizes:
        cost = measure_fleet(size)
        rows.append(attrs.asdict(cost))
        print(
            f"{cost.nodes:>14}{cost.sent_per_s:>14.0f}{cost.received_per_s:>14.0f}"
            f"{cost.keyed_sent_per_s:>14.0f}{cost.cpu_share:>14.2%}{cost.keyed_cpu_share:>14.2%}"
            f"{cost.rss_mb:>14.1f}{cost.store_calls_per_s:>14.2f}{cost.in_force_s:>14.2f}",
            flush=True,
        )
    table = measure_full_table()
    configuration = measure_configuration()
    for name, value in {**table, **configuration}.items():
        print(f"{name:>28} {value:.4g}")
    result = {"fleets": rows, "table": table, "configuration": configuration}
    Path("out/capacity.json").write_text(json.dumps(result, indent=2), encoding="utf-8")


if __name__ == "__main__":
    main()
