"""Measures detection time, false deaths and traffic of membership by size (virtual clock)."""

import statistics
import sys
import time
from collections.abc import Callable

from bench.group import Group
from gooseberrydock.members import MemberState

_QUIET_MS = 20_000.0
_OBSERVATION_MS = 60_000.0
_LOSS = 0.01


def measure_quiet(size: int) -> None:
    """Print traffic, CPU time and false deaths in a group without failures."""
    group = Group(size, 0.0, seed=1)
    started = time.process_time()
    group.run_until(_QUIET_MS)
    used_s = time.process_time() - started
    node_s = _QUIET_MS / 1000 * size
    print(
        f"{size:>6}  quiet: {group.bytes_sent / node_s:7.0f} B/s and "
        f"{group.datagrams / node_s:5.2f} datagrams/s sent per node, "
        f"{used_s / node_s:.3%} of a core per node, "
        f"false deaths {len(group.declared_deaths)}",
        flush=True,
    )


def measure_crash(size: int) -> None:
    """Print how long the other nodes take to learn of one crash, with some datagram loss."""
    group = Group(size, _LOSS, seed=2)
    group.run_until(5_000.0)
    before = group.bytes_sent
    group.unresponsive.add("node-00001")
    group.run_until(5_000.0 + _OBSERVATION_MS)
    times = sorted(
        at_ms - 5_000.0 for at_ms, _, dead in group.declared_deaths if dead == "node-00001"
    )
    false_deaths = sum(1 for _, _, dead in group.declared_deaths if dead != "node-00001")
    rate = (group.bytes_sent - before) / (_OBSERVATION_MS / 1000) / size
    print(
        f"{size:>6}  crash: known to the first after {times[0] / 1000:5.1f} s, to half after "
        f"{statistics.median(times) / 1000:5.1f} s, to {len(times)} of {size - 1} after "
        f"{times[-1] / 1000:5.1f} s; false deaths {false_deaths}; {rate:.0f} B/s per node",
        flush=True,
    )


def measure_pause(size: int) -> None:
    """Print the false deaths and the recovery after one node was paused for 20 s."""
    group = Group(size, _LOSS, seed=3)
    group.run_until(5_000.0)
    group.unresponsive.add("node-00002")
    group.run_until(5_000.0 + 20_000.0)
    group.unresponsive.discard("node-00002")
    group.run_until(5_000.0 + _OBSERVATION_MS)
    false_deaths = sum(1 for _, _, dead in group.declared_deaths if dead != "node-00002")
    observer_count = _count_not_dead(group, "node-00002")
    print(
        f"{size:>6}  pause 20 s: false deaths {false_deaths}; "
        f"seen alive again by {observer_count} of {size - 1}"
    )


def measure_partition(size: int, name: str, is_partitioned: Callable[[str, str], bool]) -> None:
    """Print the deaths declared in a partition of ten minutes, and when the group recovers."""
    group = Group(size, _LOSS, seed=4)
    group.run_until(5_000.0)
    group.is_partitioned = is_partitioned
    group.run_until(600_000.0)
    declared = len(group.declared_deaths)
    group.is_partitioned = lambda a, b: False
    recovered_after_s = None
    for step in range(1, 121):
        group.run_until(600_000.0 + step * 1_000.0)
        if all(_sees_all_alive(group, node_id) for node_id in group.controllers):
            recovered_after_s = step
            break
    print(
        f"{size:>6}  {name} for 10 min: deaths noted {declared}; "
        f"healed after {recovered_after_s} s"
    )


def _count_not_dead(group: Group, node_id: str) -> int:
    return sum(
        1
        for name, controller in group.controllers.items()
        if name != node_id and controller.members[node_id].state is not MemberState.DEAD
    )


def _sees_all_alive(group: Group, node_id: str) -> bool:
    members = group.controllers[node_id].members
    return len(members) == group.size - 1 and all(
        member.state is MemberState.ALIVE for member in members.values()
    )


def _region(node_id: str) -> int:
    return int(node_id.rsplit("-", 1)[1]) % 3


def main() -> None:
    """Measure groups of the sizes given on the command line."""
    sizes = [int(text) for text in sys.argv[1:]] or [12, 60, 300]
    for size in sizes:
        measure_quiet(size)
        measure_crash(size)
        measure_pause(size)
    small = sizes[0]
    measure_partition(small, "one-way cut of one node", lambda a, b: a == "node-00003")
    measure_partition(
        small, "region 0 cut off", lambda a, b: (_region(a) == 0) != (_region(b) == 0)
    )


if __name__ == "__main__":
    main()
