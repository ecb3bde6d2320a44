"""Test which ends of a connection may complete an answer, on real sockets."""

import socket
import struct
import time
import unittest
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs
import trio
import trio.testing

from gooseberrydock.clock import system_clock
from gooseberrydock.errorcodes import ErrorCode
from gooseberrydock.http_client import ClientPool, fetch
from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.members import Address
from gooseberrydock.memory_account import create_memory_account
from gooseberrydock.mesh.target_connections import TargetConnection
from gooseberrydock.stream import Stream, connect

_HEAD_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"
_PART = b"x" * 3_000
_FRAMED_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
_REQUEST = b"GET / HTTP/1.1\r\n\r\n"
_LARGE_BODY = b"y" * 8_000_000
"""Larger than the buffers of both sockets."""
_UPLOAD = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % len(_LARGE_BODY) + _LARGE_BODY
_ROUNDS = 30
"""Repetitions of a race between two tasks, of which each may win."""
_TIMEOUT_S = 5


@attrs.define
class _Observer:
    """Record the outcome of a request to the target."""

    responses: list[HttpResponse] = attrs.field(factory=list)
    failures: list[ErrorCode] = attrs.field(factory=list)

    def accepts(self, response: HttpResponse) -> bool:
        """Accept every answer."""
        return True

    def on_response(self, response: HttpResponse) -> None:
        """Record an answer."""
        self.responses.append(response)

    def on_failure(self, code: ErrorCode, was_sent: bool) -> None:
        """Record the failure of the request."""
        self.failures.append(code)


def _reset(peer: socket.socket) -> None:
    """Reset a connection from its peer's side, and wait until the reset has arrived."""
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    time.sleep(0.01)


def _end(peer: socket.socket) -> None:
    """End a connection in order from its peer's side."""
    peer.close()
    time.sleep(0.01)


@attrs.define
class _Connection:
    """A stream of the product and the socket of its peer."""

    stream: Stream
    peer: socket.socket

    def send_without_waiting(self) -> None:
        """Make the stream's own call for sending the first one that meets the reset."""
        self.stream.send(b"z")

    def look_for_unread_bytes(self) -> None:
        """Make the check for unread bytes the first call that meets the reset."""
        self.stream.has_unread_bytes  # noqa: B018


FIRST_CALLS: list[tuple[str, Callable[[_Connection], None]]] = [
    ("receive", lambda connection: None),
    ("send", _Connection.send_without_waiting),
    ("check for unread bytes", _Connection.look_for_unread_bytes),
]
"""Calls of which the first one takes the error that the kernel reports once."""


@asynccontextmanager
async def _open() -> AsyncIterator[_Connection]:
    """Open a connection for the time of one test."""
    async with trio.open_nursery() as nursery:
        with socket.create_server(("127.0.0.1", 0)) as server:
            stream = await connect(Address(*server.getsockname()[:2]), nursery, 1_000.0)
            assert stream is not None
            connection = _Connection(stream, server.accept()[0])
        try:
            yield connection
        finally:
            connection.peer.close()
            stream.close()
            nursery.cancel_scope.cancel()


_Act = Callable[[_Connection], None]


def _run_on_target(data: bytes, *acts: _Act) -> _Observer:
    """Send a request and carry out each act once all tasks wait; return the outcome."""
    observer = _Observer()

    async def main() -> None:
        async with _open() as connection:
            target = TargetConnection(
                connection.stream,
                system_clock(),
                lambda idle: None,
                create_memory_account(300_000_000),
            )
            target.start(data, observer)
            with trio.fail_after(_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(target.run)
                    for act in acts:
                        await trio.testing.wait_all_tasks_blocked(0.005)
                        act(connection)

    trio.run(main)
    return observer


def _answer_without_length(connection: _Connection) -> None:
    connection.peer.send(_HEAD_WITHOUT_LENGTH + _PART)


def _reset_before(meet_reset: _Act) -> _Act:
    """Return an act that resets the connection and makes a call the first one to meet it."""

    def act(connection: _Connection) -> None:
        _reset(connection.peer)
        meet_reset(connection)

    return act


class AnswerWithoutLengthTest(unittest.TestCase):
    """Guard against an answer that was reset and reaches the caller as a complete success."""

    def test_reset_answer_is_no_answer_whichever_call_meets_the_reset(self) -> None:
        for name, meet_reset in FIRST_CALLS:
            with self.subTest(name):
                observer = _run_on_target(
                    _REQUEST, _answer_without_length, _reset_before(meet_reset)
                )
                self.assertEqual([], observer.responses)
                self.assertEqual(1, len(observer.failures))

    def test_answer_that_is_reset_during_the_upload_is_no_answer(self) -> None:
        def act(connection: _Connection) -> None:
            _answer_without_length(connection)
            _reset(connection.peer)

        for number in range(_ROUNDS):
            with self.subTest(number):
                self.assertEqual([], _run_on_target(_UPLOAD, act).responses)

    def test_answer_with_an_orderly_end_is_complete(self) -> None:
        def act(connection: _Connection) -> None:
            connection.peer.recv(65_536)
            _answer_without_length(connection)
            _end(connection.peer)

        responses = _run_on_target(_REQUEST, act).responses
        self.assertEqual([_PART], [response.body for response in responses])

    def test_end_by_the_own_side_completes_nothing(self) -> None:
        observer = _run_on_target(
            _REQUEST, _answer_without_length, lambda connection: connection.stream.close()
        )
        self.assertEqual([], observer.responses)


class ClientAnswerWithoutLengthTest(unittest.TestCase):
    """Guard the product's own client against a reset answer that it takes for complete."""

    def _fetch(self, end: Callable[[socket.socket], None], answer: bytes) -> HttpResponse | None:
        """Return what the client makes of an answer without a length and its end."""

        async def main() -> HttpResponse | None:
            async with trio.open_nursery() as nursery:
                with socket.create_server(("127.0.0.1", 0)) as server:
                    pool = ClientPool(Address(*server.getsockname()[:2]), nursery)
                    responses: list[HttpResponse | None] = []

                    async def request() -> None:
                        responses.append(
                            await fetch(pool, HttpRequest("GET", "/", [], b""), _TIMEOUT_S)
                        )

                    async with trio.open_nursery() as running:
                        running.start_soon(request)
                        await trio.testing.wait_all_tasks_blocked(0.05)
                        peer = server.accept()[0]
                        await trio.testing.wait_all_tasks_blocked(0.05)
                        peer.recv(65_536)
                        peer.send(answer)
                        end(peer)
                nursery.cancel_scope.cancel()
            return responses[0]

        return trio.run(main)

    def test_reset_answer_is_no_answer(self) -> None:
        self.assertIsNone(self._fetch(_reset, _HEAD_WITHOUT_LENGTH + _PART))

    def test_answer_with_an_orderly_end_is_complete(self) -> None:
        response = self._fetch(_end, _HEAD_WITHOUT_LENGTH + _PART)
        self.assertEqual(_PART, response and response.body)

    def test_answer_with_a_length_is_complete_before_its_connection_is_reset(self) -> None:
        response = self._fetch(_reset, _FRAMED_ANSWER)
        self.assertEqual(b"ok", response and response.body)


class AnswerBeforeResetTest(unittest.TestCase):
    """Guard against the loss of a whole answer that arrived before the reset of its connection."""

    def test_answer_with_a_length_is_delivered_whichever_call_meets_the_reset(self) -> None:
        def act(connection: _Connection) -> None:
            connection.peer.send(_FRAMED_ANSWER)
            _reset(connection.peer)
            connection.send_without_waiting()

        for number in range(_ROUNDS):
            for name, data in (("request", _REQUEST), ("upload", _UPLOAD)):
                with self.subTest(f"{name} {number}"):
                    responses = _run_on_target(data, act).responses
                    self.assertEqual([b"ok"], [response.body for response in responses])


class StreamEndTest(unittest.TestCase):
    """Ends of a stream, told apart by positive proof of the orderly one."""

    def _read_to_end(self, act: _Act) -> tuple[bytes, bool]:
        """Return what is received after an act, and whether the end was orderly."""
        received = bytearray()
        ends: list[bool] = []

        async def main() -> None:
            async with _open() as connection:
                connection.peer.send(_PART)
                act(connection)
                with trio.fail_after(_TIMEOUT_S):
                    while data := await connection.stream.receive():
                        received.extend(data)
                ends.append(connection.stream.has_ended_orderly)

        trio.run(main)
        return bytes(received), ends[0]

    def test_only_the_orderly_end_is_reported_as_such(self) -> None:
        self.assertEqual((_PART, True), self._read_to_end(lambda item: _end(item.peer)))
        for name, meet_reset in FIRST_CALLS:
            with self.subTest(name):
                self.assertEqual((_PART, False), self._read_to_end(_reset_before(meet_reset)))
