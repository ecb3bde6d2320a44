"""Tests of the product's own interface under crowds of clients that stay within no limits."""

import os
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Final
from unittest import mock

import trio

from bench.fleet import Fleet, FleetSpec, ServiceSpec, running_fleet
from gooseberrydock.members import Address, parse_address
from tests.crowds import (
    Crowd,
    WatchedProcess,
    chunked,
    describe_breaches,
    exchange,
    present,
    status_of,
    unfinished_head,
    watched,
    with_length,
)

_MEMORY_MB: Final = 100
_MAX_FDS: Final = 4_100
_FEW_FDS: Final = 400
_ANSWER_TIMEOUT_S: Final = 60.0
_PATH: Final = "/shop/look"
_SPEC: Final = FleetSpec("own", ("one",), (ServiceSpec("shop", 1, 8, 2.0),))
_SHEET: Final = """\
service_class,priority,expected_per_minute,call_path,deadline_ms,idempotent
lookup,4,1200,shop/look,8000,yes
"""
_BODY: Final = bytes(256 * 1024)
_LARGEST_ECHOED: Final = _BODY[: -len("shop:")]
"""A body whose echo, with the name of the service before it, is within the limit of answers."""


async def _wait_until_answered(process: WatchedProcess, entry: Address, body: bytes) -> bool:
    with trio.move_on_after(_ANSWER_TIMEOUT_S):
        while process.process.poll() is None:
            answer = await exchange(entry, with_length(_PATH, body)(), _ANSWER_TIMEOUT_S)
            if status_of(answer) == 200 and answer.endswith(b"shop:" + body):
                return True
            await trio.sleep(0.2)
    return False


class OwnInterfaceCrowdTest(unittest.TestCase):
    """Play one crowd against one node; then send an ordinary and a large request."""

    def _start(self, memory_mb: int, max_fds: int) -> Fleet:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        out = Path(directory.name)
        limits = {
            "GOOSEBERRYDOCK_MEMORY_MB": str(memory_mb),
            "GOOSEBERRYDOCK_MAX_FDS": str(max_fds),
        }
        context = running_fleet(_SPEC, out)
        with mock.patch.dict(os.environ, limits):
            fleet = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        sheet = out / "sheet.csv"
        sheet.write_text(_SHEET, encoding="utf-8")
        fleet.apply_sheet(sheet)
        return fleet

    def _play(self, crowd: Crowd, memory_mb: int = _MEMORY_MB, max_fds: int = _MAX_FDS) -> None:
        fleet = self._start(memory_mb, max_fds)
        member = fleet.members[0]
        assert member.node_process is not None
        process = WatchedProcess(member.node_id, member.node_process, memory_mb, max_fds)
        entry = parse_address(member.entry)

        async def main() -> list[str]:
            problems = []
            async with present(crowd, entry):
                if not await _wait_until_answered(process, entry, b"ordinary"):
                    problems.append("no answer beside the crowd")
            if not await _wait_until_answered(process, entry, _LARGEST_ECHOED):
                problems.append("no answer to a large body afterwards")
            return problems

        with watched([process]):
            problems = trio.run(main)
        peak = f"{process.peak_bytes / 1_000_000:.0f} of {memory_mb} MB"
        print(f"{self.id()}: {peak}, {process.peak_fds} fds", file=sys.stderr)
        self.assertEqual([], describe_breaches([process]) + problems)

    def test_bodies_that_stop_short_do_not_exceed_the_memory(self) -> None:
        # Each connection kept an incomplete body, and nothing bounded them together.
        body = _BODY[:-2]
        self._play(Crowd(600, with_length(_PATH, body, announced=len(_BODY) - 1)))

    def test_chunks_that_stop_short_do_not_exceed_the_memory(self) -> None:
        # As before, without an announced length.
        self._play(Crowd(600, chunked(_PATH, len(_BODY) - 1024, 1024)))

    def test_heads_that_never_end_leave_descriptors_for_the_node(self) -> None:
        # Callers could use all descriptors, and a failed connect of the node ended its process.
        self._play(Crowd(500, unfinished_head(_PATH)), max_fds=_FEW_FDS)
