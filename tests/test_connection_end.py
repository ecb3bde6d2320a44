"""Tests of how connections end: what has reached a socket is answered, and answers arrive whole."""

import contextlib
import errno
import socket
import threading
import time
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import attrs
import trio
import trio.testing

from gooseberrydock.clock import system_clock
from gooseberrydock.errorcodes import ErrorCode
from gooseberrydock.http_client import ClientPool, fetch
from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.http_server import HttpConnection
from gooseberrydock.members import Address
from gooseberrydock.memory_account import create_memory_account
from gooseberrydock.mesh.caller_connections import (
    CallerConnection,
    CallerRequest,
    create_caller_connection,
)
from gooseberrydock.mesh.exchange import Exchange
from gooseberrydock.mesh.model import DEFAULT_LIMITS
from gooseberrydock.mesh.target_connections import TargetPool
from gooseberrydock.stream import Listener, Stream, listen

_ANY_PORT = Address("127.0.0.1", 0)
_REQUEST = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"
_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
_LATE_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate"
_LARGE_BODY = b"x" * 4_000_000
"""Larger than the buffers of both sockets."""
_TRANSMISSION_S = 0.02
"""Time for bytes to reach the socket at the other end, without a task switch here."""


@attrs.define(eq=False)
class _EchoSink:
    """Answer each request of a caller at once; record the number of requests."""

    response: HttpResponse
    requests: int = 0

    def on_request(self, caller: CallerRequest, request: HttpRequest) -> Exchange | None:
        """Answer a request."""
        self.requests += 1
        caller.respond(self.response)
        return None

    def may_repeat(self, request: HttpRequest) -> bool:
        """Return that every request may be repeated."""
        return True

    def on_caller_disconnected(self, exchange: Exchange) -> None:
        """Ignore a disconnect."""


@attrs.define(eq=False)
class _Server:
    """Server of either interface that answers each request with one response."""

    response: HttpResponse
    uses_mesh: bool
    is_stopping: bool = False
    connections: list[CallerConnection | HttpConnection] = attrs.field(factory=list)

    async def serve(self, stream: Stream) -> None:
        """Serve one connection."""
        connection = self._create(stream)
        self.connections.append(connection)
        await connection.run()

    def _create(self, stream: Stream) -> CallerConnection | HttpConnection:
        if self.uses_mesh:
            return create_caller_connection(
                stream,
                _EchoSink(self.response),
                system_clock(),
                DEFAULT_LIMITS,
                lambda: self.is_stopping,
                create_memory_account(300_000_000),
            )
        return HttpConnection(
            stream,
            lambda connection, request: connection.respond(self.response),
            lambda connection: None,
            1_000,
            lambda: self.is_stopping,
        )


async def _read_all(client: socket.socket) -> bytes:
    """Read until the end of the connection, which must not be a reset."""
    received = b""
    while data := await trio.to_thread.run_sync(client.recv, 65_536):
        received += data
    return received


class ServerConnectionCases(unittest.TestCase):
    """Connections of callers, on both interfaces."""

    def _run(
        self,
        scenario: Callable[[_Server, socket.socket], Awaitable[None]],
        body: bytes = b"ok",
    ) -> None:
        async def main(uses_mesh: bool) -> None:
            server = _Server(HttpResponse(200, [], body), uses_mesh)
            async with trio.open_nursery() as nursery:
                listener = listen(_ANY_PORT)
                nursery.start_soon(listener.serve, server.serve)
                client = socket.create_connection(attrs.astuple(listener.address))
                client.settimeout(5.0)
                with client, trio.fail_after(10):
                    await scenario(server, client)
                nursery.cancel_scope.cancel()

        for uses_mesh in (True, False):
            with self.subTest(uses_mesh=uses_mesh):
                trio.run(main, uses_mesh)

    async def _send(self, client: socket.socket, data: bytes) -> None:
        await trio.to_thread.run_sync(client.sendall, data)

    def test_request_that_reached_the_socket_is_answered_before_the_close(self) -> None:
        async def scenario(server: _Server, client: socket.socket) -> None:
            await self._send(client, _REQUEST)
            self.assertIn(b" 200 ", await trio.to_thread.run_sync(client.recv, 65_536))
            server.is_stopping = True
            client.sendall(_REQUEST)
            time.sleep(_TRANSMISSION_S)
            server.connections[0].close_if_idle()
            received = await _read_all(client)
            self.assertIn(b" 200 ", received)
            self.assertIn(b"connection: close", received.lower())

        self._run(scenario)

    def test_request_that_crosses_the_close_gets_no_reset(self) -> None:
        async def scenario(server: _Server, client: socket.socket) -> None:
            await self._send(client, _REQUEST)
            self.assertIn(b" 200 ", await trio.to_thread.run_sync(client.recv, 65_536))
            server.connections[0].close_if_idle()
            await self._send(client, _REQUEST)
            self.assertEqual(b"", await _read_all(client))

        self._run(scenario)

    def test_last_answer_is_whole_although_further_requests_arrive(self) -> None:
        async def scenario(server: _Server, client: socket.socket) -> None:
            server.is_stopping = True
            await self._send(client, _REQUEST)
            await trio.sleep(_TRANSMISSION_S)
            await self._send(client, _REQUEST * 10)
            received = await _read_all(client)
            self.assertTrue(received.endswith(_LARGE_BODY), len(received))
            self.assertEqual(1, received.count(b" 200 "))

        self._run(scenario, _LARGE_BODY)

    def test_connection_of_a_caller_that_never_closes_ends(self) -> None:
        async def scenario(server: _Server, client: socket.socket) -> None:
            while not server.connections:
                await trio.sleep(_TRANSMISSION_S)
            server.connections[0].close_if_idle()
            await trio.sleep(1.2)
            with self.assertRaises(OSError):
                for _ in range(10):
                    await self._send(client, _REQUEST)
                    await trio.sleep(_TRANSMISSION_S)

        self._run(scenario)


async def _ignore(stream: Stream) -> None:
    """Serve nothing."""


class ListenerCases(unittest.TestCase):
    """The end of a listener."""

    def test_listener_that_is_closed_while_a_connection_arrives_ends_without_an_error(self) -> None:
        # Guards against a stopping process that ends by an error, with its requests unanswered.
        closed: list[Listener] = []

        def close_before_accept(listener: Listener, *_: object) -> None:
            # The close itself accepts what is pending too.
            if not closed:
                closed.append(listener)
                listener.close()
            raise OSError(errno.EBADF, "Bad file descriptor")

        async def main() -> None:
            listener = listen(_ANY_PORT)
            address = attrs.astuple(listener.address)
            with mock.patch.object(Listener, "_accept_one", close_before_accept):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(listener.serve, _ignore)
                    await trio.testing.wait_all_tasks_blocked()
                    with trio.fail_after(5.0), socket.create_connection(address):
                        while nursery.child_tasks:
                            await trio.sleep(_TRANSMISSION_S)

        trio.run(main)

    def test_established_connection_is_served_after_the_listener_closed(self) -> None:
        async def main() -> bytes:
            server = _Server(HttpResponse(200, [], b"ok"), uses_mesh=True)
            async with trio.open_nursery() as nursery:
                listener = listen(_ANY_PORT)
                nursery.start_soon(listener.serve, server.serve)
                await trio.sleep(_TRANSMISSION_S)
                with socket.create_connection(attrs.astuple(listener.address)) as client:
                    client.settimeout(5.0)
                    client.sendall(_REQUEST)
                    listener.close()
                    # A stop must not end here, before the task of the connection has run.
                    self.assertTrue(listener.has_open_connections)
                    received = await trio.to_thread.run_sync(client.recv, 65_536)
                with trio.fail_after(5):
                    while listener.has_open_connections:
                        await trio.sleep(_TRANSMISSION_S)
                nursery.cancel_scope.cancel()
            return received

        self.assertIn(b" 200 ", trio.run(main))


@attrs.define(eq=False)
class _RunRecorder:
    """Record the body of the answer of one run at a target."""

    done: trio.Event = attrs.field(factory=trio.Event)
    bodies: list[bytes] = attrs.field(factory=list)

    def accepts(self, response: HttpResponse) -> bool:
        """Accept any answer, as from a target that states no request ID."""
        return True

    def on_response(self, response: HttpResponse) -> None:
        """Record an answer."""
        self.bodies.append(response.body)
        self.done.set()

    def on_failure(self, code: ErrorCode, was_sent: bool) -> None:
        """Record a failure."""
        self.done.set()


class LateAnswerCases(unittest.TestCase):
    """A target sends a second copy of an answer while the connection is idle."""

    def _run(self, send: Callable[[Address, trio.Nursery], Awaitable[list[bytes]]]) -> None:
        bodies: list[bytes] = []

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                with trio.move_on_after(5):
                    bodies.extend(await send(address, nursery))
                nursery.cancel_scope.cancel()

        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = Address(*listener.getsockname()[:2])
            threading.Thread(target=_answer_twice, args=(listener,), daemon=True).start()
            trio.run(main)
        self.assertEqual([b"ok", b"ok"], bodies)

    def test_client_pool_does_not_take_it_for_the_next_answer(self) -> None:
        async def send(address: Address, nursery: trio.Nursery) -> list[bytes]:
            pool = ClientPool(address, nursery)
            bodies = []
            for _ in range(2):
                response = await fetch(pool, HttpRequest("GET", "/", [], b""), 2.0)
                bodies.append(response.body if response else b"")
                _wait_without_reading()
            return bodies

        self._run(send)

    def test_target_pool_does_not_take_it_for_the_next_answer(self) -> None:
        async def send(address: Address, nursery: trio.Nursery) -> list[bytes]:
            pool = TargetPool(address, nursery, system_clock(), create_memory_account(300_000_000))
            bodies = []
            for _ in range(2):
                run = _RunRecorder()
                pool.start(_REQUEST, run, is_idempotent=True)
                await run.done.wait()
                bodies += run.bodies
                _wait_without_reading()
            return bodies

        self._run(send)


def _answer_twice(listener: socket.socket) -> None:
    """Answer one request on each connection, and send another answer late."""
    with contextlib.suppress(OSError):
        while True:
            connection, _ = listener.accept()
            connection.recv(65_536)
            connection.sendall(_ANSWER)
            time.sleep(_TRANSMISSION_S)
            connection.sendall(_LATE_ANSWER)


def _wait_without_reading() -> None:
    """Let the late answer reach the socket while no task of this thread runs."""
    time.sleep(3 * _TRANSMISSION_S)
