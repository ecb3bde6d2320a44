"""Tests of nodes under crowds of clients that stay within no limits, with real processes.

Each test plays one crowd against a node whose settings have little memory or few descriptors.
"""

import sys
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Final

import trio

from gooseberrydock.http_messages import HttpRequest, HttpResponse, header_value
from tests.crowds import (
    MIB,
    Crowd,
    Pieces,
    WatchedProcess,
    chunked,
    describe_breaches,
    exchange,
    head,
    pipelined,
    present,
    status_of,
    trickled,
    unfinished_head,
    watched,
    with_length,
)
from tests.platform_fleet import PlatformFleet, make_route_fields, running_platform_fleet
from tests.platform_standins import TargetStandin

_MEMORY_MB: Final = 150
_MAX_BODY_BYTES: Final = 8 * MIB
_LARGEST_BODY_BYTES: Final = 64 * MIB
"""The limit in the pages' example of a configuration."""
_MAX_FDS: Final = 4_100
_FEW_FDS: Final = 400
_ANSWER_TIMEOUT_S: Final = 60.0
_TIMEOUT_MS: Final = 10_000
_NEAR: Final = "/near/"
"""Prefix of the route to the service beside the node that the crowd reaches."""
_FAR: Final = "/far/"
"""Prefix of the route to a service on another host."""
_BODY: Final = bytes(_MAX_BODY_BYTES)

Scenario = Callable[[PlatformFleet], Awaitable[list[str]]]
"""Plays on a fleet and returns what went wrong."""


def _respond_with_length(request: HttpRequest) -> HttpResponse:
    """Answer with the length of the body, or with as many bytes as the path asks for."""
    request_id = header_value(request.headers, b"request-id").encode()
    headers = [(b"request-id", request_id), (b"server-seal", b"s")]
    _, _, size = request.path.partition("?bytes=")
    return HttpResponse(200, headers, bytes(int(size)) if size else b"%d" % len(request.body))


def _forget_runs(target: TargetStandin, request: HttpRequest) -> None:
    target.runs.clear()


async def _configure(fleet: PlatformFleet, max_body_bytes: int) -> None:
    for service in ("near", "far"):
        node = await fleet.add(service)
        node.target.behaviour = _respond_with_length
        node.target.max_body_bytes = max_body_bytes
        node.target.on_run = partial(_forget_runs, node.target)
    fleet.limits["maxBodyBytes"] = max_body_bytes
    routes = {
        service: make_route_fields(
            service, f"/{service}/", kind="non_idempotent", timeoutMs=_TIMEOUT_MS
        )
        for service in ("near", "far")
    }
    fleet.configure(routes, ["near", "far"])
    await fleet.wait_until_known()
    for path in (_NEAR, _FAR):
        await fleet.wait_until_served(fleet.nodes[0], path)


async def _wait_until_answered(fleet: PlatformFleet, path: str, body: bytes) -> bool:
    """Send a request, again after refusals, until it is answered; return whether it was."""
    expected = b"\r\n\r\n%d" % len(body)
    with trio.move_on_after(_ANSWER_TIMEOUT_S):
        while not _ended_nodes(fleet):
            content = with_length(path, body)()
            answer = await exchange(fleet.nodes[0].entry, content, _ANSWER_TIMEOUT_S)
            if status_of(answer) == 200 and answer.endswith(expected):
                return True
            await trio.sleep(0.2)
    return False


async def _send_once(fleet: PlatformFleet, content: Pieces, size: int) -> list[str]:
    """Send a request once; return what is wrong with its answer."""
    answer = await exchange(fleet.nodes[0].entry, content, _ANSWER_TIMEOUT_S)
    if status_of(answer) == 200 and answer.endswith(b"\r\n\r\n%d" % size):
        return []
    return [f"{size} bytes: {answer[:300]!r}"]


def _ended_nodes(fleet: PlatformFleet) -> list[str]:
    return [
        node.node_id
        for node in fleet.nodes
        if node.process is not None and node.process.poll() is not None
    ]


class _FleetCase(unittest.TestCase):
    """Run a scenario with a node beside each of two services, and check the bounds."""

    def _run(
        self,
        scenario: Scenario,
        memory_mb: int = _MEMORY_MB,
        max_body_bytes: int = _MAX_BODY_BYTES,
        max_fds: int = _MAX_FDS,
    ) -> None:
        processes: list[WatchedProcess] = []

        async def main() -> list[str]:
            with tempfile.TemporaryDirectory() as name:
                async with running_platform_fleet(Path(name)) as fleet:
                    fleet.machine = {"memoryMb": memory_mb, "maxFds": max_fds}
                    await _configure(fleet, max_body_bytes)
                    for node in fleet.nodes:
                        assert node.process is not None
                        processes.append(
                            WatchedProcess(node.node_id, node.process, memory_mb, max_fds)
                        )
                    with watched(processes):
                        problems = await scenario(fleet)
                    return describe_breaches(processes) + problems

        problems = trio.run(main)
        for item in processes:
            peak = f"{item.peak_bytes / 1_000_000:.0f} of {item.memory_mb} MB"
            print(f"{self.id()}: {item.name} {peak}, {item.peak_fds} fds", file=sys.stderr)
        self.assertEqual([], problems)


class CrowdTest(_FleetCase):
    """Play one crowd; then one ordinary request, and one large one when the crowd has left."""

    def _play(self, crowd: Crowd, memory_mb: int = _MEMORY_MB, max_fds: int = _MAX_FDS) -> None:
        async def scenario(fleet: PlatformFleet) -> list[str]:
            problems = []
            async with present(crowd, fleet.nodes[0].entry):
                for path in (_NEAR, _FAR):
                    if not await _wait_until_answered(fleet, path, b"ordinary"):
                        problems.append(f"no answer on {path} beside the crowd")
            for path in (_NEAR, _FAR):
                if not await _wait_until_answered(fleet, path, _BODY):
                    problems.append(f"no answer to a large body on {path} afterwards")
            return problems

        self._run(scenario, memory_mb, max_fds=max_fds)

    def test_whole_large_bodies_at_once_do_not_exceed_the_memory(self) -> None:
        # Each body was read at once, whatever the other connections held.
        self._play(Crowd(24, with_length(_NEAR, _BODY)))

    def test_large_bodies_that_stop_short_do_not_exceed_the_memory(self) -> None:
        # Incomplete bodies were kept until the idle time, whatever they held together.
        self._play(Crowd(24, with_length(_NEAR, _BODY[:-1], announced=len(_BODY))))

    def test_large_bodies_that_end_in_single_bytes_do_not_exceed_the_memory(self) -> None:
        # Each byte started the idle time anew, so that a body could be held without end.
        content = trickled(_NEAR, _BODY[:-1_000], announced=len(_BODY))
        self._play(Crowd(24, content, pause_s=1.0))

    def test_large_chunks_that_stop_short_do_not_exceed_the_memory(self) -> None:
        # A chunked body grew up to the limit without a look at what others held.
        self._play(Crowd(24, chunked(_NEAR, _MAX_BODY_BYTES - 64 * 1024, 64 * 1024)))

    def test_one_byte_chunks_that_stop_short_do_not_exceed_the_memory(self) -> None:
        # As before; the parts between two reads were kept one by one.
        self._play(Crowd(24, chunked(_NEAR, _MAX_BODY_BYTES - 64 * 1024, 1)))

    def test_announced_bodies_far_over_the_limit_do_not_exceed_the_memory(self) -> None:
        # The announced length was not looked at until as many bytes had arrived.
        content = with_length(_NEAR, _BODY, announced=20 * len(_BODY))
        self._play(Crowd(24, content))

    def test_chunks_without_end_do_not_exceed_the_memory(self) -> None:
        # Each connection was read up to the limit before it was refused.
        self._play(Crowd(24, chunked(_NEAR, _MAX_BODY_BYTES, 64 * 1024, count=20)))

    def test_long_bodies_to_another_host_do_not_exceed_the_memory(self) -> None:
        # A body was copied into a message, a frame and the bytes unsent on the link.
        self._play(Crowd(24, with_length(_FAR, _BODY[: 7 * MIB])))

    def test_many_bodies_to_another_host_do_not_exceed_the_memory(self) -> None:
        # As before, with more calls at a time on the link.
        self._play(Crowd(40, with_length(_FAR, _BODY[: 2 * MIB])))

    def test_pipelined_bodies_do_not_exceed_the_memory(self) -> None:
        # The bound on queued bodies held for one connection alone.
        self._play(Crowd(40, pipelined(_NEAR, _BODY[:MIB], 60)))

    def test_many_middling_bodies_that_stop_short_do_not_exceed_the_memory(self) -> None:
        # Any number of connections was read, each with a body far below the limit.
        body = _BODY[: 256 * 1024]
        self._play(Crowd(700, with_length(_NEAR, body[:-1], announced=len(body))))

    def test_pipelined_large_heads_do_not_exceed_the_memory(self) -> None:
        # Requests that wait counted with their bodies alone.
        field = f"x-padding: {'x' * 12_000}"
        self._play(Crowd(250, pipelined(_NEAR, b"", 64, field)))

    def test_unread_answers_do_not_exceed_the_memory(self) -> None:
        # Answers to a caller that does not read were buffered, up to 16 MiB a connection.
        crowd = Crowd(24, pipelined(f"{_NEAR}?bytes=60000", b"", 2_000), reads=False)
        self._play(crowd)

    def test_long_answers_from_another_host_do_not_exceed_the_memory(self) -> None:
        # Every answer was held whole at both nodes, whatever the others held.
        crowd = Crowd(60, pipelined(f"{_FAR}?bytes={4 * MIB}", b"", 1), reads=False)
        self._play(crowd)

    def test_heads_that_never_end_leave_descriptors_for_the_node(self) -> None:
        # Callers could use all descriptors, and a failed connect of the node ended its process.
        self._play(Crowd(500, unfinished_head(_NEAR)), max_fds=_FEW_FDS)

    def test_idle_connections_leave_descriptors_for_the_node(self) -> None:
        # As before, with connections that had an answer and stay open.
        self._play(Crowd(500, pipelined(_NEAR, b"", 1)), max_fds=_FEW_FDS)


class SingleRequestTest(_FleetCase):
    """A single request within the limits is served in calm, on a machine of the usual size."""

    def _send(self, path: str, sizes: tuple[int, ...]) -> None:
        async def scenario(fleet: PlatformFleet) -> list[str]:
            problems = []
            for size in sizes:
                content = with_length(path, bytes(size))()
                problems += await _send_once(fleet, content, size)
            return problems

        self._run(scenario, memory_mb=300, max_body_bytes=_LARGEST_BODY_BYTES)

    def test_body_of_the_largest_size_is_served_beside_the_entry(self) -> None:
        # A body was held in four copies.
        self._send(_NEAR, (9 * MIB, 17 * MIB, _LARGEST_BODY_BYTES))

    def test_body_of_the_largest_size_is_served_by_another_host(self) -> None:
        # A call above 8 MiB ended the link to the other node with all calls on it.
        self._send(_FAR, (9 * MIB, 17 * MIB, _LARGEST_BODY_BYTES))

    def test_body_of_the_largest_size_is_served_in_chunks(self) -> None:
        # As before, where no length is announced.
        async def scenario(fleet: PlatformFleet) -> list[str]:
            problems = []
            chunk = b"10000\r\n" + bytes(0x10000) + b"\r\n"
            for path in (_NEAR, _FAR):
                start = head(path, "chunked", "transfer-encoding: chunked")
                chunks = [chunk] * (_LARGEST_BODY_BYTES // 0x10000)
                content = [start, *chunks, b"0\r\n\r\n"]
                problems += await _send_once(fleet, content, _LARGEST_BODY_BYTES)
            return problems

        self._run(scenario, memory_mb=300, max_body_bytes=_LARGEST_BODY_BYTES)


class LongAnswerTest(_FleetCase):
    """Sound answers that are long, several at a time."""

    def test_long_answers_at_once_are_all_served(self) -> None:
        # Answers above 16 MiB in all failed, although each was sound.
        async def scenario(fleet: PlatformFleet) -> list[str]:
            problems: list[str] = []
            size = 4 * MIB

            async def get() -> None:
                content = pipelined(f"{_FAR}?bytes={size}", b"", 1)()
                answer = await exchange(fleet.nodes[0].entry, content, _ANSWER_TIMEOUT_S)
                body = answer.partition(b"\r\n\r\n")[2]
                if status_of(answer) != 200 or len(body) != size:
                    problems.append(f"{len(body)} bytes: {answer[:300]!r}")

            async with trio.open_nursery() as nursery:
                for _ in range(10):
                    nursery.start_soon(get)
            return problems

        self._run(scenario, memory_mb=300)
