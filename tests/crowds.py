"""Clients that do not behave, in crowds, and the bounds of the node processes that they reach.

A crowd is a number of connections to one address, each of which sends its pieces and then stays
open. The bounds do not depend on the speed of the machine: a process lives, and stays within the
memory and the descriptors of its settings.
"""

import itertools
import os
import resource
import subprocess
import threading
import time
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from typing import Final

import attrs
import trio

from gooseberrydock.members import Address

MIB: Final = 1024 * 1024
_BYTES_PER_MB: Final = 1_000_000
_FILES: Final = 200
"""Descriptors that the platform reserves for files; sockets share the others."""
_CHECK_S: Final = 0.005
_SOCKETS_CHECK_INTERVAL: Final = 4
"""Checks of the memory between two that also count the bytes in sockets, which take longer."""
_PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")
_MAX_SENDING_S: Final = 20.0
_PIECE_BYTES: Final = 256 * 1024

Pieces = Iterable[bytes | memoryview]


@attrs.frozen
class Crowd:
    """Connections that each send their pieces, with a pause after each one, and stay open."""

    connections: int
    pieces: Callable[[], Pieces]
    pause_s: float = 0.0
    reads: bool = True


def head(path: str, request_id: str, *fields: str, method: str = "POST") -> bytes:
    """Return the head of a request as a caller on the host of a node sends it."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "host: 127.0.0.1",
        f"request-id: {request_id}",
        "deadline-ms: 10000",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


_REQUEST_NUMBERS: Final = itertools.count(1)


def _next_request_id() -> str:
    return f"crowd-{next(_REQUEST_NUMBERS)}"


def _in_pieces(body: bytes) -> Iterator[memoryview]:
    view = memoryview(body)
    for start in range(0, len(body), _PIECE_BYTES):
        yield view[start : start + _PIECE_BYTES]


def with_length(path: str, body: bytes, announced: int = 0) -> Callable[[], Pieces]:
    """Return a request that sends a body and announces its length, or another length."""

    def pieces() -> Iterator[bytes | memoryview]:
        length = f"content-length: {announced or len(body)}"
        yield head(path, _next_request_id(), length)
        yield from _in_pieces(body)

    return pieces


def trickled(path: str, body: bytes, announced: int) -> Callable[[], Pieces]:
    """Return a request that sends a body at once, and then single bytes."""

    def pieces() -> Iterator[bytes | memoryview]:
        yield head(path, _next_request_id(), f"content-length: {announced}") + body
        yield from itertools.repeat(b"x", announced - len(body) - 1)

    return pieces


def chunked(path: str, size: int, chunk_bytes: int, count: int = 1) -> Callable[[], Pieces]:
    """Return a request that sends chunks and never the last one."""
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    block = chunk * (size // chunk_bytes)

    def pieces() -> Iterator[bytes | memoryview]:
        yield head(path, _next_request_id(), "transfer-encoding: chunked")
        for _ in range(count):
            yield from _in_pieces(block)

    return pieces


def pipelined(path: str, body: bytes, count: int, *fields: str) -> Callable[[], Pieces]:
    """Return requests that are sent without waiting for answers."""
    method = "POST" if body else "GET"

    def pieces() -> Iterator[bytes | memoryview]:
        length = f"content-length: {len(body)}"
        for _ in range(count):
            yield head(path, _next_request_id(), length, *fields, method=method)
            yield body

    return pieces


def unfinished_head(path: str) -> Callable[[], Pieces]:
    """Return a request that stops inside its head."""
    return lambda: [head(path, _next_request_id())[:-2]]


@asynccontextmanager
async def present(crowd: Crowd, address: Address) -> AsyncIterator[None]:
    """Keep a crowd connected, after all have sent everything, or are kept from it."""
    async with trio.open_nursery() as nursery:
        done: list[int] = []
        for number in range(crowd.connections):
            nursery.start_soon(_play, crowd, address, done, number)
        with trio.move_on_after(_MAX_SENDING_S):
            while len(done) < crowd.connections:
                await trio.sleep(0.05)
        yield
        nursery.cancel_scope.cancel()


async def _play(crowd: Crowd, address: Address, done: list[int], number: int) -> None:
    try:
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream, trio.open_nursery() as nursery:
            if crowd.reads:
                nursery.start_soon(_discard, stream)
            for piece in crowd.pieces():
                await stream.send_all(piece)
                await trio.sleep(crowd.pause_s)
            done.append(number)
            await trio.sleep_forever()
    except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        # The node refuses the client or closes its connection, which it may.
        done.append(number)


async def _discard(stream: trio.SocketStream) -> None:
    while await stream.receive_some(_PIECE_BYTES):
        pass


async def exchange(address: Address, content: Pieces, timeout_s: float) -> bytes:
    """Send one request on a connection of its own and return its answer until it is complete."""
    answer = bytearray()
    with trio.move_on_after(timeout_s):
        try:
            async with await trio.open_tcp_stream(address.host, address.port) as stream:
                for piece in content:
                    await stream.send_all(piece)
                while not _is_complete(answer):
                    data = await stream.receive_some(_PIECE_BYTES)
                    if not data:
                        break
                    answer += data
        except (OSError, trio.BrokenResourceError):
            pass
    return bytes(answer)


def _is_complete(answer: bytearray) -> bool:
    end = answer.find(b"\r\n\r\n")
    if end < 0:
        return False
    name = b"content-length: "
    start = answer.lower().find(name, 0, end)
    length = answer[start + len(name) :].split(b"\r\n", 1)[0] if start >= 0 else b"0"
    return len(answer) >= end + 4 + int(length)


def status_of(answer: bytes) -> int:
    """Return the status of an answer, 0 without one."""
    words = answer.split(b" ", 2)
    return int(words[1]) if len(words) > 2 and words[1].isdigit() else 0


@attrs.define(eq=False)
class WatchedProcess:
    """A node process, the memory of its machine, and the most that it has used."""

    name: str
    process: "subprocess.Popen[bytes]"
    memory_mb: int
    max_fds: int
    peak_bytes: int = 0
    peak_fds: int = 0
    unread_bytes: int = 0

    @property
    def sockets(self) -> int:
        """Return the number of descriptors that its sockets may use."""
        return self.max_fds - _FILES

    @property
    def is_over(self) -> bool:
        """Return whether it has used more memory than its machine has."""
        return self.peak_bytes > self.memory_mb * _BYTES_PER_MB

    def check(self, count: int) -> None:
        """Measure the process; kill it over its memory, as the platform does."""
        if self.process.poll() is not None:
            return
        root = Path(f"/proc/{self.process.pid}")
        try:
            if count % _SOCKETS_CHECK_INTERVAL == 0:
                self._measure_descriptors(root)
            pages = int((root / "statm").read_text(encoding="ascii").split()[1])
        except OSError:
            return
        self.peak_bytes = max(self.peak_bytes, pages * _PAGE_BYTES + self.unread_bytes)
        if self.is_over:
            self.process.kill()

    def _measure_descriptors(self, root: Path) -> None:
        links = []
        for entry in os.scandir(root / "fd"):
            try:
                links.append(os.readlink(entry.path))
            except FileNotFoundError:
                continue
        self.peak_fds = max(self.peak_fds, len(links))
        inodes = {link[8:-1] for link in links if link.startswith("socket:[")}
        self.unread_bytes = sum(
            unread for inode, unread in _unread_by_inode(root) if inode in inodes
        )


def _unread_by_inode(root: Path) -> Iterator[tuple[str, int]]:
    """Yield the sockets of the network namespace with the bytes received and not yet read."""
    lines = (root / "net" / "tcp").read_text(encoding="ascii").splitlines()[1:]
    for fields in (line.split() for line in lines):
        if fields[3] != "0A":
            # The queue of a listening socket counts connections.
            yield fields[9], int(fields[4].partition(":")[2], 16)


@contextmanager
def watched(processes: list[WatchedProcess]) -> Iterator[None]:
    """Limit the descriptors of processes and measure them until the end of the block."""
    is_over = threading.Event()

    def watch() -> None:
        for count in itertools.count():
            if is_over.is_set():
                return
            for item in processes:
                item.check(count)
            time.sleep(_CHECK_S)

    for item in processes:
        limits = (item.sockets, item.sockets)
        resource.prlimit(item.process.pid, resource.RLIMIT_NOFILE, limits)
    thread = threading.Thread(target=watch, daemon=True)
    thread.start()
    try:
        yield
    finally:
        is_over.set()
        thread.join()


def describe_breaches(processes: list[WatchedProcess]) -> list[str]:
    """Return which processes have ended or have used more than their machine has."""
    breaches = []
    for item in processes:
        figures = f"{item.peak_bytes / _BYTES_PER_MB:.0f} of {item.memory_mb} MB"
        if item.is_over:
            breaches.append(f"{item.name} was over its memory: {figures}")
        elif item.process.poll() is not None:
            breaches.append(f"{item.name} ended by itself, status {item.process.poll()}")
        if item.peak_fds > item.sockets:
            breaches.append(f"{item.name} used {item.peak_fds} descriptors of {item.sockets}")
    return breaches
