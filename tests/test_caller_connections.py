"""Tests of caller connections: several requests sent without waiting for the answers."""

import re
import unittest
from collections.abc import Callable
from typing import cast

import attrs
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.clock import ManualTime, manual_clock
from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.memory_account import create_memory_account
from gooseberrydock.mesh.caller_connections import (
    CallerConnection,
    CallerRequest,
    create_caller_connection,
)
from gooseberrydock.mesh.exchange import Exchange
from gooseberrydock.mesh.model import DEFAULT_LIMITS, EMPTY_ROUTE
from gooseberrydock.stream import Stream


@attrs.define(eq=False)
class _FakeStream:
    """Connection whose received bytes are handed in, and whose sent bytes are kept."""

    received: trio.MemoryReceiveChannel[bytes]
    sent: bytes = b""
    is_closed: bool = False
    is_finishing: bool = False
    has_unread_bytes: bool = False
    peer_host: str = "caller"
    unsent_bytes: int = 0
    on_drained: Callable[[], None] | None = None

    async def receive(self) -> bytes:
        """Return the next bytes, or none at the end."""
        try:
            return await self.received.receive()
        except trio.EndOfChannel:
            return b""

    def send(self, data: bytes) -> None:
        """Keep sent bytes."""
        self.sent += data

    def finish(self) -> None:
        """Record the end of the sent stream."""
        self.is_finishing = True

    def close(self) -> None:
        """Record the close."""
        self.is_closed = True

    close_when_sent = close


@attrs.define(eq=False)
class _Sink:
    """Keep the requests that were started, in order; a request to /now is answered at once."""

    started: list[CallerRequest] = attrs.field(factory=list)
    disconnected: list[str] = attrs.field(factory=list)

    def on_request(self, caller: CallerRequest, request: HttpRequest) -> Exchange | None:
        """Record a request."""
        self.started.append(caller)
        if request.path == "/now":
            caller.respond(HttpResponse(200, [], b"/now"))
            return None
        return Exchange(1, caller, request, request.path, EMPTY_ROUTE, "", 0, 0, False, [])

    def may_repeat(self, request: HttpRequest) -> bool:
        """Return whether a request is a read."""
        return request.method == "GET"

    def on_caller_disconnected(self, exchange: Exchange) -> None:
        """Record a cancelled request."""
        self.disconnected.append(exchange.request.path)

    @property
    def paths(self) -> list[str]:
        """Return the paths of the started requests."""
        return [caller.request.path for caller in self.started]

    def answer(self, path: str) -> None:
        """Answer a started request with its path."""
        for caller in self.started:
            if caller.request.path == path:
                caller.respond(HttpResponse(200, [], path.encode()))


@attrs.define(eq=False)
class _Fixture:
    """A caller connection between a fake stream and a fake node."""

    connection: CallerConnection
    stream: _FakeStream
    sink: _Sink
    to_node: trio.MemorySendChannel[bytes]
    is_stopping: bool = False

    def send(self, *requests: str) -> None:
        """Send requests together, each given as method and path."""
        self.to_node.send_nowait(b"".join(_encode(request) for request in requests))

    @property
    def answers(self) -> list[str]:
        """Return the paths that the sent responses name, in order."""
        return re.findall(r"\r\n\r\n(/\w+?)(?=HTTP|$)", self.stream.sent.decode())


def _encode(request: str) -> bytes:
    body = b"x" * 3_000 if request.startswith("PUT") else b""
    head = f"{request} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


def _make_fixture() -> _Fixture:
    to_node, received = trio.open_memory_channel[bytes](1_000)
    stream, sink = _FakeStream(received), _Sink()
    fixture: _Fixture
    connection = create_caller_connection(
        cast(Stream, stream),
        sink,
        manual_clock(ManualTime()),
        DEFAULT_LIMITS,
        lambda: fixture.is_stopping,
        create_memory_account(300_000_000),
    )
    fixture = _Fixture(connection, stream, sink, to_node)
    return fixture


class PipelineCases(unittest.TestCase):
    """Requests that were sent before earlier ones were answered."""

    def _run(self, scenario: object) -> None:
        async def main() -> None:
            fixture = _make_fixture()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fixture.connection.run)
                with trio.fail_after(5):
                    await scenario(fixture)  # type: ignore[operator]
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_reads_run_together_and_are_answered_in_order(self) -> None:
        async def scenario(fixture: _Fixture) -> None:
            fixture.send("GET /a", "GET /b", "GET /c")
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(["/a", "/b", "/c"], fixture.sink.paths)
            for path, answers in (("/b", []), ("/a", ["/a", "/b"]), ("/c", ["/a", "/b", "/c"])):
                fixture.sink.answer(path)
                self.assertEqual(answers, fixture.answers)

        self._run(scenario)

    def test_request_that_must_not_be_repeated_runs_alone(self) -> None:
        async def scenario(fixture: _Fixture) -> None:
            fixture.send("GET /a", "POST /b", "GET /c")
            await trio.testing.wait_all_tasks_blocked()
            for path, started in (
                ("/a", ["/a", "/b"]),
                ("/b", ["/a", "/b", "/c"]),
            ):
                fixture.sink.answer(path)
                self.assertEqual(started, fixture.sink.paths)
            fixture.sink.answer("/c")
            self.assertEqual(["/a", "/b", "/c"], fixture.answers)

        self._run(scenario)

    def test_many_requests_answered_at_once(self) -> None:
        async def scenario(fixture: _Fixture) -> None:
            fixture.send(*["GET /now"] * 2_000)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(2_000, len(fixture.answers))

        self._run(scenario)

    def test_invalid_request_is_answered_last_and_ends_the_connection(self) -> None:
        async def scenario(fixture: _Fixture) -> None:
            fixture.to_node.send_nowait(
                _encode("GET /a") + _encode("GET /b") + b"\x00\x01\r\n\r\n" + _encode("GET /c")
            )
            await trio.testing.wait_all_tasks_blocked()
            fixture.sink.answer("/b")
            fixture.send("GET /d")
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(b"", fixture.stream.sent)
            fixture.sink.answer("/a")
            self.assertEqual(["/a", "/b"], fixture.answers)
            self.assertEqual(["/a", "/b"], fixture.sink.paths)
            self.assertRegex(fixture.stream.sent, rb"/b(?s:.)*HTTP/1.1 400")
            self.assertEqual(1, fixture.stream.sent.count(b"connection: close"))
            self.assertTrue(fixture.stream.is_finishing)

        self._run(scenario)

    def test_stop_answers_all_that_was_read_and_closes_with_the_last(self) -> None:
        async def scenario(fixture: _Fixture) -> None:
            fixture.send("GET /a", "GET /b")
            await trio.testing.wait_all_tasks_blocked()
            fixture.is_stopping = True
            fixture.connection.close_if_idle()
            self.assertFalse(fixture.stream.is_finishing)
            fixture.sink.answer("/a")
            self.assertNotIn(b"connection: close", fixture.stream.sent)
            fixture.sink.answer("/b")
            self.assertEqual(["/a", "/b"], fixture.answers)
            self.assertIn(b"connection: close", fixture.stream.sent)
            self.assertTrue(fixture.stream.is_finishing)

        self._run(scenario)

    def test_disconnect_cancels_what_runs_and_starts_nothing(self) -> None:
        async def scenario(fixture: _Fixture) -> None:
            fixture.send("GET /a", "GET /b", "POST /c")
            await trio.testing.wait_all_tasks_blocked()
            fixture.sink.answer("/b")
            fixture.to_node.close()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(["/a"], fixture.sink.disconnected)
            fixture.sink.answer("/a")
            self.assertEqual(["/a", "/b"], fixture.sink.paths)

        self._run(scenario)

    def test_reading_pauses_above_the_bounds(self) -> None:
        for request, bound in (("GET /a", 64), ("PUT /a", 1024 * 1024 // 3_000 + 1)):

            async def scenario(
                fixture: _Fixture, request: str = request, bound: int = bound
            ) -> None:
                for _ in range(2 * bound):
                    fixture.send(request)
                await trio.testing.wait_all_tasks_blocked()
                unread = fixture.stream.received.statistics().current_buffer_used
                self.assertGreaterEqual(unread, bound - 1)
                while fixture.sink.started and len(fixture.answers) < 2 * bound:
                    fixture.sink.answer("/a")
                    await trio.testing.wait_all_tasks_blocked()
                self.assertEqual(2 * bound, len(fixture.answers))

            with self.subTest(request):
                self._run(scenario)

    @given(
        st.lists(st.sampled_from(["GET", "POST"]), min_size=1, max_size=12),
        st.randoms(use_true_random=False),
    )
    def test_answers_are_in_order_for_any_order_of_completion(
        self, methods: list[str], order: object
    ) -> None:
        async def scenario(fixture: _Fixture) -> None:
            paths = [f"/r{number}" for number in range(len(methods))]
            fixture.send(*(f"{m} {path}" for m, path in zip(methods, paths, strict=True)))
            await trio.testing.wait_all_tasks_blocked()
            answered: set[str] = set()
            while len(answered) < len(paths):
                running = [path for path in fixture.sink.paths if path not in answered]
                kinds = [methods[int(path[2:])] for path in running]
                self.assertTrue(len(running) == 1 or kinds == ["GET"] * len(running))
                path = order.choice(running)  # type: ignore[attr-defined]
                answered.add(path)
                fixture.sink.answer(path)
            self.assertEqual(paths, fixture.answers)
            self.assertEqual(paths, fixture.sink.paths)

        self._run(scenario)
