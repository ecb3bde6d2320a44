"""Test that an error in one call or one link ends no other work, and not the process."""

import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import attrs
import trio

from gooseberrydock.clock import system_clock
from gooseberrydock.errorcodes import (
    CALL_BROKEN_OFF,
    CALL_NOT_STARTED,
    PEER_UNREACHABLE,
    TARGET_LOST,
    TARGET_UNREACHABLE,
    ErrorCode,
)
from gooseberrydock.http_client import ClientPool
from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.members import Address
from gooseberrydock.memory_account import (
    RECEIVE_BUFFER_BYTES,
    ClaimKind,
    create_memory_account,
)
from gooseberrydock.mesh.entry import Entry
from gooseberrydock.mesh.node import MeshNode
from gooseberrydock.mesh.store_calls import repeat_until_done
from gooseberrydock.mesh.target_connections import PendingRun, TargetPool
from gooseberrydock.mesh.target_dispatcher import TargetDispatcher
from gooseberrydock.mesh.target_registration import InstanceAnnouncement, TargetState
from gooseberrydock.messages import (
    Call,
    PeerMessage,
    RecordChange,
    RecordChanges,
    RoutedAnswer,
    RunResult,
)
from gooseberrydock.peer_links import PeerLink, PeerLinks
from gooseberrydock.stream import Stream, listen
from tests.mesh_helpers import make_call, make_entry, make_request, make_route, make_table
from tests.test_mesh_node import TARGET_ADDRESS, make_node
from tests.test_peer_links import make_peer_call

_ANY_PORT = Address("127.0.0.1", 0)
_UNSENDABLE: list[tuple[str, dict[str, Any]]] = [
    ("service not in Latin-1", {"caller_service": "i-\N{EURO SIGN}"}),
    ("service with a line end", {"caller_service": "web\r\nx: y"}),
    ("service with a zero byte", {"caller_service": "web\0"}),
    ("target not in Latin-1", {"request_target": "/\N{EURO SIGN}"}),
    ("target with a line end", {"request_target": "/ HTTP/1.1\r\n\r\nGET /"}),
    ("method that is not ASCII", {"method": "\N{EURO SIGN}"}),
    ("header with a line end", {"headers": [(b"a", b"b\r\n\r\nGET / HTTP/1.1")]}),
]


class _PlantedError(Exception):
    """Error that no code expects."""


def _fail(*arguments: object, **fields: object) -> None:
    raise _PlantedError


@attrs.define
class _Observer:
    """Record how a request to the target ended; raise if the test wants that."""

    is_faulty: bool = False
    failures: list[tuple[ErrorCode, bool]] = attrs.field(factory=list)

    def accepts(self, response: HttpResponse) -> bool:
        if self.is_faulty:
            raise _PlantedError
        return True

    def on_response(self, response: HttpResponse) -> None:
        raise _PlantedError

    def on_failure(self, code: ErrorCode, was_sent: bool) -> None:
        self.failures.append((code, was_sent))
        if self.is_faulty:
            raise _PlantedError


def _run(scenario: Callable[[trio.Nursery], Awaitable[None]]) -> None:
    """Run a scenario in a nursery, which an error of one of its tasks would end."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            with trio.fail_after(5):
                await scenario(nursery)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def _serve_ok(stream: Stream) -> None:
    while await stream.receive():
        stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")


class DispatcherCases(unittest.TestCase):
    """Calls at the node beside the target."""

    def setUp(self) -> None:
        self.answers: list[RoutedAnswer] = []
        self.node = make_node()
        self.dispatcher = self.node.target_dispatcher
        self._announce()
        for patch in (
            mock.patch.object(
                MeshNode, "answer_call", lambda _, link_id, answer: self.answers.append(answer)
            ),
            mock.patch.object(MeshNode, "is_idempotent", lambda _, route: True),
            mock.patch.object(TargetPool, "start", lambda *arguments: PendingRun()),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def _announce(self) -> None:
        self.dispatcher.on_announcement(
            InstanceAnnouncement("i-1", "shop", TARGET_ADDRESS, 1, 1, TargetState.READY, 1, 0.0)
        )

    def _sent(self) -> int:
        return self.dispatcher.sent

    def test_call_that_cannot_be_sent_is_refused_and_its_slot_is_free(self) -> None:
        # Guards against a call that kept its slot until its deadline, and ended its link.
        for title, change in _UNSENDABLE:
            with self.subTest(title):
                self.answers.clear()
                call = attrs.evolve(make_call(), **change)
                with self.assertLogs("gooseberrydock", "ERROR"):
                    self.dispatcher.on_call("link-1", call)
                self.assertEqual(
                    [(RunResult.NOT_RUN, CALL_NOT_STARTED.number, False)],
                    [(item.result, item.code, item.was_sent_to_target) for item in self.answers],
                )
                self.assertEqual(0, self.dispatcher.in_flight)
                sent = self._sent()
                self.dispatcher.on_call("link-2", make_call())
                self.assertEqual(sent + 1, self._sent())
                self.dispatcher.on_link_lost("link-2")

    def test_waiting_calls_start_although_one_of_them_cannot_be_sent(self) -> None:
        # Guards against an error that keeps other started calls from being sent.
        self.dispatcher.on_call("link-1", make_call())
        for number, (_, change) in enumerate(_UNSENDABLE[:2], 2):
            call = attrs.evolve(make_call(), call_id=number, **change)
            self.dispatcher.on_call("link-2", call)
        self.dispatcher.on_call("link-3", attrs.evolve(make_call(), call_id=9))
        sent = self._sent()
        with self.assertLogs("gooseberrydock", "ERROR"):
            self.dispatcher.on_link_lost("link-1")
        self.assertEqual(sent + 1, self._sent())
        self.assertEqual([2, 3], sorted(answer.call_id for answer in self.answers))
        self.assertEqual(1, self.dispatcher.in_flight)

    def test_error_in_the_handling_of_an_answer_gives_the_slot_back(self) -> None:
        # Guards against a run that keeps its slot until its deadline; it may have run.
        self.dispatcher.on_call("link-1", make_call())
        with (
            mock.patch.object(TargetDispatcher, "on_answer_headers", _fail),
            self.assertLogs("gooseberrydock", "ERROR"),
        ):
            response = HttpResponse(200, [(b"server-seal", b"x")], b"")
            self.dispatcher.runs[0].on_response(response)
        self.assertEqual(
            [(RunResult.UNKNOWN, CALL_BROKEN_OFF.number)],
            [(answer.result, answer.code) for answer in self.answers],
        )
        self.assertEqual(0, self.dispatcher.in_flight)


class TargetPoolCases(unittest.TestCase):
    """Connections to the target."""

    def _pool(self, nursery: trio.Nursery, address: Address) -> TargetPool:
        return TargetPool(address, nursery, system_clock(), create_memory_account(300_000_000))

    def test_error_in_the_handling_of_an_unreachable_target_ends_nothing_else(self) -> None:
        # Guards against a callback outside of the handler of errors, which ended the process.
        async def scenario(nursery: trio.Nursery) -> None:
            listener = listen(_ANY_PORT)
            address = listener.address
            listener.close()
            pool, observer = self._pool(nursery, address), _Observer(is_faulty=True)
            pool.start(b"GET / HTTP/1.1\r\n\r\n", observer, True)
            pool.check(_fail)
            while not observer.failures:
                await trio.sleep(0.01)
            await trio.sleep(0.1)
            self.assertEqual([(TARGET_UNREACHABLE, False)], observer.failures)

        with self.assertLogs("gooseberrydock", "ERROR"):
            _run(scenario)

    def test_request_whose_connection_ends_by_an_error_fails_at_once(self) -> None:
        # Guards against a request that nobody reports as lost before its deadline.
        async def scenario(nursery: trio.Nursery) -> None:
            listener = listen(_ANY_PORT)
            nursery.start_soon(listener.serve, _serve_ok)
            pool, observer = self._pool(nursery, listener.address), _Observer(is_faulty=True)
            pool.start(b"GET / HTTP/1.1\r\n\r\n", observer, True)
            while not observer.failures:
                await trio.sleep(0.01)
            await trio.sleep(0.1)
            self.assertEqual([(TARGET_LOST, True)], observer.failures)
            self.assertEqual(0, pool.open_connections)

        with self.assertLogs("gooseberrydock", "ERROR"):
            _run(scenario)

    def test_client_of_the_own_interface_contains_errors_of_its_handlers(self) -> None:
        # Guards against the same outside of the handler of errors of the own interface's client.
        async def scenario(nursery: trio.Nursery) -> None:
            listener, closed = listen(_ANY_PORT), listen(_ANY_PORT)
            closed_address = closed.address
            closed.close()
            nursery.start_soon(listener.serve, _serve_ok)
            for address in (closed_address, listener.address):
                pool, called = ClientPool(address, nursery), trio.Event()

                def handle(result: object, called: trio.Event = called) -> None:
                    called.set()
                    raise _PlantedError

                pool.start(HttpRequest("GET", "/", [], b""), handle, handle)
                await called.wait()
                await trio.sleep(0.1)
                self.assertEqual(0, pool.open_connections)

        with self.assertLogs("gooseberrydock", "ERROR"):
            _run(scenario)


class LinkCases(unittest.TestCase):
    """Links between nodes."""

    def test_error_in_the_handling_of_a_lost_link_ends_nothing_else(self) -> None:
        # Guards against the report of lost calls, which ended the process by its error.
        async def scenario(nursery: trio.Nursery) -> None:
            links = _make_links(nursery, "a", lambda _: None, _fail)
            links.send("b", make_peer_call(1))
            await trio.sleep(0.1)
            self.assertFalse(links.has_link("b"))

        with self.assertLogs("gooseberrydock", "ERROR"):
            _run(scenario)

    def test_message_that_cannot_be_encoded_is_not_sent_and_ends_nothing_else(self) -> None:
        # Guards against text of the store that cannot be passed on, and ended the task that did it.
        async def scenario(nursery: trio.Nursery) -> None:
            received: list[PeerMessage] = []
            listener = listen(_ANY_PORT)
            a = _make_links(nursery, "a", lambda _: listener.address, _fail)
            b = _make_links(
                nursery, "b", lambda _: None, _fail, lambda _, item: received.append(item)
            )
            nursery.start_soon(listener.serve, b.serve)
            a.send("b", make_peer_call(1))
            while not received:
                await trio.sleep(0.01)
            link = a.open_links[0]
            a.broadcast(RecordChanges(0, 0, 1, (RecordChange("\ud800", b"", 1),)))
            with self.assertRaises(UnicodeEncodeError):
                a.send("b", attrs.evolve(make_peer_call(2), service="\ud800"))
            self.assertEqual([1], link.unanswered_calls())
            a.send("b", make_peer_call(3))
            while len(received) < 2:
                await trio.sleep(0.01)
            self.assertEqual([1, 3], [item.call_id for item in received if isinstance(item, Call)])

        with self.assertLogs("gooseberrydock", "ERROR"):
            _run(scenario)

    def test_error_in_the_handling_of_a_message_does_not_close_its_link(self) -> None:
        # Guards against the loss of all calls on a link for the error of one.
        async def scenario(nursery: trio.Nursery) -> None:
            received: list[int] = []

            def on_message(link: PeerLink, message: PeerMessage) -> None:
                assert isinstance(message, Call)
                received.append(message.call_id)
                if message.call_id == 1:
                    raise _PlantedError

            listener = listen(_ANY_PORT)
            a = _make_links(nursery, "a", lambda _: listener.address, _fail)
            b = _make_links(nursery, "b", lambda _: None, _fail, on_message)
            nursery.start_soon(listener.serve, b.serve)
            for number in (1, 2):
                a.send("b", make_peer_call(number))
            while received != [1, 2]:
                await trio.sleep(0.01)
            self.assertEqual(1, len(b.open_links))

        with self.assertLogs("gooseberrydock", "ERROR"):
            _run(scenario)


def _make_links(
    nursery: trio.Nursery,
    node_id: str,
    find_address: Callable[[str], Address | None],
    on_lost: Callable[..., None],
    on_message: Callable[[PeerLink, PeerMessage], None] = _fail,
) -> PeerLinks:
    return PeerLinks(
        clock=system_clock(),
        nursery=nursery,
        node_id=node_id,
        incarnation=1,
        on_message=on_message,
        on_lost=on_lost,
        find_address=find_address,
        key=b"",
    )


class EntryCases(unittest.TestCase):
    """Requests at the node of their callers."""

    def test_error_in_one_lost_call_leaves_the_others_to_be_retried(self) -> None:
        # Guards against calls that nobody retries because another one of their link failed.
        fixture = make_entry(make_table(1, make_route()), hosts=3)
        entry, effects = fixture.entry, fixture.effects
        for number in range(1, 7):
            entry.on_request(0.0, mock.Mock(), make_request("/lookup/x", f"r{number}"))
        lost_node = effects.calls[0][0]
        lost = [call.call_id for node_id, call in effects.calls if node_id == lost_node]
        others = len(effects.calls) - len(lost)
        effects.calls.clear()
        send = Entry._send

        def send_second_on(own: Entry, now_ms: float, exchange: object) -> None:
            if getattr(exchange, "exchange_id", 0) == failing.exchange_id:
                raise _PlantedError
            send(own, now_ms, exchange)  # type: ignore[arg-type]

        failing = entry._calls[lost[0]]
        with (
            mock.patch.object(Entry, "_send", send_second_on),
            self.assertLogs("gooseberrydock", "ERROR"),
        ):
            entry.on_calls_lost(10.0, lost_node, lost, [])
        self.assertEqual(len(lost) - 1, len(effects.calls))
        self.assertEqual([CALL_NOT_STARTED], [code for code, _ in effects.refusals])
        self.assertEqual(len(lost) - 1 + others, entry.in_flight)

    def test_error_in_one_expired_request_leaves_the_others_to_expire(self) -> None:
        # Guards against requests without an answer because of another one's error.
        fixture = make_entry(make_table(1, make_route()), hosts=3)
        entry, effects = fixture.entry, fixture.effects
        for number in range(1, 4):
            entry.on_request(0.0, mock.Mock(), make_request("/lookup/x", f"r{number}"))
        with (
            mock.patch.object(
                Entry, "_record_duration", mock.Mock(side_effect=[_PlantedError, 0, 0])
            ),
            self.assertLogs("gooseberrydock", "ERROR"),
        ):
            entry.tick(10_000.0)
        self.assertEqual(3, len(effects.refusals))
        self.assertEqual(0, entry.in_flight)
        self.assertNotIn(PEER_UNREACHABLE, [code for code, _ in effects.refusals])


class MemoryCases(unittest.TestCase):
    """Holders of memory, which are called by the task that gives some back."""

    def test_error_of_a_holder_leaves_the_others_to_be_called(self) -> None:
        # Guards against a task that is ended by the error of another caller's request.
        account = create_memory_account(150_000_000)
        held = account.limit - 3 * RECEIVE_BUFFER_BYTES
        account.charge(held)
        called: list[str] = []
        claims = [
            account.open_claim(0.0, ClaimKind.REQUEST, granted, _fail)
            for granted in (_fail, lambda: called.append("granted"))
        ]
        for claim in claims:
            claim.reserve(0.0, 4 * RECEIVE_BUFFER_BYTES)
        account.call_when_room(_fail)
        account.call_when_room(lambda: called.append("room"))
        with self.assertLogs("gooseberrydock", "ERROR"):
            account.charge(-held)
        self.assertEqual({"granted", "room"}, set(called))


class StoreTaskCases(unittest.TestCase):
    """Tasks that keep facts in the store."""

    def test_error_in_a_step_is_retried(self) -> None:
        # Guards against a stored value whose handling ends the process.
        steps: list[int] = []

        async def step() -> None:
            steps.append(1)
            if len(steps) < 3:
                raise _PlantedError

        async def scenario(nursery: trio.Nursery) -> None:
            await repeat_until_done(step, "key", random.Random(1))

        with self.assertLogs("gooseberrydock", "ERROR"):
            _run(scenario)
        self.assertEqual(3, len(steps))
