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
from gooseberrydock.connection_limit import Activity
from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.memory_account import MemoryAccount, create_memory_account
from gooseberrydock.mesh.caller_connections import (
    CallerConnection,
    CallerRequest,
    create_caller_connection,
)
from gooseberrydock.mesh.exchange import Exchange
from gooseberrydock.mesh.model import DEFAULT_LIMITS, EMPTY_ROUTE
from gooseberrydock.stream import Stream

_LIMITS = attrs.evolve(DEFAULT_LIMITS, max_body_bytes=64 * 1024 * 1024)


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
    has_long_buffer: bool = False

    async def receive(self) -> bytes:
        """Return the next bytes, or none at the end."""
        try:
            return await self.received.receive()
        except trio.EndOfChannel:
            return b""

    def send(self, data: bytes) -> None:
        """Keep sent bytes."""
        self.sent += data

    def set_long_receive_buffer(self, is_long: bool) -> None:
        """Record how much may arrive unread."""
        self.has_long_buffer = is_long

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
    time: ManualTime
    account: MemoryAccount
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


def _make_fixture(memory_bytes: int = 300_000_000) -> _Fixture:
    to_node, received = trio.open_memory_channel[bytes](1_000)
    stream, sink, time = _FakeStream(received), _Sink(), ManualTime()
    account = create_memory_account(memory_bytes)
    fixture: _Fixture
    connection = create_caller_connection(
        cast(Stream, stream),
        sink,
        manual_clock(time),
        _LIMITS,
        lambda: fixture.is_stopping,
        account,
    )
    fixture = _Fixture(connection, stream, sink, to_node, time, account)
    return fixture


class _FixtureCase(unittest.TestCase):
    """Run a scenario beside the task that reads the connection."""

    def _run(self, scenario: object, memory_bytes: int = 300_000_000) -> None:
        async def main() -> None:
            fixture = _make_fixture(memory_bytes)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fixture.connection.run)
                with trio.fail_after(5):
                    await scenario(fixture)  # type: ignore[operator]
                nursery.cancel_scope.cancel()

        trio.run(main)


class SlowReaderCases(_FixtureCase):
    """Callers that are still reading answers that the node has handed to their connection."""

    def test_connection_is_sending_until_its_answers_are_taken(self) -> None:
        # Guards against review/15: a caller that was reading counted as one that is idle.
        async def scenario(fixture: _Fixture) -> None:
            connection, stream = fixture.connection, fixture.stream
            fixture.send("GET /a")
            await trio.testing.wait_all_tasks_blocked()
            self.assertIs(Activity.SERVING, connection.activity)
            fixture.sink.answer("/a")
            stream.unsent_bytes = 900
            for at in (1_000.0, 2_000.0, 2_500.0):
                fixture.time.value_ms = at
                stream.unsent_bytes = max(300, stream.unsent_bytes - 300)
                connection.unread_answers(at)
            self.assertIs(Activity.SENDING, connection.activity)
            self.assertEqual(2_000.0, connection.active_since)
            stream.is_finishing = True
            self.assertIs(Activity.SENDING, connection.activity)
            stream.unsent_bytes = 0
            self.assertIs(Activity.CLOSING, connection.activity)

        self._run(scenario)

    def test_caller_that_reads_on_is_not_cut_at_the_idle_timeout(self) -> None:
        # Guards against the same judgement by the timer: sending is not idle.
        for reads_on in (True, False):

            async def scenario(fixture: _Fixture, reads_on: bool = reads_on) -> None:
                fixture.send("GET /now")
                await trio.testing.wait_all_tasks_blocked()
                fixture.stream.unsent_bytes = 1_000_000
                for step in range(60):
                    fixture.stream.unsent_bytes -= 1_000 if reads_on else 0
                    now_ms = fixture.time.value_ms = step * 1_000.0
                    fixture.connection.close_if_timed_out(now_ms, _LIMITS)
                self.assertIs(not reads_on, fixture.stream.is_closed)
                self.assertFalse(reads_on and fixture.stream.is_finishing)

            with self.subTest(reads_on=reads_on):
                self._run(scenario)


class PipelineCases(_FixtureCase):
    """Requests that were sent before earlier ones were answered."""

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


class MemoryCases(_FixtureCase):
    """Requests that are refused, or wait, because of their size or their pace."""

    def _send_head(self, fixture: _Fixture, *fields: str, beginning: bytes = b"") -> None:
        head = "\r\n".join(["POST /a HTTP/1.1", "host: x", *fields, "", ""])
        fixture.to_node.send_nowait(head.encode() + beginning)

    def test_body_announced_above_the_limit_is_refused_at_its_head(self) -> None:
        # The announced length was not looked at before as many bytes had arrived.
        async def scenario(fixture: _Fixture) -> None:
            self._send_head(fixture, f"content-length: {_LIMITS.max_body_bytes + 1}")
            await trio.testing.wait_all_tasks_blocked()
            self.assertRegex(fixture.stream.sent, rb"HTTP/1.1 413 (?s:.)*not-run")
            self.assertTrue(fixture.stream.is_finishing)

        self._run(scenario)

    def test_body_that_can_never_have_room_is_refused_at_its_head(self) -> None:
        async def scenario(fixture: _Fixture) -> None:
            self._send_head(fixture, f"content-length: {fixture.account.long_body_limit + 1}")
            await trio.testing.wait_all_tasks_blocked()
            self.assertRegex(fixture.stream.sent, rb"HTTP/1.1 413 (?s:.)*not-run")

        self._run(scenario, memory_bytes=100_000_000)

    def test_body_without_memory_is_refused_as_not_run(self) -> None:
        async def scenario(fixture: _Fixture) -> None:
            account = fixture.account
            account.charge(account.long_body_limit)
            self._send_head(fixture, "content-length: 1000000", beginning=b"x")
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(b"", fixture.stream.sent)
            for _ in range(50):
                account.tick(fixture.time.advance(25.0))
            self.assertRegex(fixture.stream.sent, rb"HTTP/1.1 503 (?s:.)*retry-after(?s:.)*not-run")
            self.assertEqual(account.long_body_limit, account.held)
            self.assertEqual([], fixture.sink.paths)

        self._run(scenario)

    def test_body_is_read_on_once_there_is_memory(self) -> None:
        async def scenario(fixture: _Fixture) -> None:
            account = fixture.account
            account.charge(account.long_body_limit)
            body = b"x" * 200_000
            self._send_head(fixture, f"content-length: {len(body)}", "expect: 100-continue")
            fixture.to_node.send_nowait(body)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(1, fixture.stream.received.statistics().current_buffer_used)
            self.assertEqual(b"", fixture.stream.sent)
            account.charge(-account.long_body_limit)
            self.assertIn(b"100 Continue", fixture.stream.sent)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(["/a"], fixture.sink.paths)
            self.assertEqual(len(body), fixture.sink.started[0].request.body_bytes)
            fixture.sink.answer("/a")
            self.assertEqual(0, account.held)

        self._run(scenario)

    def test_much_may_arrive_unread_only_while_a_long_body_has_memory(self) -> None:
        # With a small buffer, a caller some way off could not send a long body in time.
        async def scenario(fixture: _Fixture) -> None:
            account = fixture.account
            account.charge(account.long_body_limit)
            self._send_head(fixture, "content-length: 200000", beginning=b"x")
            await trio.testing.wait_all_tasks_blocked()
            self.assertFalse(fixture.stream.has_long_buffer)
            account.charge(-account.long_body_limit)
            self.assertTrue(fixture.stream.has_long_buffer)
            fixture.to_node.send_nowait(b"x" * 199_999)
            await trio.testing.wait_all_tasks_blocked()
            self.assertFalse(fixture.stream.has_long_buffer)
            self._send_head(fixture, "transfer-encoding: chunked", beginning=b"5\r\nhello\r\n")
            await trio.testing.wait_all_tasks_blocked()
            self.assertFalse(fixture.stream.has_long_buffer)
            fixture.to_node.send_nowait(b"20000\r\n" + b"x" * 0x20000 + b"\r\n")
            await trio.testing.wait_all_tasks_blocked()
            self.assertTrue(fixture.stream.has_long_buffer)

        self._run(scenario)

    def test_memory_is_given_back_when_the_caller_leaves(self) -> None:
        async def scenario(fixture: _Fixture) -> None:
            fixture.send("PUT /a")
            self._send_head(fixture, "content-length: 1000000", beginning=b"x" * 1_000)
            await trio.testing.wait_all_tasks_blocked()
            self.assertGreater(fixture.account.held, 1_000_000)
            fixture.to_node.close()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(0, fixture.account.held)
            self.assertEqual(0, fixture.account.incomplete)

        self._run(scenario)

    def test_close_is_noticed_beside_a_request_with_a_long_body(self) -> None:
        # A connection with a body above the bound on queued ones was not read until the answer.
        async def scenario(fixture: _Fixture) -> None:
            body = b"x" * 2_000_000
            self._send_head(fixture, f"content-length: {len(body)}", beginning=body)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(["/a"], fixture.sink.paths)
            fixture.to_node.close()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(["/a"], fixture.sink.disconnected)

        self._run(scenario)

    def test_head_in_single_bytes_does_not_outlast_its_time(self) -> None:
        # Each byte started the time of the head anew.
        async def scenario(fixture: _Fixture) -> None:
            for byte in b"GET /abc":
                fixture.to_node.send_nowait(bytes([byte]))
                await trio.testing.wait_all_tasks_blocked()
                now_ms = fixture.time.advance(_LIMITS.header_timeout_ms / 4)
                fixture.connection.close_if_timed_out(now_ms, _LIMITS)
            self.assertRegex(fixture.stream.sent, rb"HTTP/1.1 408 (?s:.)*not-run")

        self._run(scenario)

    def test_head_is_not_late_while_its_connection_is_not_read(self) -> None:
        # A head whose rest lay in the socket was answered 408 after the requests before it.
        async def scenario(fixture: _Fixture) -> None:
            fixture.account.charge(fixture.account.limit)
            beginning = b"GET /c HTTP/1.1\r\nhost: x\r\n"
            fixture.to_node.send_nowait(_encode("GET /a") + _encode("GET /b") + beginning)
            fixture.to_node.send_nowait(b"\r\n")
            await trio.testing.wait_all_tasks_blocked()
            fixture.time.advance(_LIMITS.header_timeout_ms * 2)
            fixture.sink.answer("/a")
            fixture.sink.answer("/b")
            fixture.connection.close_if_timed_out(fixture.time.value_ms, _LIMITS)
            await trio.testing.wait_all_tasks_blocked()
            fixture.sink.answer("/c")
            self.assertEqual(["/a", "/b", "/c"], fixture.answers)

        self._run(scenario)

    def test_head_that_lies_unread_is_not_late(self) -> None:
        # The process may have been paused.
        async def scenario(fixture: _Fixture) -> None:
            fixture.to_node.send_nowait(b"GET /a HTTP/1.1\r\n")
            await trio.testing.wait_all_tasks_blocked()
            now_ms = fixture.time.advance(_LIMITS.header_timeout_ms * 2)
            fixture.stream.has_unread_bytes = True
            fixture.connection.close_if_timed_out(now_ms, _LIMITS)
            self.assertEqual(b"", fixture.stream.sent)

        self._run(scenario)

    def test_body_in_single_bytes_does_not_outlast_its_time(self) -> None:
        async def scenario(fixture: _Fixture) -> None:
            self._send_head(fixture, "content-length: 1000000")
            for _ in range(70):
                fixture.to_node.send_nowait(b"x")
                await trio.testing.wait_all_tasks_blocked()
                now_ms = fixture.time.advance(1_000.0)
                fixture.connection.close_if_timed_out(now_ms, _LIMITS)
            self.assertRegex(fixture.stream.sent, rb"HTTP/1.1 408 (?s:.)*not-run")

        self._run(scenario)

    def test_no_further_request_is_started_while_answers_are_unread(self) -> None:
        async def scenario(fixture: _Fixture) -> None:
            fixture.send("POST /a", "POST /b")
            await trio.testing.wait_all_tasks_blocked()
            fixture.stream.unsent_bytes = 1_000_000
            fixture.sink.answer("/a")
            self.assertEqual(["/a"], fixture.sink.paths)
            fixture.stream.unsent_bytes = 0
            assert fixture.stream.on_drained is not None
            fixture.stream.on_drained()
            self.assertEqual(["/a", "/b"], fixture.sink.paths)

        self._run(scenario)

    def test_connection_whose_answers_stay_unread_is_closed(self) -> None:
        async def scenario(fixture: _Fixture) -> None:
            fixture.send("GET /a")
            await trio.testing.wait_all_tasks_blocked()
            fixture.stream.unsent_bytes = 1_000
            for _ in range(3):
                now_ms = fixture.time.advance(_LIMITS.idle_timeout_ms * 0.6)
                fixture.connection.close_if_timed_out(now_ms, _LIMITS)
            self.assertTrue(fixture.stream.is_closed)

        self._run(scenario)
