"""Tests of the HTTP server and client on real sockets.

Invalid input gets an answer with an error code and does not affect other connections.
"""

import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberrydock import defaults
from gooseberrydock.errorcodes import (
    TARGET_LOST,
    TARGET_OVERSIZE,
    TARGET_PROTOCOL,
    TARGET_TRUNCATED,
)
from gooseberrydock.http_client import ClientPool, fetch, fetch_result
from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.http_server import HttpConnection, serve_http
from gooseberrydock.members import Address
from gooseberrydock.stream import Listener, Stream, listen

_MAX_BODY_BYTES = 1_000
_ANY_PORT = Address("127.0.0.1", 0)
_VALID_REQUEST = b"POST /a/b HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi"

INVALID_REQUESTS = [
    ("not HTTP", b"\x00\x01\x02 hello\r\n\r\n", 400),
    ("no host", b"GET / HTTP/1.1\r\n\r\n", 400),
    ("bad length", b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n", 400),
    (
        "two lengths",
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        400,
    ),
    (
        "large body",
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5000\r\n\r\n" + b"x" * 5000,
        413,
    ),
    ("large head", b"GET / HTTP/1.1\r\nhost: x\r\na: " + b"x" * 40_000, 413),
    ("bad chunk", b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", 400),
]


def _echo(connection: HttpConnection, request: HttpRequest) -> None:
    connection.respond(HttpResponse(200, [], request.body))


async def _serve(stream: Stream) -> None:
    await serve_http(stream, _echo, max_body_bytes=_MAX_BODY_BYTES)


async def _exchange(address: Address, data: bytes) -> bytes:
    """Send bytes and read until the server closes the connection or has answered."""
    stream = await trio.open_tcp_stream(address.host, address.port)
    async with stream:
        await stream.send_all(data)
        received = b""
        with trio.move_on_after(5):
            while b"\r\n\r\n" not in received:
                part = await stream.receive_some(65_536)
                if not part:
                    break
                received += part
        return received


def _with_server(test: Callable[[Address], Awaitable[None]]) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            listener: Listener = listen(_ANY_PORT)
            nursery.start_soon(listener.serve, _serve)
            await test(listener.address)
            nursery.cancel_scope.cancel()

    trio.run(main)


class ServerTest(unittest.TestCase):
    """Requests that callers send to the server."""

    def test_invalid_requests_get_a_coded_answer(self) -> None:
        async def check(address: Address) -> None:
            for name, data, status in INVALID_REQUESTS:
                answer = await _exchange(address, data)
                with self.subTest(name):
                    self.assertTrue(answer.startswith(b"HTTP/1.1 %d" % status), answer[:80])
                    self.assertIn(b"application/problem+json", answer)
                    self.assertIn(b"gooseberrydock-outcome: not-run", answer.lower())
                self.assertIn(b" 200 ", await _exchange(address, _VALID_REQUEST))

        _with_server(check)

    @settings(max_examples=40)
    @given(st.binary(max_size=200), st.integers(0, len(_VALID_REQUEST)))
    def test_any_bytes_leave_the_server_working(self, random_bytes: bytes, position: int) -> None:
        async def check(address: Address) -> None:
            stream = await trio.open_tcp_stream(address.host, address.port)
            await stream.send_all(_VALID_REQUEST[:position] + random_bytes)
            await stream.aclose()
            self.assertIn(b" 200 ", await _exchange(address, _VALID_REQUEST))

        _with_server(check)

    def test_a_request_that_does_not_arrive_in_time_is_refused(self) -> None:
        async def check(address: Address) -> None:
            for part in (_VALID_REQUEST[:10], _VALID_REQUEST[:-1]):
                answer = await _exchange(address, part)
                self.assertTrue(answer.startswith(b"HTTP/1.1 408"), answer[:80])

        with mock.patch.object(defaults, "REQUEST_READ_TIMEOUT_MS", 50.0):
            _with_server(check)

    def test_requests_sent_together_are_answered_in_order(self) -> None:
        async def check(address: Address) -> None:
            stream = await trio.open_tcp_stream(address.host, address.port)
            bodies = [b"one", b"two", b"six"]
            head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\n"
            await stream.send_all(b"".join(head + body for body in bodies))
            received = b""
            while received.count(b"HTTP/1.1 200") < 3 or not received.endswith(b"six"):
                received += await stream.receive_some(65_536)
            positions = [received.index(body) for body in bodies]
            self.assertEqual(positions, sorted(positions))

        _with_server(check)

    def test_a_fault_in_one_handler_ends_one_connection_only(self) -> None:
        async def main() -> tuple[bytes, bytes]:
            def fail(connection: HttpConnection, request: HttpRequest) -> None:
                if request.path == "/fail":
                    raise ZeroDivisionError("a bug in the handler")
                _echo(connection, request)

            async def serve(stream: Stream) -> None:
                await serve_http(stream, fail)

            async with trio.open_nursery() as nursery:
                listener = listen(_ANY_PORT)
                nursery.start_soon(listener.serve, serve)
                first = await _exchange(listener.address, _VALID_REQUEST.replace(b"/a/b", b"/fail"))
                second = await _exchange(listener.address, _VALID_REQUEST)
                nursery.cancel_scope.cancel()
            return first, second

        with self.assertLogs("gooseberrydock", "ERROR"):
            first, second = trio.run(main)
        self.assertEqual(first, b"")
        self.assertIn(b" 200 ", second)


class UpgradeTest(unittest.TestCase):
    """Requests that offer another protocol, which a server may ignore."""

    def test_body_behind_an_offer_is_read_and_the_next_request_served(self) -> None:
        # Guards the own interface against the fault of review/11, which it did not have.
        async def test(address: Address) -> None:
            offer = b"connection: upgrade\r\nupgrade: h2c\r\n"
            data = _VALID_REQUEST.replace(b"host: x\r\n", b"host: x\r\n" + offer)
            stream = await trio.open_tcp_stream(address.host, address.port)
            async with stream:
                for _ in range(2):
                    await stream.send_all(data)
                    received = b""
                    with trio.fail_after(5):
                        while not received.endswith(b"\r\n\r\nhi"):
                            part = await stream.receive_some(65_536)
                            self.assertTrue(part)
                            received += part
                    self.assertEqual(1, received.count(b"HTTP/1.1 200"))

        _with_server(test)


FAILED_ANSWERS = [
    ("closed at once", b"", TARGET_LOST),
    ("cut off in the body", b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc", TARGET_TRUNCATED),
    ("not HTTP", b"nonsense\r\n\r\n", TARGET_PROTOCOL),
    (
        "chunks of a byte",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + b"1\r\nb\r\n" * 40_000,
        TARGET_OVERSIZE,
    ),
    ("no status", b"HTTP/1.1 700 x\r\ncontent-length: 0\r\n\r\n", TARGET_PROTOCOL),
]


class ClientTest(unittest.TestCase):
    """Answers that targets send to the client."""

    def test_a_partial_answer_is_a_failure_and_never_a_short_success(self) -> None:
        for name, answer, code in FAILED_ANSWERS:
            with self.subTest(name):
                self.assertEqual(trio.run(self._failure_of, answer), code)

    async def _failure_of(self, answer: bytes) -> object:
        results: list[object] = []

        async def serve(stream: Stream) -> None:
            await stream.receive()
            stream.send(answer)

        async with trio.open_nursery() as nursery:
            listener = listen(_ANY_PORT)
            nursery.start_soon(listener.serve, serve)
            pool = ClientPool(listener.address, nursery)
            done = trio.Event()

            def record_result(result: object) -> None:
                results.append(result)
                done.set()

            pool.start(HttpRequest("GET", "/", [], b""), record_result, record_result)
            with trio.move_on_after(5):
                await done.wait()
            nursery.cancel_scope.cancel()
        return results[0]

    def test_a_connection_with_bytes_left_over_is_not_used_again(self) -> None:
        async def main() -> list[bytes]:
            async def serve(stream: Stream) -> None:
                await stream.receive()
                one = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
                stream.send(one + b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad")
                await trio.sleep(5)

            bodies = []
            async with trio.open_nursery() as nursery:
                listener = listen(_ANY_PORT)
                nursery.start_soon(listener.serve, serve)
                pool = ClientPool(listener.address, nursery)
                for _ in range(3):
                    response = await fetch(pool, HttpRequest("GET", "/", [], b""), 5.0)
                    bodies.append(response.body if response else b"")
                nursery.cancel_scope.cancel()
            return bodies

        self.assertEqual(trio.run(main), [b"ok"] * 3)

    def test_a_request_that_cannot_be_sent_is_reported_as_failed(self) -> None:
        async def main() -> object:
            async with trio.open_nursery() as nursery:
                listener = listen(_ANY_PORT)
                nursery.start_soon(listener.serve, _serve)
                pool = ClientPool(listener.address, nursery)
                request = HttpRequest("GET", "/", [(b"bad", b"a\nb")], b"")
                with trio.fail_after(2):
                    result = await fetch_result(pool, request, 5.0)
                nursery.cancel_scope.cancel()
            return result

        with self.assertLogs("gooseberrydock", "ERROR"):
            self.assertEqual(TARGET_LOST, trio.run(main))
