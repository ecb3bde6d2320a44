"""Test connections on real sockets to targets that answer before they read the whole request."""

import tracemalloc
import unittest

import attrs
import trio

from gooseberrydock.clock import system_clock
from gooseberrydock.errorcodes import ErrorCode
from gooseberrydock.http_messages import HttpResponse
from gooseberrydock.members import Address
from gooseberrydock.memory_account import create_memory_account
from gooseberrydock.mesh.target_connections import TargetPool
from tests.test_http_parsing import ENDLESS_RESPONSES

_RECEIVE_BUFFER_BYTES = 64 * 1024
"""Buffer of the target's socket, which the kernel doubles and otherwise lets grow."""
_BODY = b"x" * 6_000_000
"""Larger than the buffers of both sockets; by default, that of the sender grows to 4 MiB."""
_FIRST_REQUEST = b"POST /a HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % len(_BODY) + _BODY
_SECOND_REQUEST = b"GET /b HTTP/1.1\r\n\r\n"
_ENDLESS_RUNS = 6
_MAX_MEMORY_BYTES = 64 * 1024 * 1024
"""Memory for endless answers: a third of what the smallest node has."""
_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@attrs.define
class _Observer:
    """Record the outcome of a request to the target."""

    done: trio.Event = attrs.field(factory=trio.Event)
    responses: list[HttpResponse] = attrs.field(factory=list)

    def accepts(self, response: HttpResponse) -> bool:
        """Accept every answer."""
        return True

    def on_response(self, response: HttpResponse) -> None:
        """Record an answer."""
        self.responses.append(response)
        self.done.set()

    def on_failure(self, code: ErrorCode, was_sent: bool) -> None:
        """Record the end of the request."""
        self.done.set()


class EarlyAnswerCases(unittest.TestCase):
    """A target answers before it has read a long body, and reads the rest later."""

    def test_next_request_does_not_wait_behind_the_rest_of_the_body(self) -> None:
        # The next request went on the same connection, behind a body that the target had not read.
        received: list[bytearray] = []

        async def serve(stream: trio.SocketStream) -> None:
            own = bytearray(await stream.receive_some(1_000))
            received.append(own)
            await stream.send_all(_ANSWER)
            await trio.sleep(0.2)
            try:
                while data := await stream.receive_some(65_536):
                    own.extend(data)
            except trio.BrokenResourceError:
                return

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(_serve_tcp, serve)
                listeners[0].socket.setsockopt(
                    trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
                )
                address = Address(*listeners[0].socket.getsockname()[:2])
                pool = TargetPool(
                    address, nursery, system_clock(), create_memory_account(300_000_000)
                )
                first, second = _Observer(), _Observer()
                with trio.fail_after(5):
                    pool.start(_FIRST_REQUEST, first, True)
                    await first.done.wait()
                    pool.start(_SECOND_REQUEST, second, True)
                    await second.done.wait()
                self.assertEqual([1, 1], [len(item.responses) for item in (first, second)])
                await trio.sleep(0.5)
                nursery.cancel_scope.cancel()

        trio.run(main)
        beginning, other = received
        self.assertEqual(_FIRST_REQUEST[: len(beginning)], bytes(beginning))
        self.assertEqual(_SECOND_REQUEST, bytes(other))


class EndlessAnswerCases(unittest.TestCase):
    """A target in trouble sends bytes that are no answer until its caller closes."""

    def test_runs_fail_at_a_bound_and_memory_stays_small(self) -> None:
        for title, beginning, repeated in ENDLESS_RESPONSES:
            with self.subTest(title):
                tracemalloc.start()
                runs = trio.run(self._run_all, beginning, repeated)
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertEqual([[]] * _ENDLESS_RUNS, [run.responses for run in runs])
                self.assertLess(peak, _MAX_MEMORY_BYTES)

    async def _run_all(self, beginning: bytes, repeated: bytes) -> list[_Observer]:
        """Start runs at a target that never ends its answers, until it sees all of them closed."""
        closed: list[trio.SocketStream] = []

        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some(1_000)
            try:
                await stream.send_all(beginning)
                while True:
                    await stream.send_all(repeated * (65_536 // len(repeated)))
            except trio.BrokenResourceError:
                closed.append(stream)

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(_serve_tcp, serve)
            address = Address(*listeners[0].socket.getsockname()[:2])
            pool = TargetPool(address, nursery, system_clock(), create_memory_account(300_000_000))
            runs = [_Observer() for _ in range(_ENDLESS_RUNS)]
            with trio.fail_after(20):
                for run in runs:
                    pool.start(_SECOND_REQUEST, run, is_idempotent=True)
                for run in runs:
                    await run.done.wait()
                while len(closed) < _ENDLESS_RUNS:
                    await trio.sleep(0.01)
            self.assertEqual(0, pool.open_connections)
            nursery.cancel_scope.cancel()
        return runs


async def _serve_tcp(handler, task_status=trio.TASK_STATUS_IGNORED):  # type: ignore[no-untyped-def]
    await trio.serve_tcp(handler, 0, host="127.0.0.1", task_status=task_status)
