"""Clients that stay within no limits, among the others of the soak."""

import random
import re
from collections.abc import Callable
from pathlib import Path
from typing import Final

import attrs
import trio

from tests.crowds import Crowd, Pieces, chunked, present, unfinished_head, with_length
from tests.platform_fleet import FleetNode, PlatformFleet

MACHINE: Final = {"memoryMb": 120, "maxFds": 700}
"""Limits of the nodes' machines, so small that a crowd meets them."""
_BYTES_PER_MB: Final = 1_000_000
_MAX_BODY_BYTES: Final = 1_000_000
"""The limit that ``tests.platform_fleet`` configures."""
_INTERVAL_S: Final = 2.0
_STAY_RANGE_S: Final = (0.5, 2.5)
_PATH: Final = "/upload/crowd"
_ENDED_BY_HARNESS: Final = (None, 0, -9, -15)
_PEAK_PATTERN: Final = re.compile(r"^VmHWM:\s+(\d+) kB$", re.MULTILINE)


@attrs.define(eq=False)
class CrowdSoak:
    """Play crowds at random nodes and check the bounds of their processes.

    No request of a crowd is ever complete, so that none may run.
    """

    _fleet: PlatformFleet
    _random: random.Random
    _record_event: Callable[[str, str], None]
    _report: Callable[[str], None]

    async def inject(self, until: float) -> None:
        """Play crowds, some of them together, until the given time."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                await trio.sleep(self._random.uniform(0.2, 1.5) * _INTERVAL_S)
                nursery.start_soon(self._play)

    async def _play(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        title, connections, pieces = self._choose()
        stay_s = self._random.uniform(*_STAY_RANGE_S)
        process = node.process
        self._record_event(f"{connections} clients send {title}", node.node_id)
        # The crowd stays for a while also if the node reads nothing of it.
        with trio.move_on_after(stay_s):
            async with present(Crowd(connections, pieces), node.entry):
                await trio.sleep_forever()
        if process is not None and process.poll() not in _ENDED_BY_HARNESS:
            self._report(f"{node.node_id} ended by itself beside {title}: {process.poll()}")
        self.check_memory(node)

    def check_memory(self, node: FleetNode) -> None:
        """Report a process that has used more memory than its machine has."""
        if node.process is None or node.process.poll() is not None:
            return
        try:
            status = Path(f"/proc/{node.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return
        found = _PEAK_PATTERN.search(status)
        peak_bytes = int(found[1]) * 1024 if found else 0
        if peak_bytes > MACHINE["memoryMb"] * _BYTES_PER_MB:
            self._report(f"{node.node_id} used {peak_bytes} bytes of memory")

    def _choose(self) -> tuple[str, int, Callable[[], Pieces]]:
        """Return the title, the size and the content of a crowd."""
        generator = self._random
        kind = generator.randrange(4)
        size = generator.randrange(100_000, _MAX_BODY_BYTES)
        if kind == 0:
            body = with_length(_PATH, bytes(size - 1), announced=size)
            return "bodies that stop short", generator.randrange(10, 80), body
        if kind == 1:
            chunk_bytes = generator.choice((1, 100, 65_536))
            content = chunked(_PATH, max(size, chunk_bytes), chunk_bytes)
            return f"chunks of {chunk_bytes}", generator.randrange(5, 40), content
        if kind == 2:
            content = with_length(_PATH, bytes(size), announced=20 * _MAX_BODY_BYTES)
            return "bodies over the limit", generator.randrange(5, 40), content
        return "heads without end", generator.randrange(50, 400), unfinished_head(_PATH)
